"""Target entries of a store that was restored from an older copy."""

import attrs

__all__ = ["reconcile_entry"]


def reconcile_entry(known, listed):
    """Return the entry to use until a target has written again.

    Parameters
    ----------
    known : ServingTarget
        Latest entry from before the restore.
    listed : ServingTarget
        Entry of the same name in the restored store.

    Returns
    -------
    ServingTarget
        The listed entry, unless it is of an earlier life of the target or
        lacks that the target has announced its end.
    """
    if listed.born_ms < known.born_ms:
        return known
    if known.leaving and listed.born_ms == known.born_ms:
        return attrs.evolve(listed, leaving=True)
    return listed
