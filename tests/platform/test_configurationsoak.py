"""A few seeds; ``tests.platform.configurationsoak`` plays more."""

import types

import testtools

from tests.platform import configurationsoak
from tests.platform import stopfleet

__all__ = ["ConfigurationSoakTest", "JudgeTest"]

# One fault, and the time until its end and the bounds have been checked.
PLAY_S = 1.0
# Loop seconds of two versions: the first has no route to a database, the
# second has one to the group "old", the third one to "new".
ADDED_AT, MOVED_AT = 100.0, 200.0


class JudgeTest(testtools.TestCase):
    """Requests are judged by the versions that allow how they ended."""

    def setUp(self):
        """Make a history of three versions."""
        super().setUp()
        self.received_at = {}
        self.disturbances = []
        changes = [
            configurationsoak.Change(10, 0.0, {}),
            configurationsoak.Change(13, ADDED_AT, {"d1": "old"}),
            configurationsoak.Change(16, MOVED_AT, {"d1": "new"}),
        ]
        fleet = types.SimpleNamespace(
            changes=changes, received_at=self.received_at
        )
        self.judge = configurationsoak.Judge(fleet, self.disturbances)
        self.first = stopfleet.Incarnation("front-1", None, 0.0)

    def judge_probe(self, sent_at, group, incarnation=None):
        """Judge a request that a group ran, or that was refused if None."""
        request_id = f"at{sent_at}"
        if group is not None:
            self.received_at[request_id] = sent_at, f"{group}-1"
        probe = configurationsoak.Probe(
            "opening",
            "front-1",
            incarnation or self.first,
            "d1",
            request_id,
            sent_at,
            sent_at + 0.01,
            "refused" if group is None else "ran",
        )
        return self.judge.judge(probe)

    def disturb(self, instance, begin, end, kind="swallow"):
        """Add a fault."""
        self.disturbances.append(
            configurationsoak.Disturbance(kind, instance, begin, end)
        )

    # Guards against a soak that misses a route that is not yet served.
    def test_a_refusal_after_the_bound_is_late(self):
        self.assertEqual("", self.judge_probe(ADDED_AT + 2.9, None))
        self.assertIn("late", self.judge_probe(ADDED_AT + 3.1, None))

    # Guards against a soak that misses requests to the former group.
    def test_a_run_by_the_former_group_is_late(self):
        self.assertEqual("", self.judge_probe(MOVED_AT + 2.9, "old"))
        self.assertIn("late", self.judge_probe(MOVED_AT + 3.1, "old"))

    # Guards against a soak that misses an older version in a process.
    def test_an_older_version_in_the_same_process_is_found(self):
        self.assertEqual("", self.judge_probe(MOVED_AT + 0.1, "new"))
        self.assertIn("older again", self.judge_probe(MOVED_AT + 0.5, "old"))

    # Guards against a soak that misses it while the bounds are suspended.
    def test_an_older_version_beside_a_fault_is_found(self):
        self.disturb("front-1", MOVED_AT, MOVED_AT + 10.0)
        self.assertEqual("", self.judge_probe(MOVED_AT + 0.1, "new"))
        self.assertEqual("", self.judge_probe(MOVED_AT + 2.0, "old"))
        self.assertIn("older again", self.judge_probe(MOVED_AT + 2.2, "old"))

    # Guards against a soak that is red where a process is restarted.
    def test_another_process_may_have_an_older_version(self):
        self.assertEqual("", self.judge_probe(MOVED_AT + 0.1, "new"))
        second = stopfleet.Incarnation("front-1", None, MOVED_AT + 0.2)
        self.assertEqual("", self.judge_probe(MOVED_AT + 1.0, "old", second))

    # Guards against a soak that judges too early, or nothing, after a fault.
    def test_the_bound_applies_again_after_a_fault(self):
        self.disturb("front-1", ADDED_AT, ADDED_AT + 10.0)
        self.assertEqual("", self.judge_probe(ADDED_AT + 13.9, None))
        self.assertIn("late", self.judge_probe(ADDED_AT + 14.1, None))

    # Guards against a soak in which one fault hides delays elsewhere.
    def test_a_fault_of_another_instance_suspends_nothing(self):
        self.disturb("front-2", ADDED_AT, ADDED_AT + 10.0)
        self.assertIn("late", self.judge_probe(ADDED_AT + 3.1, None))

    # Guards against a soak that is red while the store is down.
    def test_a_fault_of_the_store_suspends_the_bound(self):
        self.disturb("", ADDED_AT, ADDED_AT + 10.0)
        self.assertEqual("", self.judge_probe(ADDED_AT + 13.9, None))
        self.assertIn("late", self.judge_probe(ADDED_AT + 14.1, None))

    # Guards against a soak that expects nothing while the store turns some
    # instances away.
    def test_refusals_of_the_store_lengthen_the_bound(self):
        self.disturb("front-2", ADDED_AT, ADDED_AT + 30.0, "unavailable")
        self.assertEqual("", self.judge_probe(ADDED_AT + 14.9, None))
        self.assertIn("late", self.judge_probe(ADDED_AT + 15.1, None))

    # Guards against a soak that is red where an instance stands still
    # beside refusals of the store.
    def test_a_second_fault_suspends_the_longer_bound(self):
        self.disturb("front-2", ADDED_AT, ADDED_AT + 30.0, "unavailable")
        self.disturb("front-1", ADDED_AT, ADDED_AT + 30.0, "freeze")
        self.assertEqual("", self.judge_probe(ADDED_AT + 15.1, None))


class ConfigurationSoakTest(testtools.TestCase):
    """Configurations change while real processes lose the store."""

    def assert_in_force(self, seed, faults, fault_s):
        """Play one fault, and check how requests were handled."""
        options = configurationsoak.Options(faults, PLAY_S, fault_s)
        outcome = configurationsoak.play(seed, options)
        self.assertGreater(outcome.judged, 0)
        self.assertEqual([], outcome.breaches)
        self.assertEqual([], outcome.exits)

    # Guards against routes that instances refuse, or use after their end,
    # since calls wait for a store that has taken and forgotten them.
    def test_changes_after_a_silence_of_the_store_are_in_force(self):
        self.assert_in_force(4, ("silent",), (4.9, 4.9))
