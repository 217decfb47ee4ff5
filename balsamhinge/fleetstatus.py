"""Status page of one instance of a fleet."""

from balsamhinge.controllers import clock
from balsamhinge import customerstatus

__all__ = ["describe"]


def describe(fleet):
    """Return the state of an instance as data that JSON can represent.

    Parameters
    ----------
    fleet : FleetInstance
        Instance to describe.

    Returns
    -------
    dict
        State of the instance, and its view of all instances and targets.
        Ages are in seconds; None stands for an unknown value.
    """
    leaders = fleet.leaders
    now = fleet.dependencies.boot_time()
    return {
        "instance": fleet.me.name,
        "data_centre": fleet.me.data_centre,
        "ready": fleet.ready,
        "isolated": fleet.isolated,
        "configuration": fleet.directory.table.version,
        "duty": fleet.duty.holder or None,
        "fence": fleet.duty.revision,
        "knowledge_age_s": finite_or_none(leaders.book.read_age_s(now)),
        "leases_s": finite_or_none(
            leaders.book.valid_until(leaders.other_names) - now
        ),
        "store_incarnation": fleet.store_health.incarnation,
        "outdated_groups": list(leaders.outdated_groups),
        "instances": instance_rows(fleet),
        "groups": group_rows(fleet),
        "configuration_lease": customerstatus.configuration_lease(fleet),
        "customers": customerstatus.customer_rows(fleet),
        "targets": customerstatus.target_rows(fleet),
    }


def instance_rows(fleet):
    """Return one row for each registered instance."""
    rows = []
    for name, member in sorted(fleet.leaders.members.items()):
        message = fleet.gossip.last_messages.get(name)
        if name == fleet.me.name:
            state, version = "this", fleet.directory.table.version
        elif message is None or fleet.gossip.is_silent(name):
            state, version = (
                "silent",
                message.table_version if message else None,
            )
        else:
            state = "leaving" if message.leaving else "live"
            version = message.table_version
        rows.append(
            {
                "name": name,
                "data_centre": member.data_centre,
                "address": member.address,
                "state": state,
                "configuration": version,
            }
        )
    return rows


def group_rows(fleet):
    """Return one row for each target, sorted by group and name."""
    now = clock.now()
    rows = []
    for target in sorted(
        fleet.directory.targets.values(),
        key=lambda entry: (entry.group, entry.name),
    ):
        leadership = fleet.leaders.latest(target.group)
        health = fleet.health.of(target.name)
        is_primary = (
            leadership is not None and leadership.target == target.name
        )
        rows.append(
            {
                "group": target.group,
                "target": target.name,
                "data_centre": target.data_centre,
                "role": "primary" if is_primary else "replica",
                "state": "leaving" if target.leaving else "serving",
                "epoch": leadership.epoch if leadership else None,
                "changing": bool(leadership and leadership.changing),
                "term": health.applied.term,
                "applied": str(health.applied),
                "heard_s": finite_or_none(now - health.last_answer_at),
                "behind": None
                if is_primary
                else entries_behind(fleet, leadership, health),
                "silent_s": health.unresponsive_s(now),
                "outstanding": len(health.outstanding),
            }
        )
    return rows


def entries_behind(fleet, leadership, health):
    """Return the replication lag of a replica in log entries, or None.

    It compares the last reported positions, so it is too high by the
    entries that the replica has applied since its report.
    """
    if leadership is None or health.applied_at == float("-inf"):
        return None
    latest = fleet.leaders.last_position(leadership)
    return max(0, latest.offset - health.applied.offset)


def finite_or_none(value):
    """Return a number, or None for an infinite one, which JSON lacks."""
    return value if abs(value) < float("inf") else None
