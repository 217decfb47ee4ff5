"""Tests of changes of a primary that pass from one holder to another."""

import asyncio

from balsamhinge.controllers import gossip
from tests.support import virtual

__all__ = ["PromotionTest"]


class PromotionTest(virtual.FleetTestCase):
    """A promotion may take effect later, or never."""

    async def write_for(self, world, seconds):
        """Write at every instance for a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds

        async def write(name):
            caller = world.caller(name, "posts")
            while loop.time() < until and name in world.fleets:
                await caller.write(f"item-{name}", f"{loop.time():.3f}")
                await asyncio.sleep(0.02)

        await asyncio.gather(*(write(name) for name in world.fleets))

    async def ask_promotion(self, world):
        """Have the primary fall silent until another is asked to lead."""
        world.group.primary.knobs.dark = True
        old = world.group.primary
        while not world.promotions:
            await asyncio.sleep(0.01)
        old.knobs.dark = False

    # Guards against writes at the old primary while a promotion that a
    # leaving holder has asked for is still to take effect.
    def test_a_leaving_holder_ends_its_change_first(self):
        async def scenario(world):
            holder = world.holder()
            world.group.promote_s = 0.6
            await self.ask_promotion(world)
            holder.stopping = True
            holder.spawn(holder.gossip.exchange_all())
            await self.write_for(world, 4.0)
            self.assert_nothing_lost(world)
            self.assert_fences_grow(world)

        self.run_fleet(scenario)

    # Guards against a group without a primary for good where the target
    # that was asked to lead has gone, and only the old primary is left.
    def test_the_old_primary_leads_on_if_no_other_is_left(self):
        async def scenario(world):
            old = world.group.primary
            await self.ask_promotion(world)
            for target in world.group.targets.values():
                target.knobs.dark = target is not old
            # Longer than any promotion takes.
            await asyncio.sleep(4.0)
            await self.write_for(world, 1.0)
            self.assertNotEqual([], world.acknowledged)
            self.assertIs(old, world.group.primary)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario)

    # Guards against a holder that spends its processor on asking those who
    # cannot answer: 16 times a second each, for every group.
    def test_one_that_does_not_answer_is_asked_one_by_one(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            for other in world.fleets:
                world.cuts.add(frozenset((name, other)))
            world.group.primary.knobs.dark = True
            leaders = world.fleets[holder].leaders
            while not leaders.latest("ladder-1").changing:
                await asyncio.sleep(0.01)
            begun = asyncio.get_running_loop().time()
            world.notes.clear()
            while not world.promotions:
                await asyncio.sleep(0.01)
            took_s = asyncio.get_running_loop().time() - begun
            # One at a time, and one more for each record that is changed.
            most = 4 + took_s / gossip.CALL_S
            self.assertLess(world.notes[holder, name], most)

        self.run_fleet(scenario)

    def assert_fences_grow(self, world):
        """Check that no promotion was asked with an older fence."""
        fences = [fence for _holder, fence, _target in world.promotions]
        self.assertEqual(sorted(fences), fences)
