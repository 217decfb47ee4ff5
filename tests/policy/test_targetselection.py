"""Tests of where a read goes, and what its target must hold."""

import random

import testtools

from balsamhinge.policy import positions
from balsamhinge.policy import samples
from balsamhinge.policy import targetselection

Load = targetselection.TargetLoad
Position = positions.LogPosition


def best(*loads, needed=positions.ORIGIN, seed=1):
    """Return the names in the order of choice, from data centre "n"."""
    ranked = targetselection.rank_targets(
        list(loads), needed, "n", random.Random(seed)
    )
    return [load.name for load in ranked]


class RankTest(testtools.TestCase):
    """Replicas go before the primary, near ones before far ones."""

    def test_the_primary_is_left_to_writes(self):
        ranked = best(Load("p", "n", primary=True), Load("r", "s"))
        self.assertEqual(["r", "p"], ranked)

    def test_a_near_replica_goes_first_until_it_is_busier(self):
        self.assertEqual(["r", "q"], best(Load("q", "s"), Load("r", "n")))
        ranked = best(Load("q", "s"), Load("r", "n", outstanding=3))
        self.assertEqual(["q", "r"], ranked)

    def test_troubled_targets_come_last(self):
        ranked = best(
            Load("r", "n", is_degraded=True), Load("p", "s", primary=True)
        )
        self.assertEqual(["p", "r"], ranked)

    def test_a_replica_known_to_be_behind_waits(self):
        behind = Load("r", "n", applied=Position(1, 4), applied_age_s=0.1)
        ahead = Load("q", "s", applied=Position(1, 9), applied_age_s=0.1)
        needed = Position(1, 9)
        self.assertEqual(["q", "r"], best(behind, ahead, needed=needed))

    def test_old_news_of_a_replica_say_nothing(self):
        old = Load("r", "n", applied=Position(1, 4), applied_age_s=2.0)
        ahead = Load("q", "s", applied=Position(1, 9), applied_age_s=0.1)
        needed = Position(1, 9)
        self.assertEqual(["r", "q"], best(old, ahead, needed=needed))

    def test_a_slow_target_gets_less(self):
        ranked = best(Load("r", "n", extra_response_s=0.1), Load("q", "s"))
        self.assertEqual(["q", "r"], ranked)


class SamplesTest(testtools.TestCase):
    """The oldest sample that the age permits is enough."""

    def test_the_oldest_that_is_recent_enough(self):
        found = samples.PositionSamples()
        for second in range(10):
            found.record(float(second), Position(1, second))
        self.assertEqual(Position(1, 8), found.position_for_age(10.0, 2.0))
        self.assertEqual(Position(1, 9), found.position_for_age(10.0, 1.5))
        self.assertIsNone(found.position_for_age(10.0, 0.5))

    def test_a_sample_from_before_the_last_adds_nothing(self):
        found = samples.PositionSamples()
        found.record(2.0, Position(1, 5))
        found.record(1.0, Position(1, 9))
        self.assertEqual(Position(1, 5), found.latest)
