"""Tests of connections over the PostgreSQL protocol."""

import asyncio
import datetime

import testtools

from balsamhinge import exceptions
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.standins import database
from balsamhinge.standins import target as target_server
from balsamhinge.targets import connection
from balsamhinge.targets import postgres
from balsamhinge.targets import protocol
from tests.support import real

Statement = messages.Statement
WRITE_GUARD = connection.Guard(1, write=True)
READ_GUARD = connection.Guard(1)


async def with_target(use, **options):
    """Call `use` with a function that connects to a new target.

    The second argument of `use` is the target's `Database`.
    """
    port = real.free_port()
    target_database = database.Database(
        "a", ["a"], "a", database.Knobs(**options)
    )
    server = target_server.TargetServer(
        target_database, {"a": (real.HOST, port)}
    )
    await server.start()
    connector = postgres.PostgresConnector("u", "", "d")
    target = real.make_target("a", port)
    try:
        return await use(
            lambda: connector.connect(target, 2.0), target_database
        )
    finally:
        server.stop()


async def write(conn, request_id, *statements):
    """Run a write that is recorded under a request identifier."""
    return await conn.write(
        WRITE_GUARD, list(statements), request_id, 0.0, lambda results: b"kept"
    )


class PostgresConnectionTest(testtools.TestCase):
    """Connections behave as policies assume, over a real socket."""

    def run_with_target(self, use, **options):
        return real.run_real(with_target(use, **options))

    def test_values_round_trip(self):
        row = [None, 1, 2.5, "text", b"\x00\xff", 2**60, "ünï"]

        async def use(connect, _target):
            conn = await connect()
            names = ", ".join(f"${n}" for n in range(1, len(row) + 1))
            result = await conn.read(
                READ_GUARD, [Statement(f"SELECT {names}", row)]
            )
            return result.results[0].rows

        self.assertEqual([row], self.run_with_target(use))

    def test_dates_are_accepted_as_parameters(self):
        async def use(connect, _target):
            conn = await connect()
            day = datetime.date(2027, 1, 31)
            result = await conn.read(
                READ_GUARD, [Statement("SELECT $1", [day])]
            )
            return result.results[0].rows

        self.assertEqual([["2027-01-31"]], self.run_with_target(use))

    def test_large_results_are_complete(self):
        sql = (
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
            "WHERE i < 20000) SELECT i, 'row ' || i FROM n"
        )

        async def use(connect, _target):
            conn = await connect()
            return (
                (await conn.read(READ_GUARD, [Statement(sql)])).results[0].rows
            )

        rows = self.run_with_target(use)
        self.assertEqual(20000, len(rows))
        self.assertEqual([20000, "row 20000"], rows[-1])

    def test_a_request_is_recorded_once(self):
        async def use(connect, _target):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            insert = Statement("INSERT INTO t VALUES (1)")
            first_result = await write(conn, "r", insert)
            second_result = await write(conn, "r", insert)
            recorded = await conn.recorded_answer(READ_GUARD, "r")
            return first_result.position, second_result, recorded

        position, second_result, recorded = self.run_with_target(use)
        self.assertIsNone(second_result)
        self.assertEqual((b"kept", True, position), recorded)

    def test_a_failed_guard_runs_no_statement(self):
        async def use(connect, target):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            await target.fence(2, "other")
            insert = Statement("INSERT INTO t VALUES (1)")
            try:
                await write(conn, "r", insert)
            except exceptions.CommandFailed as exc:
                return exc.sqlstate, conn.idle, len(target.log)

        self.assertEqual(
            (protocol.SUPERSEDED, True, 2), self.run_with_target(use)
        )

    # A transaction that passed its guard before a fence must not commit.
    def test_a_fence_before_the_commit_rejects_it(self):
        async def use(connect, target):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            await conn.begin(WRITE_GUARD)
            await conn.pipeline([Statement("INSERT INTO t VALUES (1)")])
            await target.fence(2, "other")
            await conn.record_request("r", 0.0)
            try:
                await conn.commit("r", b"", 1, [])
            except exceptions.CommandFailed as exc:
                return exc.sqlstate, len(target.log)

        self.assertEqual((protocol.SUPERSEDED, 2), self.run_with_target(use))

    # A read that timed out must not leave its result for the next read.
    def test_a_cancelled_answer_does_not_reach_the_next_request(self):
        async def use(connect, _target):
            conn = await connect()
            slow = Statement("/* work:300 */ SELECT 'late'")
            try:
                async with asyncio.timeout(0.05):
                    await conn.read(READ_GUARD, [slow])
            except TimeoutError:
                pass
            self.assertFalse(conn.idle)
            try:
                await conn.read(READ_GUARD, [Statement("SELECT 'own'")])
            except exceptions.OutcomeUnknown:
                return "refused"

        self.assertEqual("refused", self.run_with_target(use))

    def test_a_read_fails_on_a_target_that_is_behind(self):
        async def use(connect, _target):
            conn = await connect()
            ahead = connection.Guard(1, positions.LogPosition(1, 99))
            try:
                await conn.read(ahead, [Statement("SELECT 1")])
            except exceptions.CommandFailed as exc:
                return exc.sqlstate, conn.idle

        self.assertEqual((protocol.BEHIND, True), self.run_with_target(use))

    # A deposed primary may lack writes that its successor acknowledged.
    def test_a_read_of_the_latest_data_needs_the_primary(self):
        lead = connection.Guard(1, lead=True)

        async def use(connect, target):
            conn = await connect()
            await conn.read(lead, [Statement("SELECT 1")])
            await target.fence(2, "other")
            await target.follow(2, "b")
            sqlstates = []
            for term in (1, 2):
                guard = connection.Guard(term, lead=True)
                try:
                    await conn.read(guard, [Statement("SELECT 1")])
                except exceptions.CommandFailed as exc:
                    sqlstates.append(exc.sqlstate)
            await conn.read(READ_GUARD, [Statement("SELECT 1")])
            return sqlstates

        self.assertEqual(
            [protocol.SUPERSEDED, protocol.NOT_PRIMARY],
            self.run_with_target(use),
        )

    def test_a_read_cannot_write(self):
        async def use(connect, target):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            insert = Statement("INSERT INTO t VALUES (1)")
            try:
                await conn.read(READ_GUARD, [insert])
            except exceptions.CommandFailed:
                return len(target.log)

        self.assertEqual(2, self.run_with_target(use))

    def test_the_connection_limit_is_enforced(self):
        async def use(connect, target):
            conns = [await connect() for _ in range(2)]
            try:
                late = await connect()
                await late.status()
            except exceptions.BalsamhingeError:
                return target.peak_connections, len(conns)

        self.assertEqual((2, 2), self.run_with_target(use, connections=2))

    def test_connecting_to_a_stopped_target_fails(self):
        connector = postgres.PostgresConnector("u", "", "d")
        target = real.make_target("a", real.free_port())

        async def connect():
            await connector.connect(target, 1.0)

        self.assertRaises(
            exceptions.ConnectionUnavailable, real.run_real, connect()
        )
