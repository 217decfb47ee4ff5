"""Connection pools and admission queues of all targets."""

import collections

from balsamhinge.controllers import clock
from balsamhinge.controllers.targetpools import gates
from balsamhinge.controllers.targetpools import pool
from balsamhinge.controllers.targetpools import queuereports
from balsamhinge.policy import concurrency
from balsamhinge.policy import loans

__all__ = ["TargetPoolsController"]

DEFAULT_SETTINGS = loans.TargetSettings()
# Instances that may succeed the host of a target. Their idle connections stay
# open for a while, as they serve while the host is away.
SUCCESSORS = 3


class TargetPoolsController:
    """The connection pools of all targets.

    Parameters
    ----------
    me : Member
        This instance.
    link : SessionTargetConnector
        Opens connections.
    health : HealthController
        Receives the results of connection attempts.
    directory : DirectoryController
        Provides targets and connection limits.
    leaders : LeadersController
        Provides the registered instances.
    settings : TargetSettings
        How statements wait where hosts are used.

    Attributes
    ----------
    reports : QueueReports
        Predicted waits of targets at other hosts.
    """

    def __init__(
        self,
        me,
        link,
        health,
        directory,
        leaders,
        settings=DEFAULT_SETTINGS,
    ):
        self._me = me
        # Registered instances for which the cached ranking holds.
        self._ranked_for = None
        self._ranked = {}
        self._link = link
        self._leaders = leaders
        self._health = health
        self._directory = directory
        self._settings = settings
        self._pools = {}
        self.record_wait = gates.ignore_wait
        self._gates = {}
        self.reports = queuereports.QueueReports()

    @property
    def is_ordered(self):
        """Whether targets that are reached through hosts have a queue."""
        return self._settings.is_ordered

    def _limit(self, group):
        """Return the connections that each target of a group accepts."""
        limits = self._directory.table.groups.get(group)
        return limits.connections if limits else 1

    def hosts_of(self, target):
        """Return the instances that may lend connections to a target.

        Returns
        -------
        list of Member
            The first ones are the hosts of the target, see `policy.loans`;
            empty where each instance opens its own connections.
        """
        members = self._leaders.members
        if not loans.uses_hosts(self._limit(target.group), len(members)):
            return []
        if self._ranked_for is not members:
            self._ranked_for = members
            self._ranked = {}
        key = target.name, target.data_centre
        if key not in self._ranked:
            self._ranked[key] = loans.rank_hosts(target, members.values())
        return self._ranked[key]

    def max_idle(self, target):
        """Return the number of idle connections to keep to a target.

        Half of the maximum: when all instances lose power, targets count
        the old connections for some seconds, and the restarted instances
        need the other half. The maximum of a single host is half already.
        """
        limit = self._limit(target.group)
        hosts = self.hosts_of(target)
        if hosts:
            if self._me not in hosts[: self._settings.hosts_per_target]:
                return 0
            most = self._settings.max_connections_per_host(limit)
            return most if self._settings.is_ordered else max(1, most // 2)
        share = limit // max(1, len(self._leaders.members))
        return max(1, share // 2) if share else 0

    def max_open(self, target):
        """Return the maximum number of open connections to a target.

        Load is uneven, so an instance may open up to three times its equal
        share. The target refuses connections beyond its own limit.
        """
        limit = self._limit(target.group)
        if self.hosts_of(target):
            return self._settings.max_connections_per_host(limit)
        instances = max(1, len(self._leaders.members))
        return max(1, min(limit, 3 * limit // instances))

    def pool(self, target):
        """Return the pool of a target; replaces that of a restarted one."""
        existing = self._pools.get(target.name)
        same = existing is not None and (
            existing.target.address == target.address
            and existing.target.born_ms == target.born_ms
        )
        if same:
            return existing
        if existing is not None:
            existing.close()
        created = pool.TargetPool(
            target,
            self._link,
            self._health,
            lambda: self.max_open(target),
        )
        self._pools[target.name] = created
        self._gates.pop(target.name, None)
        return created

    def gate(self, target):
        """Return the `TargetGate` of a target, or None.

        None where each instance opens its own connections, and where
        several hosts serve in order of arrival.
        """
        if not self._settings.is_ordered or not self.hosts_of(target):
            return None
        self.pool(target)
        existing = self._gates.get(target.name)
        if existing is None:
            limit = gates.SlotLimit.from_target(target)
            if self._settings.concurrency == "learned":
                limit = concurrency.ConcurrencyLimit(max(1, target.slots))
            existing = gates.TargetGate(target.name, limit, self.record_wait)
            self._gates[target.name] = existing
        return existing

    def predicted_wait_s(self, target, priority):
        """Return the predicted wait for a target at its host, and its age.

        Parameters
        ----------
        target : str
            Name of the target.
        priority : int
            Priority of the route.

        Returns
        -------
        seconds, age_s : float
            See `QueueReports.predicted_wait_s`.
        """
        return self.reports.predicted_wait_s(target, priority, clock.now())

    def pools(self):
        """Return all pools."""
        return list(self._pools.values())

    def sweep(self):
        """Close excess connections, and pools of targets that have left."""
        for name, kept in list(self._pools.items()):
            if name not in self._directory.targets:
                del self._pools[name]
                self._gates.pop(name, None)
                kept.close()
                continue
            kept.sweep(self.max_idle(kept.target), self._is_successor(kept))
        self.reports.retain_only(self._directory.targets)

    def _is_successor(self, kept):
        """Return whether this instance may have to serve for the host."""
        if not self._settings.is_ordered:
            return False
        hosts = self.hosts_of(kept.target)
        return self._me in hosts[1 : 1 + SUCCESSORS]

    def close(self):
        """Close all pools."""
        for kept in self._pools.values():
            kept.close()

    def describe(self):
        """Return pools, queues and customers for the status page.

        Returns
        -------
        dict
            By target, the counters of its pool and of its queue if it has
            one; by customer, open connections and waits over all targets.
        """
        customers = collections.defaultdict(collections.Counter)
        targets = {}
        for name, kept in sorted(self._pools.items()):
            row = kept.describe()
            for customer, counts in row.pop("customers").items():
                customers[customer].update(counts)
            gate = self._gates.get(name)
            row["queue"] = gate.describe() if gate is not None else None
            targets[name] = row
        return {
            "targets": targets,
            "customers": {
                name: dict(counts)
                for name, counts in sorted(customers.items())
            },
        }
