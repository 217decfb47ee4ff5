"""A few seeds of random faults; more by ``python -m tests.soak``."""

import testtools

from tests import soak


class SoakTest(testtools.TestCase):
    """Nothing is stale, doubled, or kept though it was refused."""

    def test_seeds(self):
        for seed in (4, 7):
            outcome = soak.play(seed)
            self.assertEqual([], outcome.broken, f"seed {seed}")
            self.assertGreater(len(outcome.asks), 1000)
