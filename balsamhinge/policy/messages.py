"""Typed messages that filters, controllers and instances exchange."""

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
    """What is known of a request once it has ended."""

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
    """What a request does to a transaction."""

    SINGLE = "single"
    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@attrs.frozen
class Statement:
    """One statement with its parameters, bound as $1, $2, ..."""

    sql: str
    params: list = attrs.Factory(list)


@attrs.frozen
class CommandResult:
    """What a target answered to one statement."""

    columns: list[str] = attrs.Factory(list)
    rows: list[list] = attrs.Factory(list)
    row_count: int = 0


@attrs.frozen
class TargetStatus:
    """What a target says of itself.

    Parameters
    ----------
    name : str
        The target.
    role : str
        "primary", "replica", "fenced" (nobody is followed) or "retired".
    term : int
        Highest term the target has taken.
    proposer : str
        Instance whose fence set that term.
    received, applied : LogPosition
        Last entry kept, and last entry visible to reads.
    voters : list of str
        Targets whose majority confirms, as of the latest log entry
        that names them.
    voters_term : int
        Term of that entry.
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
    """What an entry instance asks the home of a target to do.

    Parameters
    ----------
    request_id : str
        Identifier that the caller gave, or one made for it.
    service, work_class, group, target : str
        Names from the operators' text.
    view : GroupView
        Who leads, as far as the entry instance knows.
    write, long, repeatable : bool
        Whether the work changes data, whether it is a straggler, and
        whether running it twice does no harm.
    urgent : bool
        Writes and read-your-writes, which go before aged reads.
    statements : list of Statement
        Run in order, in one transaction if they write.
    needed : LogPosition
        The target must have applied this much.
    confirm : bool
        Whether the answer waits until a majority is known to follow
        the primary, see `balsamhinge.policy.confirmation`.
    remaining_s : float
        Seconds left before the caller gives up.
    catch_up_s : float
        Seconds the target may wait to reach `needed`.
    max_age_s : float
        Greatest age of the target's data in seconds, 0 for no bound.
    step : TransactionStep
        What is done to the transaction.
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
    """What the home of a target answers.

    Parameters
    ----------
    outcome : Outcome
        See there.
    reason : Reason
        Why, unless the outcome is `Outcome.DONE`.
    detail : str
        Words for the caller.
    results : list of CommandResult
        One for each statement.
    position : LogPosition
        What the session must see from now on.
    target_applied : LogPosition
        How far the target was when it answered.
    lag_s : float
        How far the target usually is behind its primary, in seconds.
    term : int
        Term of the group as the home knows it.
    retry_after_s : float
        Seconds after which another attempt is worthwhile.
    transaction : str
        Identifier of the transaction that the work left open.
    sqlstate : str
        Code of the database's own error, or "".
    target : str
        Where it was run, or "".
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
        """Return a reply that the work was certainly not run."""
        return cls(Outcome.NOT_RUN, reason, detail, **fields)

    @classmethod
    def unknown(cls, reason, detail, **fields):
        """Return a reply that nobody knows whether the work was run."""
        return cls(Outcome.UNKNOWN, reason, detail, **fields)
