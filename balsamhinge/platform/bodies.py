"""Decodes JSON bodies, of which single values may be unreadable."""

import contextlib
import enum
import functools
import gc
import itertools
import operator
import re

import msgspec

__all__ = ["UNREADABLE", "decode"]

# Limits the members of one object or array that are decoded one by one.
MAX_MEMBERS = 20_000
# Depth up to which brackets are skipped by one pattern.
MAX_PATTERN_DEPTH = 32
# Bytes in which the end of a deeper value is sought first.
FIRST_CHUNK_BYTES = 256

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_KEY = re.compile(rb"\s*+(" + _STRING + rb")\s*+:", re.DOTALL)
_BLANKS = re.compile(rb"\s*+")
_QUOTED = re.compile(_STRING, re.DOTALL)
_COMPLETE_STRINGS = re.compile(rb'(?:[^"]++|' + _STRING + rb")*+", re.DOTALL)
_BRACKET = re.compile(
    rb'[^"\[\]{}]*+(?:' + _STRING + rb'[^"\[\]{}]*+)*+[\[\]{}]', re.DOTALL
)
_OTHER_BYTES = bytes(set(range(256)) - set(b"[]{}"))
# Signed bytes: 1 for an opening bracket, -1 for a closing one.
_STEPS = bytes.maketrans(b"[{]}", b"\x01\x01\xff\xff")


class _Marker(enum.Enum):
    UNREADABLE = "unreadable"


# Takes the place of a value that cannot be decoded. It has the type of no
# field, so that whoever checks a field's type refuses it.
UNREADABLE = _Marker.UNREADABLE


def decode(data, parts):
    """Decode a JSON body.

    Parameters
    ----------
    data : bytes or bytearray
        The body.
    parts : dict or list
        Which values may be unreadable on their own: the members of an object
        by a dict, the elements of an array by a list of one item. A dict
        holds, by key, the parts of members that may be unreadable in part;
        the item is that of each element, None if an element may not.

    Returns
    -------
    object
        The value. Parts that are nested too deeply, have a number out of
        range or are no valid text are `UNREADABLE`; members whose key is
        unreadable are left out. All others are as they would be without
        them. An object or array of more than `MAX_MEMBERS` members, any of
        them unreadable, is `UNREADABLE` as a whole.

    Raises
    ------
    ValueError
        If the body as a whole is unreadable.

    Notes
    -----
    The interpreter takes a number of steps for each member that may be
    unreadable on its own; their content is skipped by patterns, whose time
    is linear in its length.
    """
    data = bytes(data).strip()
    with _without_collections():
        value = _decode_whole(data)
        if value is UNREADABLE and _is_splittable(data, 0, parts):
            value, end = _decode_members(data, 0, parts)
            if end != len(data):
                value = UNREADABLE
    if value is UNREADABLE:
        raise ValueError(f"unreadable body of {len(data)} bytes")
    return value


