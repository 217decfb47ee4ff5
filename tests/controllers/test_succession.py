"""Tests of who takes the promotion duty while instances cannot act on it."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge import interfaces
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

    # Guards against a duty that nobody has any more: its holder gave it up,
    # and none of the others reaches the store in time.
    def test_a_holder_acquires_anew_what_nobody_has_taken(self):
        async def scenario(world):
            holder = world.holder()
            knobs = world.records.knobs
            others = set(world.fleets) - {holder.me.name}
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
            self.assertLess(await self.replace_leaving(world), DRAIN_S)

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
