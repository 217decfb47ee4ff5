"""Times at which a graceful shutdown stops accepting each kind of work."""

import attrs

__all__ = ["ShutdownSchedule"]

# Shares of the grace time. Statements need some of it after the last one was
# accepted, and the process some of it after the last answer.
OPERATIONS_SHARE = 0.5
TRANSACTIONS_SHARE = 0.8
ANSWERS_SHARE = 0.9
CONNECTIONS_SHARE = 0.95


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
