"""Simulated fleets: failovers, and failures of instances and the store."""

import asyncio

import testtools

from balsamhinge import interfaces
from balsamhinge.policy import leases
from balsamhinge.policy import statements
from tests.support import fleet
from tests.support import virtual
from tests.support import world as virtual_world

Access = statements.Access
Direct = statements.Direct
Problem = statements.Problem


# Time for which a lease has lapsed.
LAPSED_S = 1.0


async def write_with_retries(caller, item, data, max_attempts=60):
    """Retry a write until it is acknowledged; return the attempts made."""
    for attempts in range(1, max_attempts + 1):
        answer = await caller.write(item, data)
        if answer.problem is None:
            return attempts
        await asyncio.sleep(0.1)
    raise AssertionError(f"not written: {answer}")


class LoopTest(testtools.TestCase):
    """Background loops of an instance are restarted after an error."""

    # Guards against a loop that ended for good, without a log line, because
    # a task that it awaited was cancelled.
    def test_loop_restarts_after_each_error(self):
        errors = [ValueError("x"), asyncio.CancelledError()]
        ended = virtual.EndedLoops()

        async def run():
            while errors:
                raise errors.pop()
            await asyncio.sleep(3600.0)

        async def scenario():
            world = fleet.FleetWorld(instances=1)
            instance = world.start_instance(world.members[0])
            task = instance.spawn(instance._run_with_restarts(run))
            await asyncio.sleep(2.0)
            running = not task.done()
            await world.stop()
            return running

        with ended.applicationbound():
            self.assertTrue(virtual_world.run_virtual(scenario()))
        self.assertEqual(2, len(ended.lines))


