"""Exception hierarchy of balsamhinge."""

__all__ = [
    "BalsamhingeError",
    "CommandFailed",
    "ConfigurationOutdated",
    "ConfigurationError",
    "ConnectionRejected",
    "ConnectionUnavailable",
    "HistoryExpired",
    "InvalidToken",
    "KeyDenied",
    "LimitExceeded",
    "MessageTooLong",
    "NotRunError",
    "OutcomeUnknown",
    "Overloaded",
    "PeerUnavailable",
    "PlatformUnavailable",
    "PromotionRefused",
    "ProtocolError",
    "RecordNotFound",
    "StoreConflict",
    "StoreUnavailable",
    "TargetError",
    "TargetUnreachable",
    "UnknownTransaction",
]


class BalsamhingeError(Exception):
    """Base class of every error that balsamhinge raises."""


class ConfigurationError(BalsamhingeError):
    """A configuration or a settings file is invalid.

    Parameters
    ----------
    findings : list of Finding
        All findings, each with file and line.
    """

    def __init__(self, findings):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class InvalidToken(BalsamhingeError):
    """A session token is malformed or its signature does not match."""


class UnknownTransaction(BalsamhingeError):
    """No open transaction has the given identifier."""


class NotRunError(BalsamhingeError):
    """A request was not executed, so it is safe to retry.

    Parameters
    ----------
    reason : str
        Message for the caller.
    retry_after_s : float
        Seconds that the caller should wait before a retry.
    """

    def __init__(self, reason, retry_after_s=0.0):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class ConfigurationOutdated(NotRunError):
    """The configuration is not known to be current; keys cannot be judged."""


class KeyDenied(BalsamhingeError):
    """A caller gave no key that is valid; the text never contains the key."""


class Overloaded(NotRunError):
    """The queue of a target is longer than it can serve in time."""


class LimitExceeded(NotRunError):
    """The rate limit of a customer does not permit the operation now."""


class TargetError(BalsamhingeError):
    """Base class of errors of calls to a target."""


class ConnectionUnavailable(NotRunError, TargetError):
    """No connection to a target could be opened; nothing was sent."""


class CommandFailed(TargetError):
    """One command of a pipeline failed at the target.

    Parameters
    ----------
    index : int
        Position of the failed command in the pipeline, from 0.
    sqlstate, message : str
        Error code and message of the target.
    results : list of CommandResult
        Results of the commands before the failed one.
    """

    def __init__(self, index, sqlstate, message, results):
        super().__init__(f"{sqlstate}: {message}")
        self.index = index
        self.sqlstate = sqlstate
        self.message = message
        self.results = results


class OutcomeUnknown(TargetError):
    """Work was sent to a target and no answer came.

    Whether it was executed is unknown.
    """


class PeerUnavailable(BalsamhingeError):
    """A call to another instance got no answer.

    Parameters
    ----------
    instance : str
        Name of the called instance.
    sent : bool
        Whether the request may have reached the instance.
    """

    def __init__(self, instance, sent):
        super().__init__(f"instance {instance} did not answer")
        self.instance = instance
        self.sent = sent


class StoreUnavailable(BalsamhingeError):
    """The platform's store did not answer, or limited the call rate."""


class StoreConflict(BalsamhingeError):
    """A conditional update expected a version that is not current."""


class RecordNotFound(BalsamhingeError):
    """The platform's store has no record of the given name."""


class HistoryExpired(BalsamhingeError):
    """The store has dropped the revisions that a watch starts from.

    The watcher has to list all records again.
    """


class PlatformUnavailable(BalsamhingeError):
    """A call to the platform got no complete response.

    The platform may have executed it.
    """


class PromotionRefused(BalsamhingeError):
    """The platform refused to promote a target."""


class ProtocolError(BalsamhingeError):
    """A received message violates the protocol of its connection."""


class MessageTooLong(ProtocolError):
    """A received message is longer than the protocol allows."""


class TargetUnreachable(ConnectionUnavailable):
    """A target did not answer a connection attempt."""


class ConnectionRejected(ConnectionUnavailable):
    """A target rejected a connection attempt.

    Parameters
    ----------
    problem : Problem
        Reason of the rejection, see `balsamhinge.policy.statements`.
    detail : str
        Error message of the target.
    """

    def __init__(self, problem, detail):
        super().__init__(f"{problem.value}: {detail}")
        self.problem = problem
