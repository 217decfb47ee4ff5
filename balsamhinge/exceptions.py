"""The exception tree of balsamhinge."""

__all__ = [
    "AnswerLost",
    "BalsamhingeError",
    "CommandFailed",
    "ConfigurationError",
    "ConnectionUnavailable",
    "HistoryGone",
    "InvalidToken",
    "NotRunError",
    "Overloaded",
    "PeerUnavailable",
    "PlatformSilent",
    "PromotionRefused",
    "ProtocolError",
    "RecordMissing",
    "StoreConflict",
    "StoreUnavailable",
    "TargetError",
    "TargetRefused",
    "TargetSilent",
    "TransactionUnknown",
]


class BalsamhingeError(Exception):
    """Base class of every error that balsamhinge raises."""


class ConfigurationError(BalsamhingeError):
    """A text or a settings file has findings.

    Parameters
    ----------
    findings : list of Finding
        Every finding, each with its place.
    """

    def __init__(self, findings):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class InvalidToken(BalsamhingeError):
    """A session token is malformed or its signature does not match."""


class TransactionUnknown(BalsamhingeError):
    """No open transaction has the given identifier."""


class NotRunError(BalsamhingeError):
    """The request was certainly not run.

    Parameters
    ----------
    reason : str
        Why, in words for the caller.
    retry_after_s : float
        Seconds after which another attempt is worthwhile.
    """

    def __init__(self, reason, retry_after_s=0.0):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class Overloaded(NotRunError):
    """More wait for a target than it can serve in time."""


class TargetError(BalsamhingeError):
    """A call to a target gave no result."""


class ConnectionUnavailable(NotRunError, TargetError):
    """No connection to the target could be opened; nothing was sent."""


class CommandFailed(TargetError):
    """One command of a pipeline failed at the target.

    Parameters
    ----------
    index : int
        The place of the failed command in the pipeline.
    sqlstate, message : str
        What the target answered.
    results : list of CommandResult
        The results of the commands before it.
    """

    def __init__(self, index, sqlstate, message, results):
        super().__init__(f"{sqlstate}: {message}")
        self.index = index
        self.sqlstate = sqlstate
        self.message = message
        self.results = results


class AnswerLost(TargetError):
    """Work was sent and no answer came: its outcome is unknown."""


class PeerUnavailable(BalsamhingeError):
    """Another instance did not answer.

    Parameters
    ----------
    instance : str
        Its name.
    sent : bool
        Whether the request may have reached it.
    """

    def __init__(self, instance, sent):
        super().__init__(f"instance {instance} did not answer")
        self.instance = instance
        self.sent = sent


class StoreUnavailable(BalsamhingeError):
    """The platform's store did not answer, or refused for its rate."""


class StoreConflict(BalsamhingeError):
    """A conditional update named a version that is no longer current."""


class RecordMissing(BalsamhingeError):
    """The platform's store holds no record of that name."""


class HistoryGone(BalsamhingeError):
    """The store no longer has the history that a watch asked for."""


class PlatformSilent(BalsamhingeError):
    """A call to the platform got no whole response; it may have run."""


class PromotionRefused(BalsamhingeError):
    """The platform did not promote a target."""


class ProtocolError(BalsamhingeError):
    """A message does not follow the protocol of its connection."""


class TargetSilent(ConnectionUnavailable):
    """A target did not answer an attempt to connect."""


class TargetRefused(ConnectionUnavailable):
    """A target answered an attempt to connect with a refusal.

    Parameters
    ----------
    problem : Problem
        See `balsamhinge.policy.statements`.
    detail : str
        The target's own words.
    """

    def __init__(self, problem, detail):
        super().__init__(f"{problem.value}: {detail}")
        self.problem = problem