@contextlib.contextmanager
def _without_collections():
    """Suspend garbage collections, which new containers would cause.

    Each of them would walk all containers of the body again.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _decode_whole(data):
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError):
        return UNREADABLE


def _is_splittable(data, start, parts):
    """Return whether a value is of the type that its parts are of."""
    match parts:
        case dict():
            return data.startswith(b"{", start)
        case list():
            return data.startswith(b"[", start)
    return False


def _has_nested_parts(parts):
    inner = parts.values() if isinstance(parts, dict) else parts
    return any(part is not None for part in inner)


def _decode_value(data, start, parts):
    """Decode the value at a position.

    Returns
    -------
    value : object
        It is `UNREADABLE` as a whole or in some of its parts.
    end : int
        Position of the comma or bracket after it.

    Raises
    ------
    ValueError
        If a bracket or a string is not closed.
    """
    start = _BLANKS.match(data, start).end()
    splittable = _is_splittable(data, start, parts)
    value = UNREADABLE
    if splittable and _has_nested_parts(parts):
        # A value that is split first is read once, not at each level.
        value, after = _decode_members(data, start, parts)
        end = _skip_value(data, after)
        if data[after:end].strip():
            return UNREADABLE, end
    else:
        end = _skip_value(data, start)
        value = _decode_whole(data[start:end])
        if value is UNREADABLE and splittable:
            value, after = _decode_members(data, start, parts)
            if data[after:end].strip():
                return UNREADABLE, end
    return value, end


def _decode_members(data, start, parts):
    """Decode the members of the object or array that begins at a position.

    Returns
    -------
    value : dict or list or _Marker
    end : int
        Position after its closing bracket.
    """
    is_object = isinstance(parts, dict)
    members, position = [], start + 1
    for _ in range(MAX_MEMBERS):
        position = _BLANKS.match(data, position).end()
        if data[position : position + 1] in (b"]", b"}"):
            break
        if is_object:
            position = _decode_member(data, position, parts, members)
        else:
            value, position = _decode_value(data, position, parts[0])
            members.append(value)
        if data[position : position + 1] != b",":
            break
        position += 1
    else:
        return UNREADABLE, _skip_value(data, start)
    return dict(members) if is_object else members, position + 1


def _decode_member(data, start, parts, members):
    """Add the member at a position, and return the position after it.

    A member whose key cannot be decoded is not added.
    """
    key = _KEY.match(data, start)
    name = _decode_whole(key[1]) if key else UNREADABLE
    if name is UNREADABLE:
        return _skip_value(data, start)
    value, end = _decode_value(data, key.end(), parts.get(name))
    members.append((name, value))
    return end


@functools.cache
def _compile_balanced():
    """Return a pattern for all up to a comma or an odd bracket or quote.

    The pattern is possessive: it never tries a second way to match, so its
    time is linear in the length of what it matches. Its compilation takes
    milliseconds.
    """
    plain = rb'[^"\[\]{}]*+'
    balanced = plain + rb"(?:" + _STRING + plain + rb")*+"
    for _ in range(MAX_PATTERN_DEPTH - 1):
        balanced = _surround(plain, balanced)
    return re.compile(_surround(rb'[^"\[\]{},]*+', balanced), re.DOTALL)


def _surround(plain, content):
    """Return a pattern for text that has brackets around a content in it."""
    group = rb"(?:" + _STRING + rb"|[\[{]" + content + rb"[\]}])"
    return plain + rb"(?:" + group + plain + rb")*+"


def _skip_value(data, position):
    """Return the position of the next comma or closing bracket.

    Only strings and brackets are told apart, so that neither the depth of a
    value nor its other content matters.
    """
    while True:
        position = _compile_balanced().match(data, position).end()
        match data[position : position + 1]:
            case b"," | b"]" | b"}":
                return position
            case b"[" | b"{":
                position = _skip_deep_value(data, position)
            case _:
                raise ValueError("a bracket or a string is not closed")


def _skip_deep_value(data, position):
    """Return the position after an object or array of any depth."""
    depth, size = 0, FIRST_CHUNK_BYTES
    while position < len(data):
        chunk = _COMPLETE_STRINGS.match(data, position, position + size)[0]
        if not chunk and position + size >= len(data):
            break
        steps = memoryview(
            _QUOTED.sub(b"", chunk).translate(_STEPS, _OTHER_BYTES)
        ).cast("b")
        try:
            index = operator.indexOf(itertools.accumulate(steps), -depth)
        except ValueError:
            depth += sum(steps)
            position += len(chunk)
            size *= 2
            continue
        return _skip_brackets(data, position, size, index + 1)
    raise ValueError("a bracket or a string is not closed")


def _skip_brackets(data, position, size, count):
    """Return the position after a number of brackets, all within a size."""
    while size > FIRST_CHUNK_BYTES:
        size //= 2
        chunk = _COMPLETE_STRINGS.match(data, position, position + size)[0]
        found = len(_QUOTED.sub(b"", chunk).translate(None, _OTHER_BYTES))
        if found < count:
            position += len(chunk)
            count -= found
    brackets = _BRACKET.finditer(data, position)
    return next(itertools.islice(brackets, count - 1, None)).end()
