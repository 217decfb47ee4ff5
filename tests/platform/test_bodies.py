"""Tests of the decoding of bodies with unreadable values."""

import json
import sys

import hypothesis
from hypothesis import strategies
import testtools

from balsamhinge.platform import bodies
from balsamhinge.platform import decoding
from balsamhinge.platform import envelopes
from tests.platform import oddvalues

__all__ = ["BodiesTest"]

GOOD = {"meta": {"name": "a", "revision": 3}, "spec": {"x": ["]", '"', 1.5]}}
PARTS = envelopes.response_parts()
CONFIGURATION_PARTS = envelopes.response_parts(decoding.ROUTING_TABLE_PARTS)
# Bytes of the values whose steps are counted.
LARGE_BYTES = 300_000
# Steps that one more unreadable value may take, of whatever content.
MAX_STEPS = 2000
PROPERTY = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def body_with(*items):
    """Return the body of a list that holds these encoded items."""
    return b'{"items": [' + b" , ".join(items) + b'], "as_of": 7}'


def count_steps(data, parts):
    """Return how many calls the interpreter makes to decode a body."""
    count = 0

    def observe(_frame, kind, _function):
        nonlocal count
        count += kind in ("call", "c_call")

    sys.setprofile(observe)
    try:
        bodies.decode(data, parts)
    except ValueError:
        pass
    finally:
        sys.setprofile(None)
    return count


class BodiesTest(testtools.TestCase):
    """Decoding of whole bodies and of their members."""

    # Guards against a list that cannot be read because of one entry.
    def test_an_unreadable_value_costs_itself_alone(self):
        good = json.dumps(GOOD).encode()
        for label, raw in oddvalues.ODD_BYTES.items():
            odd = b'{"spec":' + raw + b',"meta":{"name":"b","revision":4}}'
            body = bodies.decode(body_with(good, odd, good), PARTS)
            self.assertEqual(7, body["as_of"], label)
            first, second, third = body["items"]
            self.assertEqual([GOOD, GOOD], [first, third], label)
            self.assertEqual(
                {"name": "b", "revision": 4}, second["meta"], label
            )

    def test_a_value_that_is_no_object_is_unreadable(self):
        good = json.dumps(GOOD).encode()
        body = bodies.decode(body_with(good, b"1e999", good), PARTS)
        self.assertEqual([GOOD, bodies.UNREADABLE, GOOD], body["items"])

    # Guards against an unreadable member that hides those of its own object.
    def test_members_beside_an_unreadable_one_are_kept(self):
        body = bodies.decode(
            b'{"a":1e999,"b":{},"c":[ ],"\xff":1, "d":[2]}', PARTS
        )
        expected = {"a": bodies.UNREADABLE, "b": {}, "c": [], "d": [2]}
        self.assertEqual(expected, body)

    # Guards against a loop that stands still while one odd value is skipped.
    def test_steps_do_not_grow_with_an_unreadable_value(self):
        good = json.dumps(GOOD).encode()
        expected = count_steps(body_with(good, b"1e999", good), PARTS)
        for unit in (
            *(b"[],", b'{"b":1e999},', b"[{}],", b'"[\\"]{",', b'"",'),
            *(b"1e999,", b",", b"[[],", b'["",', b"[", b'{"a":', b"]"),
            *(b"[" * depth + b"]" * depth + b"," for depth in (31, 32, 33)),
            b"[" * 65 + b"]" * 65 + b",",
        ):
            filler = unit * (LARGE_BYTES // len(unit))
            closed = b"]" * (filler.count(b"[") - filler.count(b"]"))
            for spec in (
                b'{"a":[' + filler + b"1e999]}",
                b"[" + filler + b"1e999" + closed + b"]",
                b'["' + filler,
            ):
                odd = b'{"meta":{"name":"b","revision":4},"spec":'
                body = body_with(good, odd + spec + b"}", good)
                steps = count_steps(body, PARTS)
                self.assertLess(steps, expected + MAX_STEPS, unit[:80])

    # Guards against the cost of an entry that is left out as a whole.
    def test_only_the_content_of_a_configuration_is_split(self):
        odd = (
            b'{"meta":{},"spec":{"version":1,"routes":[{"a":1},{"a":1e999}]}}'
        )
        body = bodies.decode(body_with(odd), PARTS)
        self.assertIs(bodies.UNREADABLE, body["items"][0]["spec"])
        body = bodies.decode(body_with(odd), CONFIGURATION_PARTS)
        found = body["items"][0]["spec"]["routes"]
        self.assertEqual([{"a": 1}, {"a": bodies.UNREADABLE}], found)

    # Guards against a number of members that takes seconds to decode.
    def test_too_many_members_are_unreadable_as_a_whole(self):
        good = json.dumps(GOOD).encode()
        for count in (bodies.MAX_MEMBERS - 1, bodies.MAX_MEMBERS):
            routes = b"1e999," * count + b"1"
            odd = b'{"meta":{},"spec":{"version":1,"routes":[' + routes
            body = bodies.decode(
                body_with(odd + b"]}}", good), CONFIGURATION_PARTS
            )
            self.assertEqual(GOOD, body["items"][1])
            found = body["items"][0]["spec"]["routes"]
            split = count < bodies.MAX_MEMBERS
            self.assertEqual(split, found is not bodies.UNREADABLE)

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
            self.assertRaises(ValueError, bodies.decode, body, PARTS)

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
        self.assertEqual(value, bodies.decode(text.encode(), PARTS))

    @PROPERTY
    @hypothesis.given(oddvalues.json_values())
    def test_any_value_leaves_the_others(self, value):
        good, odd = json.dumps(GOOD).encode(), json.dumps(value).encode()
        body = bodies.decode(body_with(good, odd, good), PARTS)
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
                bodies.decode(data, CONFIGURATION_PARTS)
            except ValueError:
                continue
