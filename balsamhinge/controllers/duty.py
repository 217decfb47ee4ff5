"""The one instance that may change primaries, and how it is replaced."""

import random

import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import leaders as leaders_module
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import homes
from balsamhinge.policy import leases

__all__ = ["DutyController"]

# The holder reads the store so often: each call is paid for, and a
# reading and a round of notes fit into a lease almost twice.
READ_INTERVAL_S = 0.7
# In a large fleet news travel more slowly, so that they are read sooner.
LARGE_POLL_S = 0.5
# Others read the store themselves if notes bring nothing newer; by rank,
# so that one of them is enough.
OTHERS_AGE_S = 1.3
RANK_S = 0.1
MOST_RANK_S = 0.4
STEP_S = 0.1
# A reading that shows this instance as the holder entitles it to call
# the platform for so long.
ENTITLED_S = 1.5
# A new holder waits until the old one is no longer entitled and the old
# one's last call has been given up.
HANDOVER_S = 3.0
RETRY_S = 0.2
# An instance that has just started has not heard the others yet: three
# rounds of notes have to pass before it judges who is silent.
SETTLE_S = 1.5
# Rounds of notes with all instances before the holder is followed.
FULL_ROUNDS = 2
# Instances asked before the duty is taken from a silent holder. Whoever
# reaches half of them or fewer is more likely cut off than the holder.
SURVEY = 16
# ... and takes it only after so long, longer than cuts mostly last, as the
# others may all have died.
MINORITY_S = 6.0
# Pause after that before they are asked again.
SURVEY_PAUSE_S = 0.5

log = logbook.Logger(__name__)


