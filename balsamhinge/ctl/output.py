"""Output of the command-line tool: tables, JSON, findings, progress."""

import json
import sys

from balsamhinge import tables

__all__ = [
    "MAX_SHOWN_FINDINGS",
    "PROG",
    "print_json",
    "print_line",
    "print_progress",
    "print_rows",
    "show_findings",
]

PROG = "balsamhingectl"
# Further findings are counted, not shown, so that the first ones stay on
# the screen.
MAX_SHOWN_FINDINGS = 50


def print_json(value):
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


def print_line(text):
    """Print a line; characters that a terminal may obey are escaped."""
    print(
        "".join(
            c if c.isprintable() else c.encode("unicode_escape").decode()
            for c in text
        )
    )


def print_rows(args, rows, columns):
    """Print rows as a table or as JSON, as `--format` says."""
    if args.format == "json":
        print_json(rows)
    else:
        print(tables.render(rows, columns))


def print_progress(text, end=""):
    """Overwrite the progress line on standard error."""
    print(f"\r{text}", end=end, file=sys.stderr, flush=True)


def show_findings(findings, show_all):
    """Print findings, at most `MAX_SHOWN_FINDINGS` unless `show_all`."""
    shown = findings if show_all else findings[:MAX_SHOWN_FINDINGS]
    for finding in shown:
        print(finding, file=sys.stderr)
    if len(shown) < len(findings):
        print(
            f"{len(findings)} findings, {len(findings) - len(shown)} of them "
            "not shown; --all shows them",
            file=sys.stderr,
        )
