"""Tests of what may be acted upon, and for how long."""

import hypothesis
from hypothesis import strategies
import testtools

from balsamhinge.policy import leases

LEASE_S = leases.LEASE_S
OTHERS = ("b", "c")


def book(read_at=10.0, as_of=5):
    """Return a book that knows one leader, as of a reading."""
    found = leases.PrimaryLeases()
    found.merge_leadership(leases.Leadership("g", "t1", 1, revision=5))
    found.merge_store_read(leases.StoreRead(as_of, read_at))
    return found


class LeaseTest(testtools.TestCase):
    """A reading is good for a while from when it was asked for."""

    def test_a_lease_ends_with_its_reading(self):
        found = book()
        before = found.valid_leadership("g", 10.0 + LEASE_S - 0.01, OTHERS)
        self.assertEqual("t1", before.target)
        self.assertIsNone(found.valid_leadership("g", 10.0 + LEASE_S, OTHERS))

    def test_nothing_is_leased_before_a_reading(self):
        found = leases.PrimaryLeases()
        found.merge_leadership(leases.Leadership("g", "t1", 1, revision=5))
        self.assertIsNone(found.valid_leadership("g", 0.0, OTHERS))

    def test_an_announced_change_ends_it_at_once(self):
        found = book()
        change = leases.Leadership("g", "t1", 1, True, revision=6)
        self.assertTrue(found.merge_leadership(change))
        self.assertIsNone(found.valid_leadership("g", 10.0, OTHERS))

    def test_older_records_and_readings_change_nothing(self):
        found = book()
        self.assertFalse(
            found.merge_leadership(leases.Leadership("g", "t9", 1, revision=4))
        )
        self.assertFalse(found.merge_store_read(leases.StoreRead(9, 9.0)))
        self.assertEqual(10.0, found.last_read.read_at)

    def test_promises_of_all_extend_it(self):
        found = book()
        found.merge_promise("b", 13.0)
        self.assertEqual(12.0, found.valid_until(OTHERS))
        found.merge_promise("c", 12.5)
        self.assertEqual(12.5, found.valid_until(OTHERS))
        found.merge_promise("b", 100.0)
        found.merge_promise("c", 100.0)
        extended = 10.0 + leases.EXTENDED_LEASE_S
        self.assertEqual(extended, found.valid_until(OTHERS))

    def test_who_gave_no_promise_is_known(self):
        found = book()
        found.merge_promise("b", 12.5)
        self.assertEqual(["c"], found.members_without_promise(OTHERS, 12.0))
        self.assertEqual(
            ["b", "c"], found.members_without_promise(OTHERS, 12.5)
        )

    def test_an_instance_alone_has_nobody_to_promise(self):
        self.assertEqual(12.0, book().valid_until(()))

    @hypothesis.given(
        strategies.floats(0, 50),
        strategies.floats(0, 50),
        strategies.lists(strategies.floats(0, 50), max_size=5),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_no_lease_outlives_the_wait_of_a_change(
        self, announced_at, now, readings
    ):
        # The promoter is one of the others: it promises nothing from the
        # announcement on, and what it promised before binds it for less
        # than the wait.
        found = leases.PrimaryLeases()
        found.merge_leadership(leases.Leadership("g", "t1", 1, revision=5))
        for read_at in readings:
            if read_at <= announced_at:
                found.merge_store_read(leases.StoreRead(5, read_at))
        found.merge_promise("b", announced_at + leases.PROMISE_S)
        found.merge_promise("c", now + leases.PROMISE_S)
        if found.valid_leadership("g", now, OTHERS) is not None:
            self.assertLess(now, announced_at + LEASE_S)
