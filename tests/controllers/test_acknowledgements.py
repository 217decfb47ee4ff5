"""Tests of who still knows of a commit when a primary is changed."""

import asyncio

from balsamhinge.controllers import storedrecords
from balsamhinge.controllers import successors
from balsamhinge import interfaces
from balsamhinge.policy import leases
from balsamhinge.policy import registrations
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from tests.support import synchronous

__all__ = [
    "ConfigurationTest",
    "InstancesTest",
    "ReturningTargetsTest",
    "StatementsTest",
    "WaitingTest",
]

FAILOVER_S = synchronous.FAILOVER_S
# Less than the shortest interval between rounds of gossip.
UNTOLD_S = 0.02
# A replica answers no status query for this long.
BUSY_S = 9.0


class Scenarios(synchronous.SynchronousFleetTestCase):
    """Lets one of two replicas alone hold what is acknowledged."""

    async def fail_over(self, world, busy_s=BUSY_S):
        """Crash the primary while the replica that holds all is busy."""
        primary, synced, _behind = world.group.targets.values()
        synced.knobs.status_full = True
        primary.knobs.dark = True
        await asyncio.sleep(busy_s)
        synced.knobs.status_full = False
        await self.wait_promotion(world, synced, FAILOVER_S)
        await self.write_for(world, 1.0)
        self.assert_none_lost(world)

    def other_instance(self, world):
        """Return the name of an instance without the duty."""
        holder = world.holder().me.name
        return next(name for name in world.fleets if name != holder)

    def cut_off(self, world, name):
        """Cut an instance off from all others."""
        world.cuts |= {
            frozenset((name, other)) for other in world.fleets if other != name
        }

    async def restart(self, world, name):
        """Kill an instance, and start it again at once."""
        member = world.fleets[name].me
        await world.kill(name)
        world.start_instance(member)


class InstancesTest(Scenarios):
    """The instance that acknowledged a commit no longer tells of it."""

    # Guards against acknowledged commits that are lost in a failover because
    # the only replica that holds them turns status queries away (review/6).
    def test_a_busy_replica_that_alone_holds_commits_is_promoted(self):
        async def scenario(world):
            await self.lag(world)
            await self.fail_over(world, busy_s=1.5)

        self.run_synchronous(scenario)

    # Guards against a commit that only a killed instance had told of, as its
    # next process confirms the release without knowing it.
    def test_a_commit_of_a_restarted_instance_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            await self.write_once(world, name)
            await asyncio.sleep(UNTOLD_S)
            await self.restart(world, name)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same where the instance stays away.
    def test_a_commit_of_a_killed_instance_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            await self.write_once(world, name)
            await world.kill(name)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same once that instance is deregistered.
    def test_a_commit_of_a_deregistered_instance_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            await self.write_once(world, name)
            await world.kill(name)
            await asyncio.sleep(registrations.MEMBER_EXPIRY_S + 12.0)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same where it goes on for as long as its lease lasts.
    def test_a_commit_after_the_deregistration_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            key = storedrecords.member_key(name)
            world.records.knobs.cut.add(name)
            self.cut_off(world, name)
            world.records.drop(interfaces.LEADERS, key)
            leaders = world.holder().leaders
            while name in leaders.members:
                await asyncio.sleep(UNTOLD_S)
            ended_at = leaders.registrations.last_ended_at
            while not leaders.position_since(world.group.name, ended_at):
                await asyncio.sleep(UNTOLD_S)
            await self.write_once(world, name)
            await world.kill(name)
            await self.fail_over(world, leases.EXTENDED_LEASE_S + BUSY_S)

        self.run_synchronous(scenario)

    # Guards against the same where all instances are killed at once.
    def test_commits_of_instances_that_all_restart_are_kept(self):
        async def scenario(world):
            await self.lag(world)
            for name in list(world.fleets):
                await self.restart(world, name)
            # No instance counts any other as recently deregistered.
            await asyncio.sleep(15.0)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same where they restart one after the other.
    def test_commits_survive_a_rolling_restart(self):
        async def scenario(world):
            await self.lag(world)
            for name in list(world.fleets):
                await self.write_once(world, name)
                await asyncio.sleep(UNTOLD_S)
                await self.restart(world, name)
                await asyncio.sleep(1.0)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same where an instance stops in an orderly way and
    # acknowledges a last commit after it has said so.
    def test_a_commit_of_a_stopping_instance_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            stopping = world.fleets[name]
            caller = world.caller(name, "posts")
            stopping.stopping = True
            await stopping.gossip.announce_stop()
            answer = await caller.write("item", "last")
            self.assertIsNone(answer.problem)
            await asyncio.sleep(UNTOLD_S)
            await self.restart(world, name)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same where the instance that acknowledged is cut off.
    def test_a_commit_of_an_isolated_instance_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            await self.write_once(world, name)
            self.cut_off(world, name)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same where the holder of the duty dies within the
    # change, and another instance or its own next process resumes it.
    def test_a_resumed_change_loses_no_commit(self):
        for restarts in (False, True):

            async def scenario(world, restarts=restarts):
                primary, synced, _behind = await self.lag(world)
                holder = world.holder().me
                await self.write_once(world, holder.name)
                synced.knobs.status_full = True
                primary.knobs.dark = True
                while not self.is_changing(world):
                    await asyncio.sleep(UNTOLD_S)
                await world.kill(holder.name)
                if restarts:
                    world.start_instance(holder)
                await self.fail_over(world)

            self.run_synchronous(scenario)

    def is_changing(self, world):
        """Return whether a change of the primary is announced."""
        return any(
            one.leaders.latest(world.group.name).changing
            for one in world.fleets.values()
        )

    # Guards against the same where the store has been restored from a copy
    # of before, and the instances read the list of instances anew.
    def test_a_restored_store_loses_no_commit(self):
        async def scenario(world):
            copy = world.records.copy()
            await self.lag(world)
            name = self.other_instance(world)
            await self.write_once(world, name)
            await asyncio.sleep(UNTOLD_S)
            await self.restart(world, name)
            await world.restore_store(copy)
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against the same while the store is away.
    def test_a_store_that_is_away_loses_no_commit(self):
        async def scenario(world):
            await self.lag(world)
            name = self.other_instance(world)
            await self.write_once(world, name)
            world.records.knobs.down = True
            primary, synced, _behind = world.group.targets.values()
            synced.knobs.status_full = True
            primary.knobs.dark = True
            await self.restart(world, name)
            await asyncio.sleep(FAILOVER_S)
            world.records.knobs.down = False
            await self.fail_over(world)

        self.run_synchronous(scenario)


