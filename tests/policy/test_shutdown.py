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
