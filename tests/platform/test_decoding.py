"""Tests of the decoding of the platform's objects."""

import math

import hypothesis
from hypothesis import strategies
import logbook
import msgspec
import testtools

from balsamhinge.platform import decoding
from balsamhinge.policy import customers
from balsamhinge.policy import routes
from balsamhinge.standins import replicas
from tests.platform import oddvalues
from tests.platform import standins

__all__ = ["CustomersTest", "RoutingTableTest", "ServingTargetTest"]

PROPERTY = hypothesis.settings(
    derandomize=True, max_examples=500, deadline=None, database=None
)
HUGE = 10**400
# Values that are no numbers, or not within the range of any field.
ODD_NUMBERS = (
    True,
    "7",
    [],
    {},
    -1,
    2**63,
    HUGE,
    math.inf,
    -math.inf,
    math.nan,
)
# Values that cannot be sent as one word of a message.
ODD_WORDS = (
    7,
    True,
    [],
    {},
    "",
    "a b",
    "a\r\nQUERY",
    "a\n",
    "\ud800",
    "\x00",
    "\u2028",
    "x" * 100_000,
)


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

    # Guards against commits that are lost in a failover of a synchronous
    # group, as it counts as an asynchronous one.
    def test_synchronous_replicas_are_read(self):
        self.spec["services"][0]["sync_replicas"] = 1
        table = decoding.routing_table("main", self.spec)
        (limits,) = table.groups.values()
        self.assertEqual(1, limits.synchronous_replicas)

    def test_invalid_configuration_is_none(self):
        for spec in (None, [], {}, {"routes": 1}, {"routes": []}):
            self.assertIsNone(decoding.routing_table("main", spec))
        for field in ("routes", "services"):
            for odd in (None, 7, "x", {"a": 1}):
                spec = self.spec | {field: odd}
                self.assertIsNone(decoding.routing_table("main", spec))
        for odd in (*ODD_NUMBERS, None, 7.0):
            spec = self.spec | {"version": odd}
            self.assertIsNone(decoding.routing_table("main", spec))

    # Guards against a configuration that is refused, or has a time-out that
    # is no time, because of one field of one entry.
    def test_an_odd_field_costs_its_entry_alone(self):
        expected = decoding.routing_table("main", self.spec)
        route, service = self.spec["routes"][0], self.spec["services"][0]
        for kind, item, field, odds in (
            ("routes", route, "database", ODD_WORDS),
            ("routes", route, "service_name", ODD_WORDS),
            ("routes", route, "route_type", (*ODD_WORDS, "odd")),
            ("routes", route, "max_staleness_ms", ODD_NUMBERS),
            ("routes", route, "timeout_ms", ODD_NUMBERS),
            ("routes", route, "target_latency_ms", ODD_NUMBERS),
            ("routes", route, "priority", (*ODD_NUMBERS[:4], HUGE, 1.5)),
            ("services", service, "name", ODD_WORDS),
            ("services", service, "max_conns", (*ODD_NUMBERS, 1.5)),
            ("services", service, "sync_replicas", (*ODD_NUMBERS, 1.5)),
        ):
            for odd in odds:
                spec = self.spec | {
                    kind: [item | {field: odd}, *self.spec[kind]]
                }
                with logbook.TestHandler() as handler:
                    table = decoding.routing_table("main", spec)
                self.assertEqual(expected, table, (kind, field, odd))
                (line,) = [record.message for record in handler.records]
                self.assertIn(f"{kind}_unreadable", line)
                self.assertLess(len(line), 300)

    def test_an_odd_limit_has_its_default(self):
        expected = decoding.routing_table("main", self.spec)
        for limits in (7, [], *({"tx_idle_ms": odd} for odd in ODD_NUMBERS)):
            with logbook.TestHandler() as handler:
                table = decoding.routing_table(
                    "main", self.spec | {"limits": limits}
                )
            self.assertEqual(expected, table)
            self.assertIn("limits_unreadable", handler.records[0].message)

    # Guards against a number of a customer that cannot be calculated with.
    def test_odd_numbers_of_a_customer_cost_itself_alone(self):
        for field in ("rate_per_s", "burst", "priority"):
            odds = ODD_NUMBERS[:4] if field == "priority" else ODD_NUMBERS
            for odd in (*odds, HUGE):
                items = [make_entry("a", "k"), make_entry("b", **{field: odd})]
                table = decoding.routing_table(
                    "main", self.spec | {"tenants": items}
                )
                self.assertEqual(["a"], list(table.customers), (field, odd))

    @PROPERTY
    @hypothesis.given(
        strategies.sampled_from(
            ["routes", "services", "limits", "tenants", "version"]
        ),
        oddvalues.json_values(),
        strategies.sampled_from(
            [
                "",
                "api_keys",
                "burst",
                "database",
                "max_conns",
                "name",
                "priority",
                "public",
                "rate_per_s",
                "route_type",
                "service_name",
                "sync_replicas",
                "timeout_ms",
                "tx_idle_ms",
            ]
        ),
    )
    def test_any_value_in_any_place(self, place, odd, field):
        spec = standins.configuration(7, "ladder")
        spec["tenants"] = [make_entry("dirac", "k1")]
        expected = decoding.routing_table("main", spec)
        if not field:
            decoding.routing_table("main", spec | {place: odd})
            return
        if not isinstance(spec[place], list):
            decoding.routing_table("main", spec | {place: {field: odd}})
            return
        items = [spec[place][0] | {field: odd}, *spec[place], odd]
        table = decoding.routing_table("main", spec | {place: items})
        self.assertIsNotNone(table)
        msgspec.msgpack.encode(table)
        for name, route in expected.routes.items():
            self.assertEqual(route, table.routes[name])
        self.assertLessEqual(set(expected.groups), set(table.groups))
        self.assertIn("dirac", table.customers)


