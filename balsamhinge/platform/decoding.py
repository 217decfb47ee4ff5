"""Decodes objects of the platform into policy types."""

import ipaddress

import logbook

from balsamhinge.logs import event
from balsamhinge.policy import routes

__all__ = ["routing_table", "serving_target"]

MS_PER_S = 1000.0
FRESHNESS_OF_ROUTE_TYPE = {
    "primary": routes.Freshness.LATEST,
    "read_your_writes": routes.Freshness.SESSION,
    "bounded_staleness": routes.Freshness.AGED,
}
# Default of tx_idle_ms; longer than any transaction of the users' two
# classes of transactions.
DEFAULT_IDLE_TRANSACTION_MS = 3000
# Default of timeout_ms and target_latency_ms: the lowest value of the routes
# in use.
DEFAULT_TIMEOUT_MS = 800
# Name of the only object that holds the configuration in force.
CONFIGURATION_NAME = "main"
# Exceptions raised for a field that is missing or has the wrong type.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
# Limits the invalid routes that one log line names.
MAX_LOGGED_ROUTES = 3

log = logbook.Logger(__name__)


def routing_table(name, spec):
    """Decode a configuration object into a `RoutingTable`.

    Routes that cannot be decoded are left out and logged, so that the other
    routes are in force. Returns None for an object of another name and for a
    configuration that cannot be decoded as a whole.
    """
    if name != CONFIGURATION_NAME:
        event(log.warning, "configuration_ignored", name=name)
        return None
    decoded, unreadable = {}, []
    try:
        for index, item in enumerate(spec["routes"]):
            try:
                route = _decode_route(item)
                decoded[route.database] = route
            except DECODE_ERRORS as exc:
                unreadable.append(f"route {index}: {exc!r}")
        groups = [
            routes.GroupLimits(str(s["name"]), int(s["max_conns"]))
            for s in spec["services"]
        ]
        limits = spec.get("limits") or {}
        table = routes.RoutingTable(
            version=int(spec["version"]),
            routes=decoded,
            groups={group.group: group for group in groups},
            idle_transaction_s=_number_or_default(
                limits, "tx_idle_ms", DEFAULT_IDLE_TRANSACTION_MS
            )
            / MS_PER_S,
        )
    except DECODE_ERRORS as exc:
        event(log.error, "configuration_unreadable", name=name, error=exc)
        return None
    if unreadable:
        event(
            log.error,
            "routes_unreadable",
            version=table.version,
            count=len(unreadable),
            findings="; ".join(unreadable[:MAX_LOGGED_ROUTES]),
        )
    return table


def _number_or_default(item, field, default):
    """Return a field, or the default if it is missing or null."""
    value = item.get(field)
    return default if value is None else value


def _decode_route(item):
    # The freshness of reads depends on route_type, not on the route's name.
    return routes.Route(
        database=str(item["database"]),
        group=str(item["service_name"]),
        freshness=FRESHNESS_OF_ROUTE_TYPE[item["route_type"]],
        max_age_s=_number_or_default(item, "max_staleness_ms", 0) / MS_PER_S,
        timeout_s=_number_or_default(item, "timeout_ms", DEFAULT_TIMEOUT_MS)
        / MS_PER_S,
        aim_s=_number_or_default(item, "target_latency_ms", DEFAULT_TIMEOUT_MS)
        / MS_PER_S,
        priority=int(_number_or_default(item, "priority", 0)),
    )


def serving_target(name, spec):
    """Decode a target's entry into a `ServingTarget`; None if invalid."""
    try:
        return _decode_target(name, spec)
    except DECODE_ERRORS as exc:
        event(log.debug, "target_entry_unreadable", name=name, error=exc)
        return None


def _decode_target(name, spec):
    # db_role is the role that the target reports for itself; it does not say
    # which target is the group's primary.
    role, state = spec["db_role"], spec["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    host, _, port = spec["address"].rpartition(":")
    ipaddress.ip_address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"port out of range: {port!r}")
    slots = spec["slots"]
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
        raise ValueError(f"slots must be a positive integer: {slots!r}")
    for field in ("service_name", "zone"):
        if not isinstance(spec[field], str):
            raise ValueError(f"{field} must be a string")
    born = spec.get("born", 0)
    return routes.ServingTarget(
        name=name,
        group=spec["service_name"],
        address=spec["address"],
        data_centre=spec["zone"],
        slots=slots,
        leaving=state == "draining",
        role=routes.TargetRole(role),
        born_ms=born if isinstance(born, int) else 0,
    )
