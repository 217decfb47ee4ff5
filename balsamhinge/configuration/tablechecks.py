"""Checks of a configuration of the fleet before it comes into force."""

import collections

import attrs

from balsamhinge.configuration import tabledocuments
from balsamhinge.policy import routes as routes_module

__all__ = ["Capacity", "check_document"]

# A bucket that holds less than one token grants no operation at once.
MIN_BURST = 1.0
MS_PER_S = 1000.0

Problem = tabledocuments.Problem


@attrs.frozen
class Capacity:
    """What all targets together can run.

    Parameters
    ----------
    slots : int
        Statements that all targets together run at once.
    statement_s : float
        Mean time of one statement in seconds.
    """

    slots: int
    statement_s: float

    @property
    def operations_per_s(self):
        """Return the operations of one statement that fit in a second."""
        return self.slots / self.statement_s


def check_document(document, capacity=None):
    """Return the problems of a configuration.

    Parameters
    ----------
    document : Document
        The configuration.
    capacity : Capacity, optional
        Compared with the sum of the customers' limits.

    Returns
    -------
    list of Problem
        In the order of the checks: names, routes, groups, customers, keys.
    """
    return [
        *_check_unique(document.routes, "database"),
        *_check_unique(document.groups, "group"),
        *_check_unique(document.customers, "name"),
        *_check_routes(document),
        *_check_groups(document),
        *_check_customers(document),
        *_check_keys(document),
        *_check_sum_of_limits(document, capacity),
    ]


def _check_unique(entries, attribute):
    """Report entries that an entry of the same name replaces."""
    first_paths = {}
    for entry in entries:
        name = getattr(entry.value, attribute)
        first = first_paths.setdefault(name, entry.path)
        if first != entry.path:
            yield Problem.error(
                entry.path_of(attribute), f"{name!r} is named by {first} too"
            )


def _check_routes(document):
    group_names = {entry.value.group for entry in document.groups}
    for entry in document.routes:
        route = entry.value
        if route.group not in group_names:
            yield Problem.error(
                entry.path_of("group"),
                f"{route.group!r} does not exist, so requests of "
                f"{route.database!r} cannot be served",
            )
        yield from _check_route_times(entry)
    needing_key = any(not entry.value.public for entry in document.routes)
    if document.customers and document.routes and not needing_key:
        yield Problem.warning(
            "", "every route is public, so no key is ever needed"
        )


def _check_route_times(entry):
    route = entry.value
    for attribute in ("timeout_s", "aim_s"):
        if getattr(route, attribute) <= 0:
            yield Problem.error(entry.path_of(attribute), "is not above 0")
    for attribute in ("max_age_s", "priority"):
        if getattr(route, attribute) < 0:
            yield Problem.error(entry.path_of(attribute), "is below 0")
    if route.timeout_s < route.aim_s:
        yield Problem.warning(
            entry.path_of("timeout_s"),
            f"is {route.timeout_s * MS_PER_S:g} ms, less than the response "
            f"time of {route.aim_s * MS_PER_S:g} ms that is aimed at",
        )
    is_bounded = route.freshness is routes_module.Freshness.AGED
    if is_bounded and route.max_age_s == 0:
        yield Problem.warning(
            entry.path_of("max_age_s"),
            "is 0, so no replica is ever fresh enough for these reads",
        )


def _check_groups(document):
    used = {entry.value.group for entry in document.routes}
    customers = len({entry.value.name for entry in document.customers})
    for entry in document.groups:
        limits = entry.value
        if limits.group not in used:
            yield Problem.warning(
                entry.path_of("group"), f"no route uses {limits.group!r}"
            )
        if limits.connections < 1:
            yield Problem.error(
                entry.path_of("connections"), "allows no connection"
            )
        elif limits.connections < customers:
            yield Problem.warning(
                entry.path_of("connections"),
                f"allows {limits.connections} connections for {customers} "
                "customers, and a connection serves one customer only",
            )


def _check_customers(document):
    for entry in document.customers:
        customer = entry.value
        if not customer.key_digests:
            yield Problem.warning(
                entry.path_of("key_digests"),
                f"{customer.name!r} has no key, so nobody can use it",
            )
        for attribute in ("rate_per_s", "burst", "priority"):
            if getattr(customer, attribute) < 0:
                yield Problem.error(entry.path_of(attribute), "is below 0")
        if customer.rate_per_s == 0:
            yield Problem.warning(
                entry.path_of("rate_per_s"),
                f"is 0, so operations of {customer.name!r} are refused",
            )
        if 0 <= customer.burst < MIN_BURST and (
            customer.rate_per_s < float("inf")
        ):
            yield Problem.warning(
                entry.path_of("burst"),
                f"is {customer.burst:g}, less than one operation",
            )


def _check_keys(document):
    """Report keys that are given more than once."""
    holders = collections.defaultdict(list)
    for entry in document.customers:
        for index, digest in enumerate(entry.value.key_digests):
            path = f"{entry.path_of('key_digests')}[{index}]"
            holders[digest].append((entry.value.name, path))
    for found in holders.values():
        (first_name, first_path), *others = found
        for name, path in others:
            if name == first_name:
                yield Problem.warning(path, f"is the same key as {first_path}")
            else:
                yield Problem.error(
                    path,
                    f"{name!r} and {first_name!r} ({first_path}) have the "
                    "same key, which is refused for both",
                )


def _check_sum_of_limits(document, capacity):
    rates = [
        entry.value.rate_per_s
        for entry in document.customers
        if entry.value.rate_per_s < float("inf")
    ]
    if capacity is None or not rates:
        return
    total = sum(rates)
    if total > capacity.operations_per_s:
        yield Problem.warning(
            "",
            f"the limits of all customers allow {total:g} operations/s, and "
            f"{capacity.slots} slots run {capacity.operations_per_s:g}/s at "
            f"{capacity.statement_s * MS_PER_S:g} ms each",
        )
