"""What a session's caller asks, and what it is answered."""

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
    """Where a session or a connection stands between two statements."""

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
    """Ends a transaction and keeps what it wrote."""


@attrs.frozen
class Rollback:
    """Ends a transaction and keeps nothing."""


@attrs.frozen
class Assign:
    """Sets a session value."""

    name: str
    value: str


@attrs.frozen
class Prepare:
    """Names a statement for later use."""

    name: str
    access: Access
    shape: str


@attrs.frozen
class Deallocate:
    """Forgets a prepared statement."""

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
    """Stops a replica from receiving, under a term above all others."""

    term: int


@attrs.frozen
class Resume:
    """Lets a paused replica receive again."""


@attrs.frozen
class StepDown:
    """Makes a primary of a lower term a replica."""

    term: int


@attrs.frozen
class Order:
    """One statement as it is sent to a target.

    Parameters
    ----------
    statement : object
        One of the classes above.
    request_id : str
        The caller's identifier; "" for what the product itself asks.
    needed : LogPosition or None
        Position that the target's log must hold.
    """

    statement: object
    request_id: str = ""
    needed: positions.LogPosition | None = None


@attrs.frozen
class Answer:
    """What a statement came to.

    Parameters
    ----------
    rows : tuple of str
        The data, in order.
    signature : str
        Proof of the target that ran it; "" where the session itself
        answered.
    problem : Problem or None
        None for success.
    detail : str
        Words for the caller, where there is a problem.
    state : State
        Where the session stands afterwards.
    position : LogPosition or None
        The target's log position, if a target answered.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
    problem: Problem | None = None
    detail: str = ""
    state: State = State.IDLE
    position: positions.LogPosition | None = None

    @classmethod
    def refusal(cls, problem, detail, state=State.IDLE):
        """Return an answer without data."""
        return cls(problem=problem, detail=detail, state=state)
