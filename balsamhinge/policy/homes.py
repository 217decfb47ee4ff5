"""Which instance cares for a target: rendezvous hashing.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import attrs

from balsamhinge.policy import hashing

__all__ = ["Member", "home_order", "rank"]


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


def rank(members, key):
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
        members,
        key=lambda member: hashing.hash_text(f"{key}/{member.name}"),
        reverse=True,
    )


def home_order(members, target, data_centre):
    """Return the instances that may care for a target, best first.

    Parameters
    ----------
    members : iterable of Member
        Live instances.
    target, data_centre : str
        The target and where it stands.

    Returns
    -------
    list of Member
        Those of the target's own data centre come first: whoever is cut
        off from that data centre can not reach the target either.
    """
    staying = [member for member in members if not member.leaving]
    near = [m for m in staying if m.data_centre == data_centre]
    far = [m for m in staying if m.data_centre != data_centre]
    return rank(near, target) + rank(far, target)
