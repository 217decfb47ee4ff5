"""Which target leads next, and under which term."""

import attrs

from balsamhinge.policy import majorities

__all__ = [
    "Choice",
    "agreed_voters",
    "choose_candidate",
    "find_leader",
    "holds",
    "next_term",
    "stagger_s",
]

STAGGER_S = 0.15


@attrs.frozen
class Choice:
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


def agreed_voters(statuses, fallback):
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
    holders = {status.name for status in statuses if holds(status, term)}
    if not majorities.has_majority(leader.voters, holders):
        return None
    return Choice(term, leader.name, leader.voters)


def stagger_s(place, rng):
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
    return place * STAGGER_S + rng.uniform(0, STAGGER_S / 3)


def holds(status, term):
    """Return whether a target holds the first entry of its `term`."""
    return status.term == term and status.voters_term == term
