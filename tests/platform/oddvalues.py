"""Values that another writer may leave in the platform's store."""

from hypothesis import strategies

__all__ = ["ODD_BYTES", "json_values"]

# Each is one value of a JSON document that a decoder may refuse.
ODD_BYTES = {
    "deep list": b"[" * 100_000 + b"]" * 100_000,
    "deep object": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "deep field": b'{"slots":' + b"[" * 2000 + b"]" * 2000 + b"}",
    "long integer": b"9" * 5000,
    "negative long integer": b"-" + b"9" * 5000,
    "long integer field": b'{"slots":' + b"9" * 5000 + b"}",
    "infinite number": b"1e999",
    "infinite field": b'{"slots":1e999,"seq_no":4}',
    "constants": b"[NaN,Infinity,-Infinity]",
    "bytes that are no text": b'"\xff\xfe"',
    "cut character": b'{"zone":"\xe3","state":"ready"}',
    "key that is no text": b'{"\xff":1}',
    "lone surrogate": b'{"zone":"\\ud800"}',
    "line feed in a text": b'"a\nb"',
    "no value": b"",
    "half an escape": b'"\\u12"',
    "brackets in a text": b'{"a":"]}\\"]}","b":1e999}',
    "unknown word": b"nil",
    "trailing comma": b'{"a":1,}',
}


def json_values():
    """Return a strategy for any value that JSON can carry."""
    numbers = strategies.integers() | strategies.sampled_from(
        [10**30, -(10**30), 10**400, 2**63, 2**64]
    )
    scalars = (
        strategies.none()
        | strategies.booleans()
        | numbers
        | strategies.floats()
        | strategies.text(max_size=8)
        | strategies.sampled_from(["\ud800", "a b", "a\r\nb", "x" * 2000])
    )
    return strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=4), inner, max_size=3
            )
        ),
        max_leaves=6,
    )
