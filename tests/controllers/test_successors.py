"""Tests of which target becomes the primary of a synchronous group."""

import asyncio

from balsamhinge.controllers import successors
from balsamhinge import interfaces
from tests.support import synchronous

__all__ = ["AcknowledgedCommitsTest"]

FAILOVER_S = synchronous.FAILOVER_S


class AcknowledgedCommitsTest(synchronous.SynchronousFleetTestCase):
    """A promoted target holds each commit that was acknowledged."""

    # Guards against acknowledged commits that are lost in a failover because
    # the only replica that holds them is about to stop.
    def test_a_leaving_replica_that_alone_holds_commits_is_promoted(self):
        async def scenario(world):
            world.leave(world.group.targets["ladder-1-2"])
            primary, synced, behind = await self.lag(world)
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(synced, world.group.primary)
            behind.knobs.deaf = False
            world.group.replicate(synced)
            await self.write_for(world, FAILOVER_S)
            self.assertIs(behind, world.group.primary)
            self.assert_none_lost(world)
            await self.write_for(world, 1.0)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against the same while the replica that holds them turns status
    # queries away.
    def test_a_replica_without_a_report_is_asked_again(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world)
            synced.knobs.status_full = True
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            synced.knobs.status_full = False
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(synced, world.group.primary)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against the same where that replica has ended, and its log is yet
    # to come back with the target that replaces it.
    def test_the_return_of_an_ended_replica_is_awaited(self):
        async def scenario(world):
            synced = world.group.targets["ladder-1-2"]
            world.leave(synced)
            primary, synced, behind = await self.lag(world)
            synced.knobs.dark = True
            world.records.drop(interfaces.TARGETS, synced.name)
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            self.assertEqual([], world.promotions)
            synced.knobs.dark = False
            world.list_targets()
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(synced, world.group.primary)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against a group that never has a primary again, as the targets
    # that hold the latest commits are gone for good.
    def test_commits_of_targets_that_do_not_return_are_given_up(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world)
            for gone in (primary, synced):
                gone.knobs.dark = True
                world.records.drop(interfaces.TARGETS, gone.name)
            await asyncio.sleep(successors.MAX_RETURN_WAIT_S)
            self.assertEqual([], world.promotions)
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(behind, world.group.primary)
            self.assertNotEqual(set(), self.lost)

        self.run_synchronous(scenario)

    # Guards against the same in an orderly change, where the old primary is
    # about to stop and the others have not caught up.
    def test_a_leaving_primary_goes_on_until_another_holds_all(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world)
            synced.knobs.dark = True
            world.records.drop(interfaces.TARGETS, synced.name)
            await asyncio.sleep(FAILOVER_S)
            world.leave(primary)
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(primary, world.group.primary)
            behind.knobs.deaf = False
            world.group.replicate(primary)
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(behind, world.group.primary)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against a group without a primary, since a replica that holds
    # nothing more than another one does not answer.
    def test_a_dead_replica_delays_no_failover(self):
        async def scenario(world):
            self.check_promotions(world)
            primary, dead, other = world.group.targets.values()
            dead.knobs.dark = True
            await self.write_for(world, synchronous.LAG_S)
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(other, world.group.primary)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)
