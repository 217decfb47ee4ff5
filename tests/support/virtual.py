"""Tests that run on a fleet of the virtual clock."""

import asyncio

import logbook
import testtools

from balsamhinge.policy import leases
from tests.support import fleet
from tests.support import world

__all__ = ["EndedLoops", "FleetTestCase"]

# Lines that a running instance must never write.
UNFORESEEN = ("event=loop_failed", "event=task_failed")


class EndedLoops(logbook.Handler):
    """Collects the lines that tell of an unforeseen error."""

    def __init__(self):
        super().__init__(bubble=True)
        self.lines = []

    def emit(self, record):
        """See `logbook.Handler`."""
        if record.message.startswith(UNFORESEEN):
            self.lines.append(record.message)


class FleetTestCase(testtools.TestCase):
    """Starts a fleet for one coroutine, and ends it."""

    def run_fleet(self, scenario, **options):
        """Run `scenario(world)` on a fleet that serves."""

        async def run():
            running = fleet.FleetWorld(**options)
            await running.start()
            # All have heard each other, and may change primaries.
            await asyncio.sleep(leases.EXTENDED_LEASE_S + 0.5)
            try:
                await scenario(running)
            finally:
                await running.stop()

        ended = EndedLoops()
        with ended.applicationbound():
            world.run_virtual(run())
        self.assertEqual([], ended.lines)

    async def write_for(self, world, seconds):
        """Write through every instance for some seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds

        async def write(name):
            caller = world.caller(name, "posts")
            while loop.time() < until and name in world.fleets:
                await caller.write(f"item-{name}", f"{loop.time():.3f}")
                await asyncio.sleep(0.02)

        await asyncio.gather(*(write(name) for name in world.fleets))

    def assert_nothing_lost(self, world):
        """Check that the primary has each write that was acknowledged."""
        kept = {entry.request_id for entry in world.group.primary.log}
        for _at, request_id, _position in world.acknowledged:
            self.assertIn(request_id, kept)
