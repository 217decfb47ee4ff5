"""The line protocol between callers, instances and targets."""

import re

from balsamhinge import exceptions
from balsamhinge.policy import positions
from balsamhinge.policy import statements

__all__ = [
    "CONNECT",
    "MAX_LINE_BYTES",
    "QUERY",
    "QUIT",
    "LineBuffer",
    "encode_answer",
    "encode_order",
    "parse_position",
    "parse_statement",
]

CONNECT = "CONNECT"
QUERY = "QUERY"
QUIT = "QUIT"
# The limit that the protocol sets for one message.
MAX_LINE_BYTES = 1024 * 1024
# Prefix of the names of prepared statements on a shared connection.
SHARED_NAME_PREFIX = "p"

ACCESS_OF_KEYWORD = {
    "READ": statements.Access.READ,
    "WRITE": statements.Access.WRITE,
}
KEYWORD_OF_ACCESS = {
    access: word for word, access in ACCESS_OF_KEYWORD.items()
}
ERROR_CODES = {
    statements.Problem.BUSY: "BUSY",
    statements.Problem.BEHIND: "LAGGING",
    statements.Problem.READ_ONLY: "READONLY",
    statements.Problem.WRONG_TARGET: "WRONGNODE",
    statements.Problem.TOO_MANY: "CONNLIMIT",
    statements.Problem.UNKNOWN_NAME: "UNKNOWN",
    statements.Problem.FAILED: "FAILED",
    statements.Problem.TIMEOUT: "TIMEOUT",
    statements.Problem.DENIED: "DENIED",
    statements.Problem.NO_DATABASE: "NODATABASE",
    statements.Problem.TOO_LARGE: "TOOLARGE",
    statements.Problem.MALFORMED: "MALFORMED",
    statements.Problem.ABORTED: "ABORTED",
    statements.Problem.IN_DOUBT: "INDOUBT",
}
PROBLEM_OF_CODE = {code: problem for problem, code in ERROR_CODES.items()}
STATE_OF_LETTER = {
    "I": statements.State.IDLE,
    "T": statements.State.OPEN,
    "E": statements.State.FAILED,
}
LETTER_OF_STATE = {state: letter for letter, state in STATE_OF_LETTER.items()}
POSITION_PATTERN = re.compile(r"(\d{1,18})\.(\d{1,18})")


class LineBuffer:
    """Splits a stream of received bytes into lines."""

    def __init__(self):
        self._incomplete = bytearray()

    def feed(self, data):
        """Return the lines that `data` completes, without line terminators.

        Parameters
        ----------
        data : bytes
            The bytes received next; an incomplete last line is buffered.

        Raises
        ------
        ProtocolError
            If a line is longer than `MAX_LINE_BYTES`.
        """
        self._incomplete += data
        end = self._incomplete.rfind(b"\n")
        if end < 0:
            self._check_size(len(self._incomplete))
            return []
        complete = bytes(self._incomplete[:end])
        del self._incomplete[: end + 1]
        lines = complete.split(b"\n")
        self._check_size(max(len(line) for line in lines))
        self._check_size(len(self._incomplete))
        # Invalid UTF-8 is preserved, so that `encode_line` restores it.
        return [
            line.removesuffix(b"\r").decode("utf-8", "surrogateescape")
            for line in lines
        ]

    def _check_size(self, size):
        if size > MAX_LINE_BYTES:
            raise exceptions.ProtocolError(
                f"a message is longer than {MAX_LINE_BYTES} bytes"
            )


def encode_line(line):
    """Return a line as bytes, with its line terminator."""
    return (line + "\r\n").encode("utf-8", "surrogateescape")


def parse_position(text):
    """Parse a `LogPosition`; return None if the text is not one."""
    matched = POSITION_PATTERN.fullmatch(text)
    if matched is None:
        return None
    return positions.LogPosition(int(matched[1]), int(matched[2]))


def parse_statement(text):
    """Parse the statement in a caller's query.

    Raises
    ------
    ProtocolError
        If the text is not a statement that callers may send.
    """
    word, _, rest = text.partition(" ")
    match word, rest:
        case "BEGIN", "":
            return statements.Begin()
        case "BEGIN", "READ":
            return statements.Begin(read_only=True)
        case "COMMIT", "":
            return statements.Commit()
        case "ROLLBACK", "":
            return statements.Rollback()
        case "READ" | "WRITE", _ if rest.strip():
            return statements.Direct(ACCESS_OF_KEYWORD[word], rest)
        case "SET", _:
            name, _, value = rest.partition(" ")
            if name and value:
                return statements.Assign(name, value)
        case "PREPARE", _:
            parts = rest.split(" ", 2)
            if len(parts) == 3 and parts[1] in ACCESS_OF_KEYWORD:
                access = ACCESS_OF_KEYWORD[parts[1]]
                return statements.Prepare(parts[0], access, parts[2])
        case "EXECUTE", _:
            name, _, arguments = rest.partition(" ")
            if name:
                return statements.Execute(name, arguments)
        case "CLOSE", _ if rest and " " not in rest:
            return statements.Deallocate(rest)
    raise exceptions.ProtocolError("the text is no known statement")


def statement_text(statement):
    """Format a statement for a target."""
    match statement:
        case statements.Direct(access, arguments):
            return f"{KEYWORD_OF_ACCESS[access]} {arguments}"
        case statements.Execute(name, arguments):
            return (
                f"EXECUTE {name} {arguments}"
                if arguments
                else (f"EXECUTE {name}")
            )
        case statements.Begin(read_only):
            return "BEGIN READ" if read_only else "BEGIN"
        case statements.Commit():
            return "COMMIT"
        case statements.Rollback():
            return "ROLLBACK"
        case statements.Assign(name, value):
            return f"SET {name} {value}"
        case statements.Prepare(name, access, shape):
            return f"PREPARE {name} {KEYWORD_OF_ACCESS[access]} {shape}"
        case statements.Deallocate(name):
            return f"CLOSE {name}"
        case statements.Reset():
            return "RESET"
        case statements.Status():
            return "STATUS"
        case statements.Pause(term):
            return f"PAUSE {term}"
        case statements.Resume():
            return "RESUME"
        case statements.StepDown(term):
            return f"STEPDOWN {term}"
    raise TypeError(f"not a statement: {statement!r}")


def encode_order(order):
    """Encode the query that makes a target execute an `Order`."""
    text = statement_text(order.statement)
    if order.needed is not None:
        text = f"WAITPOS {order.needed} {text}"
    return encode_line(f"{QUERY} {order.request_id or '-'} {text}")


def encode_answer(answer):
    """Encode an `Answer` to a caller's statement."""
    lines = [f"DATA {row}" for row in answer.rows]
    if answer.problem is None:
        lines.append(f"COMPLETE {answer.signature or '-'}")
    else:
        lines.append(
            f"ERROR {ERROR_CODES[answer.problem]} {answer.detail or '-'}"
        )
    lines.append(encode_ready(answer.state, answer.position))
    return encode_line("\r\n".join(lines))


def encode_ready(state, position=None):
    """Return the READY line that ends each answer."""
    return f"READY {LETTER_OF_STATE[state]} {position or '-'}"
