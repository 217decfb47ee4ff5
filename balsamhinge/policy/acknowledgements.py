"""Which commits a group may have acknowledged, and which logs hold them."""

import attrs

from balsamhinge.policy import positions
from balsamhinge.policy import routes

__all__ = [
    "NONE_ACKNOWLEDGED",
    "AcknowledgementEvidence",
    "LatestAcknowledged",
]


@attrs.frozen
class LatestAcknowledged:
    """Where the latest acknowledged commit of a group lies in its log.

    A primary answers with the end of its log, which may lie beyond the commit
    that it acknowledges.

    Parameters
    ----------
    at_least, at_most : LogPosition
        The commit lies at one of these positions or between them.
    """

    at_least: positions.LogPosition = positions.ORIGIN
    at_most: positions.LogPosition = positions.ORIGIN

    @classmethod
    def from_answer(cls, before, after):
        """Return the bounds of a commit that a primary has answered.

        Parameters
        ----------
        before : LogPosition
            A position that the log had reached before the commit was sent.
        after : LogPosition
            The position in the answer.
        """
        offset = before.offset + 1 if before.term == after.term else 0
        return cls(positions.LogPosition(after.term, offset), after)

    def merge(self, other):
        """Return the bounds of the later one of two commits."""
        return LatestAcknowledged(
            max(self.at_least, other.at_least),
            max(self.at_most, other.at_most),
        )


NONE_ACKNOWLEDGED = LatestAcknowledged()


@attrs.frozen
class AcknowledgementEvidence:
    """What is known of a group's acknowledged commits in a primary change.

    A primary acknowledges a commit once `synchronous_replicas` replicas have
    received it, so any set of replicas that leaves out fewer than that
    holds every acknowledged commit.

    Parameters
    ----------
    synchronous_replicas : int
        Replicas that have received a commit when it is acknowledged.
    primary : str
        Name of the old primary.
    last_position : LogPosition
        Latest position that the old primary is known to have had.
    replicas : frozenset of str
        Names of the other targets that are listed or were until recently,
        those about to stop included: they receive and count until they end.
    unsettled : frozenset of str
        Those that have left the list or started again recently.
    reports : dict of str to TargetReport
        Reports of the targets that answered, by name.
    told : LatestAcknowledged
        Latest acknowledged commit that an instance has told of.
    told_by_all : LogPosition or None
        A position that no acknowledged commit lies beyond, by what all
        instances have told; None if that is not known of each of them.
    """

    synchronous_replicas: int
    primary: str
    last_position: positions.LogPosition
    replicas: frozenset[str]
    unsettled: frozenset[str]
    reports: dict
    told: LatestAcknowledged
    told_by_all: positions.LogPosition | None

    @property
    def unheard(self):
        """Sorted names of the replicas that do not report what they received.

        One that has started again may have lost its log.
        """
        return sorted(
            name
            for name in self.replicas
            if name not in self.reports
            or (
                name in self.unsettled
                and self.reports[name].received.term < self.last_position.term
            )
        )

    @property
    def has_primary_lost_log(self):
        """Whether the old primary reports less than it is known to have had.

        It may come back without its log.
        """
        report = self.reports.get(self.primary)
        return report is not None and not (
            report.received >= self.last_position
            and positions.covers(report.received, self.told.at_least)
        )

    def upper_bound(self):
        """Return a position that no acknowledged commit lies beyond.

        Returns
        -------
        LogPosition or None
            None if some commit may be known only to targets and instances
            that have not been heard.
        """
        bounds = []
        if self.told_by_all is not None:
            bounds.append(self.told_by_all)
        old = self.reports.get(self.primary)
        # As a replica it has followed another primary since, so that its log
        # is no longer what it was.
        if old is not None and old.role is routes.TargetRole.PRIMARY:
            if not self.has_primary_lost_log:
                bounds.append(old.received)
        if len(self.unheard) < self.synchronous_replicas:
            received = [
                self.reports[name].received
                for name in self.replicas & self.reports.keys()
            ]
            bounds.append(positions.highest(received))
        return min(bounds, default=None)

    def holds_all(self, name):
        """Return whether a target's log holds every acknowledged commit.

        A target that is not listed yet, or has lost its log, may have
        received more than all others report, so the log must hold what
        instances have told of as well.

        Parameters
        ----------
        name : str
            A target that has reported.
        """
        bound = self.upper_bound()
        if bound is None:
            return False
        received = self.reports[name].received
        return positions.covers(received, bound) and positions.covers(
            received, self.told.at_least
        )
