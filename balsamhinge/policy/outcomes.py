"""What an entry instance does with the reply to one attempt."""

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
    """Give this reply to the caller."""

    reply: messages.Reply


@attrs.frozen
class TryNextCandidate:
    """Try the next candidate at once."""


@attrs.frozen
class RetryAfterViewChange:
    """Try again once the view changes, or after a short pause."""


@attrs.define
class AttemptHistory:
    """What the attempts of one request have shown.

    Parameters
    ----------
    write : bool
        Whether the request changes data.
    doubt : Reply or None
        The first reply of unknown outcome to a write. Only a reply that
        finds the request recorded can remove it.
    last : Reply or None
        The latest reply.
    """

    write: bool
    unknown_reply: messages.Reply | None = None
    last_reply: messages.Reply | None = None

    def record(self, reply):
        """Take note of a reply."""
        self.last_reply = reply
        unknown = reply.outcome is messages.Outcome.UNKNOWN
        if self.write and unknown and self.unknown_reply is None:
            self.unknown_reply = reply

    def final_reply(self):
        """Return the reply for a caller when the time is over."""
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
        What went before; already has `reply` recorded.
    reply : Reply
        Of the latest attempt.
    more_candidates : bool
        Whether another target can be tried at once.

    Returns
    -------
    Finish, TryNext or WaitForChange

    Notes
    -----
    A write of unknown outcome is tried again under the same identifier.
    The target records the identifier in the transaction of the write, so
    that of all attempts at most one is kept and the others find it.
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
