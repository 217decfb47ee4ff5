"""The promotion duty: which one instance may change primaries."""

import random

import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.policy import leases
from balsamhinge.policy import revisions

__all__ = ["DutyController"]

# Interval between the holder's reads of the store. It limits the call rate,
# and a read and a gossip round fit into a lease almost twice.
READ_INTERVAL_S = 0.7
# Gossip spreads more slowly in a large fleet, so its holder reads earlier.
LARGE_FLEET_READ_INTERVAL_S = 0.5
# Age of the lease knowledge from which other instances read the store
# themselves. Each rank adds a delay, so that one of them suffices.
MAX_KNOWLEDGE_AGE_S = 1.3
DELAY_PER_RANK_S = 0.1
MAX_RANK_DELAY_S = 0.4
STEP_INTERVAL_S = 0.1
# Interval while another instance holds the duty and all is well.
IDLE_STEP_INTERVAL_S = 0.25
# Age of the lease knowledge up to which all is well.
FRESH_KNOWLEDGE_AGE_S = 1.0
# Time for which a read that shows this instance as the holder permits it to
# call the platform.
ENTITLEMENT_S = 1.5
# Delay after which a new holder may call the platform: the previous holder
# is no longer entitled, and its last call has timed out.
HANDOVER_DELAY_S = 3.0
# Age up to which the message of a stopping holder counts. A new process of the
# holder waits for HANDOVER_DELAY_S as well, and the last read that entitles it
# must show a successor's record.
MAX_HANDED_OVER_AGE_S = HANDOVER_DELAY_S - ENTITLEMENT_S
RETRY_DELAY_S = 0.2
# Reads of the store in succession that fail at the holder, each begun after
# another instance was served, before it relinquishes the duty: it has lost the
# store alone. A single answer may be lost.
MIN_FAILED_READS = 3
# An instance that cannot tell whether it or the holder is isolated challenges
# the holder in the store. A holder that reaches the store reads it several
# times before the challenge has succeeded.
CHALLENGE_TIMEOUT_S = 1.8
CHALLENGE_POLL_INTERVAL_S = 0.6

log = logbook.Logger(__name__)


