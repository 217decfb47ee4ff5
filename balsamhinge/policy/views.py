"""What an instance believes of a group, and how beliefs are merged."""

import attrs

from balsamhinge.policy import hashing

__all__ = [
    "BUCKETS",
    "GroupView",
    "bucket_digests",
    "bucket_of",
    "newer",
    "toggle",
]

BUCKETS = 64


@attrs.frozen
class GroupView:
    """Who leads a group.

    Parameters
    ----------
    group : str
        Its name.
    term : int
        Term under which `primary` leads.
    primary : str
        The target.
    voters : list of str
        Targets whose majority confirms under that term.
    """

    group: str
    term: int = 0
    primary: str = ""
    voters: list[str] = attrs.Factory(list)


def newer(view, held):
    """Return whether `view` replaces `held`; terms only go up."""
    return held is None or view.term > held.term


def bucket_of(group):
    """Return the bucket of a group in the digest."""
    return hashing.hash_text(group) % BUCKETS


def bucket_digests(views):
    """Return one hash for each bucket of views.

    Parameters
    ----------
    views : iterable of GroupView
        All that an instance holds.

    Returns
    -------
    list of int
        Equal for instances that hold equal terms, whatever the order.
    """
    digests = [0] * BUCKETS
    for view in views:
        toggle(digests, view)
    return digests


def toggle(digests, view):
    """Add a view to digests, or take it out again; None changes nothing."""
    if view is not None:
        entry = f"{view.group}/{view.term}"
        digests[bucket_of(view.group)] ^= hashing.hash_text(entry)
