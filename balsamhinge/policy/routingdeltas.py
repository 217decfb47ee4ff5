"""What differs between two versions of the configuration."""

import collections
import zlib

import attrs
import msgspec

from balsamhinge.policy import routes

__all__ = [
    "RoutingDelta",
    "RoutingHistory",
    "TableReply",
    "TableRequest",
    "apply_delta",
    "decode_delta",
    "differing_databases",
    "encode_delta",
]

# Versions for which an instance can tell what has changed since: minutes
# of the densest changes seen, one each second. An instance that lacks more
# gets the whole configuration.
MAX_HISTORY_VERSIONS = 64


@attrs.frozen
class RoutingDelta:
    """What turns one version of the configuration into a later one.

    Parameters
    ----------
    base : int
        The version that it starts from; 0 for an empty configuration.
    version : int
        The version that it leads to.
    changed : list of Route
        Routes that are new or differ.
    removed : list of str
        Databases that have no route any more.
    groups : dict of str to GroupLimits
        Those of the later version: they are few.
    idle_transaction_s : float
        That of the later version.
    """

    base: int
    version: int
    changed: list[routes.Route]
    removed: list[str]
    groups: dict[str, routes.GroupLimits]
    idle_transaction_s: float

    @property
    def size(self):
        """Return how many databases it names."""
        return len(self.changed) + len(self.removed)


@attrs.frozen
class TableRequest:
    """Asks an instance for its configuration.

    Parameters
    ----------
    sender : str
        Name of the instance that asks.
    known : int
        The version that it has; 0 for none.
    """

    sender: str
    known: int


@attrs.frozen
class TableReply:
    """What turns the known version into the latest one.

    Parameters
    ----------
    packed : bytes
        A packed `RoutingDelta`; empty if the instance has sent too much
        of late.
    sources : list of str
        Instances that got this version here.
    """

    packed: bytes
    sources: list[str] = attrs.Factory(list)


def encode_delta(change):
    """Return a `RoutingDelta` as bytes; routes resemble each other."""
    return zlib.compress(msgspec.msgpack.encode(change))


def decode_delta(packed):
    """Return the `RoutingDelta` in some bytes.

    Raises
    ------
    ValueError
        If they hold none.
    """
    try:
        return msgspec.msgpack.decode(
            zlib.decompress(packed), type=RoutingDelta
        )
    except (zlib.error, msgspec.DecodeError) as exc:
        raise ValueError(f"no change of routes: {exc}") from exc


def differing_databases(earlier, later):
    """Return the names of the databases in which two tables differ.

    Parameters
    ----------
    earlier, later : RoutingTable
        Two versions.

    Returns
    -------
    set of str
    """
    names = earlier.routes.keys() | later.routes.keys()
    return {
        name
        for name in names
        if earlier.routes.get(name) != later.routes.get(name)
    }


def apply_delta(table, change):
    """Return the `RoutingTable` that a change leads to.

    Parameters
    ----------
    table : RoutingTable
        The version that the change starts from, unless that is 0.
    change : RoutingChange
        What differs.

    Raises
    ------
    ValueError
        If the change starts from another version.
    """
    if change.base not in (0, table.version):
        raise ValueError(f"from {change.base}, not from {table.version}")
    found = dict(table.routes) if change.base else {}
    for database in change.removed:
        found.pop(database, None)
    found.update((route.database, route) for route in change.changed)
    return routes.RoutingTable(
        version=change.version,
        routes=found,
        groups=change.groups,
        idle_transaction_s=change.idle_transaction_s,
    )


class RoutingHistory:
    """Which databases each of the last versions changed."""

    def __init__(self):
        self._steps = collections.deque(maxlen=MAX_HISTORY_VERSIONS)

    def record(self, earlier, later):
        """Record that a table was replaced by a later one."""
        names = differing_databases(earlier, later)
        self._steps.append((earlier.version, names))

    def delta_since(self, table, base):
        """Return the `RoutingDelta` from a version to the present one.

        Parameters
        ----------
        table : RoutingTable
            The present version.
        base : int
            The version to start from.

        Returns
        -------
        RoutingChange
            From an empty configuration if `base` is not known.
        """
        names = set()
        for version, changed in reversed(self._steps):
            names |= changed
            if version == base:
                break
        else:
            base = 0
        present = table.routes
        names = sorted(names if base else present)
        return RoutingDelta(
            base=base,
            version=table.version,
            changed=[present[name] for name in names if name in present],
            removed=[name for name in names if name not in present],
            groups=table.groups,
            idle_transaction_s=table.idle_transaction_s,
        )
