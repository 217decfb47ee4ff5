"""One instance on the users' platform: the edges around the controllers."""

import asyncio
import signal
import sys
import time

import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import entry
from balsamhinge import fleet
from balsamhinge import fleetstatus
from balsamhinge import interfaces
from balsamhinge import logs
from balsamhinge import metrics
from balsamhinge.peers import fleet as peers
from balsamhinge.peers import security
from balsamhinge.platform import callers
from balsamhinge.platform import objects
from balsamhinge.platform import promotion
from balsamhinge.platform import readiness
from balsamhinge.platform import settings as settings_module
from balsamhinge.platform import targets

__all__ = ["PlatformDaemon", "main"]

# The balancer takes an instance out after two questions, a second apart.
UNREADY_S = 2.2
# Part of the grace time after which open work is cut.
GRACE_SHARE = 0.8
# How often dropped log lines are counted in a line of their own.
REPORT_DROPPED_S = 1.0
# How often the calls to the store, which are paid for, are counted in a
# line.
REPORT_CALLS_S = 10.0

log = logbook.Logger(__name__)


def boot_time():
    """Return seconds that count on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformDaemon:
    """The edges of one instance.

    Parameters
    ----------
    settings : PlatformSettings
        What the instance was told.
    """

    def __init__(self, settings):
        self._settings = settings
        self._stop = asyncio.Event()
        trust = security.PeerSecurity("")
        self._store = objects.PlatformObjects(settings.store)
        self._peers = peers.GrpcFleetPeerClient(trust)
        self.fleet = fleet.FleetInstance(
            settings.member,
            interfaces.FleetDependencies(
                store=self._store,
                promotion=promotion.PlatformPromotion(settings.promotion),
                targets=targets.LineTargetLink(),
                peers=self._peers,
                boot_time=boot_time,
            ),
        )
        self._callers = callers.CallerServer(self.fleet)
        self._server = peers.FleetServer(
            self.fleet.gossip.handle_message,
            self.fleet.table_sync.serve_table,
            self.fleet.connection_loans,
            trust,
        )
        self._readiness = readiness.ReadinessServer(
            lambda: self.fleet.ready, self._render_metrics, self._render_status
        )
        self.log_handler = None

    def _render_metrics(self):
        metrics.observe_fleet(self.fleet)
        return metrics.render()

    def _render_status(self):
        return msgspec.json.encode(fleetstatus.describe(self.fleet))

    async def _report_calls(self):
        calls = self._store.take_calls()
        if calls:
            logs.event(log.info, "store_calls", **calls)

    async def _report_dropped(self):
        logs.report_dropped(log.warning, self.log_handler)

    def request_stop(self):
        """Begin a graceful stop; a second request changes nothing."""
        self._stop.set()

    async def run(self):
        """Serve until a stop is requested, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._server.start(self._settings.member.address)
        self.fleet.start()
        self.fleet.spawn(
            clock.run_forever(self._report_dropped, REPORT_DROPPED_S)
        )
        self.fleet.spawn(clock.run_forever(self._report_calls, REPORT_CALLS_S))
        await self._callers.start(self._settings.callers)
        await self._readiness.start(self._settings.readiness)
        await self._stop.wait()
        await self._drain()

    def _reload(self):
        logs.event(log.notice, "settings_changed")

    async def _drain(self):
        """Stop without cutting a request in flight."""
        logs.event(log.notice, "stopping", instance=self.fleet.me.name)
        begun = time.monotonic()
        grace_s = self._settings.grace_s * GRACE_SHARE
        until = clock.now() + grace_s
        self.fleet.stopping = True
        self.fleet.spawn(self.fleet.gossip.exchange_all())
        draining = self.fleet.spawn(self._callers.drain(grace_s))
        await asyncio.sleep(min(UNREADY_S, grace_s / 2))
        self._callers.stop_listening()
        await draining
        await self.fleet.connection_loans.drain(until)
        self._readiness.stop()
        await self.fleet.halt()
        await self._server.stop()
        await self._peers.close()
        self._store.close()
        logs.event(log.notice, "stopped", seconds=time.monotonic() - begun)


async def run_daemon(settings):
    """Run one instance until it is told to stop."""
    handler = logs.set_up_bounded(settings.log_level, sys.stdout.fileno())
    instance = PlatformDaemon(settings)
    instance.log_handler = handler
    await instance.run()


def main(argv=None):
    """Run the program; return its exit code."""
    return entry.run_program(
        "balsamhinge-platformd",
        "Run one instance on the users' platform.",
        settings_module.PlatformSettings,
        run_daemon,
        argv,
    )
