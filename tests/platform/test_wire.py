"""Tests of the line protocol."""

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
                lambda line: b"\n" not in line and not line.endswith(b"\r")
            )
        ),
        strategies.integers(1, 7),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_lines_do_not_depend_on_the_chunk_size(self, lines, size):
        data = b"".join(line + b"\r\n" for line in lines)
        buffer = wire.LineBuffer()
        received = []
        for start in range(0, len(data), size):
            received += buffer.feed(data[start : start + size])
        encoded = [wire.encode_line(line) for line in received]
        self.assertEqual([line + b"\r\n" for line in lines], encoded)

    def test_too_long_line_is_refused(self):
        buffer = wire.LineBuffer()
        buffer.feed(b"x" * wire.MAX_LINE_BYTES)
        self.assertRaises(exceptions.ProtocolError, buffer.feed, b"x")


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
