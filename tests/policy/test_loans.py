"""Tests of which instances keep connections for others."""

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
    """Who keeps connections, and how many."""

    def test_small_fleets_and_rich_targets_need_no_hosts(self):
        self.assertFalse(loans.uses_hosts(23, 9))
        self.assertFalse(loans.uses_hosts(161, 74))
        self.assertTrue(loans.uses_hosts(46, 70))

    @hypothesis.given(strategies.integers(1, 1000))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_all_hosts_together_stay_below_the_limit(self, limit):
        together = loans.HOSTS_PER_TARGET * loans.max_connections_per_host(
            limit
        )
        self.assertLessEqual(together, max(limit, loans.HOSTS_PER_TARGET))

    def test_hosts_stand_beside_their_target(self):
        ranked = loans.rank_hosts(target("t", "c"), members(30))
        self.assertEqual(30, len(ranked))
        self.assertEqual({"c"}, {one.data_centre for one in ranked[:10]})

    def test_targets_are_spread_over_the_instances(self):
        hosts = set()
        for n in range(12):
            ranked = loans.rank_hosts(target(f"t{n}"), members(70))
            hosts |= {one.name for one in ranked[: loans.HOSTS_PER_TARGET]}
        self.assertGreater(len(hosts), 12)

    def test_the_loss_of_one_moves_no_other(self):
        everybody = members(30)
        ranked = loans.rank_hosts(target("t"), everybody)
        left = [one for one in everybody if one is not ranked[0]]
        self.assertEqual(ranked[1:], loans.rank_hosts(target("t"), left))


class MessageTest(testtools.TestCase):
    """Statements arrive as they were sent."""

    def test_every_statement_is_the_same_after_the_way(self):
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
            came = msgspec.msgpack.decode(data, type=loans.RunRequest)
            self.assertEqual(sent, came)
            order = statements.Order(statement, "id", None)
            self.assertEqual(order, loans.decode_order(came))
