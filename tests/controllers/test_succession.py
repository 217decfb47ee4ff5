"""Tests of who takes the promotion duty while instances cannot act on it."""

import asyncio
import itertools

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge import interfaces
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from tests.support import virtual

__all__ = ["SuccessionTest"]

POLL_INTERVAL_S = 0.01
# A target that has said that it stops may be used for this long.
DRAIN_S = 7.0
# The store turns instances away for this long.
TURNED_AWAY_S = 9.0
# Longer than any lease.
SETTLED_S = 12.0
# Virtual seconds after which a scenario has failed.
LIMIT_S = 150.0


def rank(names):
    """Return names in the order in which they succeed."""
    members = [ownership.Member(name, "", "") for name in names]
    ranked = ownership.rank_members(members, storedrecords.DUTY_KEY)
    return [member.name for member in ranked]


def find_first_name(names):
    """Return a name that ranks before all others."""
    for number in itertools.count(10):
        name = f"north-{number}"
        if rank([*names, name])[0] == name:
            return name


class SuccessionTest(virtual.FleetTestCase):
    """Some instance that can act on the duty has it, and only one acts."""

    def run_fleet(self, scenario, **options):
        """Run a scenario; check all the while that one instance acts."""

        async def run(world):
            watching = asyncio.ensure_future(self.watch(world))
            try:
                async with asyncio.timeout(LIMIT_S):
                    await scenario(world)
                self.assertFalse(watching.done(), "two instances may act")
            finally:
                watching.cancel()
            fences = [fence for _holder, fence, _target in world.promotions]
            self.assertEqual(sorted(fences), fences)
            acting = {(fence, who) for who, fence, _target in world.promotions}
            self.assertEqual(len(set(fences)), len(acting))

        super().run_fleet(run, **options)

    async def watch(self, world):
        """Return once two instances may request promotions."""
        while True:
            acting = [
                one.me.name
                for one in world.fleets.values()
                if one.duty.may_promote()
                and (not one.stopping or one.failover.is_changing)
            ]
            if len(acting) > 1:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def list_holders(self, world):
        """Return the names of all holders of the duty, in order."""
        return [
            change.record.value["holder"]
            for _revision, kind, change in world.records._history
            if kind == interfaces.LEADERS
            and change.record.name == storedrecords.DUTY_KEY
        ]

    def successors(self, world):
        """Return the names of all but the holder, in order of rank."""
        holder = world.holder().me.name
        return rank([name for name in world.fleets if name != holder])

    def isolate(self, world, name):
        """Cut an instance off from the store and from all others."""
        world.records.knobs.cut.add(name)
        world.cuts |= {
            frozenset((name, other)) for other in world.fleets if other != name
        }

    async def replace_leaving(self, world):
        """Have the primary leave; return the seconds until it is replaced."""
        old = world.group.primary
        world.leave(old)
        started_at = clock.now()
        while any(
            one.leaders.valid_leadership(world.group.name) is not None
            and one.leaders.latest(world.group.name).target == old.name
            for one in world.fleets.values()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        took_s = clock.now() - started_at
        while world.group.primary is old:
            await asyncio.sleep(POLL_INTERVAL_S)
        return took_s

    async def check_turned_away(self, world, turned_away):
        """Check that a holder that the store turns away is succeeded once."""
        holder = world.holder().me.name
        turned_away.add(holder)
        await asyncio.sleep(0.2)
        took_s = await self.replace_leaving(world)
        self.assertLess(took_s, DRAIN_S)
        await asyncio.sleep(TURNED_AWAY_S)
        turned_away.clear()
        await asyncio.sleep(SETTLED_S)
        holders = self.list_holders(world)
        self.assertEqual(2, len(holders), holders)
        self.assertNotEqual(holder, world.holder().me.name)

    # Guards against a leaving primary that stays in use, as the store refuses
    # the holder of the duty, which answers gossip.
    def test_a_holder_that_the_store_refuses_is_succeeded(self):
        async def scenario(world):
            await self.check_turned_away(world, world.records.knobs.refused)

        self.run_fleet(scenario)

    # Guards against the same where the store does not answer the holder.
    def test_a_holder_that_the_store_does_not_answer_is_succeeded(self):
        async def scenario(world):
            await self.check_turned_away(world, world.records.knobs.cut)

        self.run_fleet(scenario)

    def test_a_large_fleet_succeeds_its_holder_once(self):
        async def scenario(world):
            await self.check_turned_away(world, world.records.knobs.refused)

        self.run_fleet(scenario, instances=7)

    # Guards against a large fleet in which each instance asks many others of
    # a silent holder, when there is too much load already.
    def test_few_instances_of_a_large_fleet_survey_the_others(self):
        async def scenario(world):
            holder = world.holder().me.name
            ranks = []

            def count(one):
                survey = one.gossip.survey

                async def counted(*args):
                    ranks.append(one.succession.rank())
                    return await survey(*args)

                one.gossip.survey = counted

            for one in world.fleets.values():
                count(one)
            self.isolate(world, holder)
            # Nobody can acquire the duty meanwhile.
            world.records.knobs.down = True
            await asyncio.sleep(6.0)
            world.records.knobs.down = False
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(2, len(self.list_holders(world)))
            self.assertEqual({0}, set(ranks))

        self.run_fleet(scenario, instances=7)

    # Guards against a duty that moves whenever the store has been away.
    def test_an_outage_of_the_store_moves_no_duty(self):
        async def scenario(world):
            holder = world.holder().me.name
            knobs = world.records.knobs
            for outage_s in (1.0, 3.0, 6.0):
                knobs.down = True
                await asyncio.sleep(outage_s)
                knobs.down = False
                await asyncio.sleep(SETTLED_S)
                knobs.cut |= set(world.fleets)
                await asyncio.sleep(outage_s)
                knobs.cut.clear()
                await asyncio.sleep(SETTLED_S)
            self.assertEqual([holder], self.list_holders(world))

        self.run_fleet(scenario)

    # Guards against a duty that moves since the holder loses a call or two.
    def test_a_short_loss_of_the_store_moves_no_duty(self):
        async def scenario(world):
            holder = world.holder().me.name
            for _ in range(5):
                world.records.knobs.cut.add(holder)
                await asyncio.sleep(1.5)
                world.records.knobs.cut.clear()
                await asyncio.sleep(2.0)
            self.assertEqual([holder], self.list_holders(world))

        self.run_fleet(scenario)

    # Guards against a leaving primary that stays in use, as all wait for a
    # successor that has just joined and may not change primaries.
    def test_nobody_waits_for_a_successor_that_has_just_joined(self):
        async def scenario(world):
            name = find_first_name(world.fleets)
            world.start_instance(
                ownership.Member(name, "10.0.0.99:1", "north")
            )
            await asyncio.sleep(1.5)
            holder = world.holder()
            holder.stopping = True
            holder.spawn(holder.gossip.exchange_all())
            self.assertLess(await self.replace_leaving(world), DRAIN_S)
            self.assertNotEqual(name, self.list_holders(world)[-1])

        self.run_fleet(scenario, instances=1)

    # Guards against the same where the successor reaches the others and not
    # the store.
    def test_nobody_waits_for_a_successor_without_the_store(self):
        async def scenario(world):
            for turned_away in (
                world.records.knobs.refused,
                world.records.knobs.cut,
            ):
                first = self.successors(world)[0]
                await world.kill(world.holder().me.name)
                turned_away.add(first)
                self.assertLess(await self.replace_leaving(world), DRAIN_S)
                self.assertNotEqual(first, self.list_holders(world)[-1])
                turned_away.clear()
                world.list_targets()
                await asyncio.sleep(SETTLED_S)

        self.run_fleet(scenario)

    # Guards against the same where several cannot act, each in its way.
    def test_nobody_waits_for_several_that_cannot_act(self):
        async def scenario(world):
            successors = self.successors(world)
            holder = world.holder().me.name
            self.isolate(world, holder)
            world.records.knobs.refused.add(successors[0])
            await world.kill(successors[1])
            await self.replace_leaving(world)
            self.assertIn(self.list_holders(world)[-1], successors[2:])
            world.heal()
            world.records.knobs.refused.clear()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(2, len(self.list_holders(world)))

        self.run_fleet(scenario)

    # Guards against a duty that moves although nothing is to be done, and
    # against a holder that waits again once something is.
    def test_a_holder_without_the_store_keeps_the_duty_until_it_is_needed(
        self,
    ):
        async def scenario(world):
            holder = world.holder().me.name
            world.records.knobs.refused.add(holder)
            await asyncio.sleep(TURNED_AWAY_S)
            self.assertEqual([holder], self.list_holders(world))
            self.assertLess(await self.replace_leaving(world), 2.0)
            self.assertNotEqual(holder, world.holder().me.name)

        self.run_fleet(scenario)

    # Guards against the same where the primary does not stop but fails.
    def test_a_holder_without_the_store_is_succeeded_in_a_failover(self):
        async def scenario(world):
            holder = world.holder().me.name
            world.records.knobs.refused.add(holder)
            old = world.group.primary
            old.knobs.dark = True
            await asyncio.sleep(DRAIN_S)
            self.assertIsNot(old, world.group.primary)
            self.assertEqual(2, len(self.list_holders(world)))

        self.run_fleet(scenario)

    # Guards against two that act as holders lose the store in turns.
    def test_holders_that_are_turned_away_in_turns_succeed_each_other(self):
        async def scenario(world):
            refused = world.records.knobs.refused
            for _ in range(4):
                holder = world.holder().me.name
                refused.clear()
                refused.add(holder)
                self.assertLess(await self.replace_leaving(world), DRAIN_S)
                self.assertNotEqual(holder, self.list_holders(world)[-1])
                world.list_targets()
                await asyncio.sleep(1.0)

        self.run_fleet(scenario)

    # Guards against a duty that nobody has any more: its holder gave it up,
    # and none of the others reaches the store in time.
    def test_a_holder_acquires_anew_what_nobody_has_taken(self):
        async def scenario(world):
            holder = world.holder()
            knobs = world.records.knobs
            others = set(world.fleets) - {holder.me.name}
            old = world.group.primary
            world.leave(old)
            knobs.refused.add(holder.me.name)
            while not holder.duty.is_relinquished:
                await asyncio.sleep(POLL_INTERVAL_S / 10)
            knobs.refused |= others
            await asyncio.sleep(3.0)
            knobs.refused -= {holder.me.name}
            await asyncio.sleep(2.0)
            self.assertTrue(holder.duty.may_promote())
            knobs.refused.clear()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(holder, world.holder())
            self.assertIsNot(old, world.group.primary)

        self.run_fleet(scenario)

    # Guards against a leaving primary that stays in use, as the holder of the
    # duty has registered anew and may not change primaries.
    def test_a_holder_that_has_just_joined_is_succeeded(self):
        async def scenario(world):
            holder = world.holder()
            holder._may_change_primaries_from = (
                clock.now() + leases.EXTENDED_LEASE_S
            )
            self.assertLess(await self.replace_leaving(world), DRAIN_S)
            self.assertNotEqual(holder, world.holder())
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(2, len(self.list_holders(world)))

        self.run_fleet(scenario)

    # Guards against an old holder that acts on as it is back after its
    # successor was chosen.
    def test_an_isolated_holder_returns_as_one_of_the_others(self):
        async def scenario(world):
            for away_s in (2.0, 3.0, 4.0, 6.0, 10.0):
                holder = world.holder().me.name
                self.isolate(world, holder)
                await asyncio.sleep(away_s)
                world.heal()
                await asyncio.sleep(SETTLED_S)
            self.assertLess(await self.replace_leaving(world), DRAIN_S)

        self.run_fleet(scenario)
