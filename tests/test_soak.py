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

    # Guards against statements of withdrawn keys, beyond a limit, or on the
    # connection of another customer.
    def test_seed_with_customers(self):
        outcome = soak.play(3, with_customers=True)
        self.assertEqual([], outcome.broken)
        self.assertGreater(len(outcome.asks), 1000)

    # Guards against reads and commits at a replaced primary by an instance
    # that was deregistered while it was alive.
    def test_seed_with_absences(self):
        outcome = soak.play(0, absences=True)
        self.assertEqual([], outcome.broken)
        self.assertGreater(len(outcome.asks), 1000)

    # Guards against commits that a promoted target lacks, as another one
    # holds them that leaves, is busy or does not answer; and against two
    # holders of the duty that act while the store turns some away.
    def test_seeds_of_a_synchronous_group_with_refusals(self):
        for seed in (102, 104):
            outcome = soak.play(seed, synchronous=True, refusals=True)
            self.assertEqual([], outcome.broken, f"seed {seed}")
            self.assertGreater(len(outcome.asks), 1000)

    # The store also comes back from older copies.
    def test_seeds_with_restores(self):
        for seed in (2, 11):
            outcome = soak.play(seed, restores=True)
            self.assertEqual([], outcome.broken, f"seed {seed}")
            self.assertGreater(len(outcome.asks), 1000)
