"""Metrics in the text format of Prometheus."""

import prometheus_client

__all__ = [
    "observe_fleet",
    "observe_request",
    "observe_state",
    "observe_statement",
    "observe_store_call",
    "render",
]

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


STATEMENT_SECONDS = prometheus_client.Histogram(
    "balsamhinge_statement_seconds",
    "Time from a session's statement to its answer.",
    ["database", "outcome"],
    buckets=BUCKETS_S,
)
STORE_CALLS = prometheus_client.Counter(
    "balsamhinge_store_calls",
    "Calls to the platform's store.",
    ["kind", "call", "outcome"],
)
KNOWLEDGE_AGE = prometheus_client.Gauge(
    "balsamhinge_knowledge_age_seconds",
    "Age of the reading that leases of primaries rest on.",
)
LEASES_VALID = prometheus_client.Gauge(
    "balsamhinge_leases_valid", "Whether primaries may be used."
)
DUTY_HELD = prometheus_client.Gauge(
    "balsamhinge_duty_held", "Whether this instance changes primaries."
)
ISOLATED = prometheus_client.Gauge(
    "balsamhinge_isolated", "Whether no other data centre is reached."
)
INSTANCES = prometheus_client.Gauge(
    "balsamhinge_instances", "Registered instances."
)
OPEN = prometheus_client.Gauge(
    "balsamhinge_target_connections", "Open connections.", ["target"]
)
OUTSTANDING = prometheus_client.Gauge(
    "balsamhinge_target_outstanding",
    "Statements without an answer yet.",
    ["target"],
)
SAMPLE_AGE = prometheus_client.Gauge(
    "balsamhinge_sample_age_seconds",
    "Age of the latest position of a group's primary.",
    ["group"],
)
EPOCH = prometheus_client.Gauge(
    "balsamhinge_epoch", "Changes of a group's primary.", ["group"]
)


def observe_statement(database, outcome, seconds):
    """Count a session's statement.

    Parameters
    ----------
    database : str
        What the caller named.
    outcome : str
        "done", or the problem's name.
    seconds : float
        How long it took.
    """
    STATEMENT_SECONDS.labels(database, outcome).observe(seconds)


def observe_store_call(kind, call, outcome):
    """Count a call to the platform's store."""
    STORE_CALLS.labels(kind, call, outcome).inc()


def observe_fleet(fleet):
    """Set the gauges to the state of an instance of a fleet."""
    now = fleet.links.boot_time()
    leaders = fleet.leaders
    KNOWLEDGE_AGE.set(leaders.book.age_s(now))
    valid_until = leaders.book.valid_until(leaders.other_names)
    LEASES_VALID.set(now < valid_until)
    DUTY_HELD.set(fleet.duty.held)
    ISOLATED.set(fleet.isolated)
    INSTANCES.set(len(leaders.member_records))
    VERSION.set(fleet.directory.table.version)
    for pool in fleet.target_pools.pools():
        name = pool.target.name
        OPEN.labels(name).set(pool.open)
        OUTSTANDING.labels(name).set(len(fleet.health.of(name).outstanding))
    for group, known in leaders.book.leaderships.items():
        EPOCH.labels(group).set(known.epoch)
        SAMPLE_AGE.labels(group).set(leaders.sample_age_s(group))


def observe_state(core):
    """Set the gauges to an instance's state.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """
    VERSION.set(core.configuration.version)
    for name, limiter in core.limiters.limiters.items():
        QUEUED.labels(name).set(len(limiter.queue))
        CONNECTIONS.labels(name).set(limiter.pool.open)
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
