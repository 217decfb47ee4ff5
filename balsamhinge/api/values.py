"""Conversion of SQL values to and from JSON."""

import base64
import binascii
import datetime
import decimal
import uuid

__all__ = ["from_json", "to_json"]

BYTES_KEY = "$bytes"


def to_json(value):
    """Convert a value of a result to a JSON value.

    Bytes become {"$bytes": base64}; dates, times, decimals and UUIDs
    become strings.
    """
    match value:
        case None | bool() | int() | float() | str():
            return value
        case bytes() | memoryview():
            encoded = base64.b64encode(bytes(value)).decode()
            return {BYTES_KEY: encoded}
        case datetime.date() | datetime.datetime() | datetime.time():
            return value.isoformat()
        case list() | tuple():
            return [to_json(item) for item in value]
        case dict():
            return {str(key): to_json(item) for key, item in value.items()}
        case decimal.Decimal() | uuid.UUID():
            return str(value)
        case _:
            return str(value)


def from_json(value):
    """Convert a JSON value to a parameter of a statement.

    Raises
    ------
    ValueError
        If the type of the value is not supported.
    """
    match value:
        case None | bool() | int() | float() | str():
            return value
        case {"$bytes": str() as encoded} if len(value) == 1:
            try:
                return base64.b64decode(encoded, validate=True)
            except binascii.Error as exc:
                raise ValueError("$bytes is not base64") from exc
        case _:
            raise ValueError(
                'use null, true, false, a number, text or {"$bytes": "base64"}'
            )
