"""Tracks the latest commits that instances have acknowledged to callers."""

from balsamhinge.policy import acknowledgements

__all__ = ["AcknowledgedController"]


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
        # Table for which `_synchronous_groups` holds.
        self._table = None
        self._synchronous_groups = frozenset()

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
