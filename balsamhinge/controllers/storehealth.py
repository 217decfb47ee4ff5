"""Whether the platform's store answers this instance."""

import logbook

from balsamhinge.controllers import clock
from balsamhinge.logs import event

__all__ = ["StoreHealth"]

log = logbook.Logger(__name__)


class StoreHealth:
    """Told of each call's end; logs when the store is lost or regained."""

    def __init__(self):
        self.failing = False
        self.answered_at = clock.now()
        self.returned_at = float("-inf")

    def record_answer(self):
        """Record an answer."""
        now = clock.now()
        if self.failing:
            self.failing = False
            self.returned_at = now
            event(log.notice, "store_regained", away_s=now - self.answered_at)
        self.answered_at = now

    def record_failure(self, exc):
        """Record a call without an answer, or with a refusal."""
        if not self.failing:
            self.failing = True
            event(log.warning, "store_lost", error=exc)