class ReturningTargetsTest(Scenarios):
    """Targets leave the list and come back, with other logs than before."""

    # Guards against a commit that is lost because the replica that holds it
    # is not listed for a moment, and nobody knows of the commit any more.
    def test_a_replica_that_is_listed_late_is_awaited(self):
        async def scenario(world):
            primary, synced, _behind = await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            await self.write_once(world, name)
            await self.restart(world, name)
            primary.knobs.dark = synced.knobs.dark = True
            self.unlist(world, synced)
            await asyncio.sleep(BUSY_S)
            self.assertEqual([], world.promotions)
            synced.knobs.dark = False
            world.list_targets()
            await self.wait_promotion(world, synced, FAILOVER_S)
            await self.write_for(world, 1.0)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against the same where the holder of the duty has started again
    # and never saw that replica in the list.
    def test_a_holder_that_has_just_joined_awaits_it_too(self):
        async def scenario(world):
            primary, synced, _behind = await self.lag(world, seconds=0.0)
            name = world.holder().me.name
            await self.write_once(world, name)
            member = world.fleets[name].me
            await world.kill(name)
            primary.knobs.dark = synced.knobs.dark = True
            self.unlist(world, synced)
            await asyncio.sleep(UNTOLD_S)
            world.start_instance(member)
            await asyncio.sleep(BUSY_S)
            self.assertEqual([], world.promotions)
            synced.knobs.dark = False
            world.list_targets()
            await self.wait_promotion(world, synced, FAILOVER_S)
            await self.write_for(world, 1.0)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against commits that are lost because an empty log counts as an
    # answer that nothing more was received.
    def test_an_emptied_replica_counts_as_unheard(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world, seconds=0.0)
            name = self.other_instance(world)
            await self.write_once(world, name)
            await self.restart(world, name)
            primary.knobs.dark = synced.knobs.deaf = True
            synced.restart_empty()
            world.list_targets()
            await asyncio.sleep(BUSY_S)
            self.assertEqual([], world.promotions)
            # The old primary comes back with its log.
            primary.knobs.dark = False
            await asyncio.sleep(FAILOVER_S)
            self.assertIs(primary, world.group.primary)
            await self.lift(world)

        self.run_synchronous(scenario)

    async def lift(self, world):
        """Let all receive again, and check that nothing is lost."""
        for target in world.group.targets.values():
            target.knobs.deaf = False
        await self.write_for(world, 1.0)
        self.assert_none_lost(world)

    # Guards against commits that are lost because an old primary that comes
    # back without its log counts as an answer of what there was.
    def test_an_emptied_primary_bounds_nothing(self):
        for role in (routes.TargetRole.PRIMARY, routes.TargetRole.REPLICA):

            async def scenario(world, role=role):
                primary, synced, behind = await self.lag(world)
                synced.knobs.status_full = True
                primary.knobs.dark = True
                await asyncio.sleep(FAILOVER_S)
                primary.restart_empty()
                world.list_targets()
                primary.role = role
                primary.knobs.dark = False
                await asyncio.sleep(FAILOVER_S)
                self.assertEqual([], world.promotions)
                synced.knobs.status_full = False
                await self.wait_promotion(world, synced, FAILOVER_S)
                await self.write_for(world, 1.0)
                self.assert_none_lost(world)

            self.run_synchronous(scenario)

    # Guards against the loss of more commits than need be, once those that no
    # target returns with are given up.
    def test_an_old_primary_that_lost_a_part_is_taken_in_the_end(self):
        async def scenario(world):
            primary, synced, _behind = await self.lag(world)
            primary.knobs.dark = synced.knobs.dark = True
            self.unlist(world, synced)
            await asyncio.sleep(FAILOVER_S)
            del primary.log[-5:]
            primary.applied = len(primary.log)
            primary.knobs.dark = False
            await asyncio.sleep(FAILOVER_S)
            latest = world.holder().leaders.latest(world.group.name)
            self.assertTrue(latest.changing)
            await asyncio.sleep(successors.MAX_RETURN_WAIT_S)
            latest = world.holder().leaders.latest(world.group.name)
            self.assertFalse(latest.changing)
            self.assertEqual(primary.name, latest.target)
            self.assertEqual([], world.promotions)

        self.run_synchronous(scenario)

    # Guards against a change that goes on without the old primary, which is
    # back with all commits.
    def test_an_old_primary_that_returns_goes_on(self):
        async def scenario(world):
            primary, synced, _behind = await self.lag(world)
            synced.knobs.status_full = True
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            primary.knobs.dark = False
            await self.write_for(world, 2.0)
            self.assertEqual([], world.promotions)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)


