"""Differences between two versions of the fleet's configuration."""

import enum

import attrs

from balsamhinge.configuration import tabledocuments

__all__ = ["Change", "Difference", "check_version", "compare"]

KEYS_ATTRIBUTE = "key_digests"


class Change(enum.StrEnum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Difference:
    """One entry that differs between two versions.

    Parameters
    ----------
    change : Change
        What happened to the entry.
    kind : str
        "route", "group" or "customer".
    name : str
        Name of the entry.
    fields : dict of str to tuple
        For a changed entry, the old and the new value of each attribute
        that differs, except keys.
    keys_added, keys_removed : int
        Number of keys; neither keys nor digests are shown.
    """

    change: Change
    kind: str
    name: str
    fields: dict[str, tuple] = attrs.Factory(dict)
    keys_added: int = 0
    keys_removed: int = 0


def compare(old, new):
    """Return the differences from one `Document` to another.

    Where a document has several entries of one name, the one is compared
    that comes into force: the last route or group, and the first customer.
    """
    return [
        *_compare_entries("route", "database", old.routes, new.routes),
        *_compare_entries("group", "group", old.groups, new.groups),
        *_compare_entries(
            "customer",
            "name",
            reversed(old.customers),
            reversed(new.customers),
        ),
    ]


def check_version(old, new, differences):
    """Return the problems of replacing `old` by `new`."""
    if not differences or new.version > old.version:
        return []
    return [
        tabledocuments.Problem.error(
            "version",
            f"is {new.version}, and {old.version} is in force; only a higher "
            "version comes into force",
        )
    ]


def _compare_entries(kind, key, old_entries, new_entries):
    old = {getattr(entry.value, key): entry.value for entry in old_entries}
    new = {getattr(entry.value, key): entry.value for entry in new_entries}
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield Difference(Change.ADDED, kind, name)
        elif name not in new:
            yield Difference(Change.REMOVED, kind, name)
        elif old[name] != new[name]:
            yield _compare_values(kind, name, old[name], new[name])


def _compare_values(kind, name, old, new):
    changed = {
        attribute.name: (
            getattr(old, attribute.name),
            getattr(new, attribute.name),
        )
        for attribute in attrs.fields(type(new))
        if getattr(old, attribute.name) != getattr(new, attribute.name)
    }
    before, after = map(set, changed.pop(KEYS_ATTRIBUTE, ((), ())))
    return Difference(
        Change.CHANGED,
        kind,
        name,
        changed,
        keys_added=len(after - before),
        keys_removed=len(before - after),
    )
