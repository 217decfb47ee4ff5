"""Times at which a graceful shutdown stops accepting each kind of work."""

import attrs

__all__ = ["STALL_CHECK_INTERVAL_S", "ShutdownSchedule", "StallDetector"]

# Shares of the grace time. Statements need some of it after the last one was
# accepted, and the process some of it after the last answer.
OPERATIONS_SHARE = 0.5
TRANSACTIONS_SHARE = 0.8
ANSWERS_SHARE = 0.9
CONNECTIONS_SHARE = 0.95
# Interval of the calls of `StallDetector.record`.
STALL_CHECK_INTERVAL_S = 0.1
# A later call means that the process has not run in between.
MIN_STALL_S = 0.25
# A signal that is handled so soon after a stall may have come during it.
STALL_REACH_S = 0.1


@attrs.frozen
class ShutdownSchedule:
    """Schedule of a graceful shutdown; all times are loop seconds.

    Parameters
    ----------
    refuse_operations_at : float
        From this time on new statements and transactions are refused.
    abort_transactions_at : float
        From this time on the statements of open transactions are refused.
    answer_by : float
        Latest time of an answer. What runs for longer is given up.
    close_by : float
        Latest time at which the last written data is sent.
    """

    refuse_operations_at: float
    abort_transactions_at: float
    answer_by: float
    close_by: float

    @classmethod
    def from_grace(cls, now, grace_s):
        """Return the schedule of a shutdown that begins now.

        Parameters
        ----------
        now : float
            Loop seconds.
        grace_s : float
            Seconds after which the process is killed.
        """
        return cls(
            refuse_operations_at=now + OPERATIONS_SHARE * grace_s,
            abort_transactions_at=now + TRANSACTIONS_SHARE * grace_s,
            answer_by=now + ANSWERS_SHARE * grace_s,
            close_by=now + CONNECTIONS_SHARE * grace_s,
        )

    def refuses_operations(self, now):
        """Return whether new operations are refused."""
        return now >= self.refuse_operations_at

    def aborts_transactions(self, now):
        """Return whether open transactions are aborted."""
        return now >= self.abort_transactions_at


class StallDetector:
    """Tells when a signal may have come that is handled now.

    A process that gets no processor time handles a signal late, but its
    grace time counts from when the signal was sent. All times are loop
    seconds.

    Parameters
    ----------
    now : float
        Time of the start.
    """

    def __init__(self, now):
        self._recorded_at = now
        self._stalled_from = now
        self._stalled_until = now

    def record(self, now):
        """Record that the process runs; each `STALL_CHECK_INTERVAL_S`."""
        if now - self._recorded_at > MIN_STALL_S:
            self._stalled_from = self._recorded_at
            self._stalled_until = now
        self._recorded_at = now

    def earliest_signal_at(self, now):
        """Return the earliest time at which a signal may have been sent.

        Parameters
        ----------
        now : float
            Time at which it is handled.
        """
        self.record(now)
        if now - self._stalled_until <= STALL_REACH_S:
            return self._stalled_from
        return now
