"""Positions in a group's log and comparisons of them."""

import attrs

__all__ = ["LogPosition", "ORIGIN", "covers", "highest"]


@attrs.frozen(order=True)
class LogPosition:
    """The position of an entry in a group's log.

    Parameters
    ----------
    term : int
        Term of the primary that wrote the entry.
    offset : int
        Number of the entry, counted from 1 over all terms.

    Examples
    --------
    >>> LogPosition(2, 5) > LogPosition(1, 9)
    True
    """

    term: int = 0
    offset: int = 0

    def __str__(self):
        return f"{self.term}.{self.offset}"


ORIGIN = LogPosition()


def covers(held, needed):
    """Return whether a log that ends at `held` contains `needed`.

    Parameters
    ----------
    held : LogPosition
        Last entry of the target's log.
    needed : LogPosition
        A confirmed entry.

    Returns
    -------
    bool

    Notes
    -----
    A primary of a later term starts from a log that holds every
    confirmed entry, so a later last term together with at least the
    same offset implies that the entry is there.
    """
    return held.term >= needed.term and held.offset >= needed.offset


def highest(positions):
    """Return the highest of `positions`, or `ORIGIN` for none."""
    return max(positions, default=ORIGIN)
