"""Connections to targets that speak the PostgreSQL protocol."""

import asyncio

import psycopg
from psycopg import pq

from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.policy import messages
from balsamhinge.targets import connection

__all__ = ["PostgresConnection", "PostgresLink"]

CLOSE_S = 0.2
PIPELINE_ABORTED = "25P02"


class PostgresConnection(connection.TargetConnection):
    """One connection, used in pipeline mode.

    Parameters
    ----------
    conn : psycopg.AsyncConnection
        An open connection in autocommit mode.
    """

    def __init__(self, conn):
        self._conn = conn
        self._broken = False

    @property
    def idle(self):
        """See `TargetConnection.idle`."""
        status = self._conn.info.transaction_status
        return not self._broken and status == pq.TransactionStatus.IDLE

    async def pipeline(self, statements):
        """See `TargetConnection.pipeline`."""
        if self._broken:
            raise exceptions.AnswerLost("the connection is broken")
        cursors = []
        try:
            async with self._conn.pipeline():
                for statement in statements:
                    cursor = psycopg.AsyncRawCursor(self._conn)
                    cursors.append(cursor)
                    await cursor.execute(
                        statement.sql, statement.params or None
                    )
        except psycopg.Error as exc:
            raise self._translated(exc, cursors) from exc
        except asyncio.CancelledError:
            # The rest of an answer may still be on its way; it must not
            # be taken for the answer to another request.
            self._broken = True
            raise
        return [await result_of(cursor) for cursor in cursors]

    def _translated(self, exc, cursors):
        if exc.sqlstate is None or self._conn.closed:
            self._broken = True
            return exceptions.AnswerLost(str(exc))
        index = failed_index(cursors)
        message = exc.diag.message_primary or str(exc)
        return exceptions.CommandFailed(index, exc.sqlstate, message, [])

    async def close(self):
        """See `TargetConnection.close`."""
        self._broken = True
        try:
            async with asyncio.timeout(CLOSE_S):
                await self._conn.close()
        except (TimeoutError, psycopg.Error):
            return


def failed_index(cursors):
    """Return the place of the first command without a result."""
    for index, cursor in enumerate(cursors):
        if cursor.pgresult is None:
            return index
    return len(cursors) - 1


async def result_of(cursor):
    """Return what a cursor holds as a `CommandResult`."""
    if cursor.description is None:
        count = max(cursor.rowcount, 0)
        return messages.CommandResult(row_count=count)
    columns = [column.name for column in cursor.description]
    rows = [list(row) for row in await cursor.fetchall()]
    return messages.CommandResult(columns, rows, len(rows))


class PostgresLink(links.TargetLink):
    """Opens connections to targets.

    Parameters
    ----------
    user, password, dbname : str
        What every target accepts.
    """

    def __init__(self, user, password, dbname):
        self._user = user
        self._password = password
        self._dbname = dbname

    async def connect(self, target, timeout_s):
        """See `TargetLink.connect`."""
        try:
            async with asyncio.timeout(timeout_s):
                conn = await psycopg.AsyncConnection.connect(
                    host=target.host,
                    port=target.port,
                    user=self._user,
                    password=self._password or None,
                    dbname=self._dbname,
                    autocommit=True,
                    prepare_threshold=None,
                    sslmode="disable",
                    application_name="balsamhinge",
                )
        except (psycopg.Error, OSError, TimeoutError) as exc:
            reason = str(exc) or "the target did not answer in time"
            raise exceptions.ConnectionUnavailable(reason) from exc
        return PostgresConnection(conn)