class PrimaryTest(virtual.FleetTestCase):
    """Failover and switchover keep every acknowledged write."""

    def test_unresponsive_primary_is_replaced(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.write("a", "1")
            await asyncio.sleep(0.1)
            failed_at = asyncio.get_running_loop().time()
            world.group.primary.knobs.dark = True
            await write_with_retries(caller, "b", "2")
            failover_s = asyncio.get_running_loop().time() - failed_at
            self.assertLess(failover_s, 3.0)
            self.assertEqual(1, len(world.promotions))
            self.assertEqual(("1",), (await caller.read("a")).rows)

        self.run_fleet(scenario)

    def test_recovered_old_primary_serves_no_latest_read(self):
        async def scenario(world):
            writer = world.caller("south-1", "posts")
            old = world.group.primary
            old.knobs.dark = True
            await write_with_retries(writer, "a", "new")
            # The old primary answers again and assumes for a second that
            # it is still the primary.
            old.knobs.dark = False
            for name in world.fleets:
                reader = world.caller(name, "posts")
                answer = await reader.read("a")
                self.assertEqual(("new",), answer.rows)

        self.run_fleet(scenario)

    def test_partitioned_instance_stops_using_the_primary(self):
        async def scenario(world):
            reader = world.caller("north-1", "posts")
            self.assertIsNone((await reader.read("a")).problem)
            world.records.knobs.cut.add("north-1")
            for other in world.fleets:
                if other != "north-1":
                    world.cuts.add(frozenset(("north-1", other)))
            await asyncio.sleep(leases.LEASE_S + 0.1)
            # The instance still reaches the primary, which is unchanged.
            answer = await reader.read("a")
            self.assertEqual(Problem.BUSY, answer.problem)

        self.run_fleet(scenario)

    def split_off(self, world, inside):
        """Cut instances off from the store and from all others."""
        world.records.knobs.cut |= inside
        for name in world.fleets:
            if name not in inside:
                world.cuts |= {frozenset((name, one)) for one in inside}

    # Guards against stale reads: a transaction at an old primary, whose
    # lease has lapsed, told a position that passed for a current one.
    def test_position_without_a_lease_is_not_current(self):

        async def scenario(world):
            name = next(
                one for one in world.fleets if one != world.holder().me.name
            )
            caller = world.caller(name, "fixtures")
            await caller.ask(statements.Begin(False))
            await caller.write("a", "1")
            self.split_off(world, {name})
            await asyncio.sleep(leases.LEASE_S + LAPSED_S)
            instance = world.fleets[name]
            group = world.group.name
            self.assertIsNone(instance.leaders.valid_leadership(group))
            self.assertIsNone((await caller.read("a")).problem)
            age_s = instance.leaders.sample_age_s(group)
            self.assertGreater(age_s, LAPSED_S)

        self.run_fleet(scenario)

    def count_stale_reads(self):
        """Return the stale reads in a partitioned data centre.

        The old primary is in that data centre; a new primary outside
        accepts a write meanwhile.
        """
        stale_read_times = []

        async def scenario(world):
            # The primary is in the partitioned data centre.
            inside = world.caller("north-1", "posts")
            outside = world.caller("south-1", "posts")
            await inside.write("a", "old")
            world.cut_zone("north")
            loop = asyncio.get_running_loop()
            overwritten = asyncio.Event()

            async def read_inside():
                while True:
                    was_overwritten = overwritten.is_set()
                    answer = await inside.read("a")
                    if was_overwritten and answer.rows == ("old",):
                        stale_read_times.append(loop.time())
                    await asyncio.sleep(0.01)

            reading = asyncio.ensure_future(read_inside())
            await write_with_retries(outside, "a", "new")
            overwritten.set()
            await asyncio.sleep(2.0)
            reading.cancel()
            self.assertEqual(1, len(world.promotions))
            world.heal()
            await asyncio.sleep(2.0)
            self.assertEqual(("new",), (await inside.read("a")).rows)

        self.run_fleet(scenario)
        return len(stale_read_times)

    def test_partitioned_data_centre_reads_no_stale_value(self):
        self.assertEqual(0, self.count_stale_reads())

    # Shows that the leases prevent the stale reads of the test above.
    def test_partitioned_data_centre_reads_stale_without_leases(self):
        self.patch(
            leases.PrimaryLeases, "valid_until", lambda book, others: 1e9
        )
        self.assertLess(0, self.count_stale_reads())

    def test_switchover_of_a_leaving_primary_loses_no_write(self):
        async def scenario(world):
            callers = [world.caller(name, "posts") for name in world.fleets]
            running = True

            async def work(caller, number):
                count = 0
                while running:
                    count += 1
                    await caller.write(f"i{number}", str(count))
                    await asyncio.sleep(0.02)

            tasks = [
                asyncio.ensure_future(work(caller, number))
                for number, caller in enumerate(callers)
            ]
            await asyncio.sleep(0.5)
            old = world.group.primary
            world.leave(old)
            await asyncio.sleep(3.0)
            running = False
            await asyncio.gather(*tasks)
            self.assertIsNot(old, world.group.primary)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario)

    def test_switchover_waits_for_an_open_transaction(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "a 1"))
            old = world.group.primary
            world.leave(old)
            await asyncio.sleep(0.25)
            answer = await caller.ask(statements.Commit())
            self.assertIsNone(answer.problem)
            await asyncio.sleep(2.0)
            self.assertIsNot(old, world.group.primary)
            self.assertEqual(("1",), (await caller.read("a")).rows)

        self.run_fleet(scenario)

    def test_commit_answered_after_a_primary_change_is_in_doubt(self):
        async def scenario(world):
            names = set(world.fleets) - {world.holder().me.name}
            name = min(names)
            caller = world.caller(name, "posts")
            await caller.write("a", "1")
            old = world.group.primary
            old.knobs.work_s = 3.0
            world.configure(timeout_s=6.0)
            await asyncio.sleep(1.0)
            writing = asyncio.ensure_future(caller.write("a", "2"))
            await asyncio.sleep(0.1)
            # Only the caller's instance reaches the old primary, which
            # therefore still assumes that it is the primary.
            old.knobs.cut = set(world.fleets) - {name}
            old.knobs.deaf = True
            old.knobs.lonely = True
            world.leave(old)
            answer = await writing
            self.assertEqual(Problem.IN_DOUBT, answer.problem)

        self.run_fleet(scenario)

    def test_primary_unreachable_for_most_instances_is_replaced(self):
        async def scenario(world):
            names = sorted(world.fleets)
            old = world.group.primary
            callers = [world.caller(name, "posts") for name in names]
            for caller in callers:
                await caller.write("a", "0")
            old.knobs.cut = set(names[:4])
            writing = [
                write_with_retries(caller, "a", "1") for caller in callers
            ]
            await asyncio.gather(*writing)
            self.assertIsNot(old, world.group.primary)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario)

    def test_primary_is_kept_while_no_replica_has_its_commits(self):
        async def scenario(world):
            names = sorted(world.fleets)
            old = world.group.primary
            callers = [world.caller(name, "posts") for name in names]
            for target in world.group.targets.values():
                target.knobs.deaf = True
            for caller in callers:
                await caller.write("a", "0")
            old.knobs.cut = set(names[:4])
            for _round in range(30):
                writing = [caller.write("a", "1") for caller in callers]
                await asyncio.gather(*writing)
                await asyncio.sleep(0.1)
            self.assertEqual([], world.promotions)

        self.run_fleet(scenario)


