"""Command that explains one request from log lines."""

import json

import attrs

from balsamhinge.ctl import calls
from balsamhinge.ctl import output
from balsamhinge import explaining
from balsamhinge import tables

__all__ = ["explain"]


def explain(args):
    """Print the log lines that explain one request."""
    lines = []
    for name in args.files:
        with open(name, encoding="utf-8", errors="replace") as file:
            parsed = (explaining.parse_line(text, name) for text in file)
            lines += [line for line in parsed if line is not None]
    timeline = explaining.request_timeline(lines, args.request_id)
    if not timeline:
        raise calls.CallFailed(
            calls.EXIT_FAILED,
            f"{output.PROG}: no line names request {args.request_id}",
        )
    if args.format == "json":
        print(json.dumps([attrs.asdict(line) for line in timeline], indent=2))
        return calls.EXIT_DONE
    rows = [
        {
            "time": line.at,
            "log": line.source,
            "event": line.event,
            "because": " ".join(f"{k}={v}" for k, v in line.fields.items()),
        }
        for line in timeline
    ]
    print(tables.render(rows, ["time", "log", "event", "because"]))
    return calls.EXIT_DONE
