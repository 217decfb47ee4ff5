"""Commands that ask the instances of a fleet for their status."""

import json
import sys

from balsamhinge.ctl import calls
from balsamhinge.ctl import output
from balsamhinge import tables

__all__ = ["show_fleet"]

FLEET_COLUMNS = [
    "instance",
    "data_centre",
    "ready",
    "isolated",
    "configuration",
    "duty",
    "fence",
    "knowledge_age_s",
    "leases_s",
    "store_incarnation",
]
INSTANCE_COLUMNS = [
    "name",
    "data_centre",
    "address",
    "state",
    "configuration",
]
GROUP_COLUMNS = [
    "group",
    "target",
    "data_centre",
    "role",
    "state",
    "epoch",
    "changing",
    "term",
    "applied",
    "behind",
    "heard_s",
    "silent_s",
]


def show_fleet(args):
    """Print the status of a fleet as its instances report it."""
    views, failures = calls.fetch_all(args.instances)
    if args.format == "json":
        print(json.dumps(views, indent=2))
    else:
        print(tables.render(views, FLEET_COLUMNS))
        if views:
            # The tables of instances and groups come from the instance
            # whose view of the store is the most recent.
            latest = min(views, key=knowledge_age_s)
            print(f"\nas {latest['instance']} sees it:")
            print(tables.render(latest["instances"], INSTANCE_COLUMNS))
            print(tables.render(latest["groups"], GROUP_COLUMNS))
    for failure in failures:
        print(f"{output.PROG}: {failure}", file=sys.stderr)
    return calls.EXIT_UNREACHABLE if failures else calls.EXIT_DONE


def knowledge_age_s(view):
    """Return the age of an instance's view of the store in seconds."""
    age_s = view["knowledge_age_s"]
    return float("inf") if age_s is None else age_s
