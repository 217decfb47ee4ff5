"""Metrics in the text format of Prometheus."""

import prometheus_client

from balsamhinge import customermetrics
from balsamhinge import customerstatus

__all__ = [
    "observe_fleet",
    "observe_priority",
    "observe_request",
    "observe_state",
    "observe_statement",
    "observe_store_call",
    "render",
]

LATENCY_BUCKETS_S = (
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

REQUEST_DURATION_S = prometheus_client.Histogram(
    "balsamhinge_request_seconds",
    "Time from a caller's request to its answer.",
    ["service", "work_class", "outcome"],
    buckets=LATENCY_BUCKETS_S,
)
REFUSED_REQUESTS = prometheus_client.Counter(
    "balsamhinge_refused",
    "Requests that were not run or whose outcome is unknown.",
    ["service", "work_class", "reason"],
)


CONFIGURATION_VERSION = prometheus_client.Gauge(
    "balsamhinge_configuration_version",
    "Version of the configuration in force.",
)
QUEUED_REQUESTS = prometheus_client.Gauge(
    "balsamhinge_queued", "Requests that wait before a target.", ["target"]
)
WORK_CONNECTIONS = prometheus_client.Gauge(
    "balsamhinge_connections", "Connections for work.", ["target"]
)
GROUP_TERM = prometheus_client.Gauge(
    "balsamhinge_term", "Term of a group's primary.", ["group"]
)


STATEMENT_DURATION_S = prometheus_client.Histogram(
    "balsamhinge_statement_seconds",
    "Time from a session's statement to its answer.",
    ["database", "outcome"],
    buckets=LATENCY_BUCKETS_S,
)
PRIORITY_DURATION_S = prometheus_client.Histogram(
    "balsamhinge_priority_statement_seconds",
    "Time from a session's statement to its answer, by route priority.",
    ["priority"],
    buckets=LATENCY_BUCKETS_S,
)
# Priorities from this one on share a label, which bounds their number.
MAX_LABELLED_PRIORITY = 10
CONFIGURATION_LEASE_AGE_S = prometheus_client.Gauge(
    "balsamhinge_configuration_lease_age_seconds",
    "Age of the proof that the configuration in force is current; -1 "
    "without a proof, and where none is needed.",
)
CONFIGURATION_LEASE_VALID = prometheus_client.Gauge(
    "balsamhinge_configuration_lease_valid",
    "Whether keys may be accepted.",
)
STORE_CALLS = prometheus_client.Counter(
    "balsamhinge_store_calls",
    "Calls to the platform's store.",
    ["kind", "call", "outcome"],
)
KNOWLEDGE_AGE_S = prometheus_client.Gauge(
    "balsamhinge_knowledge_age_seconds",
    "Age of the reading that leases of primaries rest on.",
)
LEASES_VALID = prometheus_client.Gauge(
    "balsamhinge_leases_valid", "Whether primaries may be used."
)
ROUTES_UNANSWERED_S = prometheus_client.Gauge(
    "balsamhinge_routes_unanswered_seconds",
    "Time since the store last answered a read or a watch of the routes; 0"
    " at an instance that does not follow the store.",
)
STORE_INCARNATION = prometheus_client.Gauge(
    "balsamhinge_store_incarnation",
    "Restores of the platform's store from an older copy, as known here.",
)
OUTDATED_GROUPS = prometheus_client.Gauge(
    "balsamhinge_outdated_groups",
    "Groups whose record the store has not held since its last restore.",
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
TARGET_CONNECTIONS = prometheus_client.Gauge(
    "balsamhinge_target_connections", "Open connections.", ["target"]
)
OUTSTANDING_STATEMENTS = prometheus_client.Gauge(
    "balsamhinge_target_outstanding",
    "Statements without an answer yet.",
    ["target"],
)
SAMPLE_AGE_S = prometheus_client.Gauge(
    "balsamhinge_sample_age_seconds",
    "Age of the latest position of a group's primary.",
    ["group"],
)
GROUP_EPOCH = prometheus_client.Gauge(
    "balsamhinge_epoch", "Changes of a group's primary.", ["group"]
)
CUSTOMERS = customermetrics.CustomerCollector()
prometheus_client.REGISTRY.register(CUSTOMERS)


def observe_statement(database, outcome, seconds):
    """Record a session statement and its latency.

    Parameters
    ----------
    database : str
        Database named by the caller.
    outcome : str
        "done", or the value of the `Problem`.
    seconds : float
        Time from the statement to its answer.
    """
    STATEMENT_DURATION_S.labels(database, outcome).observe(seconds)


def observe_priority(priority, seconds):
    """Record the latency of a session statement by its route's priority."""
    label = str(min(priority, MAX_LABELLED_PRIORITY))
    PRIORITY_DURATION_S.labels(label).observe(seconds)


def observe_store_call(kind, call, outcome):
    """Count a call to the platform's store by its outcome."""
    STORE_CALLS.labels(kind, call, outcome).inc()


def observe_fleet(fleet):
    """Set the gauges from the state of a `FleetInstance`."""
    now = fleet.dependencies.boot_time()
    leaders = fleet.leaders
    KNOWLEDGE_AGE_S.set(leaders.book.read_age_s(now))
    valid_until = leaders.book.valid_until(leaders.other_names)
    LEASES_VALID.set(now < valid_until)
    ROUTES_UNANSWERED_S.set(fleet.directory.routes.unanswered_s())
    STORE_INCARNATION.set(fleet.store_health.incarnation)
    OUTDATED_GROUPS.set(len(leaders.outdated_groups))
    DUTY_HELD.set(fleet.duty.held)
    ISOLATED.set(fleet.isolated)
    INSTANCES.set(len(leaders.members))
    CONFIGURATION_VERSION.set(fleet.directory.table.version)
    observe_customers(fleet)
    for pool in fleet.target_pools.pools():
        name = pool.target.name
        TARGET_CONNECTIONS.labels(name).set(pool.open)
        OUTSTANDING_STATEMENTS.labels(name).set(
            len(fleet.health.of(name).outstanding)
        )
    for group, leadership in leaders.book.leaderships.items():
        GROUP_EPOCH.labels(group).set(leadership.epoch)
        SAMPLE_AGE_S.labels(group).set(leaders.sample_age_s(group))


def observe_customers(fleet):
    """Set the metrics of customers, targets' queues and the lease."""
    CUSTOMERS.update(
        fleet.customer_usage.take_increments(),
        customerstatus.open_connections(fleet),
        customerstatus.target_rows(fleet),
    )
    lease = customerstatus.configuration_lease(fleet)
    age_s = lease["age_s"]
    CONFIGURATION_LEASE_AGE_S.set(-1 if age_s is None else age_s)
    CONFIGURATION_LEASE_VALID.set(lease["valid"] is not False)


def observe_state(core):
    """Set the gauges from the state of a `Core`.

    Parameters
    ----------
    core : Core
        Controllers of the instance.
    """
    CONFIGURATION_VERSION.set(core.configuration.version)
    for name, limiter in core.limiters.limiters.items():
        QUEUED_REQUESTS.labels(name).set(len(limiter.queue))
        WORK_CONNECTIONS.labels(name).set(limiter.pool.open)
    for view in core.groups.views():
        GROUP_TERM.labels(view.group).set(view.term)


def observe_request(service, work_class, reply, seconds):
    """Record a request, its latency and the reason of a refusal.

    Parameters
    ----------
    service, work_class : str
        Names as given by the caller. Names that the configuration does
        not define share the label "unknown", which bounds the number of
        label values.
    reply : Reply
        Answer to the caller.
    seconds : float
        Time from the request to the answer.
    """
    if reply.reason.value == "unknown_name":
        service = work_class = "unknown"
    REQUEST_DURATION_S.labels(
        service, work_class, reply.outcome.value
    ).observe(seconds)
    if reply.reason:
        REFUSED_REQUESTS.labels(service, work_class, reply.reason.value).inc()


def render():
    """Return all metrics in the Prometheus text format, as bytes."""
    return prometheus_client.generate_latest()
