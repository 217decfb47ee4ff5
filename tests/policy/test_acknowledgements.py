"""Tests of which logs hold every acknowledged commit."""

import testtools

from balsamhinge import interfaces
from balsamhinge.policy import acknowledgements
from balsamhinge.policy import positions
from balsamhinge.policy import routes

__all__ = ["AcknowledgementEvidenceTest", "LatestAcknowledgedTest"]

OLD = "target-1"
FIRST = "target-2"
SECOND = "target-3"


def position(offset, term=1):
    """Return a log position, of the first term unless stated."""
    return positions.LogPosition(term, offset)


def make_evidence(
    received,
    told=0,
    all_told=False,
    synchronous_replicas=1,
    last=0,
    unsettled=(),
    role=routes.TargetRole.PRIMARY,
):
    """Return the evidence of a group with two replicas.

    Parameters
    ----------
    received : dict of str to int
        Last entry received, by target that answers.
    told : int
        Latest acknowledged entry that an instance has told of.
    last : int
        Latest entry that the old primary is known to have had.
    unsettled : iterable of str
        Targets that have left the list or started again.
    role : TargetRole
        Role that the old primary reports.
    """
    reports = {
        name: interfaces.TargetReport(
            role if name == OLD else routes.TargetRole.REPLICA,
            1,
            position(offset) if offset else positions.ORIGIN,
            position(offset),
        )
        for name, offset in received.items()
    }
    return acknowledgements.AcknowledgementEvidence(
        synchronous_replicas=synchronous_replicas,
        primary=OLD,
        last_position=position(last),
        unsettled=frozenset(unsettled),
        replicas=frozenset((FIRST, SECOND)),
        reports=reports,
        told=acknowledgements.LatestAcknowledged(
            position(told), position(told)
        ),
        told_by_all=position(told) if all_told else None,
    )


class AcknowledgementEvidenceTest(testtools.TestCase):
    """A log holds all commits that may have been acknowledged."""

    def test_all_replicas_together_hold_each_commit(self):
        evidence = make_evidence({FIRST: 9, SECOND: 7}, told=5)
        self.assertTrue(evidence.holds_all(FIRST))
        self.assertFalse(evidence.holds_all(SECOND))

    # Guards against the loss of commits that only a replica without an answer
    # has received.
    def test_a_replica_without_an_answer_may_hold_more(self):
        evidence = make_evidence({FIRST: 9}, told=5)
        self.assertIsNone(evidence.upper_bound())
        self.assertEqual([SECOND], evidence.unheard)
        self.assertFalse(evidence.holds_all(FIRST))

    def test_one_answer_suffices_if_all_replicas_receive_each_commit(self):
        evidence = make_evidence({SECOND: 7}, told=5, synchronous_replicas=2)
        self.assertTrue(evidence.holds_all(SECOND))

    def test_the_old_primary_holds_each_commit(self):
        evidence = make_evidence({OLD: 9, FIRST: 9})
        self.assertTrue(evidence.holds_all(FIRST))
        self.assertFalse(
            make_evidence({OLD: 9, FIRST: 8}).holds_all(FIRST),
        )

    # Guards against a group without a primary, although all instances have
    # told what they have acknowledged.
    def test_what_all_instances_told_suffices(self):
        evidence = make_evidence({FIRST: 9}, told=9, all_told=True)
        self.assertTrue(evidence.holds_all(FIRST))

    # Guards against the loss of commits that a target has received which has
    # ended, and whose log is yet to come back.
    def test_no_listed_target_may_hold_what_was_told(self):
        evidence = make_evidence({FIRST: 9, SECOND: 9}, told=12)
        self.assertFalse(evidence.holds_all(FIRST))

    def test_a_log_of_a_later_term_holds_the_earlier_ones(self):
        evidence = make_evidence({FIRST: 9, SECOND: 7}, told=9)
        later = interfaces.TargetReport(
            routes.TargetRole.REPLICA, 2, position(10, 2), position(10, 2)
        )
        evidence.reports[SECOND] = later
        self.assertTrue(evidence.holds_all(SECOND))
        self.assertFalse(evidence.holds_all(FIRST))

    # Guards against the loss of commits as an old primary that has lost its
    # log, or has followed another one, counts as an answer.
    def test_an_old_primary_without_its_log_bounds_nothing(self):
        evidence = make_evidence({OLD: 3, FIRST: 5}, last=9)
        self.assertTrue(evidence.has_primary_lost_log)
        self.assertFalse(evidence.holds_all(FIRST))
        evidence = make_evidence({OLD: 3, FIRST: 5}, told=4)
        self.assertTrue(evidence.has_primary_lost_log)
        evidence = make_evidence(
            {OLD: 5, FIRST: 5}, role=routes.TargetRole.REPLICA
        )
        self.assertFalse(evidence.holds_all(FIRST))

    # Guards against the loss of commits that a replica had received before
    # it started again without its log.
    def test_a_replica_that_lost_its_log_counts_as_unheard(self):
        evidence = make_evidence(
            {FIRST: 5, SECOND: 0}, last=9, unsettled=[FIRST, SECOND]
        )
        self.assertEqual([SECOND], evidence.unheard)
        self.assertFalse(evidence.holds_all(FIRST))


class LatestAcknowledgedTest(testtools.TestCase):
    """A primary answers with the end of its log."""

    def bounds(self, before, after):
        """Return the bounds of a commit between two positions."""
        return acknowledgements.LatestAcknowledged.from_answer(before, after)

    # Guards against the wait for a commit that was never acknowledged, and
    # that the answer to another one counted in.
    def test_a_commit_lies_after_what_was_known_before(self):
        latest = self.bounds(position(5), position(9))
        self.assertEqual(position(6), latest.at_least)
        self.assertEqual(position(9), latest.at_most)
        merged = latest.merge(self.bounds(position(7), position(8)))
        self.assertEqual(position(8), merged.at_least)
        self.assertEqual(position(9), merged.at_most)

    # Guards against a bound that no log reaches, as commits of an earlier
    # primary were rolled back.
    def test_a_position_of_an_earlier_term_bounds_the_term_alone(self):
        latest = self.bounds(position(9), position(4, 2))
        self.assertEqual(position(0, 2), latest.at_least)
