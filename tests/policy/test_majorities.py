"""Tests of majorities and of changes of voters."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from balsamhinge.policy import majorities
from balsamhinge.policy import positions

NAMES = strategies.lists(
    strategies.sampled_from("abc"), unique=True, min_size=1
)


def all_majorities(voters):
    """Return every set of voters that is a majority."""
    return [
        set(chosen)
        for size in range(1, len(voters) + 1)
        for chosen in itertools.combinations(voters, size)
        if majorities.has_majority(voters, chosen)
    ]


class NextVotersTest(testtools.TestCase):
    """Each step keeps old and new majorities overlapping."""

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(NAMES, NAMES)
    def test_majorities_before_and_after_a_step_overlap(self, voters, wanted):
        following = majorities.next_voters(voters, wanted)
        for earlier in all_majorities(voters):
            for later in all_majorities(following):
                self.assertTrue(earlier & later, (voters, following))

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(NAMES, NAMES)
    def test_steps_reach_the_wanted_voters(self, voters, wanted):
        for _step in range(6):
            voters = majorities.next_voters(voters, wanted)
        self.assertEqual(set(wanted), set(voters))


class WaiterTest(testtools.TestCase):
    """Only answers asked for after the start of a wait prove leadership."""

    def setUp(self):
        super().setUp()
        self.position = positions.LogPosition(1, 5)

    def test_answer_asked_for_earlier_does_not_prove_leadership(self):
        waiter = majorities.MajorityWaiter(self.position, 10.0, True, set())
        waiter.count("b", self.position, asked=9.9)
        self.assertEqual(set(), waiter.holders)
        waiter.count("b", self.position, asked=10.0)
        self.assertEqual({"b"}, waiter.holders)

    def test_any_answer_confirms_a_write(self):
        waiter = majorities.MajorityWaiter(self.position, 10.0, False, set())
        waiter.count("b", positions.LogPosition(1, 4), asked=11.0)
        self.assertEqual(set(), waiter.holders)
        waiter.count("b", positions.LogPosition(1, 6), asked=9.0)
        self.assertEqual({"b"}, waiter.holders)
