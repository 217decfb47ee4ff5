"""Deltas between two versions of the routing table."""

import collections
import zlib

import attrs
import msgspec

from balsamhinge.policy import customers as customers_module
from balsamhinge.policy import routes

__all__ = [
    "RoutingDelta",
    "RoutingHistory",
    "TableReply",
    "TableRequest",
    "apply_delta",
    "decode_delta",
    "differing_customers",
    "differing_databases",
    "encode_delta",
]

# Covers about a minute of the highest rate of changes seen, one per second.
# An instance that lacks more versions gets the whole configuration.
MAX_HISTORY_VERSIONS = 64


@attrs.frozen
class RoutingDelta:
    """Difference between one version of the configuration and a later one.

    Parameters
    ----------
    base : int
        Version to apply the delta to; 0 for an empty configuration.
    version : int
        Version that results.
    changed : list of Route
        Routes that are new or differ.
    removed : list of str
        Databases whose route is removed.
    groups : dict of str to GroupLimits
        All group limits of the later version, as they are few.
    idle_transaction_s : float
        Value of the later version.
    customers : dict of str to Customer
        New and differing customers of the later version, by name.
    removed_customers : list of str
        Customers that the later version no longer has.
    """

    base: int
    version: int
    changed: list[routes.Route]
    removed: list[str]
    groups: dict[str, routes.GroupLimits]
    idle_transaction_s: float
    customers: dict[str, customers_module.Customer] = attrs.Factory(dict)
    removed_customers: list[str] = attrs.Factory(list)

    @property
    def size(self):
        """Number of databases and customers that the delta names."""
        return (
            len(self.changed)
            + len(self.removed)
            + len(self.customers)
            + len(self.removed_customers)
        )


@attrs.frozen
class TableRequest:
    """Request to an instance for its configuration.

    Parameters
    ----------
    sender : str
        Name of the requesting instance.
    known : int
        Version that it has; 0 for none.
    """

    sender: str
    known: int


@attrs.frozen
class TableReply:
    """Reply with the delta from the requester's version to the latest.

    Parameters
    ----------
    packed : bytes
        Encoded `RoutingDelta`; empty if the instance has used up its byte
        budget.
    sources : list of str
        Instances that have already fetched this version here.
    """

    packed: bytes
    sources: list[str] = attrs.Factory(list)


def encode_delta(delta):
    """Return a `RoutingDelta` as bytes, compressed as routes are alike."""
    return zlib.compress(msgspec.msgpack.encode(delta))


def decode_delta(packed):
    """Return the `RoutingDelta` that `encode_delta` has encoded.

    Raises
    ------
    ValueError
        If the bytes are malformed.
    """
    try:
        return msgspec.msgpack.decode(
            zlib.decompress(packed), type=RoutingDelta
        )
    except (zlib.error, msgspec.DecodeError) as exc:
        raise ValueError(f"malformed routing delta: {exc}") from exc


def differing_databases(earlier, later):
    """Return the names of the databases whose routes differ.

    Parameters
    ----------
    earlier, later : RoutingTable
        Two versions of the routing table.

    Returns
    -------
    set of str
    """
    return _differing_keys(earlier.routes, later.routes)


def differing_customers(earlier, later):
    """Return the names of the customers that differ.

    Parameters
    ----------
    earlier, later : RoutingTable
        Two versions of the routing table.

    Returns
    -------
    set of str
    """
    return _differing_keys(earlier.customers, later.customers)


def _differing_keys(earlier, later):
    """Return the keys whose values differ between two dicts."""
    return {
        key
        for key in earlier.keys() | later.keys()
        if earlier.get(key) != later.get(key)
    }


def apply_delta(table, delta):
    """Return the `RoutingTable` that results from a delta.

    Parameters
    ----------
    table : RoutingTable
        Version to apply the delta to; ignored if its base is 0.
    delta : RoutingDelta
        Delta to apply.

    Raises
    ------
    ValueError
        If the delta is for another version.
    """
    if delta.base not in (0, table.version):
        raise ValueError(
            f"delta is for version {delta.base}, not {table.version}"
        )
    new_routes = dict(table.routes) if delta.base else {}
    for database in delta.removed:
        new_routes.pop(database, None)
    new_routes.update((route.database, route) for route in delta.changed)
    new_customers = dict(table.customers) if delta.base else {}
    for name in delta.removed_customers:
        new_customers.pop(name, None)
    return routes.RoutingTable(
        version=delta.version,
        routes=new_routes,
        groups=delta.groups,
        idle_transaction_s=delta.idle_transaction_s,
        customers=new_customers | delta.customers,
    )


class RoutingHistory:
    """Databases and customers that changed in each of the last versions."""

    def __init__(self):
        self._steps = collections.deque(maxlen=MAX_HISTORY_VERSIONS)

    def record(self, earlier, later):
        """Record that one routing table was replaced by a later one."""
        self._steps.append(
            (
                earlier.version,
                differing_databases(earlier, later),
                differing_customers(earlier, later),
            )
        )

    def delta_since(self, table, base):
        """Return the `RoutingDelta` from a version to the current one.

        Parameters
        ----------
        table : RoutingTable
            The current version.
        base : int
            Version to start from.

        Returns
        -------
        RoutingDelta
            Starts from an empty configuration if `base` is too old or
            unknown.
        """
        databases, names = set(), set()
        for version, changed_databases, changed_customers in reversed(
            self._steps
        ):
            databases |= changed_databases
            names |= changed_customers
            if version == base:
                break
        else:
            base = 0
        current, customers = table.routes, table.customers
        databases = sorted(databases if base else current)
        names = sorted(names if base else customers)
        return RoutingDelta(
            base=base,
            version=table.version,
            changed=[current[name] for name in databases if name in current],
            removed=[name for name in databases if name not in current],
            groups=table.groups,
            idle_transaction_s=table.idle_transaction_s,
            customers={
                name: customers[name] for name in names if name in customers
            },
            removed_customers=[
                name for name in names if name not in customers
            ],
        )
