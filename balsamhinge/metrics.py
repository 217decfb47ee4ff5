"""Metrics in the text format of Prometheus."""

import prometheus_client

__all__ = ["observe_request", "observe_state", "render"]

BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    15.0,
)

REQUEST_SECONDS = prometheus_client.Histogram(
    "balsamhinge_request_seconds",
    "Time from a caller's request to its answer.",
    ["service", "work_class", "outcome"],
    buckets=BUCKETS_S,
)
REASONS = prometheus_client.Counter(
    "balsamhinge_refused",
    "Requests that were not run or whose outcome is unknown.",
    ["service", "work_class", "reason"],
)


VERSION = prometheus_client.Gauge(
    "balsamhinge_configuration_version",
    "Version of the configuration in force.",
)
QUEUED = prometheus_client.Gauge(
    "balsamhinge_queued", "Requests that wait before a target.", ["target"]
)
CONNECTIONS = prometheus_client.Gauge(
    "balsamhinge_connections", "Connections for work.", ["target"]
)
TERM = prometheus_client.Gauge(
    "balsamhinge_term", "Term of a group's primary.", ["group"]
)


def observe_state(core):
    """Set the gauges to an instance's state.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """
    VERSION.set(core.configuration.version)
    for name, gate in core.gates.gates.items():
        QUEUED.labels(name).set(len(gate.queue))
        CONNECTIONS.labels(name).set(gate.pool.open)
    for view in core.groups.views():
        TERM.labels(view.group).set(view.term)


def observe_request(service, work_class, reply, seconds):
    """Count a request.

    Parameters
    ----------
    service, work_class : str
        Names from the operators' text; unknown ones are counted as one.
    reply : Reply
        Its outcome.
    seconds : float
        How long it took.
    """
    if reply.reason.value == "unknown_name":
        service = work_class = "unknown"
    REQUEST_SECONDS.labels(service, work_class, reply.outcome.value).observe(
        seconds
    )
    if reply.reason:
        REASONS.labels(service, work_class, reply.reason.value).inc()


def render():
    """Return all metrics as bytes for a scrape."""
    return prometheus_client.generate_latest()