class DutyController:
    """Acquires and keeps the promotion duty of this instance.

    The promotion duty is the fenced role of the one instance that may change
    primaries. A record in the store names its holder; the revision of that
    record is the fencing token. Each instance reads the record together with
    all leaderships.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.

    Attributes
    ----------
    holder : str
        Name of the last known holder; empty if none is known.
    revision : int
        Revision of the record that names the holder.
    fence : int
        Fencing token of this instance; 0 if it has not held the duty.
    may_promote_from : float
        Boot-clock seconds from which this instance may request promotions.
    holder_before_restore : str
        Latest known holder before the store was last restored.
    relinquished : int
        Revision of the record under which this instance never acts again;
        0 if it has given up none.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = random.Random(f"duty/{fleet.me.name}")
        self.holder = ""
        self.revision = 0
        self.fence = 0
        self.may_promote_from = 0.0
        self.holder_before_restore = ""
        self._next_read = 0.0
        # Revision of the store's record that was last found to be earlier.
        self._ignored_revision = 0
        self.relinquished = 0
        # Boot-clock seconds of a read of the store by another instance since
        # the last one of this instance, the holder; None if there was none.
        self._others_read_at = None
        self._failed_reads = 0

    @property
    def held(self):
        """Return whether the latest record names this instance."""
        return self.holder == self._fleet.me.name

    @property
    def is_outdated(self):
        """Return whether the store was restored since the duty was acquired.

        The record of the latest holder may be lost then, and the entitlement
        that rests on it has ended. Some instance has to acquire the duty
        anew; the latest holder does so first.
        """
        acquired_in = revisions.incarnation_of(self.revision)
        incarnation = self._fleet.store_health.incarnation
        return bool(self.holder) and acquired_in < incarnation

    @property
    def is_relinquished(self):
        """Return whether this instance has given up the latest record."""
        return self.held and self.relinquished == self.revision

    def is_confirmed(self):
        """Return whether a recent store read shows this instance's record."""
        leaders = self._fleet.leaders
        record = leaders.duty_record
        if not self.held or self.is_outdated or record is None:
            return False
        if self.is_relinquished:
            return False
        if record.written_at != self.fence:
            return False
        now = self._fleet.dependencies.boot_time()
        return now - leaders.duty_read_at < ENTITLEMENT_S

    def may_promote(self):
        """Return whether this instance may request promotions now."""
        now = self._fleet.dependencies.boot_time()
        return self.is_confirmed() and now >= self.may_promote_from

    def promise_s(self):
        """Return the seconds for which this instance starts no change."""
        return 0.0 if self._fleet.failover.is_changing else leases.PROMISE_S

    async def run(self):
        """Read the store, and acquire the duty when needed."""
        while True:
            interval_s = (
                IDLE_STEP_INTERVAL_S if self._is_idle() else STEP_INTERVAL_S
            )
            await clock.pause(interval_s * self._rng.uniform(0.8, 1.2))
            try:
                self._relinquish_if_unable()
                await self._step()
            except exceptions.StoreUnavailable as exc:
                event(log.debug, "duty_step_failed", error=exc)
                await clock.pause(RETRY_DELAY_S * self._rng.uniform(0.7, 1.3))
            except (
                exceptions.StoreConflict,
                exceptions.RecordNotFound,
            ) as exc:
                # Another instance has acquired the duty; the next step reads
                # its name.
                event(log.debug, "duty_step_conflict", error=exc)
                self._next_read = clock.now()

    def _is_idle(self):
        """Return whether another instance visibly keeps the duty."""
        fleet = self._fleet
        if self.held or not self.holder or not fleet.registered:
            return False
        if self.is_outdated:
            return False
        age_s = fleet.leaders.book.read_age_s(fleet.dependencies.boot_time())
        return age_s < FRESH_KNOWLEDGE_AGE_S and (
            fleet.succession.is_holder_active()
        )

    async def _step(self):
        due = clock.now() >= self._next_read or self._is_restore_unread()
        if due and self._should_read():
            await self._read()
        if self._fleet.succession.should_acquire():
            await self._acquire()

    def _is_restore_unread(self):
        """Return whether the records were last read before a restore."""
        listing = self._fleet.leaders.listing
        incarnation = self._fleet.store_health.incarnation
        return revisions.incarnation_of(listing.as_of) < incarnation

    def _should_read(self):
        if self.held:
            return True
        leaders = self._fleet.leaders
        age_s = leaders.book.read_age_s(self._fleet.dependencies.boot_time())
        if age_s <= MAX_KNOWLEDGE_AGE_S:
            # Avoids ranking all instances ten times a second.
            return False
        delay_s = min(
            MAX_RANK_DELAY_S, DELAY_PER_RANK_S * self._fleet.succession.rank()
        )
        return age_s > MAX_KNOWLEDGE_AGE_S + delay_s

    async def _read(self):
        large = self._fleet.gossip.is_large
        self._next_read = clock.now() + (
            LARGE_FLEET_READ_INTERVAL_S if large else READ_INTERVAL_S
        )
        asked_at = self._fleet.dependencies.boot_time()
        try:
            await self._fleet.leaders.read()
        except exceptions.StoreUnavailable:
            self._record_failed_read(asked_at)
            raise
        if self.is_confirmed():
            await self._answer_challenge()

    def _record_failed_read(self, asked_at):
        """Count a failed read if the store has served others before it.

        Parameters
        ----------
        asked_at : float
            Boot-clock seconds of the read.
        """
        leaders = self._fleet.leaders
        last_read_at = leaders.book.last_read.read_at
        if not self.held or last_read_at <= leaders.duty_read_at:
            # The store may be away for all.
            self._others_read_at = None
            self._failed_reads = 0
            return
        if self._others_read_at is None or (
            self._others_read_at <= leaders.duty_read_at
        ):
            self._others_read_at = last_read_at
            self._failed_reads = 0
        if asked_at >= self._others_read_at:
            self._failed_reads += 1
            self._next_read = clock.now()

    def _relinquish_if_unable(self):
        """Give up the duty where another instance has to act instead."""
        fleet = self._fleet
        if not self.held or self.is_relinquished or self.is_outdated:
            return
        read_at = fleet.leaders.duty_read_at
        turned_away = self._failed_reads >= MIN_FAILED_READS and (
            self._others_read_at > read_at
        )
        wait_s = fleet.may_change_primaries_from - (
            fleet.dependencies.boot_time()
        )
        has_joined = wait_s > HANDOVER_DELAY_S and (
            fleet.succession.has_able_successor()
        )
        if not turned_away and not has_joined:
            return
        # The duty moves only where something is to be done.
        if not fleet.failover.is_change_due():
            return
        self.relinquished = self.revision
        event(
            log.warning,
            "duty_relinquished",
            fence=revisions.describe(self.revision),
            failed_reads=self._failed_reads,
            unread_s=fleet.dependencies.boot_time() - read_at,
            may_act_in_s=max(0.0, wait_s),
        )
        if not fleet.gossip.is_large:
            fleet.spawn(fleet.gossip.exchange_all())

    def merge_listing(self):
        """Merge the record of the holder in the latest read of the store."""
        record = self._fleet.leaders.duty_record
        if record is None:
            return
        revision = record.written_at
        self.merge_holder(record.holder, revision, "store")
        if self.held and self.revision == revision != self.fence:
            # Acquired by an earlier process of this instance, or by a call
            # whose answer was lost.
            self.fence = revision
            self.may_promote_from = (
                self._fleet.dependencies.boot_time() + HANDOVER_DELAY_S
            )

    def merge_holder(self, holder, revision, source):
        """Merge a record of the holder, unless a later one is known.

        Parameters
        ----------
        holder : str
            Name of the instance that holds the duty.
        revision : int
            Revision of the record.
        source : str
            "store", or the instance that sent the record.
        """
        if revision <= self.revision:
            ignored = source == "store" and holder != self.holder
            if ignored and revision != self._ignored_revision:
                self._ignored_revision = revision
                event(
                    log.warning,
                    "duty_record_ignored",
                    holder=holder,
                    fence=revisions.describe(revision),
                    latest=self.holder,
                    latest_fence=revisions.describe(self.revision),
                )
            return
        if holder != self.holder:
            event(
                log.notice,
                "duty_holder",
                holder=holder,
                earlier=self.holder,
                fence=revisions.describe(revision),
                source=source,
            )
        self._replace_holder(holder, revision)

    def _replace_holder(self, holder, revision):
        known_in = revisions.incarnation_of(self.revision)
        if revisions.incarnation_of(revision) > known_in:
            self.holder_before_restore = self.holder
        self.holder = holder
        self.revision = revision

    def has_handed_over(self):
        """Return whether the holder no longer acts, and may be succeeded."""
        return self._fleet.gossip.has_handed_over(
            self.holder, self.revision, MAX_HANDED_OVER_AGE_S
        )

    async def has_lost_store(self, holder):
        """Return whether the holder leaves a challenge in the store.

        An instance that reaches half of the others or fewer cannot tell
        whether it or the holder is isolated, but both may reach the store.

        Parameters
        ----------
        holder : str
            Name of the holder.

        Raises
        ------
        StoreUnavailable
        """
        leaders = self._fleet.leaders
        await self._read()
        if self.holder != holder:
            return False
        challenge = leaders.challenge_record
        if challenge is None or challenge.fence != self.revision:
            challenge = await leaders.put_record(
                storedrecords.CHALLENGE_KEY,
                {"fence": self.revision, "challenger": self._fleet.me.name},
                challenge.revision if challenge else 0,
            )
            event(log.notice, "duty_challenged", holder=holder)
        until = clock.now() + CHALLENGE_TIMEOUT_S
        while clock.now() < until:
            await clock.pause(CHALLENGE_POLL_INTERVAL_S)
            await self._read()
            current = leaders.challenge_record
            if current is None or current.revision != challenge.revision:
                return False
        return self.holder == holder

    async def _answer_challenge(self):
        """Withdraw a challenge of this instance, the holder of the duty."""
        challenge = self._fleet.leaders.challenge_record
        if challenge is None or challenge.fence != self.fence:
            return
        await self._fleet.leaders.store.delete(
            interfaces.LEADERS,
            storedrecords.CHALLENGE_KEY,
            challenge.revision,
        )
        event(
            log.notice,
            "duty_challenge_answered",
            challenger=challenge.challenger,
        )

    async def _acquire(self):
        """Acquire the duty by a conditional write to the store."""
        holder = self.holder
        succession = self._fleet.succession
        if not self.held and not self.has_handed_over():
            if not await succession.may_succeed_silent(holder):
                return
        await self._read()
        # Another instance may have acquired the duty meanwhile.
        if self.holder != holder or not succession.should_acquire():
            return
        leaders = self._fleet.leaders
        earlier = leaders.duty_record
        asked_at = self._fleet.dependencies.boot_time()
        record = await leaders.put_record(
            storedrecords.DUTY_KEY,
            {"holder": self._fleet.me.name},
            earlier.revision if earlier else 0,
        )
        # The answer may be late. The entitlement is dated from the request,
        # as for a read. The wait, during which the entitlement of the
        # previous holder ends, starts when the write is certainly done.
        leaders.duty_record = storedrecords.DutyRecord(
            self._fleet.me.name, record.revision, record.revision
        )
        leaders.duty_read_at = asked_at
        self.may_promote_from = self._handover_ends_at(earlier)
        self.fence = record.revision
        self._replace_holder(self._fleet.me.name, record.revision)
        now = self._fleet.dependencies.boot_time()
        event(
            log.notice,
            "duty_taken",
            earlier=holder,
            fence=revisions.describe(self.fence),
            usable_in_s=max(0.0, self.may_promote_from - now),
        )

    def _handover_ends_at(self, earlier):
        """Return from when this instance may promote, just acquired the duty.

        Parameters
        ----------
        earlier : DutyRecord or None
            The record that it has replaced.

        Returns
        -------
        float
            Boot-clock seconds.
        """
        now = self._fleet.dependencies.boot_time()
        if self.is_outdated and self.held and self.knows_last_holder():
            return now
        if self.is_outdated:
            # The copy may name another than the latest holder, whose
            # entitlement ends this long after the restore.
            return self._fleet.store_health.restored_at + HANDOVER_DELAY_S
        if earlier is None or earlier.written_at == self.relinquished:
            return now
        # An unreadable record does not tell who may still be entitled.
        if earlier.holder and self._fleet.gossip.has_handed_over(
            earlier.holder,
            earlier.written_at,
            MAX_HANDED_OVER_AGE_S,
        ):
            return now
        return now + HANDOVER_DELAY_S

    def knows_last_holder(self):
        """Return whether nobody else can have promoted before a restore.

        An instance that acquired the duty after the last read of the store
        from before the restore, of any instance, would still have had to
        wait before it could write the record that precedes a promotion.
        """
        restored_at = self._fleet.store_health.restored_at
        read_at = self._fleet.leaders.book.last_read.read_at
        return restored_at - read_at < HANDOVER_DELAY_S
