"""Majorities of a group's voters."""

import attrs

from balsamhinge.policy import positions

__all__ = ["MajorityWaiter", "has_majority", "majority_size", "next_voters"]


def majority_size(voters):
    """Return how many of `voters` are a majority."""
    return len(voters) // 2 + 1


def has_majority(voters, holders):
    """Return whether `holders` contain a majority of `voters`."""
    held = sum(1 for voter in voters if voter in holders)
    return held >= majority_size(voters)


def next_voters(voters, wanted):
    """Return the next list of voters on the way to `wanted`.

    Parameters
    ----------
    voters : list of str
        The list in force.
    wanted : list of str
        The list that the configuration asks for.

    Returns
    -------
    list of str
        A list that differs from `voters` by at most one target: majorities
        of lists that differ by more need not overlap.
    """
    leaving = [voter for voter in voters if voter not in wanted]
    if leaving and len(voters) > 1:
        return [voter for voter in voters if voter != leaving[0]]
    joining = [voter for voter in wanted if voter not in voters]
    return [*voters, *joining[:1]]


@attrs.define(eq=False)
class MajorityWaiter:
    """A request that waits until a majority holds a log position.

    Parameters
    ----------
    position : LogPosition
        Position that a majority must hold.
    created : float
        Loop time in seconds when the wait began.
    proves_leadership : bool
        Whether only answers count that were asked for after `created`:
        these prove that the primary still led at that time.
    holders : set of str
        Targets that are known to hold the position.
    """

    position: positions.LogPosition
    created: float
    proves_leadership: bool
    holders: set[str]

    def count(self, target, received, asked):
        """Add a target to the holders if its answer proves that it is one.

        Parameters
        ----------
        target : str
            Target that answered under the primary's own term.
        received : LogPosition
            Last entry of its log.
        asked : float
            Loop time in seconds when it was asked.
        """
        fresh = not self.proves_leadership or asked >= self.created
        if fresh and received >= self.position:
            self.holders.add(target)
