"""Scenarios of a fleet: primaries change, instances and stores fail."""

import asyncio

import testtools

from balsamhinge import links
from balsamhinge.policy import leases
from balsamhinge.policy import statements
from tests.support import fleet
from tests.support import virtual
from tests.support import world as virtual_world

Access = statements.Access
Direct = statements.Direct
Problem = statements.Problem


async def write_until(caller, item, data, most=60):
    """Write until it is acknowledged; return how often it was tried."""
    for tries in range(1, most + 1):
        answer = await caller.write(item, data)
        if answer.problem is None:
            return tries
        await asyncio.sleep(0.1)
    raise AssertionError(f"not written: {answer}")


class LoopTest(testtools.TestCase):
    """What an instance does by itself goes on after an error."""

    # Guards against a loop that ends for good, without a line, because
    # something that it waited for was cancelled.
    def test_a_loop_is_started_anew_after_each_error(self):
        errors = [ValueError("x"), asyncio.CancelledError()]
        ended = virtual.EndedLoops()

        async def run():
            while errors:
                raise errors.pop()
            await asyncio.sleep(3600.0)

        async def scenario():
            world = fleet.FleetWorld(instances=1)
            one = world.start_instance(world.members[0])
            task = one.spawn(one._run_with_restarts(run))
            await asyncio.sleep(2.0)
            running = not task.done()
            await world.stop()
            return running

        with ended.applicationbound():
            self.assertTrue(virtual_world.run_virtual(scenario()))
        self.assertEqual(2, len(ended.lines))


