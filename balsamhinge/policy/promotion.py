"""Which target leads next, and under which term."""

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
    """The outcome of a look at a group.

    Parameters
    ----------
    term : int
        Highest term seen.
    primary : str
        The target that leads at it.
    voters : list of str
        Whose majority confirms.
    """

    term: int
    primary: str
    voters: list[str]


def latest_voters(statuses, fallback):
    """Return the latest voters that any target knows.

    Parameters
    ----------
    statuses : iterable of TargetStatus
        Answers of some targets.
    fallback : list of str
        Voters if none has answered.

    Returns
    -------
    list of str
    """
    latest = max(statuses, key=lambda s: s.voters_term, default=None)
    return latest.voters if latest else fallback


def next_term(statuses, known):
    """Return a term above every one that has been seen."""
    return max([known, *(status.term for status in statuses)]) + 1


def choose_candidate(statuses, voters, avoided, preferred=""):
    """Return the fenced target with the highest log.

    Parameters
    ----------
    statuses : list of TargetStatus
        Fenced targets, a majority of the voters.
    voters : list of str
        The voters in force.
    avoided : set of str
        Leaving targets.
    preferred : str
        Taken if no other holds more.

    Returns
    -------
    TargetStatus

    Notes
    -----
    Every confirmed entry is held by a majority, which shares a target
    with any fenced majority; the highest (term, offset) among these
    therefore holds every confirmed entry. Where the staying targets are
    a majority by themselves, the leaving ones are not needed.
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
    """Return the leader that the answers agree on, or None.

    Parameters
    ----------
    statuses : list of TargetStatus
        Answers of targets.

    Returns
    -------
    Choice or None
        None if no target leads at the highest term, or if no majority
        holds the first entry of that term.

    Notes
    -----
    The first entry names the voters. Waiting for a majority of them
    before anybody acts under the new list is what makes a change by one
    target at a time safe [1]_.

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
    """Return how long the proposer at `place` waits before it acts.

    Parameters
    ----------
    place : int
        Its place in the order of proposers, from 0.
    rng : random.Random
        Source of jitter.

    Returns
    -------
    float
        Seconds.
    """
    return place * PROPOSAL_DELAY_S + rng.uniform(0, PROPOSAL_DELAY_S / 3)


def holds_first_entry(status, term):
    """Return whether a target holds the first entry of its `term`."""
    return status.term == term and status.voters_term == term
