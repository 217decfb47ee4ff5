"""Tests of how news of the store reach a large fleet."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge.controllers import directory
from balsamhinge import links
from tests.support import virtual

__all__ = ["LargeFleetTest", "SilentWatchTest"]

LARGE = {"instances": 7}
# A configuration has to be in force everywhere within this time.
IN_FORCE_S = 3.0
# Several calls to the store, 4 ms each.
START_S = 0.05
# Seconds after which nobody waits for it any more.
LOST_S = 30.0
# The platform takes an instance to be in touch so long after its
# connections were harmed.
IN_TOUCH_S = 4.0


async def wait_in_force(world, version):
    """Return how long it takes until all know a version."""
    begun = clock.now()
    while any(
        one.directory.table.version < version for one in world.fleets.values()
    ):
        await asyncio.sleep(0.02)
        assert clock.now() < begun + LOST_S, "not in force everywhere"
    return clock.now() - begun


class LargeFleetTest(virtual.FleetTestCase):
    """Pattern: dozens of instances, each call to the store paid for."""

    def test_news_reach_all_by_few_calls(self):
        async def scenario(world):
            calls = world.records.calls
            begun = clock.now()
            for _ in range(5):
                table = world.configure()
                took_s = await wait_in_force(world, table.version)
                self.assertLess(took_s, IN_FORCE_S)
                target = next(iter(world.group.targets.values()))
                world.records.put(links.TARGETS, target.name, target.entry())
                await asyncio.sleep(2.0)
            readers = sum(
                one.directory.is_following() for one in world.fleets.values()
            )
            self.assertLessEqual(readers, directory.READER_COUNT + 1)
            # Readers ask twice for each change, the holder of the duty
            # polls; 21 instances would ask 210 times by themselves.
            polls = (clock.now() - begun) / 0.7
            most = polls + 10 * (directory.READER_COUNT + 1) + 20
            self.assertLess(world.records.calls - calls, most)

        self.run_fleet(scenario, **LARGE)

    # Guards against instances that wait for each other's notes when all
    # return together: a second in which none of them serves.
    def test_instances_that_return_together_ask_the_store(self):
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
            # Each asks once for routes and targets, and registers.
            most = 6 * len(world.members)
            self.assertLess(world.records.calls - calls, most)

        self.run_fleet(scenario, **LARGE)

    def test_a_leaving_target_is_known_to_all(self):
        async def scenario(world):
            target = next(iter(world.group.targets.values()))
            world.records.drop(links.TARGETS, target.name)
            await asyncio.sleep(directory.RETURN_S + 1.0)
            for one in world.fleets.values():
                self.assertNotIn(target.name, one.directory.targets)

        self.run_fleet(scenario, **LARGE)

    def test_readers_without_the_store_are_followed_by_others(self):
        async def scenario(world):
            for one in world.fleets.values():
                if one.reads_for_others():
                    world.records.knobs.cut.add(one.me.name)
            await asyncio.sleep(1.0)
            table = world.configure()
            took_s = await wait_in_force(world, table.version)
            self.assertLess(took_s, IN_FORCE_S)

        self.run_fleet(scenario, **LARGE)


class SilentWatchTest(virtual.FleetTestCase):
    """Pattern: open connections go silent while new ones work."""

    def time_to_force(self, **options):
        """Return how long a change takes after all watches went silent."""
        took_s = []

        async def scenario(world):
            # Watches that have just begun would wait the longest.
            world.configure()
            await asyncio.sleep(1.0)
            world.records.silence_watches()
            await asyncio.sleep(IN_TOUCH_S)
            table = world.configure()
            took_s.append(await wait_in_force(world, table.version))

        self.run_fleet(scenario, **options)
        return took_s[0]

    # Guards against a watch that is never answered passing for no news.
    def test_silent_watches_do_not_delay_a_configuration(self):
        self.assertLess(self.time_to_force(), IN_FORCE_S)

    # The same where a few instances follow the store for all.
    def test_silent_watches_of_few_readers_delay_no_configuration(self):
        self.assertLess(self.time_to_force(**LARGE), IN_FORCE_S)
