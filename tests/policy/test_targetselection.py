"""Tests of target selection and of position samples."""

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
    """Replicas precede the primary, and local replicas remote ones."""

    def test_idle_replica_precedes_the_primary(self):
        ranked = best(Load("p", "n", primary=True), Load("r", "s"))
        self.assertEqual(["r", "p"], ranked)

    def test_local_replica_goes_first_unless_it_is_busier(self):
        self.assertEqual(["r", "q"], best(Load("q", "s"), Load("r", "n")))
        ranked = best(Load("q", "s"), Load("r", "n", outstanding=3))
        self.assertEqual(["q", "r"], ranked)

    def test_degraded_targets_come_last(self):
        ranked = best(
            Load("r", "n", is_degraded=True), Load("p", "s", primary=True)
        )
        self.assertEqual(["p", "r"], ranked)

    def test_replica_known_to_be_behind_comes_last(self):
        behind = Load("r", "n", applied=Position(1, 4), applied_age_s=0.1)
        ahead = Load("q", "s", applied=Position(1, 9), applied_age_s=0.1)
        needed = Position(1, 9)
        self.assertEqual(["q", "r"], best(behind, ahead, needed=needed))

    def test_outdated_position_is_ignored(self):
        old = Load("r", "n", applied=Position(1, 4), applied_age_s=2.0)
        ahead = Load("q", "s", applied=Position(1, 9), applied_age_s=0.1)
        needed = Position(1, 9)
        self.assertEqual(["r", "q"], best(old, ahead, needed=needed))

    def test_slow_target_comes_last(self):
        ranked = best(Load("r", "n", extra_response_s=0.1), Load("q", "s"))
        self.assertEqual(["q", "r"], ranked)


class SamplesTest(testtools.TestCase):
    """The oldest sample within the maximum age is used."""

    def test_oldest_sample_within_the_age_is_used(self):
        history = samples.PositionSamples()
        for second in range(10):
            history.record(float(second), Position(1, second))
        self.assertEqual(Position(1, 8), history.position_for_age(10.0, 2.0))
        self.assertEqual(Position(1, 9), history.position_for_age(10.0, 1.5))
        self.assertIsNone(history.position_for_age(10.0, 0.5))

    def test_sample_older_than_the_latest_is_ignored(self):
        history = samples.PositionSamples()
        history.record(2.0, Position(1, 5))
        history.record(1.0, Position(1, 9))
        self.assertEqual(Position(1, 5), history.latest)
