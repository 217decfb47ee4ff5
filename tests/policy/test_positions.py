"""Tests of log positions."""

import testtools

from balsamhinge.policy import positions

Position = positions.LogPosition


class CoversTest(testtools.TestCase):
    """A later term must also have come at least as far."""

    def test_same_term_needs_the_offset(self):
        self.assertTrue(positions.covers(Position(2, 5), Position(2, 5)))
        self.assertFalse(positions.covers(Position(2, 4), Position(2, 5)))

    def test_later_term_needs_the_offset_too(self):
        self.assertTrue(positions.covers(Position(3, 5), Position(2, 5)))
        self.assertFalse(positions.covers(Position(3, 4), Position(2, 5)))

    def test_earlier_term_never_covers(self):
        self.assertFalse(positions.covers(Position(1, 9), Position(2, 5)))
