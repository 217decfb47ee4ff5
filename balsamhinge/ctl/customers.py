"""Commands that sum over a fleet: customers, and queues of targets."""

import collections
import heapq
import sys

from balsamhinge.controllers import customerusage
from balsamhinge.ctl import calls
from balsamhinge.ctl import output
from balsamhinge import tables

__all__ = ["show_customers", "show_targets", "sum_customers", "sum_targets"]

REASONS = [reason.value for reason in customerusage.Reason]
SUMMED_COUNTS = ("admitted", "connections", "waits", "wait_s")
CUSTOMER_COLUMNS = [
    "customer",
    "priority",
    "rate_per_s",
    "burst",
    "admitted",
    *REASONS,
    "connections",
    "mean_wait_s",
]
TARGET_COLUMNS = [
    "group",
    "target",
    "queued",
    "permits",
    "concurrency_limit",
    "refused",
    "mean_response_s",
    "connections",
    "connected_customers",
    "instances",
]


def show_customers(args):
    """Print limits, use and refusals of customers, over all instances.

    Counts are those since the start of each instance.
    """
    views, failures = calls.fetch_all(args.instances or [args.url])
    rows = sum_customers(section_rows(views, "customers", failures))
    rows = select_customers(rows, args.prefix, args.refused, args.top)
    if args.format == "json":
        output.print_json({"customers": rows, "leases": lease_rows(views)})
    else:
        shown = [row | row["refused"] for row in rows]
        for row in shown:
            row["customer"] = row["customer"] or "(none)"
        print(tables.render(shown, CUSTOMER_COLUMNS))
        print_summary(rows, views)
    return report_failures(failures)


def show_targets(args):
    """Print queue, concurrency limit and connections of each target."""
    views, failures = calls.fetch_all(args.instances or [args.url])
    rows = sum_targets(section_rows(views, "targets", failures))
    if args.format == "json":
        output.print_json(rows)
    else:
        shown = [row | {"queued": describe_queue(row)} for row in rows]
        print(tables.render(shown, TARGET_COLUMNS))
    return report_failures(failures)


def section_rows(views, name, failures):
    """Return all rows of a section, and report instances that lack it."""
    rows = []
    for view in views:
        if name in view:
            rows += view[name]
        else:
            failures.append(f"{view.get('instance')}: reports no {name}")
    return rows


def sum_customers(rows):
    """Return one row for each customer from the rows of all instances."""
    sums = {}
    for row in rows:
        found = sums.setdefault(
            row["customer"],
            row
            | dict.fromkeys(SUMMED_COUNTS, 0)
            | {"refused": collections.Counter()},
        )
        for key in SUMMED_COUNTS:
            found[key] += row[key]
        found["refused"].update(row["refused"])
    for row in sums.values():
        row["mean_wait_s"] = (
            row["wait_s"] / row["waits"] if row["waits"] else None
        )
    return [sums[name] for name in sorted(sums)]


def select_customers(rows, prefix, refused, top):
    """Return the rows that the options of the command ask for."""
    rows = [row for row in rows if row["customer"].startswith(prefix)]
    if refused:
        rows = [row for row in rows if row["refused"].total()]
    if top is not None:
        rows = heapq.nlargest(top, rows, key=operations)
    return rows


def operations(row):
    """Return the admitted and refused operations of a customer."""
    return row["admitted"] + row["refused"].total()


def print_summary(rows, views):
    """Print the sums of the shown rows and the state of the leases."""
    refused = sum(row["refused"].total() for row in rows)
    admitted = sum(row["admitted"] for row in rows)
    print(f"\n{len(rows)} customers, {admitted} admitted, {refused} refused")
    lapsed = [row for row in lease_rows(views) if row["valid"] is False]
    for row in lapsed:
        print(f"{row['instance']} refuses all keys: configuration lease over")


def lease_rows(views):
    """Return the configuration lease of each instance."""
    return [
        {"instance": view.get("instance")}
        | view.get("configuration_lease", {"age_s": None, "valid": None})
        for view in views
    ]


def sum_targets(rows):
    """Return one row for each target from the rows of all instances.

    The limit is that of the instance with the most statements at the
    target, its host; the response time is the mean over the instances that
    have connections.
    """
    by_target = collections.defaultdict(list)
    for row in rows:
        by_target[row["group"], row["target"]].append(row)
    return [_sum_target(found) for _name, found in sorted(by_target.items())]


def _sum_target(rows):
    queued = collections.Counter()
    for row in rows:
        queued.update(row["queued"])
    host = max(rows, key=lambda row: row["permits"] or 0)
    connected = [row for row in rows if row["connections"]]
    responses = [row["mean_response_s"] for row in connected]
    permits = [row["permits"] for row in rows if row["permits"] is not None]
    return {
        "group": host["group"],
        "target": host["target"],
        "queued": dict(queued),
        "permits": sum(permits) if permits else None,
        "concurrency_limit": host["concurrency_limit"],
        "refused": sum(row["refused"] for row in rows),
        "predicted_waits_s": host["predicted_waits_s"],
        "mean_response_s": sum(responses) / len(responses)
        if responses
        else None,
        "connections": sum(row["connections"] for row in connected),
        "connected_customers": max(
            (row["connected_customers"] for row in connected), default=0
        ),
        "instances": len(connected),
    }


def describe_queue(row):
    """Return the queue of a target by priority as text."""
    queued = sorted(row["queued"].items(), key=lambda item: int(item[0]))
    return " ".join(f"{name}:{n}" for name, n in queued if n) or "0"


def report_failures(failures):
    """Print instances that did not answer; return the exit code."""
    for failure in failures:
        print(f"{output.PROG}: {failure}", file=sys.stderr)
    return calls.EXIT_UNREACHABLE if failures else calls.EXIT_DONE
