"""Command-line entry point shared by the daemons."""

import argparse
import asyncio
import sys

from balsamhinge import exceptions

__all__ = ["EXIT_BAD_SETTINGS", "EXIT_FAILED", "run_program"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def run_program(prog, description, settings_class, run, argv):
    """Parse a daemon's command line, load its settings and run it.

    Parameters
    ----------
    prog, description : str
        Program name and description for the help text.
    settings_class : type
        Class with a `from_file` that returns the daemon's settings.
    run : callable
        Coroutine function called with the settings; it returns when the
        daemon has stopped.
    argv : list of str or None
        Command-line arguments; None for `sys.argv`.

    Returns
    -------
    int
        Exit code.
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
        return EXIT_BAD_SETTINGS
    except OSError as exc:
        print(f"{prog}: {exc.filename}: {exc.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if args.check:
        return 0
    try:
        asyncio.run(run(settings))
    except (exceptions.BalsamhingeError, OSError, RuntimeError) as exc:
        print(f"{prog}: cannot run: {exc}", file=sys.stderr)
        return EXIT_FAILED
    return 0
