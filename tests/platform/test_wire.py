"""Tests of the line protocol."""

import re

import hypothesis
from hypothesis import strategies
import testtools

from balsamhinge import exceptions
from balsamhinge.platform import wire
from balsamhinge.policy import positions
from balsamhinge.policy import statements

Access = statements.Access
Answer = statements.Answer
State = statements.State


class LineBufferTest(testtools.TestCase):
    """Received bytes are split into lines, however they are chunked."""

    @hypothesis.given(
        strategies.lists(
            strategies.binary(max_size=30).filter(
                lambda line: b"\n" not in line and b"\r" not in line
            )
        ),
        strategies.integers(1, 7),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_lines_do_not_depend_on_the_chunk_size(self, lines, size):
        data = b"".join(line + b"\r\n" for line in lines)
        buffer = wire.LineBuffer()
        received = feed_in_chunks(buffer, data, [size] * len(data))
        encoded = [wire.encode_line(line) for line in received]
        self.assertEqual([line + b"\r\n" for line in lines], encoded)

    # Guards against a message whose end, or whose refusal, depends on how it
    # was cut into packets.
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([b"\r", b"\n", b"\r\n", b"a", b"\xff"]),
            max_size=30,
        ).map(b"".join),
        strategies.lists(strategies.integers(1, 9), max_size=60),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_bytes_are_read_alike_in_any_chunks(self, data, sizes):
        whole, cut = wire.LineBuffer(), wire.LineBuffer()
        lines = whole.feed(data)
        self.assertEqual(lines, feed_in_chunks(cut, data, sizes))
        self.assertIs(type(whole.error), type(cut.error))
        for line in lines:
            self.assertIsNone(re.search("[\r\n]", line))
        ends_at = sum(len(wire.encode_line(line)) for line in lines)
        rest = data[ends_at:]
        is_bare = re.search(rb"\r(?!\n|\Z)|(?<!\r)\n", rest) is not None
        self.assertEqual(is_bare, whole.error is not None)

    # Guards against a value that ends its message, so that the rest of it
    # runs as a message of its own.
    def test_bare_line_end_is_refused_after_the_lines_before(self):
        for end in (b"\n", b"\r", b"\r\r"):
            buffer = wire.LineBuffer()
            data = b"QUERY 1 READ a\r\nQUERY 2 WRITE a x" + end
            lines = buffer.feed(data + b"QUERY 3 READ a\r\nQUIT\r\n")
            self.assertEqual(["QUERY 1 READ a"], lines)
            self.assertIsInstance(buffer.error, exceptions.ProtocolError)
            self.assertEqual([], buffer.feed(b"QUIT\r\n"))

    # Guards against text of ours or of a caller that ends a line sent to a
    # target or a caller.
    def test_no_line_with_a_line_end_is_sent(self):
        for text in ("a\nb", "a\rb", "a\r\nb"):
            self.assertRaises(exceptions.ProtocolError, wire.encode_line, text)
        refusal = Answer.refusal(statements.Problem.BUSY, "a\r\nREADY I -")
        self.assertEqual(
            b"ERROR BUSY a READY I -\r\nREADY I -\r\n",
            wire.encode_answer(refusal),
        )

    def test_too_long_line_is_refused(self):
        buffer = wire.LineBuffer()
        buffer.feed(b"x" * wire.MAX_LINE_BYTES + b"\r")
        self.assertIsNone(buffer.error)
        buffer.feed(b"x")
        self.assertIsInstance(buffer.error, exceptions.ProtocolError)
        buffer = wire.LineBuffer()
        buffer.feed(b"x" * wire.MAX_LINE_BYTES)
        self.assertIsNone(buffer.error)
        self.assertEqual([], buffer.feed(b"x"))
        self.assertIsInstance(buffer.error, exceptions.MessageTooLong)


def feed_in_chunks(buffer, data, sizes):
    """Feed data in chunks of given sizes and a rest; return the lines."""
    lines, start = [], 0
    for size in sizes:
        lines += buffer.feed(data[start : start + size])
        start += size
    return lines + buffer.feed(data[start:])


class StatementTest(testtools.TestCase):
    """Parsing and formatting of statements."""

    STATEMENT_OF_TEXT = {
        "BEGIN": statements.Begin(),
        "BEGIN READ": statements.Begin(read_only=True),
        "COMMIT": statements.Commit(),
        "ROLLBACK": statements.Rollback(),
        "READ 1a4": statements.Direct(Access.READ, "1a4"),
        "WRITE 1a4 some  data ": statements.Direct(
            Access.WRITE, "1a4 some  data "
        ),
        "SET zone a b": statements.Assign("zone", "a b"),
        "PREPARE s1 WRITE q2c x": statements.Prepare(
            "s1", Access.WRITE, "q2c x"
        ),
        "EXECUTE s1 1a4 x y": statements.Execute("s1", "1a4 x y"),
        "EXECUTE s1": statements.Execute("s1", ""),
        "CLOSE s1": statements.Deallocate("s1"),
    }

    def test_parsing_and_formatting_round_trip(self):
        for text, statement in self.STATEMENT_OF_TEXT.items():
            self.assertEqual(statement, wire.parse_statement(text))
            self.assertEqual(text, wire.statement_text(statement))

    def test_other_texts_are_refused(self):
        for text in (
            "",
            "BEGIN WRITE",
            "COMMIT now",
            "READ",
            "READ  ",
            "SET a",
            "PREPARE s1 DROP q",
            "EXECUTE",
            "CLOSE",
            "CLOSE a b",
            "WAITPOS 1.2 READ a",
            "RESET",
            "STATUS",
            "STEPDOWN 9",
        ):
            self.assertRaises(
                exceptions.ProtocolError, wire.parse_statement, text
            )

    @hypothesis.given(strategies.text(max_size=40))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_text_round_trips_or_is_refused(self, text):
        try:
            statement = wire.parse_statement(text)
        except exceptions.ProtocolError:
            return
        self.assertEqual(text, wire.statement_text(statement))

    def test_order_contains_the_needed_position(self):
        order = statements.Order(
            statements.Direct(Access.READ, "1a4"),
            "5c0e",
            positions.LogPosition(3, 1207),
        )
        self.assertEqual(
            b"QUERY 5c0e WAITPOS 3.1207 READ 1a4\r\n",
            wire.encode_order(order),
        )

    def test_internal_orders_have_no_request_id(self):
        order = statements.Order(statements.Begin())
        self.assertEqual(b"QUERY - BEGIN\r\n", wire.encode_order(order))


class AnswerTest(testtools.TestCase):
    """Encoding of answers."""

    def test_rows_and_signature(self):
        answer = Answer(
            rows=("a b", "c"),
            signature="7.1f",
            state=State.OPEN,
            position=positions.LogPosition(3, 9),
        )
        self.assertEqual(
            b"DATA a b\r\nDATA c\r\nCOMPLETE 7.1f\r\nREADY T 3.9\r\n",
            wire.encode_answer(answer),
        )

    def test_each_problem_has_its_own_code(self):
        for problem in statements.Problem:
            answer = Answer.refusal(problem, "why", State.FAILED)
            line = wire.encode_answer(answer).split(b"\r\n")[0].decode()
            code = line.split(" ")[1]
            self.assertIs(problem, wire.PROBLEM_OF_CODE[code])