class PrimaryTest(virtual.FleetTestCase):
    """A group gets another primary, and nothing acknowledged is lost."""

    def test_a_dark_primary_is_replaced(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.write("a", "1")
            await asyncio.sleep(0.1)
            begun = asyncio.get_running_loop().time()
            world.group.primary.knobs.dark = True
            await write_until(caller, "b", "2")
            took_s = asyncio.get_running_loop().time() - begun
            self.assertLess(took_s, 3.0)
            self.assertEqual(1, len(world.promotions))
            self.assertEqual(("1",), (await caller.read("a")).rows)

        self.run_fleet(scenario)

    def test_an_old_primary_that_wakes_serves_no_latest_read(self):
        async def scenario(world):
            writer = world.caller("south-1", "posts")
            old = world.group.primary
            old.knobs.dark = True
            await write_until(writer, "a", "new")
            # It wakes, and takes itself for the primary for a second.
            old.knobs.dark = False
            for name in world.fleets:
                reader = world.caller(name, "posts")
                answer = await reader.read("a")
                self.assertEqual(("new",), answer.rows)

        self.run_fleet(scenario)

    def test_an_instance_that_is_cut_off_stops_to_use_the_primary(self):
        async def scenario(world):
            reader = world.caller("north-1", "posts")
            self.assertIsNone((await reader.read("a")).problem)
            world.records.knobs.cut.add("north-1")
            for other in world.fleets:
                if other != "north-1":
                    world.cuts.add(frozenset(("north-1", other)))
            await asyncio.sleep(leases.LEASE_S + 0.1)
            # It still reaches the primary, which still leads.
            answer = await reader.read("a")
            self.assertEqual(Problem.BUSY, answer.problem)

        self.run_fleet(scenario)

    def stale_reads(self):
        """Return how often a cut-off data centre read what had gone."""
        stale = []

        async def scenario(world):
            # The primary stands in the data centre that is cut off.
            inside = world.caller("north-1", "posts")
            outside = world.caller("south-1", "posts")
            await inside.write("a", "old")
            world.cut_zone("north")
            loop = asyncio.get_running_loop()
            overwritten = asyncio.Event()

            async def read_inside():
                while True:
                    late = overwritten.is_set()
                    answer = await inside.read("a")
                    if late and answer.rows == ("old",):
                        stale.append(loop.time())
                    await asyncio.sleep(0.01)

            reading = asyncio.ensure_future(read_inside())
            await write_until(outside, "a", "new")
            overwritten.set()
            await asyncio.sleep(2.0)
            reading.cancel()
            self.assertEqual(1, len(world.promotions))
            world.heal()
            await asyncio.sleep(2.0)
            self.assertEqual(("new",), (await inside.read("a")).rows)

        self.run_fleet(scenario)
        return len(stale)

    def test_a_cut_off_data_centre_never_reads_what_was_overwritten(self):
        self.assertEqual(0, self.stale_reads())

    def test_without_leases_it_does(self):
        self.patch(leases.LeaseBook, "valid_until", lambda book, others: 1e9)
        self.assertLess(0, self.stale_reads())

    def test_a_leaving_primary_is_switched_without_a_lost_write(self):
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

    def test_a_leaving_primary_waits_for_an_open_transaction(self):
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

    def test_a_commit_answered_after_a_change_is_in_doubt(self):
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
            # Only the caller's instance reaches it, so it goes on to
            # take itself for the primary.
            old.knobs.cut = set(world.fleets) - {name}
            old.knobs.deaf = True
            old.knobs.lonely = True
            world.leave(old)
            answer = await writing
            self.assertEqual(Problem.IN_DOUBT, answer.problem)

        self.run_fleet(scenario)

    def test_a_primary_that_most_instances_do_not_reach_is_switched(self):
        async def scenario(world):
            names = sorted(world.fleets)
            old = world.group.primary
            callers = [world.caller(name, "posts") for name in names]
            for caller in callers:
                await caller.write("a", "0")
            old.knobs.cut = set(names[:4])
            writing = [write_until(caller, "a", "1") for caller in callers]
            await asyncio.gather(*writing)
            self.assertIsNot(old, world.group.primary)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario)

    def test_it_is_kept_while_no_other_target_has_its_commits(self):
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
    """One instance at a time changes primaries."""

    def test_a_dead_holder_is_followed_by_another(self):
        async def scenario(world):
            old = world.holder().me.name
            await world.kill(old)
            await asyncio.sleep(4.0)
            self.assertNotEqual(old, world.holder().me.name)
            world.group.primary.knobs.dark = True
            other = next(iter(world.fleets))
            await write_until(world.caller(other, "posts"), "a", "1")
            self.assertEqual(1, len(world.promotions))

        self.run_fleet(scenario)

    def test_fences_only_grow(self):
        async def scenario(world):
            for _round in range(3):
                await world.kill(world.holder().me.name)
                await asyncio.sleep(4.0)
                old = world.group.primary
                old.knobs.dark = True
                other = next(iter(world.fleets))
                await write_until(world.caller(other, "posts"), "a", "1")
                old.knobs.dark = False
                await asyncio.sleep(3.0)
            fences = [fence for _holder, fence, _target in world.promotions]
            self.assertEqual(sorted(fences), fences)
            self.assertEqual(3, len(set(fences)))

        self.run_fleet(scenario)

    def test_all_instances_learn_of_a_new_holder(self):
        async def scenario(world):
            old = world.holder().me.name
            await world.kill(old)
            await asyncio.sleep(4.0)
            found = {one.duty.holder for one in world.fleets.values()}
            self.assertEqual({world.holder().me.name}, found)
            calm = [one.gossip.full_rounds for one in world.fleets.values()]
            self.assertEqual([0] * 5, calm)

        self.run_fleet(scenario)

    def test_starting_instances_leave_the_duty_where_it_is(self):
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
    """The platform's store fails, and what can be served goes on."""

    def write_without_the_store(self, **options):
        """Write at every instance while the store is down."""

        async def scenario(world):
            world.records.knobs.down = True
            callers = [world.caller(name, "posts") for name in world.fleets]
            for _second in range(6):
                await asyncio.sleep(1.0)
                for caller in callers:
                    answer = await caller.write("a", "1")
                    self.assertIsNone(answer.problem)

        self.run_fleet(scenario, **options)

    def test_primaries_are_used_on_while_the_store_is_down(self):
        self.write_without_the_store()

    def test_a_large_fleet_uses_them_on_while_the_store_is_down(self):
        """Pattern: dozens of instances, none of which can ask all."""
        self.write_without_the_store(instances=10)

    def test_without_one_promise_leases_lapse_with_the_store(self):
        async def scenario(world):
            world.records.knobs.down = True
            await world.kill("south-2")
            await asyncio.sleep(leases.LEASE_S + 1.5)
            answer = await world.caller("north-1", "posts").write("a", "1")
            self.assertEqual(Problem.BUSY, answer.problem)

        self.run_fleet(scenario)

    def test_an_instance_without_the_store_lives_on_others_notes(self):
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

    def test_an_older_configuration_never_returns(self):
        async def scenario(world):
            old = world.table()
            world.configure(timeout_s=0.9)
            await asyncio.sleep(1.0)
            directory = world.fleets["south-1"].directory
            version = directory.table.version
            world.records.put(links.ROUTES, "main", old)
            await asyncio.sleep(1.0)
            self.assertEqual(version, directory.table.version)

        self.run_fleet(scenario)

    def test_lost_history_is_read_again(self):
        async def scenario(world):
            world.records.knobs.silent_watches = True
            world.configure(timeout_s=0.9)
            world.records.knobs.silent_watches = False
            world.records.forget_history()
            await asyncio.sleep(1.0)
            for one in world.fleets.values():
                self.assertEqual(
                    world.version - 1, one.directory.table.version
                )

        self.run_fleet(scenario)

    def test_unreadable_entries_name_nothing(self):
        async def scenario(world):
            world.records.put(links.TARGETS, "broken", None)
            await asyncio.sleep(1.0)
            one = world.fleets["south-1"]
            self.assertNotIn("broken", one.directory.targets)
            self.assertEqual(3, len(one.directory.targets))

        self.run_fleet(scenario)

    def test_entries_are_kept_until_they_must_have_returned(self):
        async def scenario(world):
            directory = world.fleets["south-1"].directory
            world.records.knobs.down = True
            await asyncio.sleep(1.0)
            world.records.drop(links.TARGETS, "ladder-1-2")
            world.records.knobs.down = False
            await asyncio.sleep(1.5)
            self.assertIn("ladder-1-2", directory.targets)
            await asyncio.sleep(1.5)
            self.assertNotIn("ladder-1-2", directory.targets)

        self.run_fleet(scenario)


class IsolationTest(virtual.FleetTestCase):
    """An instance that reaches nobody sends its callers elsewhere."""

    def test_an_isolated_data_centre_is_not_ready_until_it_heals(self):
        async def scenario(world):
            world.cut_zone("south")
            await asyncio.sleep(2.0)
            for name, one in world.fleets.items():
                self.assertEqual(not name.startswith("south"), one.ready)
            world.heal()
            await asyncio.sleep(2.0)
            self.assertTrue(all(one.ready for one in world.fleets.values()))

        self.run_fleet(scenario)

    def test_an_isolated_instance_refuses_at_once(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            world.cut_zone("south")
            await asyncio.sleep(2.0)
            loop = asyncio.get_running_loop()
            begun = loop.time()
            answer = await caller.write("a", "1")
            self.assertEqual(Problem.BUSY, answer.problem)
            self.assertLess(loop.time() - begun, 0.1)

        self.run_fleet(scenario)

    def test_an_instance_without_the_store_alone_stays_ready(self):
        async def scenario(world):
            world.records.knobs.cut.add("south-1")
            await asyncio.sleep(4.0)
            self.assertTrue(world.fleets["south-1"].ready)

        self.run_fleet(scenario)