class ServingTargetTest(testtools.TestCase):
    """Decoding of the entries of targets."""

    def setUp(self):
        super().setUp()
        group = replicas.ReplicaGroup("ladder", ("n",))
        self.spec = standins.entry(group.targets["ladder-1"], 8080)

    def decode(self, name, spec):
        """Return the decoded entry, and the log lines."""
        with logbook.TestHandler() as handler:
            target = decoding.serving_target(name, spec)
        return target, [record.message for record in handler.records]

    def test_a_valid_entry_is_decoded(self):
        target, lines = self.decode("i-1", self.spec)
        expected = routes.ServingTarget(
            name="i-1",
            group="ladder",
            address="127.0.0.1:8080",
            data_centre="n",
            slots=self.spec["slots"],
            leaving=False,
            role=routes.TargetRole.PRIMARY,
            born_ms=1000,
        )
        self.assertEqual((expected, []), (target, lines))
        del self.spec["born"]
        self.assertEqual(0, self.decode("i-1", self.spec)[0].born_ms)
        self.spec["address"] = "::1:8080"
        self.assertIsNotNone(self.decode("i-1", self.spec)[0])

    # Guards against an entry of another writer that ends the process, is
    # used as a target, or puts a line of its own into a message to one.
    def test_an_odd_field_makes_an_entry_unusable(self):
        addresses = [
            "127.0.0.1:" + port
            for port in (
                "",
                "0",
                "-1",
                "+80",
                "0080",
                " 80",
                "80 ",
                "65536",
                "9" * 5000,
                "1e3",
                "8_0",
                "\u0661\u0662",
                "http",
            )
        ]
        addresses += [
            "8080",
            ":8080",
            "host:8080",
            "1:8080",
            "127.0.0.1",
            "127.0.0.01:8080",
            "0.0.0.0:8080",
            "224.0.0.1:8080",
            "fe80::1%eth0:8080",
            "[::1]:8080",
        ]
        missing = (None,)
        for field, odds in (
            ("address", (*ODD_WORDS, *addresses, *missing)),
            ("service_name", (*ODD_WORDS, *missing)),
            ("zone", (*ODD_WORDS, *missing)),
            ("state", (*ODD_WORDS, "odd", "READY", *missing)),
            ("db_role", (*ODD_WORDS, "odd", *missing)),
            ("slots", (*ODD_NUMBERS, 0, 1.5, 10**30, *missing)),
            ("born", (*ODD_NUMBERS, 1.5)),
        ):
            for odd in odds:
                target, lines = self.decode("i-1", self.spec | {field: odd})
                self.assertIsNone(target, (field, odd))
                (line,) = lines
                self.assertIn("target_entry_unreadable", line)
                self.assertLess(len(line), 300)

    def test_a_name_that_is_no_word_is_unusable(self):
        for name in ODD_WORDS:
            target, lines = self.decode(name, self.spec)
            self.assertIsNone(target, name)
            self.assertLess(len(lines[0]), 300)

    @PROPERTY
    @hypothesis.given(
        strategies.sampled_from(
            [
                "",
                *standins.entry(
                    replicas.ReplicaGroup("g", ("n",)).targets["g-1"], 1
                ),
            ]
        ),
        oddvalues.json_values(),
    )
    def test_any_value_in_any_field(self, field, odd):
        spec = self.spec | {field: odd} if field else odd
        target, lines = self.decode("i-1", spec)
        self.assertEqual(target is None, bool(lines))
        if target is not None:
            msgspec.msgpack.encode(target)
            words = target.name, target.group, target.data_centre
            self.assertTrue(all(word.isprintable() for word in words))


