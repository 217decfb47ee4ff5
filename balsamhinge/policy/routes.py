"""Databases that callers name, and the targets behind them."""

import enum

import attrs

__all__ = [
    "Freshness",
    "GroupLimits",
    "Route",
    "RoutingTable",
    "ServingTarget",
    "TargetRole",
]


class TargetRole(enum.StrEnum):
    """What a target takes itself for."""

    PRIMARY = "primary"
    REPLICA = "replica"


class Freshness(enum.StrEnum):
    """What reads of a route may see."""

    LATEST = "latest"
    SESSION = "session"
    AGED = "aged"


@attrs.frozen
class Route:
    """What operators say of one database.

    Parameters
    ----------
    database, group : str
        The name that callers use, and the group that holds the data.
    freshness : Freshness
        What reads may see.
    max_age_s : float
        Greatest age of data in seconds, 0 for none.
    timeout_s : float
        Most seconds for one statement.
    aim_s : float
        Seconds that an operation should take at most.
    priority : int
        0 goes first.
    """

    database: str
    group: str
    freshness: Freshness
    max_age_s: float
    timeout_s: float
    aim_s: float
    priority: int


@attrs.frozen
class GroupLimits:
    """What operators say of one group's targets."""

    group: str
    connections: int


@attrs.frozen
class RoutingTable:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Higher versions replace lower ones.
    routes : dict of str to Route
        By database.
    groups : dict of str to GroupLimits
        By name.
    idle_transaction_s : float
        Seconds after which an idle transaction may be ended.
    """

    version: int = 0
    routes: dict[str, Route] = attrs.Factory(dict)
    groups: dict[str, GroupLimits] = attrs.Factory(dict)
    idle_transaction_s: float = 30.0


@attrs.frozen
class ServingTarget:
    """What a target says of itself in the platform's store.

    Parameters
    ----------
    name, group, address, data_centre : str
        Identity, group, IP:port and place.
    slots : int
        Statements that it runs at once.
    leaving : bool
        Whether it is about to stop.
    role : TargetRole
        What it takes itself for.
    born_ms : int
        Unix milliseconds of its start; 0 if unknown.
    """

    name: str
    group: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    role: TargetRole
    born_ms: int = 0
