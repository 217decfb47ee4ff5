"""Rules that decide when a group fails over, and to which target."""

import enum

import attrs

from balsamhinge.policy import routes

__all__ = [
    "FailoverAction",
    "PrimaryHealth",
    "choose_successor",
    "find_incomplete",
    "decide_action",
    "find_newer_leader",
    "is_unresponsive_to_most",
    "leads_later_term",
]

# A primary that has not answered the duty holder for longer is replaced.
# This is three times the longest statement of most customers, so that one slow
# statement does not cause a failover.
MAX_UNRESPONSIVE_S = 0.7
# It is replaced only if no other instance has had an answer more recently
# either; gossip messages report this every 0.4 s.
MAX_RESPONSE_AGE_S = 0.9
# Time for which a primary that is no longer listed but still answers is
# kept, beyond the 2 s for which any entry is kept: it is often listed again,
# and it may be used for 7 s in all.
UNLISTED_GRACE_S = 2.5

# A primary that most instances do not reach serves fewer callers than
# another target would. Instances that return from a network partition
# report outdated times for one round of gossip messages, 0.4 s.
MAX_UNRESPONSIVE_SHARE = 0.5
MAX_UNRESPONSIVE_TO_MOST_S = 0.6


class FailoverAction(enum.StrEnum):
    """What to do about a group's primary.

    KEEP it, SWITCH to another target in an orderly way, or REPLACE it at
    once by a failover.
    """

    KEEP = "keep"
    SWITCH = "switch"
    REPLACE = "replace"


@attrs.frozen
class PrimaryHealth:
    """Observations of a group's primary.

    Parameters
    ----------
    listed, leaving : bool
        Whether the platform lists it, and marks it as about to stop.
    unlisted_s : float
        Seconds since the platform stopped listing it.
    unresponsive_s : float
        Seconds for which it has failed to answer this instance.
    last_response_age_s : float
        Seconds since it last answered any instance.
    unresponsive_to_most_s : float
        Seconds for which it has been unresponsive to most instances that
        use it.
    """

    listed: bool
    leaving: bool
    unlisted_s: float
    unresponsive_s: float
    last_response_age_s: float
    unresponsive_to_most_s: float = 0.0


def is_unresponsive_to_most(unanswered, answered):
    """Return whether a primary fails to answer most of its users.

    Parameters
    ----------
    unanswered, answered : int
        Number of instances that it does not answer, and that it answers.
    """
    return unanswered > MAX_UNRESPONSIVE_SHARE * (unanswered + answered)


def decide_action(health):
    """Return the `FailoverAction` for a primary's `PrimaryHealth`."""
    unresponsive = (
        health.unresponsive_s > MAX_UNRESPONSIVE_S
        and health.last_response_age_s > MAX_RESPONSE_AGE_S
    )
    if unresponsive:
        return FailoverAction.REPLACE
    if (
        health.leaving
        or health.unresponsive_to_most_s > MAX_UNRESPONSIVE_TO_MOST_S
    ):
        return FailoverAction.SWITCH
    if not health.listed:
        if health.last_response_age_s > MAX_RESPONSE_AGE_S:
            return FailoverAction.REPLACE
        if health.unlisted_s > UNLISTED_GRACE_S:
            return FailoverAction.SWITCH
    return FailoverAction.KEEP


def choose_successor(reports, avoided):
    """Return the target that should become the primary, or None.

    Parameters
    ----------
    reports : dict of str to TargetReport
        Reports of the targets that answered, by name.
    avoided : set of str
        Targets that must not become the primary: the old one and those
        that are about to stop.

    Returns
    -------
    str or None
        A target that already leads in the newest term, else the one whose
        log has the highest position.
    """
    newest = max((r.term for r in reports.values()), default=0)
    leading = [
        name
        for name, report in reports.items()
        if report.role is routes.TargetRole.PRIMARY
        and report.term == newest
        and name not in avoided
    ]
    if leading:
        return leading[0]
    choices = [name for name in reports if name not in avoided]
    return max(
        choices, key=lambda name: (reports[name].received, name), default=None
    )


def find_incomplete(reports, term):
    """Return the targets whose log has no entry of a term.

    Parameters
    ----------
    reports : dict of str to TargetReport
        Reports of the targets that answered, by name.
    term : int
        Term in which commits have been acknowledged.

    Returns
    -------
    set of str
    """
    return {
        name for name, report in reports.items() if report.received.term < term
    }


def leads_later_term(reports, name, term):
    """Return whether a target leads in a later term than a given one.

    Parameters
    ----------
    reports : dict of str to TargetReport
        Reports of the targets that answered, by name.
    name : str or None
        The target.
    term : int
        The earlier term; 0 if it is not known.
    """
    report = reports.get(name)
    return (
        report is not None
        and report.role is routes.TargetRole.PRIMARY
        and report.term > term > 0
    )


def find_newer_leader(reports, recorded, term):
    """Return another target that leads in a later term than the recorded one.

    Parameters
    ----------
    reports : dict of str to TargetReport
        Reports of the targets that answered, by name.
    recorded : str
        Name of the primary by its record.
    term : int
        Latest term in which it is known to have led; 0 if none is known.

    Returns
    -------
    str or None
    """
    if recorded in reports:
        term = max(term, reports[recorded].term)
    leading = [
        (report.term, name)
        for name, report in reports.items()
        if report.role is routes.TargetRole.PRIMARY
        and name != recorded
        and report.term > term
    ]
    return max(leading)[1] if leading else None
