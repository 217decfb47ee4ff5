"""Programs that run stand-ins as processes of their own."""

import argparse
import asyncio
import signal
import sys

import attrs
import msgspec

from balsamhinge import interfaces
from balsamhinge.policy import ownership
from balsamhinge.standins import database
from balsamhinge.standins import platform
from balsamhinge.standins import store
from balsamhinge.standins import target

__all__ = ["main"]

KNOBS = {field.name: field.type for field in attrs.fields(database.Knobs)}


def split_address(text):
    """Return host and port of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def run_target(args):
    """Run one target until a signal comes."""
    places = {}
    for word in args.place:
        name, _, address = word.partition("=")
        places[name] = split_address(address)
    knobs = database.Knobs(**{name: getattr(args, name) for name in KNOBS})
    held = database.Database(args.name, list(places), args.primary, knobs)
    server = target.TargetServer(held, places)
    await server.start()
    await until_stopped()
    server.stop()


async def run_platform(args):
    """Run the platform's store until a signal comes."""
    held = store.ObjectStore()
    members = []
    for word in args.instance:
        members.append(ownership.Member(*word.split("@")))
    value = msgspec.json.encode(interfaces.PlatformInventory(members))
    held.objects[interfaces.INSTANCES_KEY] = interfaces.StoredObject(1, value)
    host, port = split_address(args.address)
    loop = asyncio.get_running_loop()
    server = platform.PlatformServer(held, host, port, loop)
    server.start()
    await until_stopped()
    await held.close()
    await asyncio.to_thread(server.stop)


async def until_stopped():
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m balsamhinge.standins")
    commands = parser.add_subparsers(required=True)
    one = commands.add_parser("target", help="one database target")
    one.add_argument("name")
    one.add_argument("--primary", required=True)
    one.add_argument(
        "--place", action="append", metavar="NAME=HOST:PORT", required=True
    )
    for name, kind in KNOBS.items():
        default = getattr(database.Knobs(), name)
        option = "--" + name.replace("_", "-")
        one.add_argument(option, type=kind, default=default)
    one.set_defaults(run=run_target)
    one = commands.add_parser("platform", help="the platform's store")
    one.add_argument("address", metavar="HOST:PORT")
    one.add_argument(
        "--instance",
        action="append",
        default=[],
        metavar="NAME@HOST:PORT@DATA-CENTRE",
    )
    one.set_defaults(run=run_platform)
    return parser


def main(argv=None):
    """Run one stand-in; return the exit code."""
    args = build_parser().parse_args(argv)
    asyncio.run(args.run(args))
    return 0


if __name__ == "__main__":
    sys.exit(main())
