"""Reads the platform's objects into the product's types."""

import ipaddress

import logbook

from balsamhinge.logs import event
from balsamhinge.policy import routes

__all__ = ["routing_table", "serving_target"]

MILLISECONDS = 1000.0
FRESHNESS = {
    "primary": routes.Freshness.LATEST,
    "read_your_writes": routes.Freshness.SESSION,
    "bounded_staleness": routes.Freshness.AGED,
}
# Used where a configuration leaves the field out; longer than any
# transaction of the users' two classes.
IDLE_TRANSACTION_MS = 3000
# Used where a route leaves its bound out: the least of today's routes.
TIMEOUT_MS = 800
# The one object that holds the configuration in force.
CONFIGURATION = "main"
# What another writer's text raises where it is read as a number or a list.
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)
# Findings that one log line names at most.
MOST_FINDINGS = 3

log = logbook.Logger(__name__)


def routing_table(name, spec):
    """Return the `RoutingTable` in a configuration object, or None.

    A route that cannot be read is left out, so that the others are in
    force; all of them are named in one line.
    """
    if name != CONFIGURATION:
        event(log.warning, "configuration_ignored", name=name)
        return None
    found, unreadable = {}, []
    try:
        for place, item in enumerate(spec["routes"]):
            try:
                route = _route(item)
                found[route.database] = route
            except UNREADABLE as exc:
                unreadable.append(f"route {place}: {exc!r}")
        groups = [
            routes.GroupLimits(str(s["name"]), int(s["max_conns"]))
            for s in spec["services"]
        ]
        limits = spec.get("limits") or {}
        table = routes.RoutingTable(
            version=int(spec["version"]),
            routes=found,
            groups={group.group: group for group in groups},
            idle_transaction_s=_number(
                limits, "tx_idle_ms", IDLE_TRANSACTION_MS
            )
            / MILLISECONDS,
        )
    except UNREADABLE as exc:
        event(log.error, "configuration_unreadable", name=name, error=exc)
        return None
    if unreadable:
        event(
            log.error,
            "routes_unreadable",
            version=table.version,
            count=len(unreadable),
            findings="; ".join(unreadable[:MOST_FINDINGS]),
        )
    return table


def _number(item, field, default):
    """Return a field that may be left out, or be there without a value."""
    value = item.get(field)
    return default if value is None else value


def _route(item):
    # The wire's route_type says what reads may see; its name does not.
    return routes.Route(
        database=str(item["database"]),
        group=str(item["service_name"]),
        freshness=FRESHNESS[item["route_type"]],
        max_age_s=_number(item, "max_staleness_ms", 0) / MILLISECONDS,
        timeout_s=_number(item, "timeout_ms", TIMEOUT_MS) / MILLISECONDS,
        aim_s=_number(item, "target_latency_ms", TIMEOUT_MS) / MILLISECONDS,
        priority=int(_number(item, "priority", 0)),
    )


def serving_target(name, spec):
    """Return the `ServingTarget` that an entry describes, or None."""
    try:
        return _target(name, spec)
    except UNREADABLE as exc:
        event(log.debug, "target_entry_unreadable", name=name, error=exc)
        return None


def _target(name, spec):
    # db_role is what the target takes itself for, not who leads.
    role, state = spec["db_role"], spec["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    host, _, port = spec["address"].rpartition(":")
    ipaddress.ip_address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"no port: {port!r}")
    slots = spec["slots"]
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
        raise ValueError(f"no slots: {slots!r}")
    for field in ("service_name", "zone"):
        if not isinstance(spec[field], str):
            raise ValueError(f"{field} is no text")
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
