"""Validation of a whole configuration and of changes to it."""

import graphlib

__all__ = ["check_change", "check_plan", "list_known_names"]

MAX_VOTERS = 3
# Health probes from three owner instances, one connection that waits for
# replication, and one spare.
CONTROL_CONNECTIONS = 5


def check_plan(plan, finding_list):
    """Record findings that need the whole configuration.

    Parameters
    ----------
    plan : Plan
        The parsed configuration.
    finding_list : FindingList
        Receives the findings.
    """
    _check_services(plan, finding_list)
    _check_dependency_order(plan, finding_list)
    _check_groups(plan, finding_list)
    _check_targets(plan, finding_list)
    if not plan.classes:
        finding_list.add(
            0, "", "no class of work", "add a [class ...] section"
        )


def _check_services(plan, finding_list):
    for service in plan.services.values():
        section = f"service {service.name}"
        if service.group and service.group not in plan.groups:
            finding_list.add(
                service.line,
                section,
                f"group {service.group} is unknown",
                list_known_names(plan.groups),
            )
        for name in service.depends_on:
            if name not in plan.services:
                finding_list.add(
                    service.line,
                    section,
                    f"depends on unknown service {name}",
                    list_known_names(plan.services),
                )
                continue
            _check_shutdown(service, plan.services[name], finding_list)


def _check_shutdown(service, dependency, finding_list):
    if dependency.shutdown is None:
        return
    if service.shutdown is None or service.shutdown > dependency.shutdown:
        own_shutdown = service.shutdown or "never"
        finding_list.add(
            service.line,
            f"service {service.name}",
            f"ends {own_shutdown}, after {dependency.name} that it depends on "
            f"(line {dependency.line}, ends {dependency.shutdown})",
            f"end it on {dependency.shutdown} or before",
        )


def _check_dependency_order(plan, finding_list):
    graph = {
        service.name: [n for n in service.depends_on if n in plan.services]
        for service in plan.services.values()
    }
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as exc:
        cycle = exc.args[1]
        first_service = plan.services[cycle[0]]
        finding_list.add(
            first_service.line,
            f"service {first_service.name}",
            "depends on itself: " + " -> ".join(reversed(cycle)),
            "remove one of these dependencies",
        )


def _check_groups(plan, finding_list):
    group_by_target = {}
    for group in plan.groups.values():
        section = f"group {group.name}"
        if len(group.targets) > MAX_VOTERS:
            finding_list.add(
                group.line,
                section,
                f"has {len(group.targets)} targets",
                f"name at most {MAX_VOTERS}",
            )
        if group.targets and not plan.staying_targets(group.name):
            finding_list.add(
                group.line,
                section,
                "every target is leaving",
                "keep one active, or remove the group and its services",
            )
        for name in group.targets:
            if name not in plan.targets:
                finding_list.add(
                    group.line,
                    section,
                    f"target {name} is unknown",
                    list_known_names(plan.targets),
                )
            if name in group_by_target:
                finding_list.add(
                    group.line,
                    section,
                    f"target {name} also belongs to {group_by_target[name]}",
                    "name each target in one group, once",
                )
            group_by_target[name] = group.name


def _check_targets(plan, finding_list):
    target_by_address = {}
    grouped = {n for group in plan.groups.values() for n in group.targets}
    for target in plan.targets.values():
        section = f"target {target.name}"
        address = (target.host, target.port)
        if target.host and address in target_by_address:
            finding_list.add(
                target.line,
                section,
                f"has the address of {target_by_address[address]}",
                "give each target its own address",
            )
        target_by_address[address] = target.name
        min_connections = 2 * target.slots + CONTROL_CONNECTIONS
        if target.connections < min_connections:
            finding_list.add(
                target.line,
                section,
                f"{target.connections} connections do not carry "
                f"{target.slots} slots",
                f"allow at least {min_connections}",
            )
        if target.name not in grouped:
            finding_list.add(
                target.line,
                section,
                "belongs to no group",
                "name it in a group or remove it",
            )


def list_known_names(names):
    """Return a remedy that lists the known names."""
    if not names:
        return "none is known"
    return "known are: " + ", ".join(sorted(names))


def check_change(old, new, retired, finding_list):
    """Record findings about changes that skip a required step.

    A target may be removed from its group only after it has retired.

    Parameters
    ----------
    old, new : Plan
        The configuration in force and the one that replaces it.
    retired : set of str
        Names of the targets that are no longer voters of their group.
    finding_list : FindingList
        Receives the findings.
    """
    for group in old.groups.values():
        new_group = new.groups.get(group.name)
        if new_group is None:
            continue
        for name in group.targets:
            if name not in new_group.targets and name not in retired:
                finding_list.add(
                    new_group.line,
                    f"group {group.name}",
                    f"target {name} is removed before it has left",
                    "set state = leaving and wait until it has retired",
                )
