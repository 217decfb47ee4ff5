"""Statements of sessions and their answers."""

import enum

import attrs

from balsamhinge.policy import positions

__all__ = [
    "Access",
    "Answer",
    "Assign",
    "Begin",
    "Commit",
    "Deallocate",
    "Direct",
    "Execute",
    "Order",
    "Pause",
    "Prepare",
    "Problem",
    "Reset",
    "Resume",
    "Rollback",
    "State",
    "Status",
    "StepDown",
]


class Access(enum.StrEnum):
    """Whether a statement changes data."""

    READ = "read"
    WRITE = "write"


class State(enum.StrEnum):
    """Transaction state of a session or a connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Problem(enum.StrEnum):
    """Why a statement was refused or failed."""

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_TARGET = "wrong_target"
    TOO_MANY = "too_many"
    UNKNOWN_NAME = "unknown_name"
    FAILED = "failed"
    TIMEOUT = "timeout"
    DENIED = "denied"
    NO_DATABASE = "no_database"
    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    ABORTED = "aborted"
    IN_DOUBT = "in_doubt"


@attrs.frozen
class Begin:
    """Opens a transaction."""

    read_only: bool = False


@attrs.frozen
class Commit:
    """Commits a transaction."""


@attrs.frozen
class Rollback:
    """Aborts a transaction."""


@attrs.frozen
class Assign:
    """Sets a session value."""

    name: str
    value: str


@attrs.frozen
class Prepare:
    """Prepares a statement under a name."""

    name: str
    access: Access
    shape: str


@attrs.frozen
class Deallocate:
    """Removes a prepared statement."""

    name: str


@attrs.frozen
class Direct:
    """Reads or writes an item; `arguments` are passed on unchanged."""

    access: Access
    arguments: str


@attrs.frozen
class Execute:
    """Runs a prepared statement; `arguments` are passed on unchanged."""

    name: str
    arguments: str


@attrs.frozen
class Reset:
    """Clears a connection's session values and prepared statements."""


@attrs.frozen
class Status:
    """Asks a target for its role and position."""


@attrs.frozen
class Pause:
    """Stops replication at a replica, under a new highest term."""

    term: int


@attrs.frozen
class Resume:
    """Lets a paused replica receive again."""


@attrs.frozen
class StepDown:
    """Demotes a primary of a lower term to a replica."""

    term: int


@attrs.frozen
class Order:
    """A statement as it is sent to a target.

    Parameters
    ----------
    statement : object
        One of the classes above.
    request_id : str
        Identifier that the caller gave; "" for the proxy's own queries.
    needed : LogPosition or None
        Position that the target's log must hold.
    """

    statement: object
    request_id: str = ""
    needed: positions.LogPosition | None = None


@attrs.frozen
class Answer:
    """Result of a statement.

    Parameters
    ----------
    rows : tuple of str
        Result rows, in order.
    signature : str
        Signature of the target that ran the statement; "" if the session
        answered without a target.
    problem : Problem or None
        Reason of a failure; None for success.
    detail : str
        Error message for the caller.
    state : State
        Transaction state after the statement.
    position : LogPosition or None
        Log position of the target, if a target answered.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    problem: Problem | None = None
    detail: str = ""
    state: State = State.IDLE
    position: positions.LogPosition | None = None

    @classmethod
    def refusal(cls, problem, detail, state=State.IDLE):
        """Return the answer to a statement that was refused or failed."""
        return cls(problem=problem, detail=detail, state=state)
