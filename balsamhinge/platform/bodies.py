"""Decodes JSON bodies, of which single values may be unreadable."""

import enum
import math
import re

import msgspec

__all__ = ["UNREADABLE", "decode"]

# Levels at which an unreadable value is split into its members: the body,
# its list, an event, an object, its spec, a list in it and an entry of that.
MAX_SPLIT_LEVELS = 7
# Of these, the levels that the store adds to what is stored. Below them, a
# value of more than this depth is not split.
STORE_LEVELS = 4
MAX_STORED_DEPTH = 64

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_KEY = re.compile(rb"\s*+(" + _STRING + rb")\s*+:", re.DOTALL)


def _compile_token(stops):
    """Return a pattern that skips to a stop, bracket or unclosed string."""
    plain = rb'[^"\[\]{}' + stops + rb"]*+"
    skipped = plain + rb"(?:" + _STRING + plain + rb")*+"
    found = rb'([\[{]+|[\]}]+|"|\Z'
    found += rb"|" + stops + rb")" if stops else rb")"
    return re.compile(skipped + found, re.DOTALL)


_MEMBER_TOKEN = _compile_token(b",")
_NESTED_TOKEN = _compile_token(b"")


class _Marker(enum.Enum):
    UNREADABLE = "unreadable"


# Takes the place of a value that cannot be decoded. It has the type of no
# field, so that whoever checks a field's type refuses it.
UNREADABLE = _Marker.UNREADABLE


def decode(data):
    """Decode a JSON body.

    Parameters
    ----------
    data : bytes or bytearray
        The body.

    Returns
    -------
    object
        The value. Members that are nested too deeply, have a number out of
        range or are no valid text are `UNREADABLE`; members whose key is
        unreadable are left out. All others are as they would be without
        them.

    Raises
    ------
    ValueError
        If the body as a whole is unreadable.
    """
    value = _decode_value(bytes(data), MAX_SPLIT_LEVELS)
    if value is UNREADABLE:
        raise ValueError(f"unreadable body of {len(data)} bytes")
    return value


def _decode_value(data, levels):
    """Return a value, `UNREADABLE` as a whole or in some of its members."""
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError):
        pass
    data = data.strip()
    if not levels or data[:1] not in (b"{", b"["):
        return UNREADABLE
    try:
        parts = _split_members(data, _max_depth(levels))
    except ValueError:
        return UNREADABLE
    if data.startswith(b"["):
        return [_decode_value(part, levels - 1) for part in parts]
    return dict(_decode_members(parts, levels - 1))


def _decode_members(parts, levels):
    """Yield the keys and values of an object's members."""
    for part in parts:
        key = _KEY.match(part)
        name = _decode_value(key[1], 0) if key else UNREADABLE
        if name is not UNREADABLE:
            yield name, _decode_value(part[key.end() :], levels)


def _max_depth(levels):
    """Return the depth up to which a value is split, by levels left."""
    stored = levels <= MAX_SPLIT_LEVELS - STORE_LEVELS
    return MAX_STORED_DEPTH if stored else math.inf


def _split_members(data, max_depth):
    """Return the members of an object or array, without decoding them.

    Only strings and brackets are told apart, so that neither the depth of a
    member nor its other content matters.

    Parameters
    ----------
    data : bytes
        The object or array, without blanks around it.
    max_depth : float
        Accepted depth of brackets.

    Returns
    -------
    list of bytes

    Raises
    ------
    ValueError
        If it is deeper, or if the brackets or a string are not closed at the
        end of the data.
    """
    parts, depth, position, start = [], 1, 1, 1
    while 0 < depth <= max_depth:
        token = _MEMBER_TOKEN if depth == 1 else _NESTED_TOKEN
        match = token.match(data, position)
        position, found = match.end(), match[1]
        match found[:1]:
            case b"," if depth == 1:
                parts.append(data[start : position - 1])
                start = position
            case b"[" | b"{":
                depth += len(found)
            case b"]" | b"}" if len(found) <= depth:
                depth -= len(found)
            case _:
                raise ValueError("unbalanced")
    if depth or position != len(data):
        raise ValueError("too deep, or data after the end")
    last = data[start : position - 1]
    return [*parts, last] if last.strip() else parts
