"""Random faults with a few seeds; ``python -m tests.soak`` runs more."""

import testtools

from tests import soak


class SoakTest(testtools.TestCase):
    """No stale read, no duplicate write, no write that was refused."""

    def test_seeds(self):
        for seed in (4, 7):
            outcome = soak.play(seed)
            self.assertEqual([], outcome.broken, f"seed {seed}")
            self.assertGreater(len(outcome.asks), 1000)
