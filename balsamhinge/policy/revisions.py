"""Revisions of the platform's store, ordered across its incarnations."""

__all__ = [
    "MAX_INCARNATION",
    "MAX_NUMBER",
    "compose",
    "describe",
    "incarnation_of",
    "number_of",
]

# A store that is restored from an older copy begins a new incarnation, in
# which it gives out the later numbers again. The incarnation takes the
# higher bits of a revision, so that any two revisions can be compared.
NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# Messages between instances carry revisions as signed integers of 64 bits.
MAX_INCARNATION = (1 << (63 - NUMBER_BITS)) - 1


def compose(incarnation, number):
    """Return the revision of a number in an incarnation of the store.

    Parameters
    ----------
    incarnation : int
        Number of restores before; 0 for a store that was never restored.
    number : int
        Revision as the store counts it.

    Returns
    -------
    int
    """
    return (incarnation << NUMBER_BITS) | number


def incarnation_of(revision):
    """Return the incarnation of the store that gave out a revision."""
    return revision >> NUMBER_BITS


def number_of(revision):
    """Return a revision as the store counts it."""
    return revision & MAX_NUMBER


def describe(revision):
    """Return a revision as text: "31", or "2.31" after two restores."""
    incarnation = incarnation_of(revision)
    number = str(number_of(revision))
    return f"{incarnation}.{number}" if incarnation else number
