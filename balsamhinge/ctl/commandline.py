"""Command line of balsamhingectl."""

import argparse
import getpass
import os
import sys

from balsamhinge.ctl import calls
from balsamhinge.ctl import configuration
from balsamhinge.ctl import customers
from balsamhinge.ctl import explanation
from balsamhinge.ctl import fleet as fleet_commands
from balsamhinge.ctl import operation
from balsamhinge.ctl import output
from balsamhinge import exceptions

__all__ = ["build_parser", "main"]

DEFAULT_URL = "http://127.0.0.1:8080"
EPILOG = """exit codes: 0 done; 1 refused or failed; 2 the text or the
command line has findings, nothing was changed; 3 another edit came first,
nothing was changed; 4 the instance or the store did not answer. config check
of JSON: 0 clean; 1 warnings only; 2 errors"""
# The middle of the range of statements in use, 8 to 40 ms.
DEFAULT_STATEMENT_MS = 24.0
ALL_HELP = (
    f"print every finding, not the first {output.MAX_SHOWN_FINDINGS} alone"
)


def build_parser():
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog=output.PROG,
        description="See and change a running system.",
        epilog=EPILOG,
    )
    parser.add_argument(
        "--url", default=os.environ.get("BALSAMHINGE_URL", DEFAULT_URL)
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("BALSAMHINGE_TOKEN", ""),
        help="operator token; better given as BALSAMHINGE_TOKEN",
    )
    parser.add_argument("--format", choices=["table", "json"], default="table")
    parser.add_argument("--author", default=getpass.getuser())
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_configuration(commands)
    add_command(commands, "status", operation.show_status)
    fleet = add_command(commands, "fleet", fleet_commands.show_fleet)
    fleet.add_argument(
        "instances",
        nargs="+",
        metavar="URL",
        help="where an instance answers whether it is ready",
    )
    _add_customers(commands)
    explain_parser = add_command(commands, "explain", explanation.explain)
    explain_parser.add_argument("request_id", metavar="ID")
    explain_parser.add_argument("files", nargs="+", metavar="FILE")
    target = add_command_group(commands, "target")
    drain = add_command(target, "drain", operation.drain_target)
    drain.add_argument("target")
    service = add_command_group(commands, "service")
    add_command(service, "status", operation.show_services)
    promote_parser = add_command(commands, "promote", operation.promote)
    promote_parser.add_argument("group")
    promote_parser.add_argument("target", nargs="?")
    session = add_command_group(commands, "session")
    inspect = add_command(session, "inspect", operation.inspect_session)
    inspect.add_argument("session", metavar="TOKEN")
    return parser


def _add_customers(commands):
    parser = add_command(commands, "customers", customers.show_customers)
    parser.add_argument("prefix", nargs="?", default="", metavar="NAME-PREFIX")
    parser.add_argument(
        "--refused",
        action="store_true",
        help="only customers with refused operations",
    )
    parser.add_argument(
        "--top", type=int, metavar="N", help="the N with the most operations"
    )
    targets = add_command(commands, "targets", customers.show_targets)
    for command in (parser, targets):
        add_json_option(command)
        command.add_argument(
            "--instances",
            nargs="+",
            metavar="URL",
            default=os.environ.get("BALSAMHINGE_INSTANCES", "").split(),
            help="where instances answer whether they are ready (default: "
            "BALSAMHINGE_INSTANCES, or the general --url)",
        )


def _add_configuration(commands):
    config = add_command_group(commands, "config")
    check = add_command(config, "check", configuration.check_configuration)
    check.add_argument("file")
    check.add_argument("--all", action="store_true", help=ALL_HELP)
    add_json_option(check)
    check.add_argument(
        "--against",
        metavar="FILE",
        help="JSON only: show the differences from this version",
    )
    check.add_argument(
        "--slots",
        type=positive_number,
        help="JSON only: statements that all targets together run at once, "
        "to compare the sum of the limits with",
    )
    check.add_argument(
        "--statement-ms",
        type=positive_number,
        default=DEFAULT_STATEMENT_MS,
        help="mean time of one statement for --slots (default: %(default)s)",
    )
    apply = add_command(config, "apply", configuration.apply_configuration)
    apply.add_argument("file")
    apply.add_argument("--all", action="store_true", help=ALL_HELP)
    apply.add_argument(
        "--base", type=int, help="version that was edited (default: current)"
    )
    add_command(config, "show", configuration.show_configuration)
    add_command(config, "history", configuration.show_history)


def add_json_option(parser):
    """Add `--json` to a command, which is short for `--format json`."""
    # The default is suppressed, as it would override the general option.
    parser.add_argument(
        "--json",
        dest="format",
        action="store_const",
        const="json",
        default=argparse.SUPPRESS,
        help="the same as --format json before the command",
    )


def positive_number(text):
    """Return a positive finite number of a command-line argument."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value


def add_command_group(commands, name):
    """Add a command with subcommands; return its subparsers."""
    parser = commands.add_parser(name)
    return parser.add_subparsers(required=True, metavar="COMMAND")


def add_command(commands, name, run):
    """Add a command that calls `run`; return its parser.

    The docstring of `run` is the help text.
    """
    parser = commands.add_parser(
        name, help=run.__doc__.splitlines()[0].lower()
    )
    parser.set_defaults(run=run)
    return parser


def main(argv=None):
    """Run the tool; return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return args.run(args)
    except exceptions.ConfigurationError as exc:
        output.show_findings(exc.findings, getattr(args, "all", False))
        return calls.EXIT_FINDINGS
    except calls.CallFailed as exc:
        print(exc, file=sys.stderr)
        return exc.code
    except OSError as exc:
        problem = f"{exc.filename}: {exc.strerror}" if exc.filename else exc
        print(f"{output.PROG}: {problem}", file=sys.stderr)
        return calls.EXIT_FINDINGS
