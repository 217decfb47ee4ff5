"""Decodes objects of the platform into policy types."""

import math

import logbook

from balsamhinge.logs import event
from balsamhinge.platform import fields
from balsamhinge.policy import addresses
from balsamhinge.policy import customers
from balsamhinge.policy import routes

__all__ = ["ROUTING_TABLE_PARTS", "routing_table", "serving_target"]

MS_PER_S = fields.MS_PER_S
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
# Limits the invalid routes, services or customers that one log line names.
MAX_LOGGED_ENTRIES = 3
# Longer names and keys than these do not occur; a caller's message may have
# 1 MB.
MAX_NAME_CHARS = 128
# No machine runs more statements at once.
MAX_SLOTS = 65536
MAX_CONNECTIONS = 1 << 31
MAX_SYNCHRONOUS_REPLICAS = 1 << 31
MAX_PRIORITY = 1 << 31
TARGET_STATES = ("ready", "draining")

# Values of a configuration that may be unreadable on their own, see
# `bodies.decode`.
ROUTING_TABLE_PARTS = {
    "routes": [{}],
    "services": [{}],
    "tenants": [{"api_keys": [None]}],
    "limits": {},
}

log = logbook.Logger(__name__)


def routing_table(name, spec):
    """Decode a configuration object into a `RoutingTable`.

    Routes, services and customers that cannot be decoded are left out and
    logged, so that the others are in force; an unreadable limit has its
    default. Returns None for an object of another name and for a
    configuration that cannot be decoded as a whole. One whose customers are
    all invalid is of that kind: without customers, callers would need no key.
    """
    if name != CONFIGURATION_NAME:
        event(log.warning, "configuration_ignored", name=fields.shown(name))
        return None
    try:
        table, findings = _decode_table(spec)
    except fields.InvalidField as exc:
        event(log.error, "configuration_unreadable", name=name, error=exc)
        return None
    for kind, found in findings.items():
        _log_unreadable(f"{kind}_unreadable", table.version, found)
    return table


def _decode_table(spec):
    """Return a `RoutingTable`, and by kind what is left out of it."""
    decoded, invalid_routes = _decode_list(
        fields.field(spec, "routes"), "route", _decode_route
    )
    groups, invalid_services = _decode_list(
        fields.field(spec, "services"), "service", _decode_service
    )
    known, invalid_customers = _decode_customers(spec.get("tenants"))
    limits, invalid_limits = _decode_limits(spec.get("limits"))
    table = routes.RoutingTable(
        version=fields.integer(spec, "version", 0),
        routes={route.database: route for route in decoded},
        groups={group.group: group for group in groups},
        idle_transaction_s=limits,
        customers=known,
    )
    return table, {
        "routes": invalid_routes,
        "services": invalid_services,
        "limits": invalid_limits,
        "customers": invalid_customers,
    }


def _log_unreadable(name, version, findings):
    """Log the entries that have been left out of a configuration, if any."""
    if findings:
        event(
            log.error,
            name,
            version=version,
            count=len(findings),
            findings="; ".join(findings[:MAX_LOGGED_ENTRIES]),
        )


def _decode_list(items, kind, decode):
    """Return the values of the valid entries, and what others lack."""
    if not isinstance(items, list):
        raise fields.InvalidField(f"the {kind}s are no list")
    values, findings = [], []
    for index, item in enumerate(items):
        try:
            values.append(decode(item))
        except fields.InvalidField as exc:
            findings.append(f"{kind} {index}: {exc}")
    return values, findings


def _decode_route(item):
    # The freshness of reads depends on route_type, not on the route's name.
    route_type = fields.word(item, "route_type")
    if route_type not in FRESHNESS_OF_ROUTE_TYPE:
        raise fields.InvalidField("route_type is unknown")
    return routes.Route(
        database=fields.word(item, "database"),
        group=fields.word(item, "service_name"),
        freshness=FRESHNESS_OF_ROUTE_TYPE[route_type],
        max_age_s=fields.seconds(item, "max_staleness_ms", 0),
        timeout_s=fields.seconds(item, "timeout_ms", DEFAULT_TIMEOUT_MS),
        aim_s=fields.seconds(item, "target_latency_ms", DEFAULT_TIMEOUT_MS),
        priority=_decode_priority(item),
        public=item.get("public") is True,
    )


