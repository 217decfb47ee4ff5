"""Command that checks the platform's configuration before it is written."""

import pathlib

import attrs

from balsamhinge.configuration import tablechecks
from balsamhinge.configuration import tabledifferences
from balsamhinge.configuration import tabledocuments
from balsamhinge.ctl import calls
from balsamhinge.ctl import output
from balsamhinge.platform import documents

__all__ = ["EXIT_ERRORS", "EXIT_WARNINGS", "check_table", "is_table"]

EXIT_WARNINGS = 1
EXIT_ERRORS = 2
MS_PER_S = 1000.0
JSON_SUFFIX = ".json"

Problem = tabledocuments.Problem
Severity = tabledocuments.Severity


def is_table(path):
    """Return whether a file holds JSON and not the INI text.

    Raises
    ------
    OSError
        If the file cannot be read.
    """
    if pathlib.Path(path).suffix == JSON_SUFFIX:
        return True
    data = pathlib.Path(path).read_bytes()
    return data.removeprefix(b"\xef\xbb\xbf").lstrip().startswith(b"{")


def check_table(args):
    """Check a file, compare it with another, and print what was found."""
    capacity = None
    if args.slots is not None:
        capacity = tablechecks.Capacity(
            args.slots, args.statement_ms / MS_PER_S
        )
    document, problems = read_and_check(args.file, capacity)
    differences = []
    if args.against is not None:
        old, found = read_old(args.against)
        problems += found
        if document is not None and old is not None:
            differences = tabledifferences.compare(old, document)
            problems += tabledifferences.check_version(
                old, document, differences
            )
    if args.format == "json":
        print_as_json(args, document, problems, differences)
    else:
        print_as_text(args, problems, differences)
    return exit_code(problems)


def read_and_check(path, capacity):
    """Return the `Document` of a file, or None, and all its problems."""
    data = pathlib.Path(path).read_bytes()
    document, problems = documents.read_document(data)
    if document is not None:
        problems += tablechecks.check_document(document, capacity)
    return document, problems


def read_old(path):
    """Return the `Document` to compare with, or None, and its problems."""
    document, problems = documents.read_document(
        pathlib.Path(path).read_bytes()
    )
    if document is None:
        found = [
            attrs.evolve(problem, text=f"{problem.text} (in {path})")
            for problem in problems
        ]
        return None, found
    if document.unreadable:
        text = (
            f"{document.unreadable} entries of {path} cannot be read and "
            "are not compared"
        )
        return document, [Problem.warning("", text)]
    return document, []


def exit_code(problems):
    """Return the exit code for the worst of the problems."""
    severities = {problem.severity for problem in problems}
    if Severity.ERROR in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if severities else calls.EXIT_DONE


def print_as_json(args, document, problems, differences):
    """Print all problems and differences as one JSON object."""
    counts = {}
    if document is not None:
        counts = {
            "routes": len(document.routes),
            "groups": len(document.groups),
            "customers": len(document.customers),
            "keys": sum(
                len(entry.value.key_digests) for entry in document.customers
            ),
        }
    output.print_json(
        {
            "file": args.file,
            "version": document.version if document is not None else None,
            "counts": counts,
            "problems": [attrs.asdict(problem) for problem in problems],
            "differences": [
                attrs.asdict(difference)
                | {"fields": finite_fields(difference.fields)}
                for difference in differences
            ],
        }
    )


def finite_fields(fields):
    """Return changed fields with None for infinite values."""
    return {
        name: [None if value == float("inf") else value for value in values]
        for name, values in fields.items()
    }


def print_as_text(args, problems, differences):
    """Print one line for each problem and each difference."""
    ordered = sorted(
        problems, key=lambda one: one.severity is not Severity.ERROR
    )
    shown = ordered if args.all else ordered[: output.MAX_SHOWN_FINDINGS]
    for problem in shown:
        place = f" at {problem.path}:" if problem.path else ":"
        output.print_line(
            f"{args.file}: {problem.severity.value}{place} {problem.text}"
        )
    errors = sum(problem.severity is Severity.ERROR for problem in problems)
    hidden = len(ordered) - len(shown)
    suffix = f", {hidden} not shown; --all shows them" if hidden else ""
    output.print_line(
        f"{errors} errors, {len(problems) - errors} warnings{suffix}"
    )
    if args.against is None:
        return
    output.print_line(f"{len(differences)} differences from {args.against}")
    for difference in differences:
        output.print_line(f"  {describe_difference(difference)}")


def describe_difference(difference):
    """Return a difference as one line."""
    parts = [
        f"{name} {old} -> {new}"
        for name, (old, new) in difference.fields.items()
    ]
    if difference.keys_added:
        parts.append(f"{difference.keys_added} keys added")
    if difference.keys_removed:
        parts.append(f"{difference.keys_removed} keys removed")
    details = f": {', '.join(parts)}" if parts else ""
    return (
        f"{difference.change.value} {difference.kind} "
        f"{difference.name}{details}"
    )
