"""Status of an instance and of its groups, for operators."""

import datetime

from balsamhinge.controllers import clock

__all__ = ["group_rows", "instance_rows", "service_rows", "snapshot"]


def snapshot(core):
    """Return the complete status as JSON-compatible data.

    Parameters
    ----------
    core : Core
        The instance's controllers.

    Returns
    -------
    dict
        The instance itself; all instances with the configuration versions
        in force there; the groups' targets; the services.
    """
    return {
        "instance": core.name,
        "ready": core.ready,
        "version": core.configuration.version,
        "in_flight": core.in_flight,
        "transactions": len(core.transactions),
        "instances": instance_rows(core),
        "groups": group_rows(core),
        "services": service_rows(core),
    }


def instance_rows(core):
    """Return one row for each instance."""
    versions = dict(core.dissemination.configuration_versions)
    versions[core.name] = core.configuration.version
    unreachable = set(core.members.unreachable_names())
    leaving = set(core.members.leaving_names)
    rows = []
    for member in core.members.listed():
        state = "silent" if member.name in unreachable else "live"
        if member.name in leaving:
            state = "leaving"
        rows.append(
            {
                "name": member.name,
                "data_centre": member.data_centre,
                "state": state,
                "version": versions.get(member.name, 0),
            }
        )
    return rows


def group_rows(core):
    """Return one row for each target, in the order of groups."""
    plan = core.configuration.plan
    rows = []
    for group in plan.groups.values():
        view = core.groups.view(group.name)
        for name in group.targets:
            rows.append(_target_row(core, plan, view, name))
    return rows


def _target_row(core, plan, view, name):
    status = core.groups.target_statuses.get(name)
    target = plan.targets[name]
    limiter = core.limiters.limiters.get(name)
    owners = core.members.owners(target)
    history = core.groups.primary_history(view.group)
    applied = core.groups.applied_position(name)
    age_s = history.data_age_s(clock.now(), applied)
    role = status.role if status else ""
    if name == view.primary:
        role, age_s = "primary", 0.0
    if name in core.groups.retired:
        role = "retired"
    return {
        "group": view.group,
        "target": name,
        "role": role,
        "state": target.state.value,
        "term": view.term,
        "voter": name in view.voters,
        "applied": str(applied),
        "age_s": age_s,
        "home": owners[0].name if owners else "",
        "connections": limiter.pool.open if limiter else 0,
        "queued": len(limiter.queue) if limiter else 0,
    }


def service_rows(core, today=None):
    """Return one row for each service, sorted by shutdown date.

    Services without a shutdown date come last.
    """
    today = today or datetime.date.today()
    rows = []
    for service in core.configuration.plan.services.values():
        days_left = None
        if service.shutdown is not None:
            days_left = (service.shutdown - today).days
        rows.append(
            {
                "service": service.name,
                "group": service.group,
                "depends_on": ", ".join(service.depends_on),
                "shutdown": str(service.shutdown or ""),
                "days_left": days_left,
            }
        )
    no_shutdown_days = 1_000_000
    rows.sort(
        key=lambda row: (row["days_left"] or no_shutdown_days, row["service"])
    )
    return rows