def _decode_priority(item):
    return fields.integer(item, "priority", -MAX_PRIORITY, MAX_PRIORITY, 0)


def _decode_service(item):
    return routes.GroupLimits(
        fields.word(item, "name"),
        fields.integer(item, "max_conns", 0, MAX_CONNECTIONS),
        fields.integer(item, "sync_replicas", 0, MAX_SYNCHRONOUS_REPLICAS, 0),
    )


def _decode_limits(item):
    """Return the limit of idle transactions in seconds, and any findings."""
    default_s = DEFAULT_IDLE_TRANSACTION_MS / MS_PER_S
    if item is None:
        return default_s, []
    try:
        return fields.seconds(
            item, "tx_idle_ms", DEFAULT_IDLE_TRANSACTION_MS
        ), []
    except fields.InvalidField as exc:
        return default_s, [str(exc)]


def _decode_customers(items):
    """Decode the customers of a configuration.

    Parameters
    ----------
    items : list or None
        The entries; None in a configuration without customers.

    Returns
    -------
    dict of str to Customer
        The valid ones, by name. Of two with the same name the first one.
    list of str
        What is wrong with entries or keys that are left out. These texts
        never contain a key.

    Raises
    ------
    InvalidField
        If there are entries and none of them is valid.
    """
    if items is None:
        return {}, []
    decoded, findings = _decode_list(items, "customer", _decode_customer)
    known = {}
    for customer, dropped_keys in decoded:
        if customer.name in known:
            findings.append(f"customer {customer.name} is listed twice")
            continue
        known[customer.name] = customer
        if dropped_keys:
            findings.append(
                f"{dropped_keys} keys of {customer.name} are invalid"
            )
    if items and not known:
        raise fields.InvalidField(f"no valid customer: {findings[0]}")
    return known, findings


def _decode_customer(item):
    """Return a `Customer` and the number of its keys that are invalid."""
    name = fields.word(item, "name", MAX_NAME_CHARS)
    keys = fields.field(item, "api_keys")
    if not isinstance(keys, list):
        raise fields.InvalidField(f"the keys of {name} are no list")
    valid_keys = [
        key for key in keys if fields.is_word(key, customers.MAX_KEY_CHARS)
    ]
    return (
        customers.Customer(
            name=name,
            key_digests=tuple(map(customers.digest_key, valid_keys)),
            priority=_decode_priority(item),
            rate_per_s=fields.number(item, "rate_per_s", math.inf),
            burst=fields.number(item, "burst", 0.0),
        ),
        len(keys) - len(valid_keys),
    )


def serving_target(name, spec):
    """Decode a target's entry into a `ServingTarget`; None if invalid."""
    try:
        return _decode_target(name, spec)
    except fields.InvalidField as exc:
        event(
            log.warning,
            "target_entry_unreadable",
            name=fields.shown(name),
            error=exc,
        )
        return None


def _decode_target(name, spec):
    # Name and group are sent to the target as words of a message.
    if not fields.is_word(name, MAX_NAME_CHARS):
        raise fields.InvalidField("the name is no word")
    # db_role is the role that the target reports for itself; it does not say
    # which target is the group's primary.
    role = fields.word(spec, "db_role")
    if role not in tuple(routes.TargetRole):
        raise fields.InvalidField("db_role is unknown")
    state = fields.word(spec, "state")
    if state not in TARGET_STATES:
        raise fields.InvalidField("state is unknown")
    return routes.ServingTarget(
        name=name,
        group=fields.word(spec, "service_name"),
        address=_decode_address(spec),
        data_centre=fields.word(spec, "zone"),
        slots=fields.integer(spec, "slots", 1, MAX_SLOTS),
        leaving=state == "draining",
        role=routes.TargetRole(role),
        born_ms=fields.integer(spec, "born", 0, default=0),
    )


def _decode_address(spec):
    """Return an address as IP:port that a connection can be opened to."""
    text = fields.word(spec, "address")
    if not addresses.is_endpoint(text):
        raise fields.InvalidField("address is no IP:port")
    return text
