"""Connections to targets that speak the PostgreSQL protocol."""

import asyncio

import attrs
import psycopg
from psycopg import adapt
from psycopg import pq

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.policy import messages
from balsamhinge.targets import connection

__all__ = ["PostgresConnection", "PostgresConnector"]

Status = pq.ExecStatus
GOOD = (Status.COMMAND_OK, Status.TUPLES_OK, Status.EMPTY_QUERY)
FLUSHED = 0


@attrs.define
class _Exchange:
    """One pipeline on its way: what has come back of it so far.

    Parameters
    ----------
    done : asyncio.Future
        Gets the results, or the error that ended the pipeline.
    results : list of CommandResult
        Of the commands so far.
    failure : CommandFailed or None
        The first command that failed.
    """

    done: asyncio.Future
    results: list = attrs.Factory(list)
    failure: exceptions.CommandFailed | None = None


class PostgresConnection(connection.TargetConnection):
    """One connection, in libpq's pipeline mode all the time.

    Parameters
    ----------
    conn : psycopg.AsyncConnection
        An open connection.

    Notes
    -----
    Packets are taken in by the loop's reader as they come, and the caller
    wakes up once, with the whole answer. psycopg's own cursors wake it up
    for each packet.
    """

    def __init__(self, conn):
        self._conn = conn
        self._pgconn = conn.pgconn
        self._pgconn.nonblocking = 1
        self._pgconn.enter_pipeline_mode()
        self._types = adapt.Transformer(conn)
        self._broken = False
        self._exchange = None
        self._loop = asyncio.get_running_loop()
        self._socket = self._pgconn.socket
        self._loop.add_reader(self._socket, self._take_in)

    @property
    def idle(self):
        """See `TargetConnection.idle`."""
        status = self._pgconn.transaction_status
        return not self._broken and status == pq.TransactionStatus.IDLE

    async def pipeline(self, statements):
        """See `TargetConnection.pipeline`."""
        if self._broken or self._exchange is not None:
            raise exceptions.OutcomeUnknown("the connection is not usable")
        exchange = _Exchange(self._loop.create_future())
        self._exchange = exchange
        try:
            self._send(statements)
            return await exchange.done
        except psycopg.OperationalError as exc:
            self._break()
            raise exceptions.OutcomeUnknown(str(exc)) from exc
        except asyncio.CancelledError:
            # The rest of the answer may still be on its way; it must not
            # be taken for the answer to another request.
            self._break()
            raise
        finally:
            self._exchange = None

    def _send(self, statements):
        for statement in statements:
            values, types, formats = self._dumped(statement.params)
            self._pgconn.send_query_params(
                statement.sql.encode(), values, types, formats
            )
        self._pgconn.pipeline_sync()
        self._flush()

    def _dumped(self, params):
        if not params:
            return None, None, None
        formats = [adapt.PyFormat.AUTO] * len(params)
        values = self._types.dump_sequence(params, formats)
        return values, self._types.types, self._types.formats

    def _flush(self):
        if self._pgconn.flush() == FLUSHED:
            self._loop.remove_writer(self._socket)
        else:
            self._loop.add_writer(self._socket, self._flush_more)

    def _flush_more(self):
        try:
            self._flush()
        except psycopg.OperationalError as exc:
            self._lose(str(exc))

    def _take_in(self):
        """Take in what has come; the loop's reader."""
        try:
            self._pgconn.consume_input()
            if self._exchange is not None:
                self._take_results()
        except psycopg.OperationalError as exc:
            self._lose(str(exc).strip())

    def _take_results(self):
        exchange = self._exchange
        ended = 0
        while not self._pgconn.is_busy() and not exchange.done.done():
            result = self._pgconn.get_result()
            if result is None:
                # Nothing separates two commands' results; twice nothing
                # is the end of what has come.
                ended += 1
                if ended > 1:
                    return
                continue
            ended = 0
            self._take_result(exchange, result)

    def _take_result(self, exchange, result):
        if result.status == Status.PIPELINE_SYNC:
            if exchange.failure is not None:
                exchange.done.set_exception(exchange.failure)
            else:
                exchange.done.set_result(exchange.results)
        elif result.status in GOOD:
            exchange.results.append(self._loaded(result))
        elif exchange.failure is None:
            exchange.failure = failure_of(result, exchange.results)

    def _loaded(self, result):
        if result.status != Status.TUPLES_OK:
            count = result.command_tuples or 0
            return messages.CommandResult(row_count=count)
        columns = [
            result.fname(index).decode() for index in range(result.nfields)
        ]
        self._types.set_pgresult(result)
        rows = self._types.load_rows(0, result.ntuples, list)
        return messages.CommandResult(columns, rows, len(rows))

    def _lose(self, reason):
        """Give up the connection; the answer, if any, is lost."""
        exchange = self._exchange
        self._break()
        if exchange is not None and not exchange.done.done():
            exchange.done.set_exception(exceptions.OutcomeUnknown(reason))

    def _break(self):
        if not self._broken:
            self._broken = True
            self._loop.remove_reader(self._socket)
            self._loop.remove_writer(self._socket)

    async def close(self):
        """See `TargetConnection.close`."""
        self._break()
        self._pgconn.finish()


def failure_of(result, results):
    """Return the error of a command that the target refused."""
    sqlstate = result.error_field(pq.DiagnosticField.SQLSTATE) or b""
    message = result.error_field(pq.DiagnosticField.MESSAGE_PRIMARY) or b""
    return exceptions.CommandFailed(
        len(results), sqlstate.decode(), message.decode(), results
    )


class PostgresConnector(links.TargetLink):
    """Opens connections to targets.

    Parameters
    ----------
    user, password, dbname : str
        What every target accepts.
    authority : str
        Path of the certificates that targets are verified with, or "" for
        connections without TLS.
    """

    def __init__(self, user, password, dbname, authority=""):
        self._user = user
        self._password = password
        self._dbname = dbname
        self._tls = {"sslmode": "disable"}
        if authority:
            self._tls = {"sslmode": "verify-ca", "sslrootcert": authority}

    async def connect(self, target, timeout_s):
        """See `TargetConnector.connect`."""
        try:
            async with asyncio.timeout(timeout_s):
                conn = await psycopg.AsyncConnection.connect(
                    host=target.host,
                    port=target.port,
                    user=self._user,
                    password=self._password or None,
                    dbname=self._dbname,
                    autocommit=True,
                    application_name="balsamhinge",
                    **self._tls,
                )
        except (psycopg.Error, OSError, TimeoutError) as exc:
            reason = str(exc) or "the target did not answer in time"
            raise exceptions.ConnectionUnavailable(reason) from exc
        return PostgresConnection(conn)
