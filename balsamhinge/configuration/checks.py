"""Checks of a plan as a whole, and of a change from one to the next."""

import graphlib

__all__ = ["check_change", "check_plan", "list_known"]

MOST_VOTERS = 3
# Probes of three homes, one confirmation and one spare.
CONTROL_CONNECTIONS = 5


def check_plan(plan, found):
    """Record what is wrong with a plan as a whole.

    Parameters
    ----------
    plan : Plan
        What the text says.
    found : FindingList
        Where findings go.
    """
    _check_services(plan, found)
    _check_dependency_order(plan, found)
    _check_groups(plan, found)
    _check_targets(plan, found)
    if not plan.classes:
        found.add(0, "", "no class of work", "add a [class ...] section")


def _check_services(plan, found):
    for service in plan.services.values():
        section = f"service {service.name}"
        if service.group and service.group not in plan.groups:
            found.add(
                service.line,
                section,
                f"group {service.group} is unknown",
                list_known(plan.groups),
            )
        for name in service.depends_on:
            if name not in plan.services:
                found.add(
                    service.line,
                    section,
                    f"depends on unknown service {name}",
                    list_known(plan.services),
                )
                continue
            _check_shutdown(service, plan.services[name], found)


def _check_shutdown(service, needed, found):
    if needed.shutdown is None:
        return
    if service.shutdown is None or service.shutdown > needed.shutdown:
        ends = service.shutdown or "never"
        found.add(
            service.line,
            f"service {service.name}",
            f"ends {ends}, after {needed.name} that it depends on "
            f"(line {needed.line}, ends {needed.shutdown})",
            f"end it on {needed.shutdown} or before",
        )


def _check_dependency_order(plan, found):
    graph = {
        service.name: [n for n in service.depends_on if n in plan.services]
        for service in plan.services.values()
    }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as exc:
        cycle = exc.args[1]
        first = plan.services[cycle[0]]
        found.add(
            first.line,
            f"service {first.name}",
            "depends on itself: " + " -> ".join(reversed(cycle)),
            "remove one of these dependencies",
        )


def _check_groups(plan, found):
    owners = {}
    for group in plan.groups.values():
        section = f"group {group.name}"
        if len(group.targets) > MOST_VOTERS:
            found.add(
                group.line,
                section,
                f"has {len(group.targets)} targets",
                f"name at most {MOST_VOTERS}",
            )
        if group.targets and not plan.staying(group.name):
            found.add(
                group.line,
                section,
                "every target is leaving",
                "keep one active, or remove the group and its services",
            )
        for name in group.targets:
            if name not in plan.targets:
                found.add(
                    group.line,
                    section,
                    f"target {name} is unknown",
                    list_known(plan.targets),
                )
            if name in owners:
                found.add(
                    group.line,
                    section,
                    f"target {name} also belongs to {owners[name]}",
                    "name each target in one group, once",
                )
            owners[name] = group.name


def _check_targets(plan, found):
    places = {}
    grouped = {n for group in plan.groups.values() for n in group.targets}
    for target in plan.targets.values():
        section = f"target {target.name}"
        place = (target.host, target.port)
        if target.host and place in places:
            found.add(
                target.line,
                section,
                f"has the address of {places[place]}",
                "give each target its own address",
            )
        places[place] = target.name
        least = 2 * target.slots + CONTROL_CONNECTIONS
        if target.connections < least:
            found.add(
                target.line,
                section,
                f"{target.connections} connections do not carry "
                f"{target.slots} slots",
                f"allow at least {least}",
            )
        if target.name not in grouped:
            found.add(
                target.line,
                section,
                "belongs to no group",
                "name it in a group or remove it",
            )


def list_known(names):
    """Return the remedy that names what could have been meant."""
    if not names:
        return "none is known"
    return "known are: " + ", ".join(sorted(names))


def check_change(old, new, retired, found):
    """Record what must not change in one step.

    Parameters
    ----------
    old, new : Plan
        The plan in force and the one that shall follow.
    retired : set of str
        Targets that left their group's voters.
    found : FindingList
        Where findings go.
    """
    for group in old.groups.values():
        following = new.groups.get(group.name)
        if following is None:
            continue
        for name in group.targets:
            if name not in following.targets and name not in retired:
                found.add(
                    following.line,
                    f"group {group.name}",
                    f"target {name} is removed before it has left",
                    "set state = leaving and wait until it has retired",
                )
