"""Tests of the decoding of bodies with unreadable values."""

import json

import hypothesis
from hypothesis import strategies
import testtools

from balsamhinge.platform import bodies
from tests.platform import oddvalues

__all__ = ["BodiesTest"]

GOOD = {"meta": {"name": "a", "revision": 3}, "spec": {"x": ["]", '"', 1.5]}}
PROPERTY = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def body_with(*items):
    """Return the body of a list that holds these encoded items."""
    return b'{"items": [' + b" , ".join(items) + b'], "as_of": 7}'


class BodiesTest(testtools.TestCase):
    """Decoding of whole bodies and of their members."""

    # Guards against a list that cannot be read because of one entry.
    def test_an_unreadable_value_costs_itself_alone(self):
        good = json.dumps(GOOD).encode()
        for label, raw in oddvalues.ODD_BYTES.items():
            odd = b'{"spec":' + raw + b',"meta":{"name":"b","revision":4}}'
            body = bodies.decode(body_with(good, odd, good))
            self.assertEqual(7, body["as_of"], label)
            first, second, third = body["items"]
            self.assertEqual([GOOD, GOOD], [first, third], label)
            self.assertEqual(
                {"name": "b", "revision": 4}, second["meta"], label
            )

    def test_a_value_that_is_no_object_is_unreadable(self):
        good = json.dumps(GOOD).encode()
        body = bodies.decode(body_with(good, b"1e999", good))
        self.assertEqual([GOOD, bodies.UNREADABLE, GOOD], body["items"])

    # Guards against an unreadable member that hides those of its own object.
    def test_members_beside_an_unreadable_one_are_kept(self):
        body = bodies.decode(b'{"a":1e999,"b":{},"c":[ ],"\xff":1, "d":[2]}')
        expected = {"a": bodies.UNREADABLE, "b": {}, "c": [], "d": [2]}
        self.assertEqual(expected, body)

    # Guards against exceptions that no caller of the store expects.
    def test_an_unreadable_body_is_a_value_error(self):
        for body in (
            b"",
            b" ",
            b"1e999",
            b"[" * 1_000_000,
            b"[" * 1000 + b"]" * 1001,
            b'{"items":["' + b'\\"' * 500_000,
            b'"' + b'\\"' * 500_000,
            b"[}" * 1000,
            b"[1e999] x",
            b"\xff",
        ):
            self.assertRaises(ValueError, bodies.decode, body)

    @PROPERTY
    @hypothesis.given(oddvalues.json_values())
    def test_readable_bodies_are_decoded_as_by_json(self, value):
        try:
            text = json.dumps(value, allow_nan=False)
            text.encode("utf-8")
        except ValueError:
            return
        if "\\ud" in text:
            return
        self.assertEqual(value, bodies.decode(text.encode()))

    @PROPERTY
    @hypothesis.given(oddvalues.json_values())
    def test_any_value_leaves_the_others(self, value):
        good, odd = json.dumps(GOOD).encode(), json.dumps(value).encode()
        body = bodies.decode(body_with(good, odd, good))
        self.assertEqual(3, len(body["items"]))
        self.assertEqual([GOOD, GOOD], [body["items"][0], body["items"][2]])

    @PROPERTY
    @hypothesis.given(
        strategies.binary(max_size=40)
        | strategies.lists(
            strategies.sampled_from([b"[", b"]", b"{", b"}", b'"', b"\\"])
            | strategies.sampled_from([b",", b":", b"1e999", b"\xff", b" "]),
            max_size=20,
        ).map(b"".join)
    )
    def test_any_bytes_raise_nothing_but_value_errors(self, raw):
        good = json.dumps(GOOD).encode()
        for data in (raw, body_with(good, raw, good)):
            try:
                bodies.decode(data)
            except ValueError:
                continue
