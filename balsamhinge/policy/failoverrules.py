"""Whether a group needs another primary, and which target it should be."""

import enum

import attrs

from balsamhinge.policy import routes

__all__ = [
    "FailoverAction",
    "PrimaryHealth",
    "choose_successor",
    "decide_action",
    "is_unresponsive_to_most",
]

# A primary is given up after so long without any answer to the holder of
# the duty: three times the longest statement of most, so that one slow
# statement does not cost a change.
MAX_UNRESPONSIVE_S = 0.7
# ... while no other instance has heard it for so long, as told by notes
# that come each 0.4 s.
MAX_RESPONSE_AGE_S = 0.9
# A primary whose entry is gone but which answers is kept so long, beyond
# the 2 s for which any entry is kept: it often returns, and work may go
# to it for 7 s in all.
UNLISTED_GRACE_S = 2.5


# A primary that most instances do not reach serves fewer callers than
# another target would. Instances that come back from a cut tell old news
# for one round of notes, 0.4 s.
MAX_UNRESPONSIVE_SHARE = 0.5
MAX_UNRESPONSIVE_TO_MOST_S = 0.6


class FailoverAction(enum.StrEnum):
    """What is to be done about a group's primary."""

    KEEP = "keep"
    SWITCH = "switch"
    REPLACE = "replace"


@attrs.frozen
class PrimaryHealth:
    """What is known of a group's primary.

    Parameters
    ----------
    listed, leaving : bool
        Whether the platform lists it, and says that it is about to stop.
    unlisted_s : float
        Seconds since it is not listed any more.
    unresponsive_s : float
        Seconds for which it has failed to answer this instance.
    last_response_age_s : float
        Seconds since it answered any instance.
    unresponsive_to_most_s : float
        Seconds for which it has been silent to most instances that use it.
    """

    listed: bool
    leaving: bool
    unlisted_s: float
    unresponsive_s: float
    last_response_age_s: float
    unresponsive_to_most_s: float = 0.0


def is_unresponsive_to_most(silent, hearing):
    """Return whether a primary is silent to most instances that use it.

    Parameters
    ----------
    silent, hearing : int
        Instances that it does not answer, and that it does.
    """
    return silent > MAX_UNRESPONSIVE_SHARE * (silent + hearing)


def decide_action(evidence):
    """Return the `FailoverAction` on a group's primary."""
    silent = (
        evidence.unresponsive_s > MAX_UNRESPONSIVE_S
        and evidence.last_response_age_s > MAX_RESPONSE_AGE_S
    )
    if silent:
        return FailoverAction.REPLACE
    if (
        evidence.leaving
        or evidence.unresponsive_to_most_s > MAX_UNRESPONSIVE_TO_MOST_S
    ):
        return FailoverAction.SWITCH
    if not evidence.listed:
        if evidence.last_response_age_s > MAX_RESPONSE_AGE_S:
            return FailoverAction.REPLACE
        if evidence.unlisted_s > UNLISTED_GRACE_S:
            return FailoverAction.SWITCH
    return FailoverAction.KEEP


def choose_successor(reports, avoided):
    """Return the target that should lead, or None.

    Parameters
    ----------
    reports : dict of str to TargetReport
        Of the targets that answered.
    avoided : set of str
        Targets that should not lead: the old primary, those that leave.

    Returns
    -------
    str or None
        A target that already leads the newest term, else the one whose
        log reaches furthest.
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