class DutyController:
    """Reads leaderships in turn, and holds the duty where it is ours.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = random.Random(f"duty/{fleet.me.name}")
        self.holder = ""
        self.revision = 0
        self.fence = 0
        self.may_promote_from = 0.0
        self._next_read = 0.0

    @property
    def held(self):
        """Return whether the last reading shows this instance."""
        return self.holder == self._fleet.me.name

    def is_confirmed(self):
        """Return whether a recent reading shows this instance."""
        read_at = self._fleet.leaders.duty_read_at
        age_s = self._fleet.links.boot_time() - read_at
        return self.held and age_s < ENTITLED_S

    def may_promote(self):
        """Return whether the platform may be called right now."""
        now = self._fleet.links.boot_time()
        return self.is_confirmed() and now >= self.may_promote_from

    def promise_s(self):
        """Return for how long this instance begins no change."""
        return 0.0 if self._fleet.failover.is_changing else leases.PROMISE_S

    async def run(self):
        """Read the store and keep the duty held, for ever."""
        while True:
            await clock.pause(STEP_S * self._rng.uniform(0.8, 1.2))
            try:
                await self._step()
            except exceptions.StoreUnavailable as exc:
                event(log.debug, "duty_step_failed", error=exc)
                await clock.pause(RETRY_S * self._rng.uniform(0.7, 1.3))
            except exceptions.StoreConflict as exc:
                # Another instance was first; the next step reads whose
                # it is.
                event(log.debug, "duty_step_conflict", error=exc)
                self._next_read = clock.now()

    async def _step(self):
        now = clock.now()
        if now >= self._next_read and self._should_read():
            await self._read()
        if self._should_take():
            await self._take()

    def _rank(self):
        names = self._fleet.gossip.live_names()
        order = homes.rank(
            [homes.Member(name, "", "") for name in names],
            leaders_module.DUTY_KEY,
        )
        ordered = [member.name for member in order]
        if self._fleet.me.name not in ordered:
            return len(ordered)
        return ordered.index(self._fleet.me.name)

    def _should_read(self):
        if self.held:
            return True
        leaders = self._fleet.leaders
        age_s = leaders.book.age_s(self._fleet.links.boot_time())
        if age_s <= OTHERS_AGE_S:
            # Asked ten times a second; ranks take a look at each instance.
            return False
        patience = min(MOST_RANK_S, RANK_S * self._rank())
        return age_s > OTHERS_AGE_S + patience

    async def _read(self):
        large = self._fleet.gossip.is_large
        self._next_read = clock.now() + (
            LARGE_POLL_S if large else READ_INTERVAL_S
        )
        await self._fleet.leaders.read()
        record = self._fleet.leaders.duty_record
        if record is None:
            return
        holder = record.value["holder"]
        self.merge_holder(holder, record.revision, "store")
        if holder == self._fleet.me.name and record.revision != self.fence:
            # Taken by an earlier process of this name, or by a call whose
            # answer was lost.
            self.fence = record.revision
            self.may_promote_from = self._fleet.links.boot_time() + HANDOVER_S

    def merge_holder(self, holder, revision, source):
        """Take in who holds the duty; later records win."""
        if revision <= self.revision:
            return
        if holder != self.holder:
            event(
                log.notice,
                "duty_holder",
                holder=holder,
                earlier=self.holder,
                fence=revision,
                source=source,
            )
        self.holder = holder
        self.revision = revision

    def _should_take(self):
        if self.held or self._fleet.stopping or not self._fleet.registered:
            return False
        if self.holder and not self._fleet.seasoned:
            return False
        gossip = self._fleet.gossip
        if self.holder:
            running_s = clock.now() - self._fleet.started_at
            if running_s < SETTLE_S or self._is_kept():
                return False
            handed_over = gossip.has_handed_over(self.holder)
            if gossip.full_rounds < FULL_ROUNDS and not handed_over:
                return False
        return self._rank() == 0

    def _is_kept(self):
        """Return whether the holder is reached and goes on."""
        gossip = self._fleet.gossip
        reached = self.holder in self._fleet.leaders.members and (
            not gossip.is_silent(self.holder)
        )
        return reached and not gossip.has_handed_over(self.holder)

    async def _may_follow(self, holder):
        """Return whether the holder, and not this instance, is cut off."""
        gossip = self._fleet.gossip
        member = self._fleet.leaders.members.get(holder)
        if member is not None:
            # It may be slow to answer, as many ask it; a fleet in which
            # the duty goes round changes no primary.
            await gossip.exchange(member)
            if not self._should_take():
                return False
        if not holder:
            return True
        asked, answered = await gossip.count_reachable(SURVEY)
        # This instance counts as one that is asked and answers.
        most_answer = 2 * (answered + 1) > asked + 1
        silent_s = gossip.silent_s(holder)
        if not most_answer and silent_s < MINORITY_S:
            event(
                log.notice,
                "duty_not_taken",
                holder=holder,
                silent_s=silent_s,
                asked=asked,
                answered=answered,
            )
            await clock.pause(SURVEY_PAUSE_S)
            return False
        return self._should_take()

    async def _take(self):
        """Take the duty over by a conditional change."""
        holder = self.holder
        gossip = self._fleet.gossip
        if not gossip.has_handed_over(holder):
            if not await self._may_follow(holder):
                return
        await self._read()
        # Another one that was first may be well.
        if self.holder != holder or not self._should_take():
            return
        leaders = self._fleet.leaders
        earlier = leaders.duty_record
        revision = earlier.revision if earlier else 0
        asked_at = self._fleet.links.boot_time()
        record = await leaders_module.put_record(
            leaders.store,
            leaders_module.DUTY_KEY,
            {"holder": self._fleet.me.name},
            revision,
        )
        previous = earlier.value["holder"] if earlier else ""
        free = not previous or gossip.has_handed_over(previous)
        wait_s = 0.0 if free else HANDOVER_S
        self.fence = record.revision
        self.revision = record.revision
        self.holder = self._fleet.me.name
        # The answer may be late. What it entitles to counts from the
        # asking, as with a reading; the wait, in which the old holder's
        # entitlement ends, from a time at which the change was made.
        leaders.duty_read_at = asked_at
        self.may_promote_from = self._fleet.links.boot_time() + wait_s
        event(
            log.notice,
            "duty_taken",
            earlier=previous,
            fence=self.fence,
            usable_in_s=wait_s,
        )
