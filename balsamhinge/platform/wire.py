"""The line protocol between callers, instances and targets."""

import re

from balsamhinge import exceptions
from balsamhinge.policy import positions
from balsamhinge.policy import statements

__all__ = [
    "CONNECT",
    "MOST_LINE_BYTES",
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
# The protocol's own limit of one message.
MOST_LINE_BYTES = 1024 * 1024
# Prepared names on a shared connection begin so.
SHARED_NAME = "p"

ACCESS_WORDS = {
    "READ": statements.Access.READ,
    "WRITE": statements.Access.WRITE,
}
WORD_OF_ACCESS = {access: word for word, access in ACCESS_WORDS.items()}
CODES = {
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
PROBLEMS = {code: problem for problem, code in CODES.items()}
STATES = {
    "I": statements.State.IDLE,
    "T": statements.State.OPEN,
    "E": statements.State.FAILED,
}
LETTERS = {state: letter for letter, state in STATES.items()}
POSITION = re.compile(r"(\d{1,18})\.(\d{1,18})")


class LineBuffer:
    """Cuts received bytes into lines."""

    def __init__(self):
        self._rest = bytearray()

    def feed(self, data):
        """Return the complete lines, decoded, without their ends.

        Raises
        ------
        ProtocolError
            If a line is longer than one message may be.
        """
        self._rest += data
        end = self._rest.rfind(b"\n")
        if end < 0:
            self._check(len(self._rest))
            return []
        whole = bytes(self._rest[:end])
        del self._rest[: end + 1]
        lines = whole.split(b"\n")
        self._check(max(len(line) for line in lines))
        self._check(len(self._rest))
        # Bytes that are no UTF-8 must leave as they came.
        return [
            line.removesuffix(b"\r").decode("utf-8", "surrogateescape")
            for line in lines
        ]

    def _check(self, size):
        if size > MOST_LINE_BYTES:
            raise exceptions.ProtocolError(
                f"a message is longer than {MOST_LINE_BYTES} bytes"
            )


def encode(line):
    """Return the bytes of one line."""
    return (line + "\r\n").encode("utf-8", "surrogateescape")


def parse_position(text):
    """Return the position that a text names, or None for none."""
    found = POSITION.fullmatch(text)
    if found is None:
        return None
    return positions.LogPosition(int(found[1]), int(found[2]))


def parse_statement(text):
    """Return the statement that a caller's text asks for.

    Raises
    ------
    ProtocolError
        If the text names none.
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
            return statements.Direct(ACCESS_WORDS[word], rest)
        case "SET", _:
            name, _, value = rest.partition(" ")
            if name and value:
                return statements.Assign(name, value)
        case "PREPARE", _:
            parts = rest.split(" ", 2)
            if len(parts) == 3 and parts[1] in ACCESS_WORDS:
                access = ACCESS_WORDS[parts[1]]
                return statements.Prepare(parts[0], access, parts[2])
        case "EXECUTE", _:
            name, _, arguments = rest.partition(" ")
            if name:
                return statements.Execute(name, arguments)
        case "CLOSE", _ if rest and " " not in rest:
            return statements.Deallocate(rest)
    raise exceptions.ProtocolError("the text is no known statement")


def statement_text(statement):
    """Return a statement in the words that a target expects."""
    match statement:
        case statements.Direct(access, arguments):
            return f"{WORD_OF_ACCESS[access]} {arguments}"
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
            return f"PREPARE {name} {WORD_OF_ACCESS[access]} {shape}"
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
    """Return the bytes that ask a target to run an order."""
    text = statement_text(order.statement)
    if order.needed is not None:
        text = f"WAITPOS {order.needed} {text}"
    return encode(f"{QUERY} {order.request_id or '-'} {text}")


def encode_answer(answer):
    """Return the bytes that tell a caller what came of a statement."""
    lines = [f"DATA {row}" for row in answer.rows]
    if answer.problem is None:
        lines.append(f"COMPLETE {answer.signature or '-'}")
    else:
        lines.append(f"ERROR {CODES[answer.problem]} {answer.detail or '-'}")
    lines.append(encode_ready(answer.state, answer.position))
    return encode("\r\n".join(lines))


def encode_ready(state, position=None):
    """Return the line that ends each answer."""
    return f"READY {LETTERS[state]} {position or '-'}"
