"""Tests of primary leases and their extension by promises."""

import hypothesis
from hypothesis import strategies
import testtools

from balsamhinge.policy import leases

LEASE_S = leases.LEASE_S
OTHERS = ("b", "c")


def make_leases(read_at=10.0, as_of=5):
    """Return leases with one leadership and one store read."""
    held = leases.PrimaryLeases()
    held.merge_leadership(leases.Leadership("g", "t1", 1, revision=5))
    held.merge_store_read(leases.StoreRead(as_of, read_at))
    return held


class LeaseTest(testtools.TestCase):
    """Leases run from the time at which a store read was requested."""

    def test_lease_expires_with_its_store_read(self):
        held = make_leases()
        before = held.valid_leadership("g", 10.0 + LEASE_S - 0.01, OTHERS)
        self.assertEqual("t1", before.target)
        self.assertIsNone(held.valid_leadership("g", 10.0 + LEASE_S, OTHERS))

    def test_no_lease_before_a_store_read(self):
        held = leases.PrimaryLeases()
        held.merge_leadership(leases.Leadership("g", "t1", 1, revision=5))
        self.assertIsNone(held.valid_leadership("g", 0.0, OTHERS))

    def test_announced_change_ends_the_lease(self):
        held = make_leases()
        change = leases.Leadership("g", "t1", 1, True, revision=6)
        self.assertTrue(held.merge_leadership(change))
        self.assertIsNone(held.valid_leadership("g", 10.0, OTHERS))

    def test_older_records_and_store_reads_are_ignored(self):
        held = make_leases()
        self.assertFalse(
            held.merge_leadership(leases.Leadership("g", "t9", 1, revision=4))
        )
        self.assertFalse(held.merge_store_read(leases.StoreRead(9, 9.0)))
        self.assertEqual(10.0, held.last_read.read_at)

    def test_promises_of_all_others_extend_the_lease(self):
        held = make_leases()
        held.merge_promise("b", 13.0)
        self.assertEqual(12.0, held.valid_until(OTHERS))
        held.merge_promise("c", 12.5)
        self.assertEqual(12.5, held.valid_until(OTHERS))
        held.merge_promise("b", 100.0)
        held.merge_promise("c", 100.0)
        extended = 10.0 + leases.EXTENDED_LEASE_S
        self.assertEqual(extended, held.valid_until(OTHERS))

    def test_members_without_promise_are_listed(self):
        held = make_leases()
        held.merge_promise("b", 12.5)
        self.assertEqual(["c"], held.members_without_promise(OTHERS, 12.0))
        self.assertEqual(
            ["b", "c"], held.members_without_promise(OTHERS, 12.5)
        )

    def test_single_instance_has_no_extended_lease(self):
        self.assertEqual(12.0, make_leases().valid_until(()))

    @hypothesis.given(
        strategies.floats(0, 50),
        strategies.floats(0, 50),
        strategies.lists(strategies.floats(0, 50), max_size=5),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_no_lease_outlasts_the_wait_before_a_change(
        self, announced_at, now, read_times
    ):
        # The instance that changes the primary is one of the others. It
        # promises nothing after the announcement, and an earlier promise
        # binds it for less than the wait before the change.
        held = leases.PrimaryLeases()
        held.merge_leadership(leases.Leadership("g", "t1", 1, revision=5))
        for read_at in read_times:
            if read_at <= announced_at:
                held.merge_store_read(leases.StoreRead(5, read_at))
        held.merge_promise("b", announced_at + leases.PROMISE_S)
        held.merge_promise("c", now + leases.PROMISE_S)
        if held.valid_leadership("g", now, OTHERS) is not None:
            self.assertLess(now, announced_at + LEASE_S)
