"""Tests of the choice of the next primary."""

import testtools

from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.policy import promotion


def status(name, role="replica", term=1, received=(1, 1), voters_term=1):
    """Return a status of one of the targets a, b and c."""
    position = positions.LogPosition(*received)
    return messages.TargetStatus(
        name, role, term, "", position, position, list("abc"), voters_term
    )


class ChooseCandidateTest(testtools.TestCase):
    """The highest log wins; leaving targets only where they are needed."""

    def choose(self, statuses, avoided=(), preferred=""):
        return promotion.choose_candidate(
            statuses, list("abc"), set(avoided), preferred
        ).name

    def test_later_term_beats_longer_log(self):
        fenced = [
            status("a", received=(1, 9)),
            status("b", received=(2, 3)),
        ]
        self.assertEqual("b", self.choose(fenced))

    def test_leaving_target_is_not_needed_by_a_staying_majority(self):
        fenced = [
            status("a", received=(1, 9)),
            status("b", received=(1, 7)),
            status("c", received=(1, 8)),
        ]
        self.assertEqual("c", self.choose(fenced, avoided="a"))

    def test_leaving_target_is_needed_without_a_staying_majority(self):
        fenced = [status("a", received=(1, 9)), status("b")]
        self.assertEqual("a", self.choose(fenced, avoided="a"))

    def test_preferred_target_leads_among_equals_only(self):
        fenced = [status("a", received=(1, 9)), status("b"), status("c")]
        self.assertEqual("a", self.choose(fenced, preferred="b"))
        fenced = [status("a"), status("b"), status("c")]
        self.assertEqual("b", self.choose(fenced, preferred="b"))


class FindLeaderTest(testtools.TestCase):
    """A leader counts once a majority holds its first entry."""

    def test_first_entry_on_a_majority(self):
        leader = status("b", "primary", 2, (2, 2), 2)
        alone = [leader, status("c", term=2)]
        self.assertIsNone(promotion.find_leader(alone))
        followed = [leader, status("c", term=2, voters_term=2)]
        self.assertEqual("b", promotion.find_leader(followed).primary)

    def test_old_leader_of_a_lower_term_does_not_count(self):
        statuses = [
            status("a", "primary", 1),
            status("b", "fenced", 2),
            status("c", "fenced", 2),
        ]
        self.assertIsNone(promotion.find_leader(statuses))
