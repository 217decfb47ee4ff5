"""Tree along which an update is passed on to every instance."""

import bisect

import attrs

__all__ = ["Branch", "MAX_BRANCHES", "split_into_branches"]

MAX_BRANCHES = 8


@attrs.frozen
class Branch:
    """A range of instances, one of which passes the update on.

    Parameters
    ----------
    names : list of str
        Instance names, sorted; the first one that answers passes the
        update on to the others.
    """

    names: list[str]

    @property
    def first(self):
        """First name of the range."""
        return self.names[0]

    @property
    def last(self):
        """Last name of the range."""
        return self.names[-1]


def split_into_branches(names, first="", last="", fanout=MAX_BRANCHES):
    """Split a range of names into branches of equal size.

    Parameters
    ----------
    names : list of str
        All live instances but the sender, sorted.
    first, last : str
        Bounds of the range, inclusive; "" for no bound.
    fanout : int
        Maximum number of branches.

    Returns
    -------
    list of Branch

    Examples
    --------
    >>> [b.names for b in branches(["a", "b", "c"], fanout=2)]
    [['a', 'b'], ['c']]
    """
    start = bisect.bisect_left(names, first) if first else 0
    end = bisect.bisect_right(names, last) if last else len(names)
    chosen = names[start:end]
    size = -(-len(chosen) // fanout) or 1
    return [
        Branch(chosen[at : at + size]) for at in range(0, len(chosen), size)
    ]
