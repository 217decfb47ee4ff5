"""Tracks whether the platform's store answers this instance."""

import logbook

from balsamhinge.controllers import clock
from balsamhinge.logs import event

__all__ = ["StoreHealth"]

log = logbook.Logger(__name__)


class StoreHealth:
    """Records the results of store calls, and logs outages.

    Attributes
    ----------
    failing : bool
        Whether the last call failed.
    answered_at : float
        Loop seconds of the last answer; of the start if there is none.
    returned_at : float
        Loop seconds of the end of the last outage.
    """

    def __init__(self):
        self.failing = False
        self.answered_at = clock.now()
        self.returned_at = float("-inf")

    def record_answer(self):
        """Record a successful call."""
        now = clock.now()
        if self.failing:
            self.failing = False
            self.returned_at = now
            event(log.notice, "store_regained", away_s=now - self.answered_at)
        self.answered_at = now

    def record_failure(self, exc):
        """Record a call that the store did not answer, or refused."""
        if not self.failing:
            self.failing = True
            event(log.warning, "store_lost", error=exc)
