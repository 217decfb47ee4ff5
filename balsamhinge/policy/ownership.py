"""Which instance cares for a target: rendezvous hashing.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import bisect

import attrs

from balsamhinge.policy import hashing

__all__ = ["Member", "OwnerRankings", "is_large_fleet", "rank_members"]

# In a fleet of more, what all do with all grows out of hand: instances
# share connections, news and readings of the store through a few.
MAX_SMALL_FLEET_INSTANCES = 16


@attrs.frozen
class Member:
    """One instance.

    Parameters
    ----------
    name, address, data_centre : str
        Name, address for other instances, and place.
    leaving : bool
        Whether it takes no new work.
    """

    name: str
    address: str
    data_centre: str
    leaving: bool = False


def is_large_fleet(instances):
    """Return whether so many instances share through a few of them."""
    return instances > MAX_SMALL_FLEET_INSTANCES


def weight(key, name):
    """Return how strongly a member is preferred for a key."""
    return hashing.hash_text(f"{key}/{name}")


def rank_members(members, key):
    """Return `members` in order of preference for `key`.

    Parameters
    ----------
    members : iterable of Member
        Candidates.
    key : str
        What is to be placed.

    Returns
    -------
    list of Member
        Every instance computes the same order, and the loss of a member
        moves only the keys that it came first for.
    """
    return sorted(
        members, key=lambda member: weight(key, member.name), reverse=True
    )


class OwnerRankings:
    """The order of members for each target that was asked for.

    Notes
    -----
    A change of members is worked into the orders that are kept. Ranking
    anew for each of thousands of targets takes seconds.
    """

    def __init__(self):
        self._orders = {}
        self._members = {}

    def replace_members(self, members):
        """Work a new list of members into the orders.

        Parameters
        ----------
        members : dict of str to Member
            By name.
        """
        gone = [
            name
            for name, member in self._members.items()
            if members.get(name) != member
        ]
        come = [
            member
            for name, member in members.items()
            if self._members.get(name) != member
        ]
        self._members = dict(members)
        for (target, centre), order in self._orders.items():
            if gone:
                order[:] = [pair for pair in order if pair[1] not in gone]
            for member in come:
                if member.data_centre == centre:
                    pair = -weight(target, member.name), member.name
                    bisect.insort(order, pair)

    def local_names(self, target, data_centre):
        """Return the names of a data centre's members, best first."""
        order = self._orders.get((target, data_centre))
        if order is None:
            order = sorted(
                (-weight(target, name), name)
                for name, member in self._members.items()
                if member.data_centre == data_centre
            )
            self._orders[target, data_centre] = order
        return [name for _weight, name in order]

    def remote_names(self, target, data_centre):
        """Return the names of all other members, best first.

        They are needed only while nobody of the target's own data centre
        answers, so their order is not kept.
        """
        others = [
            member
            for member in self._members.values()
            if member.data_centre != data_centre
        ]
        return [member.name for member in rank_members(others, target)]
