"""When the promotion duty passes on, and which instance acquires it."""

import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge.logs import event
from balsamhinge.policy import ownership

__all__ = ["SuccessionController"]

# Time for which the instance that held the duty before a restore of the
# store may acquire it anew undisturbed, and the delay that each rank adds.
REACQUIRE_DELAY_S = 1.0
REACQUIRE_DELAY_PER_RANK_S = 0.3
# Time for each instance of an earlier rank to acquire the duty once it may
# pass on: a question to the holder, one to others, and two calls to the store.
DELAY_PER_RANK_S = 1.0
# Age of the last failed call to the store from which an instance no longer
# counts as without it: most instances of a large fleet seldom call the store.
MAX_FAILURE_AGE_S = 2.0
# An instance needs three gossip rounds after its start before it can tell
# which instances are silent.
STARTUP_S = 1.5
# Gossip rounds with all instances before a silent holder is replaced.
MIN_FULL_ROUNDS = 2
# Instances that are contacted before the duty of a silent holder is
# acquired. An instance that reaches half of them or fewer is more likely
# to be isolated than the holder.
SURVEY_INSTANCES = 16
SURVEY_RETRY_DELAY_S = 0.5

log = logbook.Logger(__name__)


class SuccessionController:
    """Decides whether this instance is to acquire the promotion duty.

    The duty passes on once its holder is silent, stops or has relinquished
    it. In a small fleet those that can act on it come first, by rank, and an
    instance of a later rank does not wait for those before it for longer
    than `DELAY_PER_RANK_S` each, as they may be unable to act unnoticed. In
    a large fleet each instance ranks itself among the few that it has heard
    lately, so several come first, and more surveys would only add to the
    load.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        # Loop seconds since when the duty may pass on, or None.
        self._vacant_since = None
        # Loop seconds since when the known holder is outdated, or None.
        self._outdated_since = None

    @property
    def may_succeed(self):
        """Whether this instance could act on the duty, as far as it knows."""
        fleet = self._fleet
        return (
            fleet.registered
            and fleet.may_change_primaries
            and not fleet.stopping
            and not fleet.store_health.has_failed_within(MAX_FAILURE_AGE_S)
        )

    def has_able_successor(self):
        """Return whether another live instance says that it could act."""
        return any(
            message.may_succeed
            for message in self._fleet.gossip.live_messages()
        )

    def rank(self):
        """Return this instance's rank as a successor; 0 is first."""
        gossip, me = self._fleet.gossip, self._fleet.me.name
        live = gossip.live_names()
        if not gossip.is_large:
            live = [
                name
                for name in live
                if name == me or gossip.last_messages[name].may_succeed
            ]
        ranked = ownership.rank_members(
            [ownership.Member(name, "", "") for name in live],
            storedrecords.DUTY_KEY,
        )
        names = [member.name for member in ranked]
        return names.index(me) if me in names else len(names)

    def should_acquire(self):
        """Return whether this instance is to acquire the duty now."""
        if not self._fleet.duty.is_outdated:
            self._outdated_since = None
        elif self._outdated_since is None:
            self._outdated_since = clock.now()
        if not self._is_vacant():
            self._vacant_since = None
            return self._should_reacquire()
        rank = self.rank()
        if self._vacant_since is None:
            self._vacant_since = clock.now()
        if self._fleet.gossip.is_large:
            return rank == 0
        vacant_s = clock.now() - self._vacant_since
        return vacant_s >= DELAY_PER_RANK_S * rank

    def _should_reacquire(self):
        """Return whether to acquire the duty although it is not vacant.

        The holder does so after a restore of the store, or if it can act
        again on what it has relinquished; others after a restore if the
        holder does not.
        """
        fleet, duty = self._fleet, self._fleet.duty
        if fleet.stopping or not fleet.registered:
            return False
        if duty.held:
            return duty.is_outdated or (
                duty.is_relinquished and self.may_succeed
            )
        if not duty.is_outdated:
            return False
        delay_s = REACQUIRE_DELAY_S + REACQUIRE_DELAY_PER_RANK_S * self.rank()
        return clock.now() - self._outdated_since > delay_s

    def _is_vacant(self):
        """Return whether the duty may pass on to this instance."""
        fleet, duty = self._fleet, self._fleet.duty
        if fleet.stopping or not fleet.registered or duty.held:
            return False
        if duty.is_outdated:
            return not self.is_holder_active()
        if not duty.holder:
            return True
        running_s = clock.now() - fleet.started_at
        if not fleet.may_change_primaries or running_s < STARTUP_S:
            return False
        if self.is_holder_active():
            return False
        return (
            fleet.gossip.full_rounds >= MIN_FULL_ROUNDS
            or duty.has_handed_over()
        )

    def is_holder_active(self):
        """Return whether the holder answers and has not handed over."""
        fleet = self._fleet
        holder = fleet.duty.holder
        answers = holder in fleet.leaders.members and (
            not fleet.gossip.is_silent(holder)
        )
        return answers and not fleet.duty.has_handed_over()

    async def may_succeed_silent(self, holder):
        """Return whether the holder, and not this instance, is isolated.

        Parameters
        ----------
        holder : str
            Name of the holder; empty if none is known.

        Raises
        ------
        StoreUnavailable
        """
        gossip = self._fleet.gossip
        member = self._fleet.leaders.members.get(holder)
        if member is not None:
            # Many instances contact the holder, so it may only be slow to
            # answer. No primary can be changed while the duty keeps moving.
            await gossip.exchange(member)
            if not self.should_acquire():
                return False
        if not holder:
            return True
        survey = await gossip.survey(SURVEY_INSTANCES, holder)
        # Where most others hear the holder, the fault lies between it and
        # this instance, and only a holder without the store is replaced.
        is_certain = survey.has_majority and not survey.is_holder_heard
        if not is_certain and not await self._fleet.duty.has_lost_store(
            holder
        ):
            event(
                log.notice,
                "duty_not_acquired",
                holder=holder,
                silent_s=gossip.silent_s(holder),
                asked=survey.asked,
                answered=survey.answered,
                hear_holder=survey.hear_holder,
            )
            await clock.pause(SURVEY_RETRY_DELAY_S)
            return False
        return self.should_acquire()
