"""Decision of what follows the reply to one attempt of a request."""

import attrs

from balsamhinge.policy import messages

__all__ = [
    "AttemptHistory",
    "Finish",
    "RetryAfterViewChange",
    "TryNextCandidate",
    "next_step",
]

Reason = messages.Reason


@attrs.frozen
class Finish:
    """Return this reply to the caller."""

    reply: messages.Reply


@attrs.frozen
class TryNextCandidate:
    """Send the request to the next candidate at once."""


@attrs.frozen
class RetryAfterViewChange:
    """Retry once the group view changes, or after a short pause."""


@attrs.define
class AttemptHistory:
    """Replies to the attempts of one request.

    Parameters
    ----------
    write : bool
        Whether the request changes data.
    unknown_reply : Reply or None
        The first reply of unknown outcome to a write. Only a reply that
        finds the request recorded can remove it.
    last_reply : Reply or None
        The latest reply.
    """

    write: bool
    unknown_reply: messages.Reply | None = None
    last_reply: messages.Reply | None = None

    def record(self, reply):
        """Record the reply to an attempt."""
        self.last_reply = reply
        unknown = reply.outcome is messages.Outcome.UNKNOWN
        if self.write and unknown and self.unknown_reply is None:
            self.unknown_reply = reply

    def final_reply(self):
        """Return the reply for the caller when no attempt follows."""
        if self.unknown_reply is not None:
            return self.unknown_reply
        if self.last_reply is not None:
            return self.last_reply
        return messages.Reply.not_run(
            Reason.NO_PRIMARY, "no primary was found before the deadline"
        )


def next_step(attempts, reply, more_candidates):
    """Decide what follows a reply.

    Parameters
    ----------
    attempts : Attempts
        All attempts so far, `reply` included.
    reply : Reply
        Reply to the latest attempt.
    more_candidates : bool
        Whether another target can be tried at once.

    Returns
    -------
    Finish, TryNext or WaitForChange

    Notes
    -----
    A write of unknown outcome is retried under the same identifier. The
    target records the identifier in the transaction of the write, so that
    at most one attempt takes effect and the others find its record.
    """
    if reply.outcome is messages.Outcome.DONE:
        return Finish(reply)
    match reply.reason:
        case Reason.ID_REUSED:
            return Finish(reply)
        case Reason.DATABASE | Reason.TRANSACTION:
            return Finish(attempts.final_reply())
        case Reason.OVERLOADED if not more_candidates:
            return Finish(attempts.final_reply())
        case _ if more_candidates:
            return TryNextCandidate()
        case _:
            return RetryAfterViewChange()
