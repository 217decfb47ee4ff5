"""Tests of the table of lost statements."""

import testtools

from balsamhinge import explaining
from bench import losses

__all__ = ["LossReportTest"]

LINES = (
    "  4.1 one time=2026-01-01T00:00:04.100000Z level=INFO event=refused "
    'request_id=a waited_s=0.800000 failures="t: behind; t: no primary may '
    'be used"',
    "time=2026-01-01T00:00:04.200000Z level=INFO event=refused request_id=b "
    'waited_s=0.400000 failures="t: no primary may be used"',
    "time=2026-01-01T00:00:05.100000Z level=NOTICE event=write_in_doubt "
    'request_id=c waited_s=0.500000 error="no answer in time"',
    "time=2026-01-01T00:00:05.200000Z level=NOTICE event=leases_valid",
    "time=2026-01-01T00:00:06.000000Z level=WARNING "
    "event=log_lines_dropped dropped=refused lines=7",
    "time=2026-01-01T00:00:06.000000Z level=WARNING "
    "event=log_lines_dropped dropped=peer_heard lines=9",
)


class LossReportTest(testtools.TestCase):
    """Logs of instances become counts by reason and by second."""

    def setUp(self):
        super().setUp()
        self.report = losses.LossReport()
        for text in LINES:
            self.report.add(explaining.parse_line(text, "log"))

    def test_losses_are_counted_by_reason(self):
        rows = self.report.rows_by_reason()
        self.assertEqual(
            [("not run", losses.Reason.LEASE, 2, 0.6)],
            [
                (
                    row["outcome"],
                    row["reason"],
                    row["statements"],
                    round(row["mean_wait_s"], 6),
                )
                for row in rows[:1]
            ],
        )
        self.assertEqual(losses.Reason.ANSWER, rows[1]["reason"])

    def test_losses_are_counted_by_second(self):
        rows = self.report.rows_by_second()
        self.assertEqual(
            [(4, 2), (5, 1)],
            [(row["second"], row["statements"]) for row in rows],
        )

    # Guards against a table that looks complete although the instances
    # wrote only a sample of the lines.
    def test_dropped_lines_about_losses_are_counted(self):
        self.assertEqual(7, self.report.dropped)

    def test_each_known_text_has_its_reason(self):
        for text, reason in (
            ("5 wait for t, about 0.90 s", losses.Reason.CONNECTION),
            ("no answer of host h", losses.Reason.HOST),
            (
                "host h: t accepts no more connections",
                losses.Reason.CONNECTION,
            ),
            ("busy", losses.Reason.SLOT),
            ("something else", losses.Reason.OTHER),
        ):
            self.assertEqual(reason, losses.classify(text), text)