class ConfigurationTest(Scenarios):
    """The number of synchronous replicas changes, or is not reached."""

    # Guards against commits that are lost because an instance without the
    # latest configuration does not tell of them.
    def test_an_instance_with_an_old_configuration_is_not_counted(self):
        async def scenario(world):
            name = self.other_instance(world)
            late = world.fleets[name].directory
            late.activate_table = lambda table, source: None
            world.group.synchronous_replicas = 1
            world.configure()
            await asyncio.sleep(1.0)
            await self.lag(world, seconds=0.0)
            await self.write_once(world, name)
            await asyncio.sleep(1.0)
            await self.fail_over(world)

        self.run_synchronous(scenario, synchronous_replicas=0)

    # Guards against commits that are lost because the holder of the duty has
    # not read yet that the group replicates synchronously.
    def test_a_holder_learns_the_configuration_from_others(self):
        async def scenario(world):
            late = world.holder().directory
            activate_table = late.activate_table

            def activate_told(table, source):
                if source != "store":
                    activate_table(table, source)

            late.activate_table = activate_told
            world.group.synchronous_replicas = 1
            world.configure()
            await self.lag(world, seconds=0.5)
            await self.fail_over(world)

        self.run_synchronous(scenario, synchronous_replicas=0)

    # Guards against a failover that waits for a replica, although any other
    # one has received each commit.
    def test_any_replica_suffices_where_all_are_synchronous(self):
        async def scenario(world):
            self.check_promotions(world)
            primary, busy, other = world.group.targets.values()
            await self.write_for(world, 1.0)
            busy.knobs.status_full = True
            primary.knobs.dark = True
            await self.wait_promotion(world, other, FAILOVER_S)
            self.assert_none_lost(world)

        self.run_synchronous(scenario, synchronous_replicas=2)

    # Guards against a group without a primary, where more replicas are
    # required than there are and nothing was ever acknowledged.
    def test_more_synchronous_replicas_than_there_are(self):
        async def scenario(world):
            self.check_promotions(world)
            world.group.primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            self.assertNotEqual("ladder-1-1", world.group.primary.name)
            self.assertEqual([], world.acknowledged)

        self.run_synchronous(scenario, synchronous_replicas=3)

    # Guards against a failover that goes on waiting for replicas once the
    # group replicates asynchronously.
    def test_an_asynchronous_group_awaits_nothing(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world)
            world.group.synchronous_replicas = 0
            world.configure()
            await asyncio.sleep(1.0)
            synced.knobs.status_full = True
            primary.knobs.dark = True
            await self.wait_promotion(world, behind, FAILOVER_S)

        self.run_synchronous(scenario)


