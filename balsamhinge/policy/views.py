"""Group views, and digests to find views that differ."""

import attrs

from balsamhinge.policy import hashing

__all__ = [
    "BUCKET_COUNT",
    "GroupView",
    "bucket_digests",
    "bucket_of",
    "supersedes",
    "toggle_in_digests",
]

BUCKET_COUNT = 64


@attrs.frozen
class GroupView:
    """An instance's view of a group's primary.

    Parameters
    ----------
    group : str
        Name of the group.
    term : int
        Term under which `primary` leads.
    primary : str
        Name of the target that leads, or "".
    voters : list of str
        Targets of which a majority has to confirm writes in that term.
    """

    group: str
    term: int = 0
    primary: str = ""
    voters: list[str] = attrs.Factory(list)


def supersedes(view, held):
    """Return whether `view` replaces `held`, which may be None.

    The view of the higher term wins, as terms never decrease.
    """
    return held is None or view.term > held.term


def bucket_of(group):
    """Return the bucket of a group in the digest."""
    return hashing.hash_text(group) % BUCKET_COUNT


def bucket_digests(views):
    """Return one digest for each bucket of groups.

    Parameters
    ----------
    views : iterable of GroupView
        All views that an instance holds.

    Returns
    -------
    list of int
        Equal for instances that hold equal terms; the order of `views`
        does not matter.
    """
    digests = [0] * BUCKET_COUNT
    for view in views:
        toggle_in_digests(digests, view)
    return digests


def toggle_in_digests(digests, view):
    """Add a view to `digests`, or remove it if it is included.

    Parameters
    ----------
    digests : list of int
        Changed in place.
    view : GroupView or None
        None changes nothing.
    """
    if view is not None:
        entry = f"{view.group}/{view.term}"
        digests[bucket_of(view.group)] ^= hashing.hash_text(entry)
