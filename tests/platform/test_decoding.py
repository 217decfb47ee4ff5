"""Tests of how the platform's objects are read."""

import testtools

from balsamhinge.platform import decoding
from tests.platform import standins

__all__ = ["RoutingTableTest"]


class RoutingTableTest(testtools.TestCase):
    """The configuration in force is the one object that holds it."""

    def setUp(self):
        super().setUp()
        self.spec = standins.configuration(7, "ladder")

    # Guards against an object beside the configuration that is taken for a
    # later version of it.
    def test_no_other_object_is_taken_for_the_configuration(self):
        self.assertIsNone(decoding.routing_table("next", self.spec))
        self.assertEqual(7, decoding.routing_table("main", self.spec).version)

    # Guards against a confirmed version that is not in force because of
    # one route in it.
    def test_a_route_that_cannot_be_read_leaves_the_others(self):
        whole = decoding.routing_table("main", self.spec)
        for broken in (None, {}, {"database": "x", "route_type": "odd"}):
            spec = self.spec | {"routes": [broken, *self.spec["routes"]]}
            self.assertEqual(whole, decoding.routing_table("main", spec))

    # Guards against the same by a field without a value.
    def test_fields_without_a_value_have_their_defaults(self):
        route = self.spec["routes"][0] | {"max_staleness_ms": None}
        self.spec["routes"][0] = route
        self.spec["limits"]["tx_idle_ms"] = None
        table = decoding.routing_table("main", self.spec)
        self.assertEqual(0.0, table.routes["posts"].max_age_s)
        self.assertEqual(
            decoding.DEFAULT_IDLE_TRANSACTION_MS / decoding.MS_PER_S,
            table.idle_transaction_s,
        )

    def test_what_is_no_configuration_is_none(self):
        for spec in (None, [], {}, {"routes": 1}, {"routes": []}):
            self.assertIsNone(decoding.routing_table("main", spec))
