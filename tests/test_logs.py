"""Tests of structured logging."""

import fcntl
import os

import logbook
import testtools

from balsamhinge import logs


class EventTest(testtools.TestCase):
    """Formatting of an event as one line of key=value pairs."""

    def test_fields_become_quoted_pairs_on_one_line(self):
        lines = []

        def error(line):
            lines.append(line)

        logs.event(error, "moved", term=3, error='a "b"\nc', s=0.5)
        self.assertEqual(
            ['event=moved term=3 error="a \\"b\\"\\nc" s=0.500000'], lines
        )


class EventBudgetTest(testtools.TestCase):
    """The limit of lines in a second for each event name."""

    def test_lines_beyond_the_limit_are_counted(self):
        now = [0.0]
        budget = logs.EventRateLimiter(2, lambda: now[0])
        self.assertEqual(
            [True, True, False, False],
            [budget.allows("refused") for _ in range(4)],
        )
        self.assertTrue(budget.allows("started"))
        self.assertEqual({"refused": 2}, dict(budget.pop_dropped()))
        now[0] = 1.0
        self.assertTrue(budget.allows("refused"))
        self.assertEqual({}, dict(budget.pop_dropped()))


class BoundedHandlerTest(testtools.TestCase):
    """Writing to a pipe whose reader has stopped reading."""

    def test_unread_lines_are_buffered_up_to_a_limit(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        handler = logs.BoundedHandler(writer, "INFO")
        log = logbook.Logger("test")
        with handler.applicationbound():
            for number in range(5000):
                log.info(f"event=line number={number} " + "x" * 80)
        self.assertGreater(handler.dropped, 0)
        text = b""
        while True:
            handler.flush()
            os.set_blocking(reader, False)
            try:
                text += os.read(reader, 65536)
            except BlockingIOError:
                break
        lines = text.decode().splitlines()
        self.assertEqual(5000, len(lines) + handler.dropped)
        for number, line in enumerate(lines):
            self.assertIn(f"number={number} ", line)
