"""Tests of the decoding of the platform's objects."""

import testtools

from balsamhinge.platform import decoding
from tests.platform import standins

__all__ = ["RoutingTableTest"]


class RoutingTableTest(testtools.TestCase):
    """Decoding of the configuration object."""

    def setUp(self):
        super().setUp()
        self.spec = standins.configuration(7, "ladder")

    # Guards against using another object of the same kind as a later version
    # of the configuration.
    def test_objects_of_other_names_are_ignored(self):
        self.assertIsNone(decoding.routing_table("next", self.spec))
        self.assertEqual(7, decoding.routing_table("main", self.spec).version)

    # Guards against a confirmed version that is not put in force because one
    # of its routes is invalid.
    def test_invalid_route_does_not_affect_the_others(self):
        expected = decoding.routing_table("main", self.spec)
        for invalid in (None, {}, {"database": "x", "route_type": "odd"}):
            spec = self.spec | {"routes": [invalid, *self.spec["routes"]]}
            self.assertEqual(expected, decoding.routing_table("main", spec))

    # Guards against a confirmed version that is not put in force because a
    # field is null.
    def test_null_fields_have_their_defaults(self):
        route = self.spec["routes"][0] | {"max_staleness_ms": None}
        self.spec["routes"][0] = route
        self.spec["limits"]["tx_idle_ms"] = None
        table = decoding.routing_table("main", self.spec)
        self.assertEqual(0.0, table.routes["posts"].max_age_s)
        self.assertEqual(
            decoding.DEFAULT_IDLE_TRANSACTION_MS / decoding.MS_PER_S,
            table.idle_transaction_s,
        )

    def test_invalid_configuration_is_none(self):
        for spec in (None, [], {}, {"routes": 1}, {"routes": []}):
            self.assertIsNone(decoding.routing_table("main", spec))