class StatementsTest(Scenarios):
    """Commits are acknowledged by statements of all kinds."""

    # Guards against transactions and prepared statements whose commits are
    # not told of.
    def test_a_transaction_is_kept(self):
        async def scenario(world):
            await self.lag(world, seconds=0.0)
            await self.commit_transaction(world, self.other_instance(world))
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against a group without a primary, as a commit that nobody has
    # acknowledged was sent together with one that was.
    def test_a_commit_that_was_not_acknowledged_is_not_awaited(self):
        async def scenario(world):
            primary, synced, _behind = await self.lag(world)
            wait_received = world.group.wait_received

            async def append_another(position):
                await wait_received(position)
                world.group.wait_received = wait_received
                synced.knobs.deaf = True
                primary.append([("item", "lost")], "not acknowledged")

            world.group.wait_received = append_another
            await self.write_once(world, self.other_instance(world))
            await asyncio.sleep(UNTOLD_S)
            primary.knobs.dark = True
            await self.wait_promotion(world, synced, FAILOVER_S)
            synced.knobs.deaf = False
            self.assert_none_lost(world)

        self.run_synchronous(scenario)

    # Guards against a group without a primary, as the outcome of a commit is
    # not known to its caller either.
    def test_a_commit_in_doubt_is_not_awaited(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world)
            behind.knobs.deaf = False
            world.group.replicate(primary)
            await asyncio.sleep(1.0)
            synced.knobs.deaf = behind.knobs.deaf = True
            caller = world.caller(self.other_instance(world), "posts")
            answer = await caller.write("item", "in doubt")
            self.assertIs(statements.Problem.IN_DOUBT, answer.problem)
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            self.assertIsNot(primary, world.group.primary)
            self.assert_none_lost(world)

        self.run_synchronous(scenario)


class WaitingTest(Scenarios):
    """What callers see while a replica is awaited."""

    # Guards against callers that wait for a primary that cannot come, and
    # against reads that are refused though a replica may serve them.
    def test_callers_are_refused_at_once_and_told_why(self):
        async def scenario(world):
            primary, synced, _behind = await self.lag(world)
            synced.knobs.status_full = True
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            await self.assert_refused_at_once(world, synced)
            for name in world.fleets:
                answer = await world.caller(name, "ranks").read("item")
                self.assertIsNone(answer.problem)
                answer = await world.caller(name, "posts").read("item")
                self.assertIs(statements.Problem.BUSY, answer.problem)

        self.run_synchronous(scenario)

    async def assert_refused_at_once(self, world, awaited):
        """Check that writes are refused, and name the awaited target."""
        loop = asyncio.get_running_loop()
        for name in world.fleets:
            started_at = loop.time()
            answer = await world.caller(name, "posts").write("item", "x")
            self.assertIs(statements.Problem.BUSY, answer.problem)
            self.assertLess(loop.time() - started_at, 0.1)
            self.assertIn(awaited.name, answer.detail)

    # Guards against the same where no target answers, as with one replica.
    def test_callers_are_refused_at_once_if_no_target_answers(self):
        async def scenario(world):
            primary, synced, behind = await self.lag(world)
            synced.knobs.status_full = behind.knobs.status_full = True
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            await self.assert_refused_at_once(world, synced)
            behind.knobs.status_full = False
            await self.fail_over(world)

        self.run_synchronous(scenario)

    # Guards against commits that are given up although the replica that holds
    # them is there, and only too busy to answer for long.
    def test_a_busy_replica_is_awaited_for_any_time(self):
        async def scenario(world):
            await self.lag(world)
            await self.fail_over(world, 2 * successors.MAX_RETURN_WAIT_S)

        self.run_synchronous(scenario)

    # Guards against a group that never has a primary again because a listed
    # replica that is not needed answers nothing.
    def test_a_dead_replica_is_awaited_until_it_is_not_listed(self):
        async def scenario(world):
            self.check_promotions(world)
            primary, dead, other = world.group.targets.values()
            await self.write_for(world, 1.0)
            dead.knobs.dark = True
            name = self.other_instance(world)
            await world.kill(name)
            primary.knobs.dark = True
            await asyncio.sleep(FAILOVER_S)
            self.assertEqual([], world.promotions)
            self.unlist(world, dead)
            await self.wait_promotion(
                world, other, successors.MAX_RETURN_WAIT_S + FAILOVER_S
            )
            self.assert_none_lost(world)

        self.run_synchronous(scenario)
