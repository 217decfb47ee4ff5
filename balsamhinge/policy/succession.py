"""Whether a group needs another primary, and which target it should be."""

import enum

import attrs

from balsamhinge.policy import routes

__all__ = [
    "Evidence",
    "Verdict",
    "choose_successor",
    "is_spread",
    "judge",
]

# A primary is given up after so long without any answer to the holder of
# the duty: three times the longest statement of most, so that one slow
# statement does not cost a change.
SILENT_S = 0.7
# ... while no other instance has heard it for so long, as told by notes
# that come each 0.4 s.
HEARD_S = 0.9
# A primary whose entry is gone but which answers is kept so long, beyond
# the 2 s for which any entry is kept: it often returns, and work may go
# to it for 7 s in all.
GONE_HEARD_S = 2.5


# A primary that most instances do not reach serves fewer callers than
# another target would. Instances that come back from a cut tell old news
# for one round of notes, 0.4 s.
MOST_SILENT_SHARE = 0.5
SPREAD_S = 0.6


class Verdict(enum.StrEnum):
    """What is to be done about a group's primary."""

    KEEP = "keep"
    SWITCH = "switch"
    REPLACE = "replace"


@attrs.frozen
class Evidence:
    """What is known of a group's primary.

    Parameters
    ----------
    listed, leaving : bool
        Whether the platform lists it, and says that it is about to stop.
    gone_s : float
        Seconds since it is not listed any more.
    silent_s : float
        Seconds for which it has failed to answer this instance.
    heard_s : float
        Seconds since it answered any instance.
    spread_s : float
        Seconds for which it has been silent to most instances that use it.
    """

    listed: bool
    leaving: bool
    gone_s: float
    silent_s: float
    heard_s: float
    spread_s: float = 0.0


def is_spread(silent, hearing):
    """Return whether a primary is silent to most instances that use it.

    Parameters
    ----------
    silent, hearing : int
        Instances that it does not answer, and that it does.
    """
    return silent > MOST_SILENT_SHARE * (silent + hearing)


def judge(evidence):
    """Return the `Verdict` on a group's primary."""
    silent = evidence.silent_s > SILENT_S and evidence.heard_s > HEARD_S
    if silent:
        return Verdict.REPLACE
    if evidence.leaving or evidence.spread_s > SPREAD_S:
        return Verdict.SWITCH
    if not evidence.listed:
        if evidence.heard_s > HEARD_S:
            return Verdict.REPLACE
        if evidence.gone_s > GONE_HEARD_S:
            return Verdict.SWITCH
    return Verdict.KEEP


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
