"""Tests of objects of the store that cannot be decoded."""

import asyncio

import testtools

from balsamhinge.controllers import promotions
from balsamhinge.controllers import storedobjects
from balsamhinge import interfaces
from tests.platform import oddvalues
from tests.support import world

__all__ = ["StoredObjectsTest"]

# Time in which instances that watch the store are answered.
WATCH_S = 0.5
ODD_VALUES = (*oddvalues.ODD_BYTES.values(), b"null", b"[]", b"{}", b'"x"')


class StoredObjectsTest(testtools.TestCase):
    """An object that cannot be decoded costs itself alone."""

    def run_world(self, scenario):
        """Run `scenario(world)` on instances that serve."""

        async def run():
            running = world.World()
            await running.start()
            try:
                await scenario(running)
            finally:
                running.close()

        world.run_virtual(run())

    def put(self, running, key, value):
        """Put an object as another writer does."""
        held = running.store.objects.get(key)
        version = held.version + 1 if held else 1
        stored = interfaces.StoredObject(version, value)
        running.store.replace(key, stored)
        return version

    # Guards against exceptions that no reader of the store expects.
    def test_an_odd_object_is_none(self):
        for value_type in (
            interfaces.ConfigurationVersion,
            interfaces.PlatformInventory,
            promotions.GroupRecord,
        ):
            for value in (*ODD_VALUES, b'{"term":1e999,"proposer":"a"}'):
                stored = interfaces.StoredObject(3, value)
                self.assertIsNone(
                    storedobjects.decode("key", stored, value_type)
                )

    # Guards against instances that stop following the store for good after
    # one object that cannot be decoded.
    def test_objects_are_followed_after_an_odd_one(self):
        async def scenario(running):
            for value in ODD_VALUES:
                self.put(running, interfaces.CONFIGURATION_KEY, value)
                self.put(running, interfaces.INSTANCES_KEY, value)
                # Each is read, not only the last.
                await asyncio.sleep(WATCH_S)
            running.put_text()
            running.put_list(["ladder-1-1"])
            version = running.store.objects[
                interfaces.CONFIGURATION_KEY
            ].version
            await running.until(
                lambda: all(
                    core.configuration.version == version
                    and "ladder-1-1" in core.members.leaving_targets
                    for core in running.cores.values()
                )
            )

        self.run_world(scenario)

    # Guards against an instance that ends at its start.
    def test_an_instance_starts_beside_an_odd_configuration(self):
        async def scenario(running):
            self.put(running, interfaces.CONFIGURATION_KEY, ODD_VALUES[0])
            name = next(iter(running.cores))
            await running.restart_instance(name)
            self.assertTrue(running.cores[name].ready)

        self.run_world(scenario)

    # Guards against a group without a primary, because its record cannot be
    # decoded.
    def test_a_primary_is_promoted_beside_an_odd_record(self):
        async def scenario(running):
            earlier = running.primary()
            key = promotions.group_key("ladder-1")
            self.put(running, key, b'{"term":true}')
            name = next(
                name
                for name, held in running.databases.items()
                if held is earlier
            )
            await running.kill_target(name)
            await running.until(
                lambda: running.primary() not in (None, earlier)
            )

        self.run_world(scenario)
