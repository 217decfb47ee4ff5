"""Metrics of customers and queues, within a bounded number of series."""

import collections
import heapq

from prometheus_client import core as families

from balsamhinge.controllers import customerusage

__all__ = ["MAX_SERIES", "OTHER", "CustomerCollector", "CustomerSeries"]

# Customers with a series of their own. A scrape of 10,000 would be 5 MB for
# each instance.
MAX_SERIES = 50
# Label of the sum of all others. A customer of this name is part of the sum.
OTHER = "other"
REASONS = tuple(reason.value for reason in customerusage.Reason)


class CustomerSeries:
    """Assigns counts to a bounded number of series that never decrease.

    The customers with the most operations since the last scrape have series
    of their own. What the others did since then is added to `OTHER`, so that
    a customer may gain and lose its series without a jump of the sum: a
    decrease would be taken for a restart and a jump for load.

    Parameters
    ----------
    max_series : int
        Maximum number of customers with a series of their own.

    Attributes
    ----------
    counts : dict of str to Counter
        Counts by label. A customer that gains a series starts from 0.
    """

    def __init__(self, max_series=MAX_SERIES):
        self._max_series = max_series
        self.counts = {OTHER: collections.Counter()}

    def update(self, increments):
        """Add the counts by customer since the last call."""
        shown = self._choose(increments)
        counts = {
            name: self.counts.get(name, collections.Counter())
            for name in shown
        }
        counts[OTHER] = self.counts[OTHER]
        for customer, added in increments.items():
            counts[customer if customer in shown else OTHER].update(added)
        self.counts = counts

    def _choose(self, increments):
        """Return the names of the customers with their own series.

        Of customers with equally many operations, those that have a series
        keep it.
        """
        candidates = (increments.keys() | self.counts.keys()) - {"", OTHER}

        def key(name):
            operations = _operations(increments.get(name))
            return -operations, name not in self.counts, name

        return set(heapq.nsmallest(self._max_series, candidates, key))


def _operations(counts):
    """Return the admitted and refused operations of some counts."""
    if not counts:
        return 0
    return counts[customerusage.ADMITTED] + sum(
        counts[reason] for reason in REASONS
    )


class CustomerCollector:
    """Collector of the Prometheus client, updated before each scrape."""

    def __init__(self):
        self._series = CustomerSeries()
        self._refusals = collections.Counter()
        self._connections = collections.Counter()
        self._targets = []

    def update(self, increments, connections, targets):
        """Add counts since the last call, and set open connections.

        Parameters
        ----------
        increments : dict of str to Counter
            See `CustomerUsage.take_increments`.
        connections : dict of str to int
            Open connections by customer.
        targets : list of dict
            See `customerstatus.target_rows`. Targets that have left have no
            series any more.
        """
        self._targets = targets
        for counts in increments.values():
            for reason in REASONS:
                self._refusals[reason] += counts[reason]
        self._series.update(increments)
        self._connections = collections.Counter()
        for customer, count in connections.items():
            label = customer if customer in self._series.counts else OTHER
            self._connections[label] += count

    def describe(self):
        """Return nothing: the metrics are not registered by name."""
        return []

    def collect(self):
        """Yield the metric families."""
        refusals = families.CounterMetricFamily(
            "balsamhinge_session_refusals",
            "Operations of sessions that were refused.",
            labels=["reason"],
        )
        for reason in REASONS:
            refusals.add_metric([reason], self._refusals[reason])
        yield refusals
        yield from self._collect_customers()
        yield from self._collect_targets()

    def _collect_customers(self):
        operations = families.CounterMetricFamily(
            "balsamhinge_customer_operations",
            "Operations within the limit of the customer.",
            labels=["customer"],
        )
        refusals = families.CounterMetricFamily(
            "balsamhinge_customer_refusals",
            "Operations that were refused.",
            labels=["customer", "reason"],
        )
        waits = families.SummaryMetricFamily(
            "balsamhinge_customer_wait_seconds",
            "Waits in the queues of targets that this instance hosts.",
            labels=["customer"],
        )
        connections = families.GaugeMetricFamily(
            "balsamhinge_customer_connections",
            "Open connections to targets.",
            labels=["customer"],
        )
        for label, counts in self._series.counts.items():
            operations.add_metric([label], counts[customerusage.ADMITTED])
            for reason in REASONS:
                if counts[reason]:
                    refusals.add_metric([label, reason], counts[reason])
            waits.add_metric(
                [label],
                counts[customerusage.WAITS],
                counts[customerusage.WAIT_S],
            )
            connections.add_metric([label], self._connections[label])
        yield from (operations, refusals, waits, connections)

    def _collect_targets(self):
        limits = families.GaugeMetricFamily(
            "balsamhinge_target_concurrency_limit",
            "Statements that may be at the target at once.",
            labels=["target"],
        )
        permits = families.GaugeMetricFamily(
            "balsamhinge_target_permits",
            "Statements that are at the target.",
            labels=["target"],
        )
        queued = families.GaugeMetricFamily(
            "balsamhinge_target_queued",
            "Statements that wait for a permit, by route priority.",
            labels=["target", "priority"],
        )
        for row in self._targets:
            if row["concurrency_limit"] is None:
                continue
            limits.add_metric([row["target"]], row["concurrency_limit"])
            permits.add_metric([row["target"]], row["permits"])
            for priority, count in row["queued"].items():
                queued.add_metric([row["target"], priority], count)
        yield from (limits, permits, queued)
