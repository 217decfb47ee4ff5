"""Tests of when a group needs another primary, and which."""

import attrs
import testtools

from balsamhinge import interfaces
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import succession

Evidence = succession.Evidence
Role = routes.TargetRole
Verdict = succession.Verdict
WELL = Evidence(
    listed=True, leaving=False, gone_s=0.0, silent_s=0.0, heard_s=0.1
)


def report(number, role=Role.REPLICA, term=1):
    """Return what a target says of itself."""
    position = positions.LogPosition(1, number)
    return interfaces.TargetReport(role, term, position, position)


class JudgeTest(testtools.TestCase):
    """Silence to all replaces; silence to most, or leaving, switches."""

    def test_each_verdict(self):
        for verdict, changes in (
            (Verdict.KEEP, {}),
            (Verdict.SWITCH, {"leaving": True}),
            (Verdict.KEEP, {"silent_s": 2.0, "heard_s": 0.2}),
            (Verdict.REPLACE, {"silent_s": 2.0, "heard_s": 2.0}),
            (Verdict.SWITCH, {"spread_s": 1.0}),
            (Verdict.KEEP, {"spread_s": 0.3}),
            (Verdict.KEEP, {"listed": False, "gone_s": 1.0}),
            (Verdict.SWITCH, {"listed": False, "gone_s": 3.0}),
            (
                Verdict.REPLACE,
                {"listed": False, "gone_s": 0.1, "heard_s": 2.0},
            ),
            (
                Verdict.REPLACE,
                {"leaving": True, "silent_s": 2.0, "heard_s": 2.0},
            ),
        ):
            evidence = attrs.evolve(WELL, **changes)
            self.assertIs(verdict, succession.judge(evidence), changes)

    def test_most_is_more_than_half_of_those_that_ask(self):
        self.assertFalse(succession.is_spread(0, 0))
        self.assertFalse(succession.is_spread(2, 2))
        self.assertTrue(succession.is_spread(3, 2))


class ChooseTest(testtools.TestCase):
    """The furthest log leads, unless somebody leads already."""

    def test_the_furthest_replica(self):
        reports = {"a": report(4), "b": report(7), "c": report(9)}
        chosen = succession.choose_successor(reports, {"c"})
        self.assertEqual("b", chosen)

    def test_a_target_that_leads_the_newest_term_stays(self):
        reports = {
            "a": report(4, Role.PRIMARY, 2),
            "b": report(7),
            "c": report(9, Role.PRIMARY, 1),
        }
        self.assertEqual("a", succession.choose_successor(reports, set()))

    def test_nobody_is_left(self):
        self.assertIsNone(succession.choose_successor({}, set()))
        reports = {"a": report(4)}
        self.assertIsNone(succession.choose_successor(reports, {"a"}))
