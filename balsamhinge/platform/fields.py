"""Checks fields of the platform's objects, which others write."""

import re

__all__ = [
    "InvalidField",
    "field",
    "integer",
    "is_word",
    "number",
    "seconds",
    "shown",
    "word",
]

# A caller's line has at most 1 MB; longer words than this do not occur.
MAX_WORD_CHARS = 1024
# Integers that JSON implementations agree on.
MAX_INTEGER = (1 << 53) - 1
MS_PER_S = 1000.0
MAX_SHOWN_CHARS = 80


class InvalidField(ValueError):
    """A field is missing, has another type or is out of range.

    The text quotes no value, as the value may be a secret, or very long.
    """


def is_word(value, max_chars=MAX_WORD_CHARS):
    """Return whether a value can be sent as one word of a message."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= max_chars
        and value.isprintable()
        and " " not in value
    )


def field(item, name, default=None):
    """Return a field of an object, or the default if missing or null."""
    if not isinstance(item, dict):
        raise InvalidField("no object")
    value = item.get(name)
    return default if value is None else value


def word(item, name, max_chars=MAX_WORD_CHARS):
    """Return a field that must be one word."""
    value = field(item, name)
    if not is_word(value, max_chars):
        raise InvalidField(f"{name} is no word")
    return value


def integer(item, name, low, high=MAX_INTEGER, default=None):
    """Return a field that must be an integer in a range."""
    value = field(item, name, default)
    if type(value) is not int or not low <= value <= high:
        raise InvalidField(f"{name} is no integer from {low} to {high}")
    return value


def number(item, name, default=None):
    """Return a field that must be a number from 0, as float.

    Only a default may be infinite.
    """
    value = field(item, name)
    if value is None and default is not None:
        return float(default)
    if type(value) not in (int, float) or not 0 <= value <= MAX_INTEGER:
        raise InvalidField(f"{name} is no number from 0 to {MAX_INTEGER}")
    return float(value)


def seconds(item, name, default_ms):
    """Return a field in milliseconds as seconds."""
    return number(item, name, default_ms) / MS_PER_S


def shown(value):
    """Return a name as it is logged: shortened, and without odd characters."""
    text = value if isinstance(value, str) else type(value).__name__
    return re.sub(r"[^!-~]", "?", text[:MAX_SHOWN_CHARS])