class DutyTest(virtual.FleetTestCase):
    """The promotion duty: one instance at a time changes primaries."""

    def test_duty_of_a_dead_holder_is_acquired_by_another_instance(self):
        async def scenario(world):
            old = world.holder().me.name
            await world.kill(old)
            await asyncio.sleep(4.0)
            self.assertNotEqual(old, world.holder().me.name)
            world.group.primary.knobs.dark = True
            other = next(iter(world.fleets))
            await write_with_retries(world.caller(other, "posts"), "a", "1")
            self.assertEqual(1, len(world.promotions))

        self.run_fleet(scenario)

    def test_fencing_tokens_increase(self):
        async def scenario(world):
            for _round in range(3):
                await world.kill(world.holder().me.name)
                await asyncio.sleep(4.0)
                old = world.group.primary
                old.knobs.dark = True
                other = next(iter(world.fleets))
                await write_with_retries(
                    world.caller(other, "posts"), "a", "1"
                )
                old.knobs.dark = False
                await asyncio.sleep(3.0)
            tokens = [token for _holder, token, _target in world.promotions]
            self.assertEqual(sorted(tokens), tokens)
            self.assertEqual(3, len(set(tokens)))

        self.run_fleet(scenario)

    def test_all_instances_learn_the_new_duty_holder(self):
        async def scenario(world):
            old = world.holder().me.name
            await world.kill(old)
            await asyncio.sleep(4.0)
            holders = {
                instance.duty.holder for instance in world.fleets.values()
            }
            self.assertEqual({world.holder().me.name}, holders)
            rounds = [
                instance.gossip.full_rounds
                for instance in world.fleets.values()
            ]
            self.assertEqual([0] * 5, rounds)

        self.run_fleet(scenario)

    def test_restart_of_all_instances_keeps_the_duty_holder(self):
        async def scenario(world):
            before = world.records.kinds["leaders"]["duty"]
            for member in world.members:
                await world.kill(member.name)
            for member in world.members:
                world.start_instance(member)
            await world.wait_leaders()
            await asyncio.sleep(3.0)
            after = world.records.kinds["leaders"]["duty"]
            self.assertEqual(before, after)

        self.run_fleet(scenario)


