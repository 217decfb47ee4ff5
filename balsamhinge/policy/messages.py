"""Messages that filters, controllers and instances exchange."""

import enum

import attrs

from balsamhinge.policy import positions
from balsamhinge.policy import views

__all__ = [
    "CommandResult",
    "Outcome",
    "Reason",
    "Reply",
    "Statement",
    "TargetStatus",
    "TransactionStep",
    "WorkRequest",
]


class Outcome(enum.StrEnum):
    """Whether a request took effect."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was not run, or why its outcome is unknown."""

    NONE = ""
    BEHIND = "behind"
    SUPERSEDED = "superseded"
    NO_PRIMARY = "no_primary"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    DATABASE = "database"
    DRAINING = "draining"
    TOO_OLD = "too_old"
    TRANSACTION = "transaction"
    ANSWER_LOST = "answer_lost"
    NOT_CONFIRMED = "not_confirmed"
    ID_REUSED = "id_reused"
    PEER_SILENT = "peer_silent"
    UNKNOWN_NAME = "unknown_name"


class TransactionStep(enum.StrEnum):
    """Effect of a request on an interactive transaction."""

    SINGLE = "single"
    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@attrs.frozen
class Statement:
    """An SQL statement with its parameters, bound as $1, $2, ..."""

    sql: str
    params: list = attrs.Factory(list)


@attrs.frozen
class CommandResult:
    """Result of one statement at a target."""

    columns: list[str] = attrs.Factory(list)
    rows: list[list] = attrs.Factory(list)
    row_count: int = 0


@attrs.frozen
class TargetStatus:
    """State that a target reports of itself.

    Parameters
    ----------
    name : str
        Name of the target.
    role : str
        "primary", "replica", "fenced" (follows no primary) or "retired".
    term : int
        Highest term that the target has accepted.
    proposer : str
        Instance that fenced the target under that term.
    received, applied : LogPosition
        Last log entry stored, and last entry visible to reads.
    voters : list of str
        Targets of which a majority has to confirm writes, by the latest
        log entry that names them.
    voters_term : int
        Term of that log entry.
    """

    name: str
    role: str
    term: int
    proposer: str
    received: positions.LogPosition
    applied: positions.LogPosition
    voters: list[str]
    voters_term: int


@attrs.frozen
class WorkRequest:
    """Request of an entry instance to the owner of a target.

    Parameters
    ----------
    request_id : str
        Identifier that the caller gave, or a generated one.
    service, work_class, group, target : str
        Names from the configuration.
    view : GroupView
        The entry instance's view of the group.
    write, long, repeatable : bool
        Whether the statements change data, whether they are expected to
        run long, and whether they are idempotent.
    urgent : bool
        Whether it is a write or a read-your-writes read; these go before
        reads with a maximum age.
    statements : list of Statement
        Run in order, in one transaction if they write.
    needed : LogPosition
        Position that the target must have applied.
    confirm : bool
        Whether the answer waits until a majority is known to follow
        the primary, see `balsamhinge.policy.majorities`.
    remaining_s : float
        Seconds left before the caller gives up.
    catch_up_s : float
        Maximum wait in seconds for the target to apply `needed`.
    max_age_s : float
        Maximum age of the target's data in seconds, 0 for no bound.
    step : TransactionStep
        Effect on the transaction.
    transaction : str
        Identifier of an interactive transaction, or "".
    """

    request_id: str
    service: str
    work_class: str
    group: str
    target: str
    view: views.GroupView
    write: bool
    long: bool
    urgent: bool
    statements: list[Statement]
    needed: positions.LogPosition
    confirm: bool
    remaining_s: float
    catch_up_s: float = 0.0
    max_age_s: float = 0.0
    step: TransactionStep = TransactionStep.SINGLE
    transaction: str = ""
    repeatable: bool = False


@attrs.frozen
class Reply:
    """Reply of the owner of a target.

    Parameters
    ----------
    outcome : Outcome
        Whether the request took effect.
    reason : Reason
        Reason of an outcome other than `Outcome.DONE`.
    detail : str
        Error message for the caller.
    results : list of CommandResult
        One result for each statement.
    position : LogPosition
        Position that later reads of the session must include.
    target_applied : LogPosition
        Position that the target had applied when it answered.
    lag_s : float
        Usual replication lag of the target in seconds.
    term : int
        Latest term of the group that the owner knows.
    retry_after_s : float
        Seconds after which another attempt is worthwhile.
    transaction : str
        Identifier of the transaction that is left open, or "".
    sqlstate : str
        SQLSTATE code of the database's error, or "".
    target : str
        Target that ran the request, or "".
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    detail: str = ""
    results: list[CommandResult] = attrs.Factory(list)
    position: positions.LogPosition = positions.ORIGIN
    target_applied: positions.LogPosition = positions.ORIGIN
    lag_s: float = 0.0
    term: int = 0
    retry_after_s: float = 0.0
    transaction: str = ""
    sqlstate: str = ""
    target: str = ""

    @classmethod
    def not_run(cls, reason, detail, **fields):
        """Return a reply for a request that was certainly not run."""
        return cls(Outcome.NOT_RUN, reason, detail, **fields)

    @classmethod
    def unknown(cls, reason, detail, **fields):
        """Return a reply for a request that may have been run."""
        return cls(Outcome.UNKNOWN, reason, detail, **fields)
