"""Demonstration: one instance with simulated backends in one process."""

import argparse
import asyncio
import secrets
import signal
import sys

import msgspec

from balsamhinge import daemon
from balsamhinge import interfaces
from balsamhinge import logs
from balsamhinge import settings as settings_module
from balsamhinge.standins import database
from balsamhinge.standins import platform
from balsamhinge.standins import store
from balsamhinge.standins import target

__all__ = ["main"]

HOST = "127.0.0.1"
TARGETS = ("first", "second", "third")
SERVICES_TEXT = """
[service ladder]
group = ladder
shutdown = 2028-06-30
[class submit]
kind = write
[class standing]
kind = read
[class public]
kind = read
max_age_ms = 10000
[group ladder]
targets = first, second, third
"""
SETTINGS_TEXT = """
[instance]
name = embedded
data_centre = here
stop_patience_s = 5
[callers]
address = {host}:{port}
token = off
tls = off
[operators]
token = off
[peers]
address = {host}:{peer_port}
secret = {secret}
tls = off
[platform]
url = http://{host}:{platform_port}
[targets]
user = balsamhinge
tls = off
[sessions]
key = {secret}
[log]
level = warning
"""
USAGE = """
balsamhinge runs with a stand-in platform and three stand-in targets.
Post a result, then read it back with the session that you were given:

  curl -s http://{host}:{port}/v1/services/ladder/statements -d \\
    '{{"class": "submit", "sql": "CREATE TABLE results (player, points)"}}'
  curl -s http://{host}:{port}/v1/services/ladder/statements -d \\
    '{{"class": "submit", "sql": "INSERT INTO results VALUES ($1, $2)",
      "params": ["asha", 3], "request_id": "match-1"}}'
  curl -s http://{host}:{port}/v1/services/ladder/statements -d \\
    '{{"class": "standing", "sql": "SELECT * FROM results"}}'

The same request_id again gives the first answer. Operators look with
  balsamhingectl --url http://{host}:{port} status
End with Ctrl-C.
"""


class Embedded:
    """One instance with a simulated platform and targets on one event loop.

    Parameters
    ----------
    port : int
        Port for callers; the following ports are used for other
        instances, the platform and the targets, in this order.
    """

    def __init__(self, port):
        self._port = port
        self._store = store.ObjectStore()
        first_target_port = port + 3
        self._target_addresses = {
            name: (HOST, first_target_port + index)
            for index, name in enumerate(TARGETS)
        }
        self._targets = []
        self._platform = None
        self._daemon = None

    async def run(self):
        """Serve until SIGTERM or SIGINT."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        await self.start()
        print(USAGE.format(host=HOST, port=self._port), flush=True)
        await stop.wait()
        await self.stop()

    async def start(self):
        """Start the simulated platform and targets, then the instance."""
        await self._start_standins()
        text = SETTINGS_TEXT.format(
            host=HOST,
            port=self._port,
            peer_port=self._port + 1,
            platform_port=self._port + 2,
            secret=secrets.token_hex(16),
        )
        settings = settings_module.Settings.from_text(text)
        logs.set_up(settings.log_level)
        self._daemon = daemon.Daemon(settings)
        await self._daemon.start()

    async def stop(self):
        """Stop the instance, then the simulated platform and targets."""
        await self._daemon.stop()
        await self._store.close()
        await asyncio.to_thread(self._platform.stop)
        for server in self._targets:
            server.stop()

    async def _start_standins(self):
        for name in TARGETS:
            database_ = database.Database(
                name, list(TARGETS), TARGETS[0], database.Knobs()
            )
            server = target.TargetServer(database_, self._target_addresses)
            await server.start()
            self._targets.append(server)
        loop = asyncio.get_running_loop()
        self._platform = platform.PlatformServer(
            self._store, HOST, self._port + 2, loop
        )
        self._platform.start()
        edit = interfaces.ConfigurationVersion(
            self._configuration_text(), "first", "embedded"
        )
        value = msgspec.json.encode(edit)
        await self._store.put(interfaces.CONFIGURATION_KEY, value, 0)

    def _configuration_text(self):
        parts = [SERVICES_TEXT]
        for name, (host, port) in self._target_addresses.items():
            parts.append(
                f"[target {name}]\naddress = {host}:{port}\n"
                "data_centre = here\n"
            )
        return "".join(parts)


def main(argv=None):
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="python -m balsamhinge.embedded", description=__doc__
    )
    parser.add_argument("--port", type=int, default=8080)
    args = parser.parse_args(argv)
    asyncio.run(Embedded(args.port).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
