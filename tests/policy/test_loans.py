"""Tests of connection hosts and their messages."""

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from balsamhinge.policy import loans
from balsamhinge.policy import ownership
from balsamhinge.policy import routes
from balsamhinge.policy import statements

__all__ = ["HostsTest", "MessageTest"]

CENTRES = ("n", "c", "s")


def target(name, centre="n"):
    """Return a target of a data centre."""
    return routes.ServingTarget(
        name, "g", "h:1", centre, 4, False, routes.TargetRole.PRIMARY
    )


def members(count):
    """Return instances of three data centres."""
    return [
        ownership.Member(f"i{n}", f"i{n}:1", CENTRES[n % 3])
        for n in range(count)
    ]


class HostsTest(testtools.TestCase):
    """Choice of connection hosts and their share of the connections."""

    def test_no_hosts_for_small_fleets_or_high_connection_limits(self):
        self.assertFalse(loans.uses_hosts(23, 9))
        self.assertFalse(loans.uses_hosts(161, 74))
        self.assertTrue(loans.uses_hosts(46, 70))

    @hypothesis.given(strategies.integers(1, 1000))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_hosts_together_stay_within_the_connection_limit(self, limit):
        together = loans.HOSTS_PER_TARGET * loans.max_connections_per_host(
            limit
        )
        self.assertLessEqual(together, max(limit, loans.HOSTS_PER_TARGET))

    def test_hosts_are_in_the_data_centre_of_the_target(self):
        ranked = loans.rank_hosts(target("t", "c"), members(30))
        self.assertEqual(30, len(ranked))
        self.assertEqual({"c"}, {member.data_centre for member in ranked[:10]})

    def test_targets_have_different_hosts(self):
        hosts = set()
        for n in range(12):
            ranked = loans.rank_hosts(target(f"t{n}"), members(70))
            hosts |= {
                member.name for member in ranked[: loans.HOSTS_PER_TARGET]
            }
        self.assertGreater(len(hosts), 12)

    def test_loss_of_a_host_keeps_the_order_of_the_others(self):
        all_members = members(30)
        ranked = loans.rank_hosts(target("t"), all_members)
        remaining = [m for m in all_members if m is not ranked[0]]
        self.assertEqual(ranked[1:], loans.rank_hosts(target("t"), remaining))


class MessageTest(testtools.TestCase):
    """Statements survive encoding and decoding."""

    def test_statement_is_equal_after_decoding(self):
        read = statements.Access.READ
        for statement in (
            statements.Begin(True),
            statements.Commit(),
            statements.Rollback(),
            statements.Direct(read, "a b"),
            statements.Execute("s", "1 2"),
        ):
            name, fields = loans.encode_statement(statement)
            prepared = statements.Prepare("s", read, "q")
            sent = loans.RunRequest(
                3, None, name, fields, "id", None, {}, prepared, 0.5
            )
            data = msgspec.msgpack.encode(sent)
            received = msgspec.msgpack.decode(data, type=loans.RunRequest)
            self.assertEqual(sent, received)
            order = statements.Order(statement, "id", None)
            self.assertEqual(order, loans.decode_order(received))