def make_entry(name, *keys, **fields):
    """Return the entry of a customer in the configuration object."""
    return {"name": name, "api_keys": list(keys)} | fields


class CustomersTest(testtools.TestCase):
    """Decoding of customers and public routes."""

    def decode(self, *entries):
        """Return the decoded customers, and the log lines."""
        spec = standins.configuration(7, "ladder") | {"tenants": list(entries)}
        with logbook.TestHandler() as handler:
            table = decoding.routing_table("main", spec)
        lines = [record.message for record in handler.records]
        return table and table.customers, "\n".join(lines)

    # Guards against keys that are kept in clear, and against limits that get
    # lost.
    def test_customers_are_decoded_with_digests(self):
        decoded, lines = self.decode(
            make_entry(
                "bode", "k1", "k2", priority=1, rate_per_s=87, burst=90
            ),
            make_entry("dirac"),
        )
        digests = tuple(map(customers.digest_key, ("k1", "k2")))
        expected = customers.Customer("bode", digests, 1, 87.0, 90.0)
        self.assertEqual(expected, decoded["bode"])
        self.assertEqual(customers.Customer("dirac", ()), decoded["dirac"])
        self.assertEqual(math.inf, decoded["dirac"].rate_per_s)
        self.assertEqual("", lines)

    # Guards against one invalid entry that takes the others out of force, and
    # against log lines that reveal keys.
    def test_invalid_entries_are_left_out_and_logged(self):
        secret = "jy5r-secret"
        for invalid in (
            None,
            "bode",
            {},
            {"name": "x"},
            make_entry("", secret),
            make_entry("two words", secret),
            make_entry("x", secret) | {"api_keys": secret},
            make_entry("x", secret, priority="high"),
            make_entry("x", secret, rate_per_s=-1),
            make_entry("x", secret, rate_per_s=math.nan),
            make_entry("x", secret, burst=[secret]),
            make_entry("dirac", secret),
        ):
            decoded, lines = self.decode(make_entry("dirac", "k1"), invalid)
            self.assertEqual(
                {"dirac": (customers.digest_key("k1"),)},
                {name: one.key_digests for name, one in decoded.items()},
            )
            self.assertIn("customers_unreadable", lines)
            self.assertNotIn(secret, lines)

    # Guards against a key that callers cannot send, or an empty one that
    # every caller sends.
    def test_invalid_keys_are_left_out_and_logged(self):
        keys = ["", "k 1", "k\n", "k" * 1000, "\ud800", None, 7, ["k2"]]
        decoded, lines = self.decode(make_entry("bode", *keys, "k1"))
        self.assertEqual(
            (customers.digest_key("k1"),), decoded["bode"].key_digests
        )
        self.assertIn("8 keys of bode are invalid", lines)
        self.assertNotIn("kkkk", lines)

    # Guards against a configuration that opens all routes to everybody,
    # because none of its customers can be decoded.
    def test_a_configuration_without_a_valid_customer_is_unreadable(self):
        decoded, lines = self.decode({}, None)
        self.assertIsNone(decoded)
        self.assertIn("configuration_unreadable", lines)
        self.assertEqual({}, self.decode()[0])

    # Guards against a route that is public by mistake.
    def test_only_true_makes_a_route_public(self):
        for value in (False, None, "true", 1):
            spec = standins.configuration(7, "ladder", public=value)
            table = decoding.routing_table("main", spec)
            self.assertFalse(table.routes["posts"].public)
        spec = standins.configuration(7, "ladder", public=True)
        table = decoding.routing_table("main", spec)
        self.assertTrue(table.routes["posts"].public)
