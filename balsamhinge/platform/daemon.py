"""Daemon of one instance on the users' platform: servers and clients."""

import asyncio
import gc
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
from balsamhinge.peers import streamclient
from balsamhinge.peers import streams
from balsamhinge.platform import callers
from balsamhinge.platform import objects
from balsamhinge.platform import promotion
from balsamhinge.platform import readiness
from balsamhinge.platform import settings as settings_module
from balsamhinge.platform import targets
from balsamhinge.policy import shutdown

__all__ = ["PlatformDaemon", "main"]

# The load balancer takes an instance out after two failed readiness probes,
# one second apart.
UNREADY_DELAY_S = 2.2
# Interval of the log line that counts dropped log lines.
DROPPED_REPORT_INTERVAL_S = 1.0
# Interval of the log line that counts the calls to the store, which charges
# for each call.
STORE_CALLS_REPORT_INTERVAL_S = 10.0

log = logbook.Logger(__name__)


def boot_time():
    """Return seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformDaemon:
    """Servers and clients around the controllers of one instance.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the instance.
    """

    def __init__(self, settings):
        self._settings = settings
        self._stop = asyncio.Event()
        self._stalls = shutdown.StallDetector(clock.now())
        # Loop seconds.
        self._stop_requested_at = 0.0
        peer_security = security.PeerSecurity("")
        self._store = objects.PlatformObjects(settings.store)
        self._peers = streamclient.StreamFleetPeerClient(
            settings.stream_port,
            peer_security.secret,
            peers.GrpcFleetPeerClient(peer_security),
        )
        self.fleet = fleet.FleetInstance(
            settings.member,
            interfaces.FleetDependencies(
                store=self._store,
                promotion=promotion.PlatformPromotion(settings.promotion),
                targets=targets.LineTargetConnector(),
                peers=self._peers,
                boot_time=boot_time,
            ),
            customer_settings=settings.customer_settings,
            target_settings=settings.target_settings,
        )
        self._callers = callers.CallerServer(self.fleet)
        self._server = peers.FleetServer(
            self.fleet.gossip.handle_message,
            self.fleet.table_sync.serve_table,
            self.fleet.connection_loans,
            peer_security,
        )
        self._stream_server = streams.StreamServer(
            peers.stream_handlers(
                self.fleet.gossip.handle_message,
                self.fleet.connection_loans,
                self.fleet.customer_limits.serve,
            ),
            peer_security.secret,
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

    async def _detect_stalls(self):
        self._stalls.record(clock.now())

    async def _report_store_calls(self):
        counts = self._store.pop_call_counts()
        if counts:
            logs.event(log.info, "store_calls", **counts)

    async def _report_dropped_lines(self):
        logs.report_dropped(log.warning, self.log_handler)

    def request_stop(self):
        """Request a graceful stop; further requests have no effect."""
        if not self._stop.is_set():
            self._stop_requested_at = self._stalls.earliest_signal_at(
                clock.now()
            )
            self._stop.set()

    async def run(self):
        """Serve until a stop is requested, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        address = self._settings.member.address
        await self._server.start(address)
        host = address.rpartition(":")[0]
        await self._stream_server.start(f"{host}:{self._settings.stream_port}")
        self.fleet.start()
        for step, interval_s in (
            (self._detect_stalls, shutdown.STALL_CHECK_INTERVAL_S),
            (self._report_dropped_lines, DROPPED_REPORT_INTERVAL_S),
            (self._report_store_calls, STORE_CALLS_REPORT_INTERVAL_S),
        ):
            self.fleet.spawn(clock.run_forever(step, interval_s))
        await self._callers.start(self._settings.callers)
        await self._readiness.start(self._settings.readiness)
        await self._stop.wait()
        await self._drain()

    def _reload(self):
        logs.event(log.notice, "settings_changed")

    async def _drain(self):
        """Stop gracefully, without cutting off requests in flight."""
        started_at = time.monotonic()
        now = clock.now()
        logs.event(
            log.notice,
            "stopping",
            instance=self.fleet.me.name,
            late_s=now - self._stop_requested_at,
        )
        schedule = shutdown.ShutdownSchedule.from_grace(
            self._stop_requested_at, self._settings.grace_s
        )
        self.fleet.begin_shutdown(schedule)
        draining = [
            self.fleet.spawn(self._callers.drain(schedule)),
            self.fleet.spawn(self._drain_loans(schedule)),
        ]
        await clock.pause(
            min(UNREADY_DELAY_S, schedule.refuse_operations_at - now)
        )
        self._callers.stop_listening()
        await asyncio.wait(draining)
        # The end of a session returns the connections that it borrowed.
        await self._drain_loans(schedule)
        remaining_s = max(0.0, schedule.close_by - clock.now())
        await asyncio.gather(
            self._server.stop(remaining_s),
            self._stream_server.drain(schedule.close_by),
        )
        self._readiness.stop()
        await self.fleet.halt()
        self._stream_server.stop()
        await self._peers.close()
        self._store.close()
        logs.event(
            log.notice, "stopped", seconds=time.monotonic() - started_at
        )

    async def _drain_loans(self, schedule):
        await self.fleet.connection_loans.drain(
            schedule.abort_transactions_at, schedule.answer_by
        )


async def run_daemon(settings):
    """Run one instance until a stop is requested."""
    handler = logs.set_up_bounded(settings.log_level, sys.stdout.fileno())
    instance = PlatformDaemon(settings)
    instance.log_handler = handler
    # Modules and classes stay until the process ends; full collections
    # would walk them again and again.
    gc.collect()
    gc.freeze()
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
