"""Tests of connections that hosts lend to other instances."""

import asyncio
import functools

import attrs

from balsamhinge.controllers import clock
from balsamhinge.policy import loans
from balsamhinge.policy import statements
from balsamhinge.policy import workload
from balsamhinge.sessions import connectionloans
from balsamhinge.standins import replicas
from tests.support import virtual

__all__ = ["ConnectionHostTest", "PeakLoadTest"]

Access = statements.Access
Direct = statements.Direct
State = statements.State
# Duration of the handshake of a target that is slow to accept.
CONNECT_S = 0.4
# Time between the stops of two instances.
STOP_INTERVAL_S = 0.3
# Timeout of the statements of all routes.
ROUTE_TIMEOUT_S = 0.8
# Duration of a slow statement.
WORK_S = 0.4
# More loans than a host grants in the seconds before a test.
MAX_EARLIER_LOANS = 100
# More instances than connections to a target.
SHARED_CONNECTIONS = {"instances": 7, "connections": 12}


def hosts_of_primary(world):
    """Return the connection hosts of the primary."""
    fleet = next(iter(world.fleets.values()))
    target = fleet.directory.targets[world.group.primary.name]
    return fleet.target_pools.hosts_of(target)[: loans.HOSTS_PER_TARGET]


def non_host_of_primary(world):
    """Return the name of an instance that is no host of the primary."""
    hosts = {host.name for host in hosts_of_primary(world)}
    return next(name for name in sorted(world.fleets) if name not in hosts)


def borrow_request(world, host, customer=""):
    """Return the request to borrow a connection to the primary."""
    leadership = host.leaders.latest(world.group.name)
    return loans.BorrowRequest(
        world.group.primary.name,
        leadership.epoch,
        2.0,
        True,
        workload.Workload(customer=customer),
        2.0,
    )


def run_request(statement, loan=0, borrow=None):
    """Return the request to run a statement on a loan or a new one."""
    name, fields = loans.encode_statement(statement)
    return loans.RunRequest(
        loan, borrow, name, fields, "r", None, {}, None, 2.0
    )


async def stop(world, name):
    """Stop an instance whose sessions have ended, as its daemon does."""
    instance = world.fleets[name]
    instance.stopping = True
    now = clock.now()
    await instance.connection_loans.drain(now + 1.0, now + 2.0)
    await world.kill(name)


class PeakLoadTest(virtual.FleetTestCase):
    """Peak load with more instances than connections to a target."""

    def test_peak_load_opens_few_connections_and_refuses_nothing(self):
        async def scenario(world):
            opened = []
            connect = replicas.ReplicaTargetLink.connect

            async def counted(link, target, timeout_s, customer=""):
                opened.append(target.name)
                return await connect(link, target, timeout_s, customer)

            self.patch(replicas.ReplicaTargetLink, "connect", counted)
            callers = [
                world.caller(name, database)
                for name in world.fleets
                for database in ("posts", "fixtures", "ranks")
            ]
            answers = []
            for _round in range(12):
                calls = [caller.read("a") for caller in callers]
                calls += [caller.write("a", "1") for caller in callers[::3]]
                answers += await asyncio.gather(*calls)
                await asyncio.sleep(0.25)
            problems = [answer.problem for answer in answers if answer.problem]
            self.assertEqual([], problems)
            # Three targets with at most 12 connections each. Only those
            # that the pool has closed as idle are opened again.
            self.assertLess(len(opened), 72)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)


