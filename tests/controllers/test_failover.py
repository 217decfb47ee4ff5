"""Tests of primary changes that another holder of the duty completes."""

import asyncio

from balsamhinge.controllers import gossip
from tests.support import virtual

__all__ = ["PromotionTest"]


class PromotionTest(virtual.FleetTestCase):
    """A requested promotion may take effect late, or never."""

    async def provoke_promotion(self, world):
        """Silence the primary until the promotion of another is requested."""
        world.group.primary.knobs.dark = True
        old = world.group.primary
        while not world.promotions:
            await asyncio.sleep(0.01)
        old.knobs.dark = False

    # Guards against writes at the old primary while a promotion that a
    # stopping holder has requested is yet to take effect.
    def test_a_stopping_holder_completes_its_change_first(self):
        async def scenario(world):
            holder = world.holder()
            world.group.promote_s = 0.6
            await self.provoke_promotion(world)
            holder.stopping = True
            holder.spawn(holder.gossip.exchange_all())
            await self.write_for(world, 4.0)
            self.assert_nothing_lost(world)
            self.assert_fences_do_not_decrease(world)

        self.run_fleet(scenario)

    # Guards against a group that has no primary any more because the target
    # to be promoted has failed, and only the old primary is left.
    def test_the_old_primary_is_reinstated_if_no_other_answers(self):
        async def scenario(world):
            old = world.group.primary
            await self.provoke_promotion(world)
            for target in world.group.targets.values():
                target.knobs.dark = target is not old
            # Longer than a promotion may take.
            await asyncio.sleep(4.0)
            await self.write_for(world, 1.0)
            self.assertNotEqual([], world.acknowledged)
            self.assertIs(old, world.group.primary)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario)

    # Guards against a group that stays without a primary since the targets
    # were slow before, and statements of callers hold their connections.
    def test_targets_that_were_slow_are_asked_for_their_status(self):
        async def scenario(world):
            old = world.group.primary
            holder = world.holder()
            for name, target in world.group.targets.items():
                if target is old:
                    continue
                pool = holder.target_pools.pool(holder.directory.targets[name])
                await pool.borrow(asyncio.get_running_loop().time() + 1.0)
                holder.health.of(name).mean_response_s = 5.0
            old.knobs.dark = True
            await asyncio.sleep(6.0)
            self.assertIsNot(old, world.group.primary)

        self.run_fleet(scenario)

    # Guards against commits that are lost because a target that has been cut
    # off since before them is promoted while no other one answers.
    def test_a_target_without_the_latest_commits_is_not_promoted(self):
        async def scenario(world):
            old = world.group.primary
            old.knobs.dark = old.knobs.lonely = True
            while world.group.primary is old:
                await asyncio.sleep(0.01)
            await self.write_for(world, 1.0)
            latest = world.acknowledged[-1][2]
            self.assertGreater(latest.term, 1)
            # The old primary is back before it hears of the new one.
            for target in world.group.targets.values():
                target.knobs.dark = target is not old
            await asyncio.sleep(2.0)
            for target in world.group.targets.values():
                target.knobs.dark = False
            await self.write_for(world, 2.0)
            self.assert_nothing_lost(world)
            self.assertGreater(world.acknowledged[-1][2], latest)

        self.run_fleet(scenario)

    # Guards against commits in an earlier term by an old primary that is
    # promoted again, between the request and its effect.
    def test_a_reinstated_primary_is_used_in_its_new_term_only(self):
        async def scenario(world):
            old = world.group.primary
            # It does not hear of the new primary.
            old.knobs.lonely = True
            await self.provoke_promotion(world)
            world.group.promote_s = 0.6
            while world.group.primary is old:
                await asyncio.sleep(0.01)
            replaced_at = asyncio.get_running_loop().time()
            for target in world.group.targets.values():
                target.knobs.dark = target is not old
            await self.write_for(world, 6.0)
            terms = {
                position.term
                for at, _request_id, position in world.acknowledged
                if at > replaced_at
            }
            self.assertEqual({3}, terms)

        self.run_fleet(scenario)

    # Guards against a holder that spends its processor on instances that do
    # not answer: 16 calls a second to each of them, for every group.
    def test_an_unreachable_instance_gets_one_call_at_a_time(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            for other in world.fleets:
                world.cuts.add(frozenset((name, other)))
            world.group.primary.knobs.dark = True
            leaders = world.fleets[holder].leaders
            while not leaders.latest("ladder-1").changing:
                await asyncio.sleep(0.01)
            started_at = asyncio.get_running_loop().time()
            world.notes.clear()
            while not world.promotions:
                await asyncio.sleep(0.01)
            took_s = asyncio.get_running_loop().time() - started_at
            # One call at a time, and one more for each record written.
            max_calls = 4 + took_s / gossip.CALL_TIMEOUT_S
            self.assertLess(world.notes[holder, name], max_calls)

        self.run_fleet(scenario)

    def assert_fences_do_not_decrease(self, world):
        """Check that fencing tokens of promotion requests never decrease."""
        fences = [fence for _holder, fence, _target in world.promotions]
        self.assertEqual(sorted(fences), fences)