class StoreTest(virtual.FleetTestCase):
    """Service during failures of the platform's store."""

    def write_without_the_store(self, **options):
        """Assert that every instance writes while the store is down."""

        async def scenario(world):
            world.records.knobs.down = True
            callers = [world.caller(name, "posts") for name in world.fleets]
            for _second in range(6):
                await asyncio.sleep(1.0)
                for caller in callers:
                    answer = await caller.write("a", "1")
                    self.assertIsNone(answer.problem)

        self.run_fleet(scenario, **options)

    def test_primaries_stay_usable_while_the_store_is_down(self):
        self.write_without_the_store()

    # Instances of a large fleet gossip with only some of the others, not
    # with all of them.
    def test_primaries_stay_usable_in_a_large_fleet_without_the_store(self):
        self.write_without_the_store(instances=10)

    def test_leases_expire_without_the_store_if_one_instance_is_dead(self):
        async def scenario(world):
            world.records.knobs.down = True
            await world.kill("south-2")
            await asyncio.sleep(leases.LEASE_S + 1.5)
            answer = await world.caller("north-1", "posts").write("a", "1")
            self.assertEqual(Problem.BUSY, answer.problem)

        self.run_fleet(scenario)

    def test_instance_cut_off_from_the_store_is_updated_by_gossip(self):
        async def scenario(world):
            world.records.knobs.cut.add("south-1")
            caller = world.caller("south-1", "posts")
            for _second in range(8):
                await asyncio.sleep(1.0)
                answer = await caller.write("a", "1")
                self.assertIsNone(answer.problem)
            world.configure(timeout_s=0.9)
            await asyncio.sleep(1.5)
            table = world.fleets["south-1"].directory.table
            self.assertEqual(world.version - 1, table.version)

        self.run_fleet(scenario)

    def test_older_configuration_is_ignored(self):
        async def scenario(world):
            old = world.table()
            world.configure(timeout_s=0.9)
            await asyncio.sleep(1.0)
            directory = world.fleets["south-1"].directory
            version = directory.table.version
            world.records.put(interfaces.ROUTES, "main", old)
            await asyncio.sleep(1.0)
            self.assertEqual(version, directory.table.version)

        self.run_fleet(scenario)

    def test_records_are_listed_again_after_history_was_dropped(self):
        async def scenario(world):
            world.records.knobs.silent_watches = True
            world.configure(timeout_s=0.9)
            world.records.knobs.silent_watches = False
            world.records.forget_history()
            await asyncio.sleep(1.0)
            for instance in world.fleets.values():
                self.assertEqual(
                    world.version - 1, instance.directory.table.version
                )

        self.run_fleet(scenario)

    def test_undecodable_target_entries_are_ignored(self):
        async def scenario(world):
            world.records.put(interfaces.TARGETS, "broken", None)
            await asyncio.sleep(1.0)
            instance = world.fleets["south-1"]
            self.assertNotIn("broken", instance.directory.targets)
            self.assertEqual(3, len(instance.directory.targets))

        self.run_fleet(scenario)

    def test_missing_target_entries_are_kept_after_a_store_outage(self):
        async def scenario(world):
            directory = world.fleets["south-1"].directory
            world.records.knobs.down = True
            await asyncio.sleep(1.0)
            world.records.drop(interfaces.TARGETS, "ladder-1-2")
            world.records.knobs.down = False
            await asyncio.sleep(1.5)
            self.assertIn("ladder-1-2", directory.targets)
            await asyncio.sleep(1.5)
            self.assertNotIn("ladder-1-2", directory.targets)

        self.run_fleet(scenario)


class IsolationTest(virtual.FleetTestCase):
    """An isolated instance sends its callers elsewhere."""

    def test_isolated_data_centre_is_not_ready_until_it_heals(self):
        async def scenario(world):
            world.cut_zone("south")
            await asyncio.sleep(2.0)
            for name, instance in world.fleets.items():
                self.assertEqual(not name.startswith("south"), instance.ready)
            world.heal()
            await asyncio.sleep(2.0)
            self.assertTrue(
                all(instance.ready for instance in world.fleets.values())
            )

        self.run_fleet(scenario)

    def test_isolated_instance_refuses_writes_at_once(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            world.cut_zone("south")
            await asyncio.sleep(2.0)
            loop = asyncio.get_running_loop()
            called_at = loop.time()
            answer = await caller.write("a", "1")
            self.assertEqual(Problem.BUSY, answer.problem)
            self.assertLess(loop.time() - called_at, 0.1)

        self.run_fleet(scenario)

    def test_instance_that_lost_only_the_store_stays_ready(self):
        async def scenario(world):
            world.records.knobs.cut.add("south-1")
            await asyncio.sleep(4.0)
            self.assertTrue(world.fleets["south-1"].ready)

        self.run_fleet(scenario)
