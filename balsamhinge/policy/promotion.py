"""Choice of a group's next primary and its term."""

import attrs

from balsamhinge.policy import majorities

__all__ = [
    "GroupLeader",
    "choose_candidate",
    "find_leader",
    "holds_first_entry",
    "latest_voters",
    "next_term",
    "proposal_delay_s",
]

PROPOSAL_DELAY_S = 0.15


@attrs.frozen
class GroupLeader:
    """The primary of a group that a majority follows.

    Parameters
    ----------
    term : int
        Highest term seen.
    primary : str
        Target that leads in that term.
    voters : list of str
        Targets of which a majority has to confirm writes.
    """

    term: int
    primary: str
    voters: list[str]


def latest_voters(statuses, fallback):
    """Return the latest list of voters that any target knows.

    Parameters
    ----------
    statuses : iterable of TargetStatus
        Statuses of the targets that answered.
    fallback : list of str
        Result if no target has answered.

    Returns
    -------
    list of str
    """
    latest = max(statuses, key=lambda s: s.voters_term, default=None)
    return latest.voters if latest else fallback


def next_term(statuses, known_term):
    """Return a term above all terms seen.

    Parameters
    ----------
    statuses : iterable of TargetStatus
        Statuses of the targets that answered.
    known_term : int
        Highest term known so far.
    """
    return max([known_term, *(status.term for status in statuses)]) + 1


def choose_candidate(statuses, voters, avoided, preferred=""):
    """Return the fenced target with the highest log.

    Parameters
    ----------
    statuses : list of TargetStatus
        Fenced targets, a majority of the voters.
    voters : list of str
        The voters in force.
    avoided : set of str
        Targets that are about to stop.
    preferred : str
        Target to choose if no other has a longer log, or "".

    Returns
    -------
    TargetStatus

    Notes
    -----
    Every confirmed entry is held by a majority, which shares a target
    with any fenced majority; the target with the highest (term, offset)
    among these therefore holds every confirmed entry. If the targets that
    stay are a majority, the ones about to stop are not considered.
    """
    staying = [s for s in statuses if s.name not in avoided]
    names = {status.name for status in staying}
    if majorities.has_majority(voters, names):
        statuses = staying
    return max(
        statuses,
        key=lambda status: (
            status.received,
            status.name not in avoided,
            status.name == preferred,
            status.name,
        ),
    )


def find_leader(statuses):
    """Return the primary that a majority of its voters follows.

    Parameters
    ----------
    statuses : list of TargetStatus
        Statuses of the targets that answered.

    Returns
    -------
    Choice or None
        None if no target leads in the highest term, or if no majority
        holds the first entry of that term.

    Notes
    -----
    The first entry of a term names the voters. Changing them by one target
    at a time is safe only if a majority of the new list holds this entry
    before any instance acts under that list [1]_.

    References
    ----------
    .. [1] D. Ongaro, "Consensus: bridging theory and practice", Stanford
       University, 2014, section 4.1, with the correction of 2015.
    """
    if not statuses:
        return None
    term = max(status.term for status in statuses)
    leaders = [s for s in statuses if s.role == "primary" and s.term == term]
    if not leaders:
        return None
    leader = leaders[0]
    holders = {
        status.name for status in statuses if holds_first_entry(status, term)
    }
    if not majorities.has_majority(leader.voters, holders):
        return None
    return GroupLeader(term, leader.name, leader.voters)


def proposal_delay_s(place, rng):
    """Return the delay before a proposer acts, to avoid rival proposals.

    Parameters
    ----------
    place : int
        Rank of the proposer, from 0.
    rng : random.Random
        Source of jitter.

    Returns
    -------
    float
        Delay in seconds.
    """
    return place * PROPOSAL_DELAY_S + rng.uniform(0, PROPOSAL_DELAY_S / 3)


def holds_first_entry(status, term):
    """Return whether a target holds the first log entry of `term`."""
    return status.term == term and status.voters_term == term
