"""Commands about services, groups and sessions."""

import json
import time
import urllib.parse

from balsamhinge.configuration import editing
from balsamhinge.configuration import parsing
from balsamhinge.ctl import calls
from balsamhinge.ctl import configuration
from balsamhinge.ctl import output
from balsamhinge import tables

__all__ = [
    "drain_target",
    "inspect_session",
    "promote",
    "show_services",
    "show_status",
]

PROGRESS_TIMEOUT_S = 60.0
PROGRESS_POLL_S = 0.25


def show_status(args):
    """Print instances, groups and targets."""
    status = calls.Client(args.url, args.token).call("GET", "status")
    if args.format == "json":
        print(json.dumps(status, indent=2))
        return calls.EXIT_DONE
    print(
        tables.render(
            status["instances"], ["name", "data_centre", "state", "version"]
        )
    )
    columns = [
        "group",
        "target",
        "role",
        "state",
        "term",
        "voter",
        "applied",
        "age_s",
        "home",
        "connections",
        "queued",
    ]
    print(tables.render(status["groups"], columns))
    return calls.EXIT_DONE


def show_services(args):
    """Print services by shutdown date."""
    status = calls.Client(args.url, args.token).call("GET", "status")
    columns = ["service", "group", "depends_on", "shutdown", "days_left"]
    output.print_rows(args, status["services"], columns)
    return calls.EXIT_DONE


def drain_target(args):
    """Mark a target as leaving and wait until it has retired."""
    client = calls.Client(args.url, args.token)
    shown = client.call("GET", "configuration")
    text = editing.set_leaving(shown["text"], args.target)
    parsing.parse_plan(text, "configuration")
    configuration.put_configuration(
        client, text, shown["version"], args.author
    )
    end = time.monotonic() + PROGRESS_TIMEOUT_S
    while time.monotonic() < end:
        rows = client.call("GET", "status")["groups"]
        row = next(r for r in rows if r["target"] == args.target)
        voter = "voter" if row["voter"] else "no voter"
        output.print_progress(f"{args.target}: {row['role']}, {voter}    ")
        if row["role"] == "retired":
            output.print_progress("", end="\n")
            output.print_rows(args, [row], ["group", "target", "role"])
            return calls.EXIT_DONE
        time.sleep(PROGRESS_POLL_S)
    raise calls.CallFailed(
        calls.EXIT_FAILED,
        f"\n{args.target} takes no new work, but has not retired",
    )


def promote(args):
    """Replace the primary of a group."""
    query = urllib.parse.urlencode(
        {"group": args.group, "target": args.target or ""}
    )
    client = calls.Client(args.url, args.token)
    view = client.call("POST", f"promote?{query}")
    output.print_rows(args, [view], ["group", "term", "primary", "voters"])
    return calls.EXIT_DONE


def inspect_session(args):
    """Print what a session token holds."""
    query = urllib.parse.urlencode({"token": args.session})
    client = calls.Client(args.url, args.token)
    positions = client.call("GET", f"session?{query}")
    rows = [{"group": g, "position": p} for g, p in positions.items()]
    output.print_rows(args, rows, ["group", "position"])
    return calls.EXIT_DONE
