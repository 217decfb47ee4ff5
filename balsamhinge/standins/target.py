"""Serves a stand-in target over the PostgreSQL protocol."""

import asyncio
import contextlib
import itertools

import pg_mimic
from pg_mimic import results as pg_results
from pg_mimic import session as pg_session
from pg_mimic import types as pg_types

from balsamhinge.configuration import plan
from balsamhinge import exceptions
from balsamhinge.standins import answers
from balsamhinge.standins import replication
from balsamhinge.standins import sessions
from balsamhinge.targets import postgres
from balsamhinge.targets import protocol

__all__ = ["TargetServer"]

IDLE = b"I"
IN_TRANSACTION = b"T"
FAILED = b"E"
CONNECT_S = 1.0
TYPES = {
    bool: pg_types.BOOL,
    int: pg_types.INT8,
    float: pg_types.FLOAT8,
    bytes: pg_types.BYTEA,
}


class _Portal(pg_session.Portal):
    """Gives out the rows of a result that is there already."""

    def __init__(self, statement):
        self._statement = statement

    async def execute(self, max_rows):
        result = await self._statement.result()
        if result.columns:
            return [tuple(row) for row in result.rows], False
        # The command tag counts rows, also those that are not sent.
        return [()] * result.row_count, False


class _Statement(pg_session.Statement):
    """Runs when the shape of its rows is asked for, once bound."""

    def __init__(self, owner, sql, param_oids):
        self.sql = sql
        self.param_oids = param_oids
        self._owner = owner
        self._params = []
        self._result = None

    def bind(self, params):
        self._params = [
            stored_value(value, oid)
            for value, oid in itertools.zip_longest(
                params, self.param_oids[: len(params)]
            )
        ]
        return _Portal(self)

    async def describe(self):
        result = await self.result()
        if not result.columns:
            return None
        return [
            pg_results.ResultColumn(name, type_of(result.rows, index))
            for index, name in enumerate(result.columns)
        ]

    async def result(self):
        if self._result is None:
            self._result = await self._owner.run(self.sql, self._params)
        return self._result


class _Session(pg_session.BaseSession):
    """One connection."""

    def __init__(self, held):
        self._database = held
        self._session = None
        self._connection = None

    async def init(self, connection):
        self._connection = connection
        await asyncio.sleep(self._database.knobs.connect_s)
        try:
            self._session = sessions.DatabaseSession(self._database)
        except exceptions.CommandFailed:
            return

    async def close(self):
        if self._session is not None:
            self._session.close()

    async def prepare(self, sql, param_oids):
        return _Statement(self, sql, param_oids)

    async def run(self, sql, params):
        if self._session is None:
            raise pg_mimic.PgError(
                protocol.TOO_MANY_CONNECTIONS, "too many connections"
            )
        self._session.stop_watching_idle()
        try:
            result = await self._session.execute(sql, params)
        except exceptions.CommandFailed as exc:
            raise pg_mimic.PgError(exc.sqlstate, exc.message) from exc
        finally:
            self._show_status()
        self._session.watch_idle()
        return result

    def _show_status(self):
        status = IN_TRANSACTION if self._session.in_transaction else IDLE
        if self._session.failed:
            status = FAILED
        self._connection.tx_status = status


class _Server(pg_mimic.PgServer):
    """Takes connections that break as the end of a session."""

    async def _client_connected_cb(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await super()._client_connected_cb(reader, writer)


def stored_value(value, oid):
    """Return a parameter in a type that SQLite stores."""
    if value is None:
        return None
    match oid:
        case pg_types.BOOL:
            return int(value == "t")
        case pg_types.INT2 | pg_types.INT4 | pg_types.INT8:
            return int(value)
        case pg_types.FLOAT4 | pg_types.FLOAT8 | pg_types.NUMERIC:
            return float(value)
        case pg_types.BYTEA if isinstance(value, str):
            return bytes.fromhex(value.removeprefix("\\x"))
        case _:
            return value


def type_of(rows, index):
    """Return the PostgreSQL type of a column."""
    for row in rows:
        if row[index] is not None:
            return TYPES.get(type(row[index]), pg_types.TEXT)
    return pg_types.TEXT


class TargetServer:
    """One stand-in target with its port.

    Parameters
    ----------
    held : Database
        The target.
    places : dict of str to (str, int)
        Hosts and ports of the group's targets by name.
    """

    def __init__(self, held, places):
        self.database = held
        self._places = places
        self._server = _Server(lambda: _Session(held))
        self._replicator = replication.Replicator(held, self._read_log)
        self._conn = None

    async def start(self):
        """Listen, and follow the primary."""
        host, port = self._places[self.database.name]
        await self._server.start_server(host, port, backlog=128)
        self._replicator.start()

    def stop(self):
        """Stop at once."""
        self._replicator.stop()
        self._server.close()
        self.database.close()

    async def _read_log(self, primary, term, last, most, timeout_s):
        try:
            async with asyncio.timeout(timeout_s + CONNECT_S):
                return await self._ask(primary, term, last, most, timeout_s)
        except BaseException:
            await self._drop()
            raise

    async def _ask(self, primary, term, last, most, timeout_s):
        if self._conn is None or self._conn[0] != primary:
            await self._drop()
            host, port = self._places[primary]
            target = plan.Target(
                primary, host, port, "", 0, 0, plan.TargetState.ACTIVE, 0
            )
            link = postgres.PostgresConnector("replica", "", "postgres")
            conn = await link.connect(target, CONNECT_S)
            self._conn = primary, conn
        return await fetch_log(self._conn[1], term, last, most, timeout_s)

    async def _drop(self):
        if self._conn is not None:
            _primary, conn = self._conn
            self._conn = None
            await conn.close()


async def fetch_log(conn, term, last, most, timeout_s):
    """Return what `Database.read_log` of the connected primary gives."""
    statement = answers.log_statement(term, last, most, timeout_s)
    (result,) = await conn.pipeline([statement])
    return answers.parse_log(result)
