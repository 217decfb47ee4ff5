"""What the daemons' command lines have in common."""

import argparse
import asyncio
import sys

from balsamhinge import exceptions

__all__ = ["BAD_SETTINGS", "FAILED", "run_program"]

FAILED = 1
BAD_SETTINGS = 2


def run_program(prog, description, settings_class, run, argv):
    """Run a daemon as its command line says.

    Parameters
    ----------
    prog, description : str
        For its help.
    settings_class : type
        Has a `from_file` that returns the daemon's settings.
    run : callable
        Returns a coroutine for the settings, which ends with the daemon.
    argv : list of str or None
        The command line; None for the process's own.

    Returns
    -------
    int
        The exit code.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument("settings", help="path of the settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and end"
    )
    args = parser.parse_args(argv)
    try:
        settings = settings_class.from_file(args.settings)
    except exceptions.ConfigurationError as exc:
        print(exc, file=sys.stderr)
        return BAD_SETTINGS
    except OSError as exc:
        print(f"{prog}: {exc.filename}: {exc.strerror}", file=sys.stderr)
        return BAD_SETTINGS
    if args.check:
        return 0
    try:
        asyncio.run(run(settings))
    except (exceptions.BalsamhingeError, OSError, RuntimeError) as exc:
        print(f"{prog}: cannot run: {exc}", file=sys.stderr)
        return FAILED
    return 0
