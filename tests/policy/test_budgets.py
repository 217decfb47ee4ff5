"""Tests of the token bucket for bytes."""

import testtools

from balsamhinge.policy import budgets

__all__ = ["ByteBudgetTest"]


class ByteBudgetTest(testtools.TestCase):
    """The rate holds over time, however large a message is."""

    def test_burst_is_followed_by_the_rate(self):
        budget = budgets.ByteTokenBucket(rate=100.0, burst=250.0)
        sent = [at for at in range(10) if budget.try_spend(200, float(at))]
        self.assertEqual([0, 1, 2, 4, 6, 8], sent)

    def test_message_above_the_burst_is_allowed_then_paid_off(self):
        budget = budgets.ByteTokenBucket(rate=100.0, burst=50.0)
        self.assertTrue(budget.try_spend(450, 0.0))
        self.assertFalse(budget.try_spend(1, 4.0))
        self.assertTrue(budget.try_spend(1, 4.01))
