"""Tests of connections that few instances keep for many."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge.policy import loans
from balsamhinge.policy import statements
from balsamhinge.sessions import connectionloans
from balsamhinge.standins import replicas
from tests.support import virtual

__all__ = ["HostTest", "ScarceConnectionsTest"]

Access = statements.Access
Direct = statements.Direct
State = statements.State
# More instances than connections to a target.
SCARCE = {"instances": 7, "connections": 12}


def hosts_of_primary(world):
    """Return the instances that keep the connections to the primary."""
    one = next(iter(world.fleets.values()))
    target = one.directory.targets[world.group.primary.name]
    return one.lending.hosts(target)[: loans.HOSTS]


def borrower_of_primary(world):
    """Return the name of an instance that keeps none of them."""
    hosts = {host.name for host in hosts_of_primary(world)}
    return next(name for name in sorted(world.fleets) if name not in hosts)


class ScarceConnectionsTest(virtual.FleetTestCase):
    """Pattern: a crest at more instances than a target has connections."""

    def test_a_crest_opens_few_connections_and_refuses_nobody(self):
        async def scenario(world):
            opened = []
            connect = replicas.ReplicaTargetLink.connect

            async def counted(link, target, timeout_s):
                opened.append(target.name)
                return await connect(link, target, timeout_s)

            self.patch(replicas.ReplicaTargetLink, "connect", counted)
            callers = [
                world.caller(name, database)
                for name in world.fleets
                for database in ("posts", "fixtures", "ranks")
            ]
            answers = []
            for _round in range(12):
                asked = [caller.read("a") for caller in callers]
                asked += [caller.write("a", "1") for caller in callers[::3]]
                answers += await asyncio.gather(*asked)
                await asyncio.sleep(0.25)
            problems = [one.problem for one in answers if one.problem]
            self.assertEqual([], problems)
            # Three targets with 12 connections at most; each is opened
            # once, but for those that the sweep has closed.
            self.assertLess(len(opened), 72)

        self.run_fleet(scenario, **SCARCE)


class HostTest(virtual.FleetTestCase):
    """What a session at another instance can rely on."""

    def test_a_transaction_with_values_and_prepared_statements(self):
        async def scenario(world):
            caller = world.caller(borrower_of_primary(world), "posts")
            await caller.ask(statements.Assign("zone", "a"))
            await caller.ask(statements.Prepare("s", Access.WRITE, "q"))
            self.assertIsNone((await caller.ask(statements.Begin())).problem)
            answer = await caller.ask(statements.Execute("s", "k 1"))
            self.assertIsNone(answer.problem)
            self.assertIs(State.OPEN, answer.state)
            answer = await caller.ask(statements.Commit())
            self.assertIsNone(answer.problem)
            answer = await caller.read("k")
            self.assertEqual(("1",), answer.rows)
            await asyncio.sleep(2.0)
            for one in world.fleets.values():
                self.assertEqual({}, one.connection_loans._loans)

        self.run_fleet(scenario, **SCARCE)

    def test_a_rolled_back_transaction_leaves_nothing(self):
        async def scenario(world):
            caller = world.caller(borrower_of_primary(world), "posts")
            await caller.write("k", "1")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 2"))
            await caller.ask(statements.Rollback())
            answer = await caller.read("k")
            self.assertEqual(("1",), answer.rows)

        self.run_fleet(scenario, **SCARCE)

    def test_a_dead_host_is_replaced(self):
        async def scenario(world):
            name = borrower_of_primary(world)
            caller = world.caller(name, "posts")
            await caller.write("a", "1")
            for host in hosts_of_primary(world)[:2]:
                await world.kill(host.name)
            begun = clock.now()
            for _ in range(8):
                answer = await caller.write("a", "2")
                self.assertIsNone(answer.problem)
            self.assertLess(clock.now() - begun, 1.0)

        self.run_fleet(scenario, **SCARCE)

    def test_a_host_that_is_cut_off_costs_one_wait(self):
        async def scenario(world):
            name = borrower_of_primary(world)
            caller = world.caller(name, "posts")
            await caller.write("a", "1")
            for host in hosts_of_primary(world)[:2]:
                world.cuts.add(frozenset((name, host.name)))
            begun = clock.now()
            for _ in range(8):
                await caller.write("a", "2")
                await asyncio.sleep(0.5)
            # Two hosts may have to be found out, once each.
            spent_s = clock.now() - begun - 8 * 0.5
            self.assertLess(spent_s, 1.5)
            avoided = world.fleets[name].connection_loans._avoided
            world.cuts.clear()
            await asyncio.sleep(2.0)
            self.assertEqual({}, avoided)

        self.run_fleet(scenario, **SCARCE)

    def test_a_lost_data_centre_is_found_out_once(self):
        """Pattern: a zone cut takes the hosts of its targets along."""

        async def scenario(world):
            name = borrower_of_primary(world)
            loan_controller = world.fleets[name].connection_loans
            hosts = hosts_of_primary(world)
            target = world.fleets[name].directory.targets[
                world.group.primary.name
            ]
            ranked = world.fleets[name].lending.hosts(target)
            for host in hosts[: connectionloans.MIN_UNREACHABLE_HOSTS]:
                self.assertEqual(
                    target.data_centre,
                    loan_controller.choose_host(ranked).data_centre,
                )
                world.cuts.add(frozenset((name, host.name)))
                loan_controller.avoid_host(host)
            chosen = loan_controller.choose_host(ranked).data_centre
            self.assertNotEqual(target.data_centre, chosen)
            loads = world.fleets[name].loads(world.group.name)
            troubled = [one.name for one in loads if one.troubled]
            self.assertEqual([target.name], troubled)

        self.run_fleet(scenario, **SCARCE)

    def test_a_host_that_stops_cuts_no_transaction(self):
        async def scenario(world):
            caller = world.caller(borrower_of_primary(world), "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 1"))
            host = next(
                h for h in world.fleets.values() if h.connection_loans._loans
            )
            host.stopping = True
            draining = asyncio.ensure_future(
                host.connection_loans.drain(clock.now() + 5.0)
            )
            # Others' work goes elsewhere meanwhile.
            other = world.caller(borrower_of_primary(world), "posts")
            self.assertIsNone((await other.write("a", "1")).problem)
            await asyncio.sleep(1.0)
            self.assertFalse(draining.done())
            answer = await caller.ask(statements.Commit())
            self.assertIsNone(answer.problem)
            await draining

        self.run_fleet(scenario, **SCARCE)

    def test_a_dead_borrower_holds_no_transaction_open(self):
        async def scenario(world):
            name = borrower_of_primary(world)
            caller = world.caller(name, "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 2"))
            held = [
                h for h in world.fleets.values() if h.connection_loans._loans
            ]
            self.assertEqual(1, len(held))
            await world.kill(name)
            table = held[0].directory.table
            await asyncio.sleep(table.idle_transaction_s + 3.0)
            self.assertEqual({}, held[0].connection_loans._loans)

        self.run_fleet(scenario, **SCARCE)

    def test_a_host_without_a_lease_runs_nothing(self):
        async def scenario(world):
            name = borrower_of_primary(world)
            target = world.group.primary.name
            host = world.fleets[hosts_of_primary(world)[0].name]
            known = host.leaders.known(world.group.name)
            asked = loans.BorrowRequest(target, known.epoch, 0.1, True)
            lent = await host.connection_loans.lend(asked)
            self.assertNotEqual(0, lent.loan)
            # From here on the host hears of nothing.
            world.records.knobs.cut.add(host.me.name)
            for other in world.fleets:
                world.cuts.add(frozenset((host.me.name, other)))
            await asyncio.sleep(2.5)
            refused = await host.connection_loans.lend(asked)
            self.assertEqual(0, refused.loan)
            kind, fields = loans.pack(Direct(Access.WRITE, "k 2"))
            request = loans.RunRequest(
                lent.loan, None, kind, fields, "x", None, {}, None, 0.5
            )
            reply = await host.connection_loans.run(request)
            self.assertIsNone(reply.answer)
            self.assertFalse(reply.may_have_run)
            self.assertNotEqual(host.me.name, name)

        self.run_fleet(scenario, **SCARCE)
