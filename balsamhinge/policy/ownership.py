"""Ownership of targets by instances, chosen by rendezvous hashing.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import bisect

import attrs

from balsamhinge.policy import hashing

__all__ = ["Member", "OwnerRankings", "is_large_fleet", "rank_members"]

# In a larger fleet traffic between all pairs would grow too much, so a few
# instances share connections, updates and store reads with the others.
MAX_SMALL_FLEET_INSTANCES = 16


@attrs.frozen
class Member:
    """An instance as a member of the fleet.

    Parameters
    ----------
    name, address, data_centre : str
        Name, address for other instances, and data centre.
    leaving : bool
        Whether it is about to stop and accepts no new work.
    """

    name: str
    address: str
    data_centre: str
    leaving: bool = False


def is_large_fleet(instances):
    """Return whether a fleet of this size shares work through a few."""
    return instances > MAX_SMALL_FLEET_INSTANCES


def _weight(key, name):
    return hashing.hash_text(f"{key}/{name}")


def rank_members(members, key):
    """Return `members` in order of preference for `key`.

    Parameters
    ----------
    members : iterable of Member
        Candidates.
    key : str
        Name of what is assigned, such as a target.

    Returns
    -------
    list of Member
        The order is equal on every instance, and the loss of a member
        moves only the keys for which it came first.
    """
    return sorted(
        members, key=lambda member: _weight(key, member.name), reverse=True
    )


class OwnerRankings:
    """Members in order of preference as owners, for each target.

    Notes
    -----
    The rankings of local members are kept and updated when members change:
    ranking them again for thousands of targets takes seconds.
    """

    def __init__(self):
        self._orders = {}
        self._members = {}

    def replace_members(self, members):
        """Update the rankings for a new set of members.

        Parameters
        ----------
        members : dict of str to Member
            Members by name.
        """
        removed = [
            name
            for name, member in self._members.items()
            if members.get(name) != member
        ]
        added = [
            member
            for name, member in members.items()
            if self._members.get(name) != member
        ]
        self._members = dict(members)
        for (target, centre), order in self._orders.items():
            if removed:
                order[:] = [pair for pair in order if pair[1] not in removed]
            for member in added:
                if member.data_centre == centre:
                    pair = -_weight(target, member.name), member.name
                    bisect.insort(order, pair)

    def local_names(self, target, data_centre):
        """Return the names of members in a data centre, best first."""
        order = self._orders.get((target, data_centre))
        if order is None:
            order = sorted(
                (-_weight(target, name), name)
                for name, member in self._members.items()
                if member.data_centre == data_centre
            )
            self._orders[target, data_centre] = order
        return [name for _sort_key, name in order]

    def remote_names(self, target, data_centre):
        """Return the names of members elsewhere, best first.

        This order is not kept, as it is needed only while no instance in
        the target's own data centre answers.
        """
        others = [
            member
            for member in self._members.values()
            if member.data_centre != data_centre
        ]
        return [member.name for member in rank_members(others, target)]
