"""Planned stops with a few seeds; ``tests.platform.stopsoak`` plays more."""

import asyncio
import errno
import os
import pathlib
import shutil
import signal
import tempfile

import testtools

from tests.platform import stopfleet
from tests.platform import stopsoak

__all__ = ["StopSoakTest"]

# Ends a test that hangs; no assertion depends on this time.
HANG_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.02
# Two to four instances are stopped in this time.
PLAY_S = 5.0


class StopSoakTest(testtools.TestCase):
    """Instances are stopped and started again while callers use them."""

    # Guards against a request that is cut off because the instance that
    # has read it is stopped while its session is never idle.
    def test_stops_answer_all_requests(self):
        options = stopsoak.Options(
            kinds=("transactions", "busy", "steady"),
            factor=2,
            play_s=PLAY_S,
            again=False,
            kill=False,
        )
        outcome = stopsoak.play(3, options)
        self.assertGreater(outcome.requests, 0)
        self.assertEqual([], [each.describe() for each in outcome.breaches])
        self.assertEqual([], outcome.faults)

    # Guards against a process that SIGHUP ends before it handles signals.
    def test_sighup_while_starting(self):
        async def run():
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await self.check_sighup_while_starting()

        asyncio.run(run())

    async def check_sighup_while_starting(self):
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        earlier = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, earlier)
        fleet = stopfleet.Fleet(0, folder)
        try:
            await fleet.start_servers()
            instance = fleet.instances[0]
            # The process waits here for its settings.
            instance.settings.unlink()
            os.mkfifo(instance.settings)
            await fleet.start_instance(instance)
            descriptor = await self.open_for_writing(instance.settings)
            instance.current.send_signal(signal.SIGHUP)
            with open(descriptor, "w", encoding="utf-8") as settings:
                settings.write(instance.text)
            while instance.current.is_running:
                if await instance.is_ready():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
            self.fail("the process has ended")
        finally:
            await fleet.stop()

    async def open_for_writing(self, path):
        """Open a FIFO as soon as it is open for reading."""
        while True:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as exc:
                if exc.errno != errno.ENXIO:
                    raise
            await asyncio.sleep(POLL_INTERVAL_S)
