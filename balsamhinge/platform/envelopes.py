"""Decodes what the platform's store adds to the objects it holds."""

import attrs

from balsamhinge.platform import fields
from balsamhinge.policy import revisions

__all__ = [
    "StoredObject",
    "decode_event",
    "decode_list",
    "decode_number",
    "decode_object",
    "response_parts",
]


@attrs.frozen
class StoredObject:
    """An object of the store.

    Parameters
    ----------
    name : str
        Name, of any characters.
    number : int
        Revision of its last change, as the store counts it.
    spec : object
        Its content; `bodies.UNREADABLE` if that cannot be decoded.
    """

    name: str
    number: int
    spec: object


def decode_number(item, name):
    """Return a field that holds a revision, as the store counts it."""
    return fields.integer(item, name, 0, revisions.MAX_NUMBER)


def decode_object(item):
    """Return the `StoredObject` in a response.

    Raises
    ------
    InvalidField
        If the name or the revision cannot be decoded.
    """
    meta = fields.field(item, "meta")
    name = fields.field(meta, "name")
    if not isinstance(name, str) or not name:
        raise fields.InvalidField("name is no text")
    return StoredObject(
        name, decode_number(meta, "revision"), item.get("spec")
    )


def decode_event(item):
    """Return the `StoredObject` of a change, and whether it was deleted."""
    deleted = fields.field(item, "deleted")
    if not isinstance(deleted, bool):
        raise fields.InvalidField("deleted is neither true nor false")
    return decode_object(fields.field(item, "object")), deleted


def decode_list(body, name):
    """Return the list in a response."""
    items = fields.field(body, name)
    if not isinstance(items, list):
        raise fields.InvalidField(f"{name} is no list")
    return items


def response_parts(spec_parts=None):
    """Return the parts of a response that may be unreadable on their own.

    Parameters
    ----------
    spec_parts : dict or list, optional
        Those of the content of each object, see `bodies.decode`.
    """
    stored = {"meta": {}, "spec": spec_parts}
    return {"items": [stored], "events": [{"object": stored}], **stored}
