"""Tracks whether the platform's store answers this instance."""

import logbook

from balsamhinge.controllers import changenotifier
from balsamhinge.controllers import clock
from balsamhinge.logs import event
from balsamhinge.policy import revisions

__all__ = ["StoreHealth"]

log = logbook.Logger(__name__)


class StoreHealth:
    """Records the results of store calls, and logs outages and restores.

    Parameters
    ----------
    boot_time : callable
        Returns the boot clock in seconds, see `FleetDependencies`.

    Attributes
    ----------
    restores : ChangeNotifier
        Wakes the coroutines that wait for a restore of the store.
    failing : bool
        Whether the last call failed.
    answered_at : float
        Loop seconds of the last answer; of the start if there is none.
    returned_at : float
        Loop seconds of the end of the last outage.
    incarnation : int
        Latest incarnation of the store that this instance knows of.
    restored_at : float
        Boot-clock seconds at which it learned of that incarnation; minus
        infinite for a store that was never restored.
    """

    def __init__(self, boot_time):
        self._boot_time = boot_time
        self.restores = changenotifier.ChangeNotifier()
        self.incarnation = 0
        self.restored_at = float("-inf")
        self.failing = False
        self.answered_at = clock.now()
        self.returned_at = float("-inf")

    def record_answer(self, revision):
        """Record a successful call.

        Parameters
        ----------
        revision : int
            Revision of the store in the answer.
        """
        self.record_revision(revision)
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

    def record_revision(self, revision):
        """Record a revision of the store, of which a peer may have told."""
        incarnation = revisions.incarnation_of(revision)
        if incarnation <= self.incarnation:
            return
        event(
            log.warning,
            "store_restored",
            incarnation=incarnation,
            earlier=self.incarnation,
            as_of=revisions.describe(revision),
        )
        self.incarnation = incarnation
        self.restored_at = self._boot_time()
        self.restores.notify_all()
