"""Commands about the configuration."""

import json
import time

from balsamhinge.configuration import parsing
from balsamhinge.ctl import calls
from balsamhinge.ctl import output
from balsamhinge.ctl import tablecheck

__all__ = [
    "apply_configuration",
    "check_configuration",
    "put_configuration",
    "show_configuration",
    "show_history",
]

PROGRESS_TIMEOUT_S = 60.0
PROGRESS_POLL_S = 0.25


def check_configuration(args):
    """Check a configuration file without an instance.

    JSON is the configuration of the users' platform, see `tablecheck`.
    """
    if args.against is not None or tablecheck.is_table(args.file):
        return tablecheck.check_table(args)
    text = parsing.read_text(args.file)
    parsed = parsing.parse_plan(text, args.file)
    counts = {
        "services": len(parsed.services),
        "classes": len(parsed.classes),
        "groups": len(parsed.groups),
        "targets": len(parsed.targets),
    }
    output.print_rows(args, [counts], list(counts))
    return calls.EXIT_DONE


def apply_configuration(args):
    """Apply a configuration file and wait until it is in force."""
    client = calls.Client(args.url, args.token)
    text = parsing.read_text(args.file)
    parsing.parse_plan(text, args.file)
    base = args.base
    if base is None:
        base = client.call("GET", "configuration")["version"]
    version = put_configuration(client, text, base, args.author)
    return wait_for_version(args, client, version)


def put_configuration(client, text, base, author):
    """Replace the configuration if its version is still `base`.

    Returns the new version.
    """
    answer = client.call(
        "PUT",
        "configuration",
        {"If-Match": str(base), "X-Author": author},
        text.encode(),
    )
    return answer["version"]


def wait_for_version(args, client, version):
    """Wait until all live instances have a version in force."""
    end = time.monotonic() + PROGRESS_TIMEOUT_S
    while time.monotonic() < end:
        rows = client.call("GET", "status")["instances"]
        live = [row for row in rows if row["state"] == "live"]
        applied = [row for row in live if row["version"] >= version]
        output.print_progress(
            f"version {version}: in force on {len(applied)} of {len(live)}"
        )
        if len(applied) == len(live):
            output.print_progress("", end="\n")
            output.print_rows(args, [{"version": version}], ["version"])
            return calls.EXIT_DONE
        time.sleep(PROGRESS_POLL_S)
    raise calls.CallFailed(
        calls.EXIT_FAILED, f"\nversion {version} is accepted, not yet in force"
    )


def show_configuration(args):
    """Print the configuration in force."""
    shown = calls.Client(args.url, args.token).call("GET", "configuration")
    if args.format == "json":
        print(json.dumps(shown, indent=2))
    else:
        print(f"# version {shown['version']} by {shown['author']}")
        print(shown["text"])
    return calls.EXIT_DONE


def show_history(args):
    """Print the configuration versions that the instance has used."""
    rows = calls.Client(args.url, args.token).call("GET", "history")
    output.print_rows(args, rows, ["version", "author", "edit"])
    return calls.EXIT_DONE
