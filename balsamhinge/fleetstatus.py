"""What operators see of one instance of a fleet."""

from balsamhinge.controllers import clock

__all__ = ["describe"]


def describe(fleet):
    """Return what an instance knows, as data that JSON holds.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.

    Returns
    -------
    dict
        The instance itself, the other ones, and the groups' targets.
        Ages are in seconds; None stands for "not known".
    """
    leaders = fleet.leaders
    now = fleet.links.boot_time()
    return {
        "instance": fleet.me.name,
        "data_centre": fleet.me.data_centre,
        "ready": fleet.ready,
        "isolated": fleet.isolated,
        "configuration": fleet.directory.table.version,
        "duty": fleet.duty.holder or None,
        "fence": fleet.duty.revision,
        "knowledge_age_s": finite(leaders.book.age_s(now)),
        "leases_s": finite(
            leaders.book.valid_until(leaders.other_names) - now
        ),
        "instances": instance_rows(fleet),
        "groups": group_rows(fleet),
    }


def instance_rows(fleet):
    """Return one row for each registered instance."""
    rows = []
    for name, member in sorted(fleet.leaders.members.items()):
        note = fleet.gossip.last_messages.get(name)
        if name == fleet.me.name:
            state, version = "this", fleet.directory.table.version
        elif note is None or fleet.gossip.is_silent(name):
            state, version = "silent", note.table_version if note else None
        else:
            state = "leaving" if note.leaving else "live"
            version = note.table_version
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
    """Return one row for each target, in the order of groups."""
    now = clock.now()
    rows = []
    for target in sorted(
        fleet.directory.targets.values(), key=lambda one: (one.group, one.name)
    ):
        known = fleet.leaders.latest(target.group)
        health = fleet.health.of(target.name)
        leads = known is not None and known.target == target.name
        rows.append(
            {
                "group": target.group,
                "target": target.name,
                "data_centre": target.data_centre,
                "role": "primary" if leads else "replica",
                "state": "leaving" if target.leaving else "serving",
                "epoch": known.epoch if known else None,
                "changing": bool(known and known.changing),
                "term": health.applied.term,
                "applied": str(health.applied),
                "heard_s": finite(now - health.last_answer_at),
                "behind": None if leads else behind(fleet, known, health),
                "silent_s": health.unresponsive_s(now),
                "outstanding": len(health.outstanding),
            }
        )
    return rows


def behind(fleet, known, health):
    """Return how many entries a replica lacks, or None if not known.

    Of positions as they were last heard, so it can be too high by what
    the replica received since.
    """
    if known is None or health.applied_at == float("-inf"):
        return None
    latest = fleet.leaders.last_position(known)
    return max(0, latest.offset - health.applied.offset)


def finite(value):
    """Return a number, or None for an infinite one, which JSON lacks."""
    return value if abs(value) < float("inf") else None
