"""A tree along which a change reaches every instance."""

import bisect

import attrs

__all__ = ["FANOUT", "Branch", "branches"]

FANOUT = 8


@attrs.frozen
class Branch:
    """A range of instance names that one of them passes a change on to.

    Parameters
    ----------
    names : list of str
        In order; the first that answers takes care of the others.
    """

    names: list[str]

    @property
    def first(self):
        """Return the first name of the range."""
        return self.names[0]

    @property
    def last(self):
        """Return the last name of the range."""
        return self.names[-1]


def branches(names, first="", last="", fanout=FANOUT):
    """Split a range of names into branches.

    Parameters
    ----------
    names : list of str
        All live instances but the sender, sorted.
    first, last : str
        Ends of the range; "" for no end.
    fanout : int
        Most branches.

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
