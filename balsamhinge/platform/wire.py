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
TERMINATOR = b"\r\n"
BARE_TERMINATOR = re.compile(rb"[\r\n]")
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
    """Splits a stream of received bytes into lines.

    Attributes
    ----------
    error : ProtocolError or None
        Why the rest of the stream cannot be read.
    """

    def __init__(self):
        self._incomplete = bytearray()
        self.error = None

    def feed(self, data):
        """Return the lines that `data` completes, without line terminators.

        The result is the same for any cut of the stream into chunks. Nothing
        is returned of a line that violates the protocol, nor after it.

        Parameters
        ----------
        data : bytes
            The bytes received next; an incomplete last line is buffered.

        Returns
        -------
        list of str
            Invalid UTF-8 is preserved, so that `encode_line` restores it.
        """
        if self.error is not None:
            return []
        self._incomplete += data
        *complete, self._incomplete = self._incomplete.split(TERMINATOR)
        lines = []
        for line in complete:
            self.error = find_violation(line)
            if self.error is not None:
                return lines
            lines.append(line.decode("utf-8", "surrogateescape"))
        # The next byte may complete a terminator.
        self.error = find_violation(self._incomplete.removesuffix(b"\r"))
        return lines


def find_violation(line):
    """Return a `ProtocolError` if bytes cannot begin or be a line.

    Only CR LF ends a line. A peer that takes a single CR or LF for an end
    would find another message in it.
    """
    if BARE_TERMINATOR.search(line, 0, MAX_LINE_BYTES):
        return exceptions.ProtocolError("a line has a bare CR or LF")
    if len(line) > MAX_LINE_BYTES:
        return exceptions.MessageTooLong(
            f"a message is longer than {MAX_LINE_BYTES} bytes"
        )
    return None


def encode_line(line):
    """Return a line as bytes, with its line terminator.

    Raises
    ------
    ProtocolError
        If the line contains a CR or LF; it would be another message.
    """
    data = line.encode("utf-8", "surrogateescape")
    if BARE_TERMINATOR.search(data):
        raise exceptions.ProtocolError("a line has a bare CR or LF")
    return data + TERMINATOR


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
        lines.append(error_line(answer.problem, answer.detail))
    lines.append(encode_ready(answer.state, answer.position))
    return b"".join(map(encode_line, lines))


def error_line(problem, detail):
    """Return an ERROR line; `detail` may be the text of any exception."""
    text = " ".join(detail.split()) or "-"
    return f"ERROR {ERROR_CODES[problem]} {text}"


def encode_ready(state, position=None):
    """Return the READY line that ends each answer."""
    return f"READY {LETTER_OF_STATE[state]} {position or '-'}"
