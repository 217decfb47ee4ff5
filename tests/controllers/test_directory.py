"""Tests that changes in the store reach all instances of a fleet."""

import asyncio

import attrs

from balsamhinge.controllers import clock
from balsamhinge.controllers import directory
from balsamhinge import interfaces
from tests.support import virtual

__all__ = [
    "LargeFleetTest",
    "RestoreTest",
    "RestoredEntriesTest",
    "ReusedVersionTest",
    "SilentWatchTest",
]

LARGE = {"instances": 7}
# A configuration has to be in force everywhere within this time.
IN_FORCE_S = 3.0
# Changes of the configuration that the store loses in a restore.
LOST_CHANGES = 6
# Start of a target's later life, after the one that its first entry tells.
BORN_MS = 2**40
# Time to start an instance: several calls to the store, 4 ms each.
START_S = 0.05
# Time after which a configuration counts as lost.
GIVE_UP_S = 30.0
# Time in which the platform expects an instance to recover from broken
# connections.
RECOVERY_S = 4.0


async def wait_in_force(world, version):
    """Return the seconds until a version is in force at all instances."""
    started_at = clock.now()
    while any(
        one.directory.table.version < version for one in world.fleets.values()
    ):
        await asyncio.sleep(0.02)
        assert clock.now() < started_at + GIVE_UP_S, "not in force everywhere"
    return clock.now() - started_at


class LargeFleetTest(virtual.FleetTestCase):
    """Pattern: dozens of instances with a limited rate of store calls."""

    def test_changes_reach_all_instances_with_few_calls(self):
        async def scenario(world):
            calls = world.records.calls
            started_at = clock.now()
            for _ in range(5):
                table = world.configure()
                took_s = await wait_in_force(world, table.version)
                self.assertLess(took_s, IN_FORCE_S)
                target = next(iter(world.group.targets.values()))
                world.records.put(
                    interfaces.TARGETS, target.name, target.entry()
                )
                await asyncio.sleep(2.0)
            readers = sum(
                one.directory.is_following() for one in world.fleets.values()
            )
            self.assertLessEqual(readers, directory.READER_COUNT + 1)
            # Readers make two calls for each change, and the holder of the
            # duty polls; 21 instances would make 210 calls by themselves.
            polls = (clock.now() - started_at) / 0.7
            max_calls = polls + 10 * (directory.READER_COUNT + 1) + 20
            self.assertLess(world.records.calls - calls, max_calls)

        self.run_fleet(scenario, **LARGE)

    # Guards against restarted instances that wait for each other's gossip
    # instead of reading the store: none served for a second.
    def test_instances_that_restart_together_read_the_store(self):
        async def scenario(world):
            for member in world.members:
                await world.kill(member.name)
            calls = world.records.calls
            for member in world.members:
                world.start_instance(member)
            await asyncio.sleep(START_S)
            for one in world.fleets.values():
                self.assertTrue(one.ready)
                self.assertEqual(3, len(one.directory.targets))
            await asyncio.sleep(2.0)
            # Each reads routes and targets once, and registers.
            max_calls = 6 * len(world.members)
            self.assertLess(world.records.calls - calls, max_calls)

        self.run_fleet(scenario, **LARGE)

    def test_all_instances_drop_a_target_that_has_left(self):
        async def scenario(world):
            target = next(iter(world.group.targets.values()))
            world.records.drop(interfaces.TARGETS, target.name)
            await asyncio.sleep(directory.REREGISTRATION_S + 1.0)
            for one in world.fleets.values():
                self.assertNotIn(target.name, one.directory.targets)

        self.run_fleet(scenario, **LARGE)

    def test_others_read_the_store_when_no_reader_reaches_it(self):
        async def scenario(world):
            for one in world.fleets.values():
                if one.is_store_reader():
                    world.records.knobs.cut.add(one.me.name)
            await asyncio.sleep(1.0)
            table = world.configure()
            took_s = await wait_in_force(world, table.version)
            self.assertLess(took_s, IN_FORCE_S)

        self.run_fleet(scenario, **LARGE)


class RestoreTest(virtual.FleetTestCase):
    """Pattern: the store comes back from an older copy."""

    def measure_in_force_s(self, **options):
        """Return how long a change takes that is made after the return.

        The store has given out the revisions again from which the instances
        watch it before they ask for the first time.
        """
        took_s = []

        async def scenario(world):
            copy = world.records.copy()
            for _ in range(LOST_CHANGES):
                world.configure()
            await asyncio.sleep(1.0)
            latest = world.records.revision
            await world.restore_store(copy)
            table = world.configure()
            self.assertLess(world.records.revision, latest)
            while world.records.revision <= latest:
                world.list_targets()
            took_s.append(await wait_in_force(world, table.version))

        self.run_fleet(scenario, **options)
        return took_s[0]

    # Guards against a configuration that no watch ever delivers.
    def test_a_change_just_after_a_restore_is_in_force_in_time(self):
        self.assertLess(self.measure_in_force_s(), IN_FORCE_S)

    # The same where a few instances follow the store for all.
    def test_a_change_after_a_restore_reaches_a_large_fleet(self):
        self.assertLess(self.measure_in_force_s(**LARGE), IN_FORCE_S)


