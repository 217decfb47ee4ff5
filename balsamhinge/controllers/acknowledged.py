"""Tracks the latest commits that instances have acknowledged to callers."""

from balsamhinge.policy import acknowledgements
from balsamhinge.policy import leases

__all__ = ["AcknowledgedController"]

# Processes that are kept whether or not their instances are registered: some
# are heard before their registration is read.
MIN_KEPT = 32


class AcknowledgedController:
    """What is known of each group's latest acknowledged commit.

    An instance tells of its own with each gossip message, so also with the
    one that confirms the release of a primary. What a process has
    acknowledged since its last message is lost with it.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        # `LatestAcknowledged` by group.
        self._latest = {}
        # By instance, its process and the boot-clock seconds since when that
        # is known to run.
        self._processes = {}
        # Table for which `_synchronous_groups` holds.
        self._table = None
        self._synchronous_groups = frozenset()
        self._started_at = fleet.dependencies.boot_time()

    @property
    def synchronous_groups(self):
        """Names of the groups with synchronous replicas."""
        table = self._fleet.directory.table
        if self._table is not table:
            self._table = table
            self._synchronous_groups = frozenset(
                name
                for name, limits in table.groups.items()
                if limits.synchronous_replicas
            )
        return self._synchronous_groups

    def latest(self, group):
        """Return the `LatestAcknowledged` of a group."""
        return self._latest.get(group, acknowledgements.NONE_ACKNOWLEDGED)

    def record(self, group, before, position):
        """Record that this instance acknowledges a commit.

        Parameters
        ----------
        group : str
            The group.
        before : LogPosition
            A position that the primary had before it received the commit.
        position : LogPosition
            Its position after the commit; other commits may lie between.
        """
        self._latest[group] = self.latest(group).merge(
            acknowledgements.LatestAcknowledged.from_answer(before, position)
        )

    def merge_message(self, message):
        """Merge what another instance tells.

        Parameters
        ----------
        message : GossipMessage
            The message, which may have been delayed.
        """
        for group, at_most in message.acknowledged.items():
            # An instance of an earlier release tells of one position only.
            at_least = message.acknowledged_at_least.get(group, at_most)
            self._latest[group] = self.latest(group).merge(
                acknowledgements.LatestAcknowledged(at_least, at_most)
            )
        process, _since = self._processes.get(message.sender, (None, 0.0))
        if message.stamp is None:
            self._processes.pop(message.sender, None)
        elif process != message.stamp.process:
            self._processes[message.sender] = (
                message.stamp.process,
                self._fleet.dependencies.boot_time(),
            )
            self._forget_departed()

    def _forget_departed(self):
        """Forget processes of instances that are no longer registered."""
        members = self._fleet.leaders.members
        if len(self._processes) > 2 * max(len(members), MIN_KEPT):
            self._processes = {
                name: known
                for name, known in self._processes.items()
                if name in members
            }

    def told(self):
        """Return what this instance tells others.

        Returns
        -------
        dict of str to LatestAcknowledged
            By group with synchronous replicas.
        """
        return {
            group: self._latest[group]
            for group in self.synchronous_groups & self._latest.keys()
        }

    def upper_bound(self, group):
        """Return a position that no acknowledged commit lies beyond.

        All instances must have confirmed the release of the primary. What
        they have told covers their present processes, and a position that
        the primary had afterwards covers those that have ended.

        Parameters
        ----------
        group : str
            The group.

        Returns
        -------
        LogPosition or None
            None if an instance may not have told of all that it, or an
            earlier process, has acknowledged.
        """
        fleet = self._fleet
        # One that was deregistered may have had leases for some time.
        ended_at = fleet.leaders.registrations.last_ended_at
        since = max(self._started_at, ended_at + leases.EXTENDED_LEASE_S)
        for name in fleet.leaders.other_names:
            message = fleet.gossip.last_messages.get(name)
            if message is None or name not in self._processes:
                return None
            if message.table_version != fleet.directory.table.version:
                # It may count the group as an asynchronous one.
                return None
            _process, running_since = self._processes[name]
            since = max(since, running_since)
        position = fleet.leaders.position_since(group, since)
        if position is None:
            return None
        return max(position, self.latest(group).at_most)
