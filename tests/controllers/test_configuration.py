"""Tests of edits of the configuration after a restore of the store."""

import asyncio

import testtools

from balsamhinge.controllers import configuration
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.standins import store

__all__ = ["RestoredStoreTest"]

TEXT = """\
[service fixtures]
group = ladder
shutdown = 2027-06-30
[class submit]
kind = write
[group ladder]
targets = a
[target a]
address = 127.0.0.1:5432
data_centre = howrah
"""
AUTHOR = "operator"


class RestoredStoreTest(testtools.TestCase):
    """The store has lost the version in force and gives it out again."""

    def run_restored(self, scenario):
        """Run `scenario(controller, objects)` after three edits.

        The store holds the first of them again.
        """

        async def run():
            objects = store.ObjectStore()
            controller = configuration.ConfigurationController(objects)
            for base in range(3):
                text = f"{TEXT}# edit {base}\n"
                await controller.apply(text, base, AUTHOR, set())
                if not base:
                    first = objects.objects[interfaces.CONFIGURATION_KEY]
            objects.objects[interfaces.CONFIGURATION_KEY] = first
            await scenario(controller, objects)

        asyncio.run(run())

    # Guards against an edit that is accepted and not in force, because its
    # version is lower than the one in force.
    def test_an_edit_after_a_restore_is_in_force(self):
        async def scenario(controller, _objects):
            text = f"{TEXT}# next edit\n"
            edit = await controller.apply(text, 3, AUTHOR, set())
            self.assertEqual(4, edit.version)
            self.assertEqual(4, controller.version)
            self.assertEqual(text, controller.text.text)

        self.run_restored(scenario)

    # Guards against an edit of the copy that undoes the lost edits.
    def test_an_edit_of_the_copy_is_refused(self):
        async def scenario(controller, objects):
            in_force = controller.text
            try:
                await controller.apply(TEXT, 1, AUTHOR, set())
            except exceptions.StoreConflict:
                stored = objects.objects[interfaces.CONFIGURATION_KEY]
                self.assertEqual(3, stored.version)
                self.assertEqual(
                    in_force, configuration.decode_configuration(stored)
                )
                return
            self.fail("accepted")

        self.run_restored(scenario)

    # Guards against an edit that another instance has accepted since the
    # restore and that nobody puts into force.
    def test_an_edit_that_was_made_since_is_kept(self):
        async def scenario(controller, objects):
            other = configuration.ConfigurationController(objects)
            text = f"{TEXT}# edit of the copy\n"
            edit = await other.apply(text, 1, AUTHOR, set())
            self.assertLess(edit.version, controller.version)
            try:
                await controller.apply(TEXT, 3, AUTHOR, set())
            except exceptions.StoreConflict:
                stored = objects.objects[interfaces.CONFIGURATION_KEY]
                self.assertTrue(controller.activate_stored(stored))
                self.assertEqual(text, controller.text.text)
                return
            self.fail("accepted")

        self.run_restored(scenario)
