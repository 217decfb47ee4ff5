"""Tests of how a large configuration reaches a large fleet."""

import asyncio

from balsamhinge.policy import routes
from tests.controllers import test_directory
from tests.support import virtual

__all__ = ["LargeConfigurationTest"]

INSTANCES = 8
ROUTES = 1400
# 5 Mbit/s, the narrowest link of today's instances.
LINK_RATE = 625_000.0


class LargeConfigurationTest(virtual.FleetTestCase):
    """Pattern: a thousand routes more, dozens of instances, narrow links."""

    def run_narrow(self, scenario):
        """Run a scenario on a large fleet behind narrow links."""
        self.run_fleet(scenario, instances=INSTANCES, link_rate=LINK_RATE)

    # Guards against a configuration that keeps notes from arriving in time,
    # and is in force late, or at some instances never.
    def test_a_large_configuration_is_in_force_in_time(self):
        async def scenario(world):
            table = world.configure(more=ROUTES)
            took_s = await test_directory.wait_in_force(world, table.version)
            self.assertLess(took_s, test_directory.IN_FORCE_S)
            for one in world.fleets.values():
                self.assertEqual(table, one.directory.table)
            self.assertEqual(0, world.late_calls)

        self.run_narrow(scenario)

    # Guards against a small change that is sent with all that stayed.
    def test_a_small_change_of_a_large_configuration_takes_few_bytes(self):
        async def scenario(world):
            await test_directory.wait_in_force(
                world, world.configure(more=ROUTES).version
            )
            await asyncio.sleep(1.0)
            holder = world.holder()
            known = holder.directory.table.version
            table = world.configure(more=ROUTES - 1)
            took_s = await test_directory.wait_in_force(world, table.version)
            self.assertLess(took_s, test_directory.IN_FORCE_S)
            change = holder.directory.history.change_since(table, known)
            self.assertEqual(1, change.size)
            self.assertEqual(0, world.late_calls)

        self.run_narrow(scenario)

    # Guards against instances without the store that get nothing from the
    # others while it is away.
    def test_one_without_the_store_gets_it_from_the_others(self):
        async def scenario(world):
            name = world.members[-1].name
            world.records.knobs.cut.add(name)
            table = world.configure(more=ROUTES)
            took_s = await test_directory.wait_in_force(world, table.version)
            self.assertLess(took_s, test_directory.IN_FORCE_S)
            own = world.fleets[name].directory.table
            self.assertIsInstance(own, routes.RoutingTable)
            self.assertEqual(table, own)

        self.run_narrow(scenario)
