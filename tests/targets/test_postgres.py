"""Tests of connections by the PostgreSQL protocol."""

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
WRITE = connection.Guard(1, write=True)
READ = connection.Guard(1)


async def with_target(use, **knobs):
    """Call `use` with a link to a target and the target itself."""
    port = real.free_port()
    held = database.Database("a", ["a"], "a", database.Knobs(**knobs))
    server = target_server.TargetServer(held, {"a": (real.HOST, port)})
    await server.start()
    link = postgres.PostgresConnector("u", "", "d")
    target = real.make_target("a", port)
    try:
        return await use(lambda: link.connect(target, 2.0), held)
    finally:
        server.stop()


async def write(conn, request_id, *statements):
    """Write under an identifier."""
    return await conn.write(
        WRITE, list(statements), request_id, 0.0, lambda results: b"kept"
    )


class PostgresConnectionTest(testtools.TestCase):
    """What the rules rely on, over the wire."""

    def run_with_target(self, use, **knobs):
        return real.run_real(with_target(use, **knobs))

    def test_values_survive(self):
        row = [None, 1, 2.5, "text", b"\x00\xff", 2**60, "ünï"]

        async def use(connect, _held):
            conn = await connect()
            names = ", ".join(f"${n}" for n in range(1, len(row) + 1))
            done = await conn.read(READ, [Statement(f"SELECT {names}", row)])
            return done.results[0].rows

        self.assertEqual([row], self.run_with_target(use))

    def test_dates_are_taken(self):
        async def use(connect, _held):
            conn = await connect()
            day = datetime.date(2027, 1, 31)
            done = await conn.read(READ, [Statement("SELECT $1", [day])])
            return done.results[0].rows

        self.assertEqual([["2027-01-31"]], self.run_with_target(use))

    def test_large_results_are_whole(self):
        sql = (
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
            "WHERE i < 20000) SELECT i, 'row ' || i FROM n"
        )

        async def use(connect, _held):
            conn = await connect()
            return (await conn.read(READ, [Statement(sql)])).results[0].rows

        rows = self.run_with_target(use)
        self.assertEqual(20000, len(rows))
        self.assertEqual([20000, "row 20000"], rows[-1])

    def test_an_identifier_is_recorded_once(self):
        async def use(connect, _held):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            insert = Statement("INSERT INTO t VALUES (1)")
            first = await write(conn, "r", insert)
            second = await write(conn, "r", insert)
            kept = await conn.recorded_answer(READ, "r")
            return first.position, second, kept

        position, second, kept = self.run_with_target(use)
        self.assertIsNone(second)
        self.assertEqual((b"kept", True, position), kept)

    def test_a_refused_guard_runs_nothing(self):
        async def use(connect, held):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            await held.fence(2, "other")
            insert = Statement("INSERT INTO t VALUES (1)")
            try:
                await write(conn, "r", insert)
            except exceptions.CommandFailed as exc:
                return exc.sqlstate, conn.idle, len(held.log)

        self.assertEqual(
            (protocol.SUPERSEDED, True, 2), self.run_with_target(use)
        )

    def test_a_fence_before_the_commit_refuses_it(self):
        async def use(connect, held):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            await conn.begin(WRITE)
            await conn.pipeline([Statement("INSERT INTO t VALUES (1)")])
            await held.fence(2, "other")
            await conn.record_request("r", 0.0)
            try:
                await conn.commit("r", b"", 1, [])
            except exceptions.CommandFailed as exc:
                return exc.sqlstate, len(held.log)

        self.assertEqual((protocol.SUPERSEDED, 2), self.run_with_target(use))

    def test_a_cancelled_answer_is_not_given_to_the_next(self):
        async def use(connect, _held):
            conn = await connect()
            slow = Statement("/* work:300 */ SELECT 'late'")
            try:
                async with asyncio.timeout(0.05):
                    await conn.read(READ, [slow])
            except TimeoutError:
                pass
            self.assertFalse(conn.idle)
            try:
                await conn.read(READ, [Statement("SELECT 'own'")])
            except exceptions.OutcomeUnknown:
                return "refused"

        self.assertEqual("refused", self.run_with_target(use))

    def test_a_target_that_is_behind_says_so(self):
        async def use(connect, _held):
            conn = await connect()
            ahead = connection.Guard(1, positions.LogPosition(1, 99))
            try:
                await conn.read(ahead, [Statement("SELECT 1")])
            except exceptions.CommandFailed as exc:
                return exc.sqlstate, conn.idle

        self.assertEqual((protocol.BEHIND, True), self.run_with_target(use))

    def test_a_read_of_the_latest_data_needs_the_primary(self):
        lead = connection.Guard(1, lead=True)

        async def use(connect, held):
            conn = await connect()
            await conn.read(lead, [Statement("SELECT 1")])
            await held.fence(2, "other")
            await held.follow(2, "b")
            refused = []
            for term in (1, 2):
                guard = connection.Guard(term, lead=True)
                try:
                    await conn.read(guard, [Statement("SELECT 1")])
                except exceptions.CommandFailed as exc:
                    refused.append(exc.sqlstate)
            await conn.read(READ, [Statement("SELECT 1")])
            return refused

        self.assertEqual(
            [protocol.SUPERSEDED, protocol.NOT_PRIMARY],
            self.run_with_target(use),
        )

    def test_a_read_can_not_write(self):
        async def use(connect, held):
            conn = await connect()
            await write(conn, "c", Statement("CREATE TABLE t (a)"))
            insert = Statement("INSERT INTO t VALUES (1)")
            try:
                await conn.read(READ, [insert])
            except exceptions.CommandFailed:
                return len(held.log)

        self.assertEqual(2, self.run_with_target(use))

    def test_the_connection_limit_is_kept(self):
        async def use(connect, held):
            conns = [await connect() for _ in range(2)]
            try:
                late = await connect()
                await late.status()
            except exceptions.BalsamhingeError:
                return held.peak_connections, len(conns)

        self.assertEqual((2, 2), self.run_with_target(use, connections=2))

    def test_a_dead_target_is_unavailable(self):
        link = postgres.PostgresConnector("u", "", "d")
        target = real.make_target("a", real.free_port())

        async def connect():
            await link.connect(target, 1.0)

        self.assertRaises(
            exceptions.ConnectionUnavailable, real.run_real, connect()
        )
