"""Routing table: databases that callers name, and their targets."""

import enum

import attrs

from balsamhinge.policy import customers as customers_module

__all__ = [
    "Freshness",
    "GroupLimits",
    "Route",
    "RoutingTable",
    "ServingTarget",
    "TargetRole",
]


class TargetRole(enum.StrEnum):
    """Role that a target reports of itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Freshness(enum.StrEnum):
    """Freshness that reads of a route require."""

    LATEST = "latest"
    SESSION = "session"
    AGED = "aged"


@attrs.frozen
class Route:
    """Configuration of one database.

    Parameters
    ----------
    database, group : str
        The name that callers use, and the group that holds the data.
    freshness : Freshness
        Freshness that reads require.
    max_age_s : float
        Maximum age of the data in seconds, 0 for none.
    timeout_s : float
        Timeout of one statement in seconds.
    aim_s : float
        Target response time of an operation in seconds.
    priority : int
        Priority of the route; 0 goes first.
    public : bool
        Whether callers need no key.
    """

    database: str
    group: str
    freshness: Freshness
    max_age_s: float
    timeout_s: float
    aim_s: float
    priority: int
    public: bool = False


@attrs.frozen
class GroupLimits:
    """Limits and guarantees of a group's targets.

    Parameters
    ----------
    group : str
        The group.
    connections : int
        Number of connections that each target accepts.
    synchronous_replicas : int
        Replicas that have received a commit when it is acknowledged.
    """

    group: str
    connections: int
    synchronous_replicas: int = 0


@attrs.frozen
class RoutingTable:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Higher versions replace lower ones.
    routes : dict of str to Route
        Routes by database.
    groups : dict of str to GroupLimits
        Limits by name of the group.
    idle_transaction_s : float
        Seconds after which an idle transaction may be aborted.
    customers : dict of str to Customer
        Customers by name; empty in a deployment without customers, where
        callers need no key.
    """

    version: int = 0
    routes: dict[str, Route] = attrs.Factory(dict)
    groups: dict[str, GroupLimits] = attrs.Factory(dict)
    idle_transaction_s: float = 30.0
    customers: dict[str, customers_module.Customer] = attrs.Factory(dict)


@attrs.frozen
class ServingTarget:
    """Entry that a target writes to the platform's store.

    Parameters
    ----------
    name, group, address, data_centre : str
        Name, group, address as IP:port, and data centre.
    slots : int
        Number of statements that it runs at once.
    leaving : bool
        Whether it is about to stop.
    role : TargetRole
        Role that it reports.
    born_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    """

    name: str
    group: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    role: TargetRole
    born_ms: int = 0
