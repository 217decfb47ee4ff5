"""Tests of the distribution of a large configuration."""

import asyncio

from balsamhinge import exceptions
from balsamhinge.policy import routes
from tests.controllers import test_directory
from tests.support import virtual

__all__ = ["LargeConfigurationTest"]

INSTANCES = 8
ROUTES = 1400
# 5 Mbit/s, the narrowest link of an instance.
LINK_BYTES_PER_S = 625_000.0


class LargeConfigurationTest(virtual.FleetTestCase):
    """Pattern: a thousand added routes, a large fleet and narrow links."""

    def run_narrow(self, scenario):
        """Run a scenario on a large fleet behind narrow links."""
        self.run_fleet(
            scenario, instances=INSTANCES, link_rate=LINK_BYTES_PER_S
        )

    # Guards against a configuration whose transfer delays gossip messages,
    # and which is in force late, or at some instances never.
    def test_a_large_configuration_is_in_force_in_time(self):
        async def scenario(world):
            table = world.configure(more=ROUTES)
            took_s = await test_directory.wait_in_force(world, table.version)
            self.assertLess(took_s, test_directory.IN_FORCE_S)
            for one in world.fleets.values():
                self.assertEqual(table, one.directory.table)
            self.assertEqual(0, world.late_calls)

        self.run_narrow(scenario)

    # Guards against sending the whole configuration for a small change.
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
            change = holder.directory.history.delta_since(table, known)
            self.assertEqual(1, change.size)
            self.assertEqual(0, world.late_calls)

        self.run_narrow(scenario)

    # Guards against an instance that waits for one other, again and again,
    # which has told of a configuration and does not send it.
    def test_a_fetch_that_is_not_answered_continues_elsewhere(self):
        async def scenario(world):
            holder = world.holder().me.name
            fetching = next(
                one for one in world.fleets.values() if one.me.name != holder
            )
            peers = fetching.dependencies.peers
            fetch_table = peers.fetch_table

            async def fetch_elsewhere(member, request, timeout_s):
                if member.name == holder:
                    await asyncio.sleep(timeout_s)
                    raise exceptions.PeerUnavailable(member.name, True)
                return await fetch_table(member, request, timeout_s)

            peers.fetch_table = fetch_elsewhere
            world.records.knobs.cut.add(fetching.me.name)
            table = world.configure(more=ROUTES)
            took_s = await test_directory.wait_in_force(world, table.version)
            self.assertLess(took_s, test_directory.IN_FORCE_S)

        self.run_narrow(scenario)

    # Guards against an instance that gets no configuration from others while
    # it cannot reach the store.
    def test_an_instance_without_the_store_fetches_it_from_others(self):
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
