"""balsamhinged: daemon of one entry instance."""

import asyncio
import signal
import sys
import time

import logbook

from balsamhinge.api import server as api_server
from balsamhinge import core
from balsamhinge import entry
from balsamhinge import interfaces
from balsamhinge import logs
from balsamhinge.peers import client as peer_client
from balsamhinge.peers import server as peer_server
from balsamhinge.platform import client as platform_client
from balsamhinge import settings as settings_module
from balsamhinge.targets import postgres

__all__ = ["Daemon", "main"]

log = logbook.Logger(__name__)


class Daemon:
    """Connects the controllers of one instance to the network.

    Parameters
    ----------
    settings : Settings
        Start-up settings of the instance.
    """

    def __init__(self, settings):
        self._settings = settings
        self._stop = asyncio.Event()
        self._store = platform_client.HttpStore(
            settings.platform_url, settings.platform_token
        )
        self._peers = peer_client.GrpcPeerClient(settings.peers)
        dependencies = interfaces.Dependencies(
            store=self._store,
            peers=self._peers,
            targets=postgres.PostgresConnector(
                settings.targets.user,
                settings.targets.password,
                settings.targets.database,
                settings.targets.authority,
            ),
            wall_time=time.time,
        )
        options = core.Options(
            settings.session_key,
            settings.baseline,
            settings.shares,
            settings.seed,
            settings.probes_per_second,
        )
        self.core = core.Core(
            settings.member, dependencies, options, settings.seeds
        )
        self._server = peer_server.PeerServer(self.core, settings.peers)
        self._api = api_server.ApiServer(
            self.core, settings, asyncio.get_running_loop()
        )

    async def start(self):
        """Start to serve other instances, then callers."""
        await self._server.start(self._settings.member.address)
        await self.core.start()
        self._api.start()

    def request_stop(self):
        """Begin a graceful stop; repeated requests have no effect."""
        self._stop.set()

    async def run(self):
        """Serve until a stop is requested, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        await self.start()
        await self._stop.wait()
        await self.stop()

    async def stop(self):
        """Wait for open requests, then close all servers and clients."""
        patience_s = self._settings.stop_patience_s
        logs.event(log.info, "stopping", instance=self.core.name)
        await self.core.stop(patience_s)
        await asyncio.to_thread(self._api.stop)
        await self._server.stop(1.0)
        await self._peers.close()
        await self._store.close()
        logs.event(log.info, "stopped", instance=self.core.name)


async def run_daemon(settings):
    """Run one instance until a signal stops it."""
    logs.set_up(settings.log_level)
    await Daemon(settings).run()


def main(argv=None):
    """Run the daemon; return its exit code."""
    return entry.run_program(
        "balsamhinged",
        "Run one entry instance.",
        settings_module.Settings,
        run_daemon,
        argv,
    )


if __name__ == "__main__":
    sys.exit(main())