class ReusedVersionTest(virtual.FleetTestCase):
    """An operator gives a lost version of the configuration out again."""

    # Guards against a confirmed change that is not in force, because another
    # one of the same version was, which the store has lost.
    def test_a_version_that_was_given_out_again_comes_into_force(self):
        async def scenario(world):
            copy = world.records.copy()
            version = world.version
            lost = world.configure(more=2)
            await wait_in_force(world, lost.version)
            world.records.knobs.down = True
            await asyncio.sleep(1.0)
            world.records.restore(copy)
            world.records.knobs.down = False
            world.version = version
            kept = world.configure(more=1)
            self.assertEqual(lost.version, kept.version)
            await asyncio.sleep(IN_FORCE_S)
            for one in world.fleets.values():
                self.assertEqual(kept.routes, one.directory.table.routes)
            # An instance that missed the other one gets the whole of it.
            later = world.configure(more=1)
            for one in world.fleets.values():
                change = one.directory.history.delta_since(
                    one.directory.table, version
                )
                self.assertEqual(0, change.base)
            await wait_in_force(world, later.version)

        self.run_fleet(scenario)


class RestoredEntriesTest(virtual.FleetTestCase):
    """What the copy says of targets, until they have written again."""

    def check_restored(self, change, check):
        """Check each instance after a restore that loses a change.

        Parameters
        ----------
        change : coroutine function
            Changes the entry of a target, given the world and the target.
        check : callable
            Called with the directory of each instance and the target's name.
        """

        async def scenario(world):
            copy = world.records.copy()
            target = next(iter(world.group.targets.values()))
            await change(world, target)
            await asyncio.sleep(1.0)
            world.records.knobs.down = True
            await asyncio.sleep(1.0)
            world.records.restore(copy)
            world.records.knobs.down = False
            until = clock.now() + directory.REREGISTRATION_S
            while clock.now() < until:
                for one in world.fleets.values():
                    check(one.directory, target.name)
                await asyncio.sleep(0.01)
            # What has not been written again by now is what the store says.
            await asyncio.sleep(1.0)
            for one in world.fleets.values():
                entry = one.directory.targets[target.name]
                self.assertEqual(
                    (target.entry().leaving, target.entry().born_ms),
                    (entry.leaving, entry.born_ms),
                )

        self.run_fleet(scenario)

    def check_inactive(self, known, name):
        """Check that a target gets no new work."""
        active = [one.name for one in known.active_targets("ladder-1")]
        self.assertNotIn(name, active)

    # Guards against new work at a target that has announced its end.
    def test_a_leaving_target_gets_no_work_after_a_restore(self):
        async def announce(world, target):
            world.leave(target)

        self.check_restored(announce, self.check_inactive)

    # The same for a target that has left altogether.
    def test_a_target_that_has_left_gets_no_work_after_a_restore(self):
        async def leave(world, target):
            world.leave(target)
            await asyncio.sleep(1.0)
            world.records.drop(interfaces.TARGETS, target.name)

        self.check_restored(leave, self.check_inactive)

    # Guards against the entry of an earlier life of a target.
    def test_the_entry_of_a_restarted_target_is_kept(self):
        async def restart(world, target):
            entry = attrs.evolve(target.entry(), born_ms=BORN_MS)
            world.records.put(interfaces.TARGETS, target.name, entry)

        def check(known, name):
            self.assertEqual(BORN_MS, known.targets[name].born_ms)

        self.check_restored(restart, check)


class SilentWatchTest(virtual.FleetTestCase):
    """Pattern: open connections stop delivering while new ones work."""

    def measure_in_force_s(self, changed_after_s=RECOVERY_S, **options):
        """Return how long a change takes after all watches have stalled.

        Parameters
        ----------
        changed_after_s : float
            Seconds from the stall to the change.
        **options
            See `FleetWorld`.
        """
        took_s = []

        async def scenario(world):
            # A watch that has just started has the longest time to wait.
            world.configure()
            await asyncio.sleep(1.0 if changed_after_s else 0.1)
            world.records.silence_watches()
            await asyncio.sleep(changed_after_s)
            table = world.configure()
            took_s.append(await wait_in_force(world, table.version))

        self.run_fleet(scenario, **options)
        return took_s[0]

    # Guards against a stall that no line and no metric shows while the age
    # of the directory is 0.
    def test_the_time_without_an_answer_is_known(self):
        async def scenario(world):
            world.records.silence_watches()
            await asyncio.sleep(1.0)
            for one in world.fleets.values():
                self.assertEqual(0.0, one.directory.age_s())
                self.assertGreaterEqual(
                    one.directory.routes.unanswered_s(), 1.0
                )

        self.run_fleet(scenario)

    # Guards against a stalled watch being taken for one without changes.
    def test_stalled_watches_do_not_delay_a_configuration(self):
        self.assertLess(self.measure_in_force_s(), IN_FORCE_S)

    # The same where a few instances follow the store for all.
    def test_stalled_watches_of_few_readers_delay_no_configuration(self):
        self.assertLess(self.measure_in_force_s(**LARGE), IN_FORCE_S)

    # Guards against a watch that is given up later than a configuration has
    # to be in force: all instances had begun theirs just before the stall.
    def test_a_change_beside_a_stall_of_all_watches_is_in_force_in_time(self):
        self.assertLess(self.measure_in_force_s(0.0), IN_FORCE_S)

    # The same where others learn it by gossip from those that follow.
    def test_a_change_beside_a_stall_of_few_readers_is_in_force_in_time(self):
        self.assertLess(self.measure_in_force_s(0.0, **LARGE), RECOVERY_S)
