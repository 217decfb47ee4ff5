"""Planned stops with a few seeds; ``tests.platform.stopsoak`` plays more."""

import testtools

from tests.platform import stopsoak

__all__ = ["StopSoakTest"]

PLAY_S = 8.0


class StopSoakTest(testtools.TestCase):
    """Instances are stopped and started again while callers use them."""

    def play(self, seed, **changes):
        outcome = stopsoak.play(
            seed, stopsoak.Options(play_s=PLAY_S, **changes)
        )
        self.assertGreater(outcome.requests, 0)
        self.assertGreater(outcome.stops, 0)
        return outcome

    # Guards against a request that is cut off because the instance that
    # has read it is stopped.
    def test_stop_answers_all_requests(self):
        for seed in (0, 3):
            outcome = self.play(seed)
            self.assertEqual(
                [], [b.describe() for b in outcome.breaches], f"seed {seed}"
            )

    # Guards against a process that SIGHUP ends while it starts, and against
    # a stop that takes longer than the grace time.
    def test_processes_end_only_when_stopped(self):
        outcome = self.play(6)
        self.assertEqual([], outcome.exits)
        self.assertEqual([], outcome.slow_stops)
        self.assertEqual([], outcome.faults)
