"""Decodes objects of the platform's store, which others may have written."""

import logbook
import msgspec

from balsamhinge.logs import event

__all__ = ["decode"]

log = logbook.Logger(__name__)


def decode(key, stored, value_type):
    """Return the value of a `StoredObject`.

    Parameters
    ----------
    key : str
        Store key of the object.
    stored : StoredObject
        The object.
    value_type : type
        Type that its JSON has to have.

    Returns
    -------
    object
        None, with a log line, if the object cannot be decoded.
    """
    try:
        return msgspec.json.decode(stored.value, type=value_type)
    except (ValueError, RecursionError) as exc:
        event(
            log.error,
            "store_object_unreadable",
            key=key,
            version=stored.version,
            error=exc,
        )
        return None
