"""Connections to targets over the PostgreSQL protocol."""

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
SUCCESS_STATUSES = (Status.COMMAND_OK, Status.TUPLES_OK, Status.EMPTY_QUERY)
FLUSH_COMPLETE = 0


@attrs.define
class _PendingPipeline:
    """A pipeline that was sent and is not completely answered.

    Parameters
    ----------
    done : asyncio.Future
        Resolves to the results or to the error that ended the pipeline.
    results : list of CommandResult
        Results received so far, in the order of the commands.
    failure : CommandFailed or None
        Error of the first command that failed.
    """

    done: asyncio.Future
    results: list = attrs.Factory(list)
    failure: exceptions.CommandFailed | None = None


class PostgresConnection(connection.TargetConnection):
    """A connection that stays in libpq's pipeline mode.

    Parameters
    ----------
    conn : psycopg.AsyncConnection
        Open connection.

    Notes
    -----
    A reader callback on the event loop consumes packets as they arrive,
    and the caller resumes once, when all results are complete. psycopg's
    own cursors would resume it for each packet.
    """

    def __init__(self, conn):
        self._conn = conn
        self._pgconn = conn.pgconn
        self._pgconn.nonblocking = 1
        self._pgconn.enter_pipeline_mode()
        self._transformer = adapt.Transformer(conn)
        self._broken = False
        self._pending = None
        self._loop = asyncio.get_running_loop()
        self._socket = self._pgconn.socket
        self._loop.add_reader(self._socket, self._on_readable)

    @property
    def idle(self):
        """See `TargetConnection.idle`."""
        status = self._pgconn.transaction_status
        return not self._broken and status == pq.TransactionStatus.IDLE

    async def pipeline(self, statements):
        """See `TargetConnection.pipeline`."""
        if self._broken or self._pending is not None:
            raise exceptions.OutcomeUnknown("the connection is not usable")
        pending = _PendingPipeline(self._loop.create_future())
        self._pending = pending
        try:
            self._send(statements)
            return await pending.done
        except psycopg.OperationalError as exc:
            self._mark_broken()
            raise exceptions.OutcomeUnknown(str(exc)) from exc
        except asyncio.CancelledError:
            # Outstanding results must not be read as the results of the
            # next pipeline.
            self._mark_broken()
            raise
        finally:
            self._pending = None

    def _send(self, statements):
        for statement in statements:
            values, types, formats = self._encode_params(statement.params)
            self._pgconn.send_query_params(
                statement.sql.encode(), values, types, formats
            )
        self._pgconn.pipeline_sync()
        self._flush()

    def _encode_params(self, params):
        if not params:
            return None, None, None
        formats = [adapt.PyFormat.AUTO] * len(params)
        values = self._transformer.dump_sequence(params, formats)
        return values, self._transformer.types, self._transformer.formats

    def _flush(self):
        if self._pgconn.flush() == FLUSH_COMPLETE:
            self._loop.remove_writer(self._socket)
        else:
            self._loop.add_writer(self._socket, self._on_writable)

    def _on_writable(self):
        try:
            self._flush()
        except psycopg.OperationalError as exc:
            self._fail(str(exc))

    def _on_readable(self):
        """Consume available input; reader callback of the event loop."""
        try:
            self._pgconn.consume_input()
            if self._pending is not None:
                self._process_results()
        except psycopg.OperationalError as exc:
            self._fail(str(exc).strip())

    def _process_results(self):
        pending = self._pending
        empty_results = 0
        while not self._pgconn.is_busy() and not pending.done.done():
            result = self._pgconn.get_result()
            if result is None:
                # A single None separates the results of two commands; two
                # in a row mean that no further result has arrived.
                empty_results += 1
                if empty_results > 1:
                    return
                continue
            empty_results = 0
            self._process_result(pending, result)

    def _process_result(self, pending, result):
        if result.status == Status.PIPELINE_SYNC:
            if pending.failure is not None:
                pending.done.set_exception(pending.failure)
            else:
                pending.done.set_result(pending.results)
        elif result.status in SUCCESS_STATUSES:
            pending.results.append(self._decode_result(result))
        elif pending.failure is None:
            pending.failure = build_command_failure(result, pending.results)

    def _decode_result(self, result):
        if result.status != Status.TUPLES_OK:
            count = result.command_tuples or 0
            return messages.CommandResult(row_count=count)
        columns = [
            result.fname(index).decode() for index in range(result.nfields)
        ]
        self._transformer.set_pgresult(result)
        rows = self._transformer.load_rows(0, result.ntuples, list)
        return messages.CommandResult(columns, rows, len(rows))

    def _fail(self, reason):
        """Mark the connection broken and fail the pending pipeline."""
        pending = self._pending
        self._mark_broken()
        if pending is not None and not pending.done.done():
            pending.done.set_exception(exceptions.OutcomeUnknown(reason))

    def _mark_broken(self):
        if not self._broken:
            self._broken = True
            self._loop.remove_reader(self._socket)
            self._loop.remove_writer(self._socket)

    async def close(self):
        """See `TargetConnection.close`."""
        self._mark_broken()
        self._pgconn.finish()


def build_command_failure(result, results):
    """Return the error for a command that the target rejected."""
    sqlstate = result.error_field(pq.DiagnosticField.SQLSTATE) or b""
    message = result.error_field(pq.DiagnosticField.MESSAGE_PRIMARY) or b""
    return exceptions.CommandFailed(
        len(results), sqlstate.decode(), message.decode(), results
    )


class PostgresConnector(interfaces.TargetConnector):
    """Opens connections to targets.

    Parameters
    ----------
    user, password, dbname : str
        Credentials and database name, the same for all targets.
    ca_path : str
        Path of the CA certificates that verify targets, or "" for
        connections without TLS.
    """

    def __init__(self, user, password, dbname, ca_path=""):
        self._user = user
        self._password = password
        self._dbname = dbname
        self._tls = {"sslmode": "disable"}
        if ca_path:
            self._tls = {"sslmode": "verify-ca", "sslrootcert": ca_path}

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
