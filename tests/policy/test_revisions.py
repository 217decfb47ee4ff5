"""Tests of revisions across incarnations of the store."""

import testtools

from balsamhinge.policy import revisions

__all__ = ["RevisionsTest"]

LARGEST_NUMBER = 2**40 - 1


class RevisionsTest(testtools.TestCase):
    """Revisions are ordered by incarnation, then by number."""

    # Guards against a store that was never restored and whose revisions an
    # instance of an earlier release would not understand.
    def test_the_first_incarnation_keeps_the_numbers(self):
        self.assertEqual(31, revisions.compose(0, 31))
        self.assertEqual("31", revisions.describe(31))

    def test_a_later_incarnation_comes_after_all_numbers(self):
        earlier = revisions.compose(1, LARGEST_NUMBER)
        later = revisions.compose(2, 0)
        self.assertLess(earlier, later)
        self.assertEqual(2, revisions.incarnation_of(later))
        self.assertEqual(LARGEST_NUMBER, revisions.number_of(earlier))
        self.assertEqual("2.0", revisions.describe(later))
