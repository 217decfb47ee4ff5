"""Majorities of a group's voters, and what they confirm."""

import attrs

from balsamhinge.policy import positions

__all__ = ["Waiter", "has_majority", "majority_size", "next_voters"]


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
        The list that the operators' text asks for.

    Returns
    -------
    list of str
        It differs from `voters` by at most one target, because only
        neighbouring lists have majorities that always share a target.
    """
    leaving = [voter for voter in voters if voter not in wanted]
    if leaving and len(voters) > 1:
        return [voter for voter in voters if voter != leaving[0]]
    joining = [voter for voter in wanted if voter not in voters]
    return [*voters, *joining[:1]]


@attrs.define(eq=False)
class Waiter:
    """A request that waits for a majority.

    Parameters
    ----------
    position : LogPosition
        What a majority must hold.
    created : float
        Loop time in seconds when the wait began.
    leads : bool
        Whether answers must have been asked for after `created`, which
        proves that the primary still led at that time.
    holders : set of str
        Targets that are known to hold it.
    """

    position: positions.LogPosition
    created: float
    leads: bool
    holders: set[str]

    def count(self, target, received, asked):
        """Take a target's answer into account.

        Parameters
        ----------
        target : str
            Who answered, under the primary's own term.
        received : LogPosition
            What it holds.
        asked : float
            Loop time in seconds when it was asked.
        """
        fresh = not self.leads or asked >= self.created
        if fresh and received >= self.position:
            self.holders.add(target)
