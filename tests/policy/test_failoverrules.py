"""Tests of the failover rules and the choice of a successor."""

import attrs
import testtools

from balsamhinge import interfaces
from balsamhinge.policy import failoverrules
from balsamhinge.policy import positions
from balsamhinge.policy import routes

PrimaryHealth = failoverrules.PrimaryHealth
Role = routes.TargetRole
FailoverAction = failoverrules.FailoverAction
HEALTHY = PrimaryHealth(
    listed=True,
    leaving=False,
    unlisted_s=0.0,
    unresponsive_s=0.0,
    last_response_age_s=0.1,
)


def report(number, role=Role.REPLICA, term=1, written_in=1):
    """Return a target's report with a log of `number` entries."""
    position = positions.LogPosition(written_in, number)
    return interfaces.TargetReport(role, term, position, position)


class DecideActionTest(testtools.TestCase):
    """Failover if no instance has answers; switchover if most have none."""

    def test_each_action(self):
        for action, changes in (
            (FailoverAction.KEEP, {}),
            (FailoverAction.SWITCH, {"leaving": True}),
            (
                FailoverAction.KEEP,
                {"unresponsive_s": 2.0, "last_response_age_s": 0.2},
            ),
            (
                FailoverAction.REPLACE,
                {"unresponsive_s": 2.0, "last_response_age_s": 2.0},
            ),
            (FailoverAction.SWITCH, {"unresponsive_to_most_s": 1.0}),
            (FailoverAction.KEEP, {"unresponsive_to_most_s": 0.3}),
            (FailoverAction.KEEP, {"listed": False, "unlisted_s": 1.0}),
            (FailoverAction.SWITCH, {"listed": False, "unlisted_s": 3.0}),
            (
                FailoverAction.REPLACE,
                {
                    "listed": False,
                    "unlisted_s": 0.1,
                    "last_response_age_s": 2.0,
                },
            ),
            (
                FailoverAction.REPLACE,
                {
                    "leaving": True,
                    "unresponsive_s": 2.0,
                    "last_response_age_s": 2.0,
                },
            ),
        ):
            health = attrs.evolve(HEALTHY, **changes)
            self.assertIs(action, failoverrules.decide_action(health), changes)

    def test_most_means_more_than_half_of_the_instances(self):
        self.assertFalse(failoverrules.is_unresponsive_to_most(0, 0))
        self.assertFalse(failoverrules.is_unresponsive_to_most(2, 2))
        self.assertTrue(failoverrules.is_unresponsive_to_most(3, 2))


class ChooseSuccessorTest(testtools.TestCase):
    """The longest log wins unless a target leads already."""

    def test_longest_log_is_chosen(self):
        reports = {"a": report(4), "b": report(7), "c": report(9)}
        chosen = failoverrules.choose_successor(reports, {"c"})
        self.assertEqual("b", chosen)

    def test_target_that_leads_the_newest_term_is_chosen(self):
        reports = {
            "a": report(4, Role.PRIMARY, 2),
            "b": report(7),
            "c": report(9, Role.PRIMARY, 1),
        }
        self.assertEqual("a", failoverrules.choose_successor(reports, set()))

    def test_no_candidate_is_left(self):
        self.assertIsNone(failoverrules.choose_successor({}, set()))
        reports = {"a": report(4)}
        self.assertIsNone(failoverrules.choose_successor(reports, {"a"}))

    def test_a_log_without_an_entry_of_the_term_is_incomplete(self):
        reports = {"a": report(9), "b": report(4, term=2, written_in=2)}
        self.assertEqual({"a"}, failoverrules.find_incomplete(reports, 2))
        self.assertEqual(set(), failoverrules.find_incomplete(reports, 1))

    def test_a_target_leads_a_later_term_than_a_known_one_only(self):
        reports = {"a": report(9, Role.PRIMARY, 2), "b": report(9, term=2)}
        for expected, name, term in (
            (True, "a", 1),
            (False, "a", 2),
            (False, "a", 0),
            (False, "b", 1),
            (False, "c", 1),
            (False, None, 1),
        ):
            leads = failoverrules.leads_later_term(reports, name, term)
            self.assertIs(expected, leads, (name, term))
