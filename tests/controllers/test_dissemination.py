"""Tests of what instances learn from the store's watches."""

import testtools

from tests.support import world

__all__ = ["SilentWatchTest"]

# A configuration has to be in force everywhere within this time.
IN_FORCE_S = 3.0
EXTRA = """
[class extra]
kind = read
deadline_ms = 2000
"""


class SilentWatchTest(testtools.TestCase):
    """The store has taken the watches that wait, and has lost them."""

    # Guards against relays that take a lost watch for one without changes.
    def test_lost_watches_do_not_delay_a_configuration(self):
        async def run():
            running = world.World()
            await running.start()
            running.store.silence_watches()
            running.extra_text = EXTRA
            running.put_text()
            try:
                await running.until(
                    lambda: all(
                        each.configuration.version == 2
                        for each in running.cores.values()
                    ),
                    IN_FORCE_S,
                )
            finally:
                for name in list(running.cores):
                    await running.kill_instance(name)
                running.close()

        world.run_virtual(run())
