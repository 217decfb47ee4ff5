"""Tests of acquiring and losing the promotion duty."""

import asyncio

import attrs

from balsamhinge.controllers import clock
from balsamhinge.controllers import duty
from balsamhinge.controllers import storedrecords
from balsamhinge import interfaces
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from tests.support import virtual

__all__ = ["EntitlementTest", "SuccessionTest"]

ANSWER_DELAY_S = 0.9
POLL_INTERVAL_S = 0.002
# Polls in which each instance considers several times to acquire the duty.
STALE_STEPS = 1000
# Longer than most partitions.
PARTITION_S = 12.0
# Time for the few instances that reach the store to find out that the holder
# does not reach it.
SUCCESSION_S = 5.0


class EntitlementTest(virtual.FleetTestCase):
    """Only one holder at a time may call the platform."""

    def test_a_late_answer_does_not_extend_the_entitlement(self):
        """The entitlement is dated from the request, not from the answer."""

        async def scenario(world):
            old = world.holder()
            world.records.knobs.answer_change_s = ANSWER_DELAY_S
            old.stopping = True
            stored = world.records.kinds[interfaces.LEADERS]
            while (
                stored[storedrecords.DUTY_KEY].value["holder"] == old.me.name
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
            changed_at = clock.now()
            new = world.fleets[stored[storedrecords.DUTY_KEY].value["holder"]]
            # Without the store its entitlement rests on that write only.
            world.records.knobs.cut.add(new.me.name)
            while not new.duty.may_promote():
                await asyncio.sleep(POLL_INTERVAL_S)
            ends_at = changed_at + duty.ENTITLEMENT_S
            await asyncio.sleep(ends_at - clock.now())
            self.assertFalse(new.duty.may_promote())

        self.run_fleet(scenario)


class SuccessionTest(virtual.FleetTestCase):
    """The duty moves once, to an instance that others can reach."""

    def list_holders(self, world):
        """Return the names of all holders of the duty, in order."""
        return [
            change.record.value["holder"]
            for _revision, kind, change in world.records._history
            if kind == interfaces.LEADERS
            and change.record.name == storedrecords.DUTY_KEY
        ]

    def isolate(self, world, name):
        """Isolate an instance from all others, but not from the store."""
        for other in world.fleets:
            if other != name:
                world.cuts.add(frozenset((name, other)))

    # Guards against an isolated instance that acquires the duty repeatedly
    # from a holder that all others reach, so that no primary is changed.
    def test_an_isolated_instance_does_not_acquire_the_duty(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            self.isolate(world, name)
            await asyncio.sleep(PARTITION_S)
            self.assertEqual([holder], self.list_holders(world))

        self.run_fleet(scenario)

    # Guards against the duty moving repeatedly, because each new holder is
    # taken for silent by the next one.
    def test_the_duty_of_a_dead_holder_moves_once(self):
        async def scenario(world):
            await world.kill(world.holder().me.name)
            await asyncio.sleep(5.0)
            self.assertEqual(2, len(self.list_holders(world)))

        self.run_fleet(scenario, instances=7)

    def leave_behind(self, world, holder, revision, age_s):
        """Let all hold a message of an earlier process of the holder.

        It said that it was about to stop and had handed over the duty of a
        revision. In a large fleet nothing replaces such a message until the
        holder calls again.
        """
        for other in world.fleets.values():
            if other is holder:
                continue
            message = holder.gossip.build_message(other.me.name)
            other.gossip.last_messages[holder.me.name] = attrs.evolve(
                message,
                leaving=True,
                promise_s=leases.PROMISE_S,
                holder_revision=revision,
            )
            other.gossip.last_contact_at[holder.me.name] = clock.now() - age_s

    # Guards against an instance that takes the duty, and promotes at once,
    # beside a holder that has stopped, started again and acquired it anew.
    def test_a_hand_over_counts_for_one_acquisition(self):
        async def scenario(world):
            holder = world.holder()
            earlier = holder.duty.revision - 1
            for _ in range(STALE_STEPS):
                self.leave_behind(world, holder, earlier, 0.0)
                await asyncio.sleep(POLL_INTERVAL_S)
            self.assertEqual([holder.me.name], self.list_holders(world))

        self.run_fleet(scenario)

    # Guards against the same where the duty was not acquired meanwhile, and
    # the holder's new process goes on with it.
    def test_a_hand_over_ends_before_a_restarted_holder_may_promote(self):
        async def scenario(world):
            holder = world.holder()
            for _ in range(STALE_STEPS):
                self.leave_behind(
                    world,
                    holder,
                    holder.duty.revision,
                    duty.HANDOVER_DELAY_S - duty.ENTITLEMENT_S,
                )
                await asyncio.sleep(POLL_INTERVAL_S)
            self.assertEqual([holder.me.name], self.list_holders(world))

        self.run_fleet(scenario)

    def test_the_last_live_instance_acquires_the_duty(self):
        async def scenario(world):
            holder = world.holder().me.name
            last = next(one for one in world.fleets if one != holder)
            for name in list(world.fleets):
                if name != last:
                    await world.kill(name)
            await asyncio.sleep(8.0)
            self.assertEqual(last, world.holder().me.name)

        self.run_fleet(scenario)

    # Pattern: split fleet. Guards against primaries that nobody may change
    # for as long as the holder keeps most instances but not the store.
    def test_few_instances_succeed_a_holder_without_the_store(self):
        async def scenario(world):
            holder = world.holder().me.name
            lost = [
                name
                for name in sorted(world.fleets)
                if name.startswith("south") and name != holder
            ]
            kept = set(world.fleets) - set(lost)
            world.records.knobs.cut |= kept
            world.cuts |= {
                frozenset((one, other)) for one in kept for other in lost
            }
            await asyncio.sleep(SUCCESSION_S)
            holders = self.list_holders(world)
            self.assertEqual(2, len(holders))
            self.assertIn(holders[-1], lost)

        self.run_fleet(scenario, instances=3)

    # Pattern: overloaded holder. Guards against a duty that moves on and on
    # in a large fleet: the holder answers nearly all others in time, one
    # instance misses some of its answers and replaces it.
    def test_a_holder_that_others_hear_keeps_the_duty(self):
        async def scenario(world):
            holder = world.holder().me
            others = [member for member in world.members if member != holder]
            first = ownership.rank_members(others, storedrecords.DUTY_KEY)[0]
            world.cuts.add(frozenset((holder.name, first.name)))
            await asyncio.sleep(SUCCESSION_S)
            self.assertEqual([holder.name], self.list_holders(world))

        self.run_fleet(scenario, instances=7)
