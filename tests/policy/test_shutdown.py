"""Tests of the schedule of a graceful shutdown."""

import itertools

import testtools

from balsamhinge.policy import shutdown


class ShutdownScheduleTest(testtools.TestCase):
    """The stages of a shutdown follow each other within the grace time."""

    # Guards against work that is accepted too late to be answered before the
    # process is killed.
    def test_each_stage_leaves_time_for_the_next(self):
        for grace_s in (1.0, 6.0, 3600.0):
            schedule = shutdown.ShutdownSchedule.from_grace(100.0, grace_s)
            times = (
                100.0,
                schedule.refuse_operations_at,
                schedule.abort_transactions_at,
                schedule.answer_by,
                schedule.close_by,
                100.0 + grace_s,
            )
            for earlier, later in itertools.pairwise(times):
                self.assertLess(earlier, later)

    # Guards against a transaction that is aborted within the half of the
    # grace time that open transactions have, or with new operations.
    def test_open_transactions_outlast_new_operations(self):
        schedule = shutdown.ShutdownSchedule.from_grace(0.0, 6.0)
        for now, refuses, aborts in (
            (2.9, False, False),
            (3.0, True, False),
            (4.7, True, False),
            (4.81, True, True),
        ):
            self.assertEqual(refuses, schedule.refuses_operations(now))
            self.assertEqual(aborts, schedule.aborts_transactions(now))


class StallDetectorTest(testtools.TestCase):
    """A process that got no processor time handles its signal late."""

    def running_until(self, stopped_at):
        """Return the detector of a process that ran until a time."""
        detector = shutdown.StallDetector(0.0)
        for step in range(1, round(stopped_at * 10) + 1):
            detector.record(step / 10)
        return detector

    # Guards against a process that is killed before its last answers, as
    # its grace time began while it stood still.
    def test_a_signal_may_have_come_during_a_stall(self):
        detector = self.running_until(5.0)
        self.assertEqual(5.0, detector.earliest_signal_at(10.05))

    # Guards against a stall that is forgotten before its signal is handled:
    # the loop runs its timers before the handler.
    def test_a_check_between_stall_and_handler_hides_no_stall(self):
        detector = self.running_until(5.0)
        detector.record(10.05)
        self.assertEqual(5.0, detector.earliest_signal_at(10.06))

    # Guards against a stop that is dated from a stall that ended before the
    # signal, and refuses operations too early.
    def test_a_signal_long_after_a_stall_is_not_late(self):
        detector = self.running_until(5.0)
        for now in (10.05, 10.15, 10.25):
            detector.record(now)
        self.assertEqual(10.3, detector.earliest_signal_at(10.3))

    # Guards against a stop that is dated from the last check of a process
    # that has not stood still.
    def test_a_running_process_handles_signals_at_once(self):
        detector = self.running_until(5.0)
        self.assertEqual(5.05, detector.earliest_signal_at(5.05))
