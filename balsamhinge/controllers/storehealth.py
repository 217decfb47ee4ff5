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
        Boot-clock seconds at which the first instance, as far as is known,
        learned of that incarnation; minus infinite for a store that was
        never restored.
    """

    def __init__(self, boot_time):
        self.boot_time = boot_time
        self.restores = changenotifier.ChangeNotifier()
        self.incarnation = 0
        self.restored_at = float("-inf")
        self.failing = False
        self.answered_at = clock.now()
        self.returned_at = float("-inf")
        self._failed_at = float("-inf")

    def record_answer(self, revision):
        """Record a successful call.

        Parameters
        ----------
        revision : int
            Revision of the store in the answer.
        """
        self.record_restore(
            revisions.incarnation_of(revision), self.boot_time()
        )
        now = clock.now()
        if self.failing:
            self.failing = False
            self.returned_at = now
            event(log.notice, "store_regained", away_s=now - self.answered_at)
        self.answered_at = now

    def record_failure(self, exc):
        """Record a call that the store did not answer, or refused."""
        self._failed_at = clock.now()
        if not self.failing:
            self.failing = True
            event(log.warning, "store_lost", error=exc)

    def has_failed_within(self, seconds):
        """Return whether the last call failed, that many seconds ago or less.

        Parameters
        ----------
        seconds : float
            Age of the failure in seconds.
        """
        return self.failing and clock.now() - self._failed_at <= seconds

    def record_restore(self, incarnation, at):
        """Record that the store had begun an incarnation before a time.

        Parameters
        ----------
        incarnation : int
            Incarnation of the store, of which a peer may have told.
        at : float
            Boot-clock seconds.
        """
        if incarnation == self.incarnation:
            self.restored_at = min(self.restored_at, at)
        if incarnation <= self.incarnation:
            return
        event(
            log.warning,
            "store_restored",
            incarnation=incarnation,
            earlier=self.incarnation,
        )
        self.incarnation = incarnation
        self.restored_at = at
        self.restores.notify_all()

    def restored_s(self, now):
        """Return the seconds since the last restore; 0 if there was none.

        Parameters
        ----------
        now : float
            Boot-clock seconds.
        """
        return max(0.0, now - self.restored_at) if self.incarnation else 0.0