class ConnectionHostTest(virtual.FleetTestCase):
    """Sessions that use a connection of another instance."""

    def test_a_transaction_uses_session_values_and_prepared_statements(self):
        async def scenario(world):
            caller = world.caller(non_host_of_primary(world), "posts")
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
            for fleet in world.fleets.values():
                self.assertEqual({}, fleet.connection_loans._loans)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    def test_a_rolled_back_transaction_changes_no_data(self):
        async def scenario(world):
            caller = world.caller(non_host_of_primary(world), "posts")
            await caller.write("k", "1")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 2"))
            await caller.ask(statements.Rollback())
            answer = await caller.read("k")
            self.assertEqual(("1",), answer.rows)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    def test_writes_use_other_hosts_after_hosts_die(self):
        async def scenario(world):
            name = non_host_of_primary(world)
            caller = world.caller(name, "posts")
            await caller.write("a", "1")
            for host in hosts_of_primary(world)[:2]:
                await world.kill(host.name)
            started_at = clock.now()
            for _ in range(8):
                answer = await caller.write("a", "2")
                self.assertIsNone(answer.problem)
            self.assertLess(clock.now() - started_at, 1.0)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    def test_an_unreachable_host_causes_one_timeout_only(self):
        async def scenario(world):
            name = non_host_of_primary(world)
            caller = world.caller(name, "posts")
            await caller.write("a", "1")
            for host in hosts_of_primary(world)[:2]:
                world.cuts.add(frozenset((name, host.name)))
            started_at = clock.now()
            for _ in range(8):
                await caller.write("a", "2")
                await asyncio.sleep(0.5)
            # At most one timeout for each of the two hosts.
            spent_s = clock.now() - started_at - 8 * 0.5
            self.assertLess(spent_s, 1.5)
            avoided = world.fleets[name].connection_loans._avoided_hosts
            world.cuts.clear()
            await asyncio.sleep(2.0)
            self.assertEqual({}, avoided)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    def test_two_unreachable_hosts_mark_their_data_centre_unreachable(self):
        """A partition of a zone also cuts off the hosts of its targets."""

        async def scenario(world):
            name = non_host_of_primary(world)
            loan_controller = world.fleets[name].connection_loans
            hosts = hosts_of_primary(world)
            target = world.fleets[name].directory.targets[
                world.group.primary.name
            ]
            ranked = world.fleets[name].target_pools.hosts_of(target)
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
            degraded = [load.name for load in loads if load.is_degraded]
            self.assertEqual([target.name], degraded)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    def test_a_stopping_host_waits_for_lent_transactions(self):
        async def scenario(world):
            caller = world.caller(non_host_of_primary(world), "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 1"))
            host = next(
                h for h in world.fleets.values() if h.connection_loans._loans
            )
            host.stopping = True
            draining = asyncio.ensure_future(
                host.connection_loans.drain(clock.now() + 5.0)
            )
            # New work uses other hosts meanwhile.
            other = world.caller(non_host_of_primary(world), "posts")
            self.assertIsNone((await other.write("a", "1")).problem)
            await asyncio.sleep(1.0)
            self.assertFalse(draining.done())
            answer = await caller.ask(statements.Commit())
            self.assertIsNone(answer.problem)
            await draining

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against an accepted statement that a planned stop of its host
    # cuts: it waited for a connection, and the drain saw no loan.
    def test_a_stopping_host_runs_statements_that_wait_for_a_connection(self):
        async def scenario(world):
            host = world.fleets[hosts_of_primary(world)[0].name]
            connect = replicas.ReplicaTargetLink.connect

            async def connect_slowly(link, target, timeout_s, customer=""):
                await asyncio.sleep(CONNECT_S)
                return await connect(link, target, timeout_s, customer)

            self.patch(replicas.ReplicaTargetLink, "connect", connect_slowly)
            request = run_request(
                Direct(Access.WRITE, "k 1"),
                borrow=borrow_request(world, host, customer="new"),
            )
            running = asyncio.ensure_future(host.connection_loans.run(request))
            await asyncio.sleep(CONNECT_S / 2)
            host.stopping = True
            await host.connection_loans.drain(clock.now() + 5.0)
            await host.halt()
            reply = await running
            self.assertIsNotNone(reply.answer, reply.detail)
            self.assertIsNone(reply.answer.problem)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against a statement that is cut when its host has waited for as
    # long as it may for open transactions: it was running at that moment.
    def test_a_stopping_host_ends_idle_loans_and_runs_orders_to_their_end(
        self,
    ):
        async def scenario(world):
            host = world.fleets[hosts_of_primary(world)[0].name]
            controller = host.connection_loans
            idle, busy = [
                await controller.run(
                    run_request(
                        statements.Begin(),
                        borrow=borrow_request(world, host),
                    )
                )
                for _ in range(2)
            ]
            host.stopping = True
            deadline = clock.now() + 1.0
            draining = asyncio.ensure_future(
                controller.drain(deadline, deadline + 1.0)
            )
            await asyncio.sleep(1.0 - WORK_S / 2)
            world.group.primary.knobs.work_s = WORK_S
            running = asyncio.ensure_future(
                controller.run(
                    run_request(Direct(Access.WRITE, "k 1"), busy.loan)
                )
            )
            await asyncio.sleep(WORK_S * 0.75)
            refused = await controller.run(
                run_request(statements.Commit(), idle.loan)
            )
            self.assertIsNone(refused.answer)
            self.assertFalse(refused.may_have_run)
            self.assertFalse(draining.done())
            await draining
            self.assertTrue(running.done())
            reply = await running
            self.assertIsNone(reply.answer.problem)
            # The transaction is still the borrower's: its next statement
            # must not get another connection.
            self.assertEqual(busy.loan, reply.loan)
            refused = await controller.run(
                run_request(statements.Commit(), busy.loan)
            )
            self.assertIsNone(refused.answer)
            self.assertFalse(refused.may_have_run)
            self.assertEqual({}, controller._loans)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against a host that waits for an order beyond its grace time.
    def test_a_stopping_host_does_not_wait_beyond_the_cutoff(self):
        async def scenario(world):
            host = world.fleets[hosts_of_primary(world)[0].name]
            controller = host.connection_loans
            world.group.primary.knobs.work_s = 1.5
            running = asyncio.ensure_future(
                controller.run(
                    run_request(
                        Direct(Access.WRITE, "k 1"),
                        borrow=borrow_request(world, host),
                    )
                )
            )
            await asyncio.sleep(0.1)
            host.stopping = True
            started_at = clock.now()
            await controller.drain(started_at + 0.5, started_at + 0.8)
            self.assertAlmostEqual(0.8, clock.now() - started_at, delta=0.1)
            self.assertFalse(running.done())
            await running

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against a transaction that stays open at its host, and holds up
    # the host's own stop, because its borrower stopped before it had told.
    def test_a_stopping_borrower_returns_its_loans(self):
        async def scenario(world):
            name = non_host_of_primary(world)
            borrower = world.fleets[name]
            caller = world.caller(name, "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 2"))
            host = next(
                h for h in world.fleets.values() if h.connection_loans._loans
            )
            caller.session.close()
            now = clock.now()
            await borrower.connection_loans.drain(now, now + 1.0)
            await world.kill(name)
            self.assertEqual({}, host.connection_loans._loans)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against a statement that runs inside another caller's
    # transaction, because its host has restarted and numbers loans anew.
    def test_a_restarted_host_knows_no_earlier_loan(self):
        async def scenario(world):
            member = hosts_of_primary(world)[0]

            async def begin():
                host = world.fleets[member.name]
                await host.leaders.wait_valid_leadership(
                    world.group.name, clock.now() + 30.0
                )
                reply = await host.connection_loans.run(
                    run_request(
                        statements.Begin(),
                        borrow=borrow_request(world, host),
                    )
                )
                self.assertNotEqual(0, reply.loan)
                return reply.loan

            earlier = await begin()
            await world.kill(member.name)
            controller = world.start_instance(member).connection_loans
            # A number that counts from one again comes to the earlier one.
            for _ in range(MAX_EARLIER_LOANS):
                later = await begin()
                reply = await controller.run(
                    run_request(statements.Commit(), earlier)
                )
                self.assertIsNone(reply.answer)
                self.assertFalse(reply.may_have_run)
                controller.end_loan(earlier, usable=False)
                self.assertEqual([later], list(controller._loans))
                controller.end_loan(later, usable=False)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against statements inside another caller's transaction that an
    # instance names by a loan which is not its own.
    def test_a_loan_is_its_borrowers_alone(self):
        async def scenario(world):
            host = world.fleets[hosts_of_primary(world)[0].name]
            controller = host.connection_loans
            borrow = attrs.evolve(borrow_request(world, host), borrower=1)
            begun = await controller.run(
                run_request(statements.Begin(), borrow=borrow)
            )
            self.assertNotEqual(0, begun.loan)
            commit = run_request(statements.Commit(), begun.loan)
            reply = await controller.run(attrs.evolve(commit, borrower=2))
            self.assertIsNone(reply.answer)
            self.assertFalse(reply.may_have_run)
            controller.handle_end(loans.LoanEnd(begun.loan, True, 2))
            reply = await controller.run(attrs.evolve(commit, borrower=1))
            self.assertIsNone(reply.answer.problem)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    # Guards against a caller that waits for its deadline, or hears of a
    # commit that is not kept, as its instance's host and the instance stop.
    def test_callers_are_answered_while_host_and_borrower_stop(self):
        for host_first in (True, False):
            self.run_fleet(
                functools.partial(self.stop_both, host_first),
                **SHARED_CONNECTIONS,
            )

    async def stop_both(self, host_first, world):
        name = non_host_of_primary(world)
        host = hosts_of_primary(world)[0].name
        ended = asyncio.Event()
        callers = [world.caller(name, "posts") for _ in range(4)]
        working = [
            asyncio.ensure_future(self.transact(caller, number, ended))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(0.5)
        borrower = world.fleets[name]
        if not host_first:
            borrower.stopping = True
            await asyncio.sleep(STOP_INTERVAL_S)
        stopping_host = asyncio.ensure_future(stop(world, host))
        await asyncio.sleep(STOP_INTERVAL_S)
        borrower.stopping = True
        await asyncio.sleep(STOP_INTERVAL_S)
        ended.set()
        committed = await asyncio.gather(*working)
        await stop(world, name)
        await stopping_host
        self.assertLess(0, sum(committed))
        for lender in world.fleets.values():
            self.assertEqual({}, lender.connection_loans._loans)

    async def transact(self, caller, number, ended):
        """Run transactions until the end; return how many were committed."""
        committed = 0
        while not ended.is_set():
            answers = [
                await self.ask_in_time(caller, statement)
                for statement in (
                    statements.Begin(),
                    Direct(Access.WRITE, f"k{number} {committed}"),
                    statements.Commit(),
                )
            ]
            committed += answers[-1].problem is None
            self.assertIn(
                answers[-1].problem, (None, statements.Problem.ABORTED)
            )
            await asyncio.sleep(0.01)
        return committed

    async def ask_in_time(self, caller, statement):
        started_at = clock.now()
        answer = await caller.ask(statement)
        self.assertLess(clock.now() - started_at, ROUTE_TIMEOUT_S + 0.1)
        return answer

    def test_loans_of_a_dead_borrower_are_reclaimed(self):
        async def scenario(world):
            name = non_host_of_primary(world)
            caller = world.caller(name, "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "k 2"))
            lenders = [
                h for h in world.fleets.values() if h.connection_loans._loans
            ]
            self.assertEqual(1, len(lenders))
            await world.kill(name)
            table = lenders[0].directory.table
            await asyncio.sleep(table.idle_transaction_s + 3.0)
            self.assertEqual({}, lenders[0].connection_loans._loans)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)

    def test_a_host_without_a_valid_lease_runs_nothing(self):
        async def scenario(world):
            name = non_host_of_primary(world)
            target = world.group.primary.name
            host = world.fleets[hosts_of_primary(world)[0].name]
            leadership = host.leaders.latest(world.group.name)
            borrow_request = loans.BorrowRequest(
                target, leadership.epoch, 0.1, True
            )
            borrowed = await host.connection_loans.lend(borrow_request)
            self.assertNotEqual(0, borrowed.loan)
            # Isolates the host until its lease has expired.
            world.records.knobs.cut.add(host.me.name)
            for other in world.fleets:
                world.cuts.add(frozenset((host.me.name, other)))
            await asyncio.sleep(2.5)
            refused = await host.connection_loans.lend(borrow_request)
            self.assertEqual(0, refused.loan)
            kind, fields = loans.encode_statement(Direct(Access.WRITE, "k 2"))
            request = loans.RunRequest(
                borrowed.loan, None, kind, fields, "x", None, {}, None, 0.5
            )
            reply = await host.connection_loans.run(request)
            self.assertIsNone(reply.answer)
            self.assertFalse(reply.may_have_run)
            self.assertNotEqual(host.me.name, name)

        self.run_fleet(scenario, **SHARED_CONNECTIONS)
