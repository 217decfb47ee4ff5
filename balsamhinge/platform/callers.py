"""Server of the line protocol towards callers."""

import asyncio
import collections
import traceback

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge import metrics
from balsamhinge.platform import wire
from balsamhinge.policy import statements
from balsamhinge.sessions import session

__all__ = ["CallerServer"]

# A caller gives up on a session that is not accepted within 2 s.
ACCEPT_TIMEOUT_S = 1.8
# Requests of one caller that are queued while another one is executed;
# further ones stay in the socket.
MAX_QUEUED_REQUESTS = 64
LISTEN_BACKLOG = 1024
IDLE_CHECK_INTERVAL_S = 0.5
# A drain closes idle sessions in up to MAX_DRAIN_STEPS batches.
DRAIN_STEP_INTERVAL_S = 0.1
MAX_DRAIN_STEPS = 10
FLUSH_POLL_INTERVAL_S = 0.02
# A caller that sends one request after the other is not idle for this long
# between an answer and its next request.
MIN_IDLE_S = 0.1
# The load balancer takes an instance out after two failed readiness probes,
# one second apart. Callers whose sessions are closed earlier would be sent
# back to this instance.
ISOLATED_CLOSE_DELAY_S = 2.1

log = logbook.Logger(__name__)

Answer = statements.Answer
Problem = statements.Problem
State = statements.State


class CallerServer:
    """Accepts callers and tracks their connections.

    Parameters
    ----------
    fleet : FleetInstance
        Controllers of this instance.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.connections = set()
        self._server = None

    async def start(self, address):
        """Listen on `address`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
        )
        self.fleet.spawn(
            clock.run_forever(self._check_idle, IDLE_CHECK_INTERVAL_S)
        )

    async def _check_idle(self):
        now = clock.now()
        limit_s = self.fleet.directory.table.idle_transaction_s
        for conn in list(self.connections):
            conn.abort_idle_transaction(now, limit_s)
        if self.fleet.isolated_s > ISOLATED_CLOSE_DELAY_S:
            idle = self._idle_connections()
            if idle:
                event(log.notice, "sessions_sent_away", sessions=len(idle))
            for conn in idle:
                conn.close()

    def _idle_connections(self):
        return [
            conn
            for conn in self.connections
            if conn.is_idle() and conn.idle_s() > MIN_IDLE_S
        ]

    @property
    def answer_by(self):
        """Loop seconds of the latest answer; None without a shutdown."""
        schedule = self.fleet.shutdown
        return None if schedule is None else schedule.answer_by

    async def drain(self, schedule):
        """Close all sessions gracefully.

        Idle sessions are closed in batches, so that their callers do not all
        reconnect to other instances at once. Others are closed after their
        next refusal. As long as the server listens, further sessions may
        come.

        Parameters
        ----------
        schedule : ShutdownSchedule
            When which work is no longer accepted.
        """
        for conn in self.connections:
            conn.limit_answer_time(schedule.answer_by)
        may_have_sessions = True
        while may_have_sessions and clock.now() < schedule.answer_by:
            # A connection that was accepted just before the end of listening
            # is seen one step later.
            may_have_sessions = self._may_have_sessions()
            remaining_s = max(
                DRAIN_STEP_INTERVAL_S,
                schedule.refuse_operations_at - clock.now(),
            )
            idle = self._idle_connections()
            steps = min(
                MAX_DRAIN_STEPS,
                max(1, int(remaining_s / DRAIN_STEP_INTERVAL_S)),
            )
            for conn in idle[: 1 + len(idle) // steps]:
                conn.close()
            await clock.pause(DRAIN_STEP_INTERVAL_S)
        for conn in list(self.connections):
            conn.finish()
        while self.connections and clock.now() < schedule.close_by:
            await clock.pause(FLUSH_POLL_INTERVAL_S)
        event(log.notice, "callers_drained", remaining=len(self.connections))

    def _may_have_sessions(self):
        is_listening = self._server is not None and self._server.is_serving()
        return bool(self.connections) or is_listening

    def stop_listening(self):
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()


class CallerConnection(asyncio.Protocol):
    """A connection from a caller.

    Parameters
    ----------
    server : CallerServer
        The server that accepted the connection.
    """

    def __init__(self, server):
        self._server = server
        self._fleet = server.fleet
        self._buffer = wire.LineBuffer()
        self._transport = None
        self._pending_lines = collections.deque()
        self._task = None
        self._session = None
        # Identifier of the request that is being answered, and the loop
        # seconds of its start.
        self._request_id = ""
        self._request_started_at = 0.0
        self._answer_timeout = None
        self._last_active_at = clock.now()
        # Whether to close the connection when all requests are answered.
        self._finishing = False
        self._closing = False
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self._server.connections.discard(self)
        self._closing = True
        self._writable.set()
        if self._session is not None and self._task is None:
            self._session.close()

    def pause_writing(self):
        """See `asyncio.Protocol`."""
        self._writable.clear()

    def resume_writing(self):
        """See `asyncio.Protocol`."""
        self._writable.set()

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        self._pending_lines.extend(self._buffer.feed(data))
        has_error = self._buffer.error is not None
        if has_error or len(self._pending_lines) > MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()
        if self._task is None and (self._pending_lines or has_error):
            self._task = asyncio.ensure_future(self._process_lines())

    def eof_received(self):
        """Answer the requests that came before the end of the stream.

        Returns
        -------
        bool
            Whether to keep the connection open.
        """
        self._finishing = True
        return self._task is not None

    async def _process_lines(self):
        """Process the received lines one by one."""
        try:
            while self._pending_lines and not self._closing:
                await self._handle_line(self._pending_lines.popleft())
                await self._writable.wait()
                if (
                    len(self._pending_lines) <= MAX_QUEUED_REQUESTS
                    and self._buffer.error is None
                ):
                    self._transport.resume_reading()
            if self._buffer.error is not None and not self._closing:
                self._refuse_unreadable(self._buffer.error)
        except Exception as exc:
            self._log_failure(exc)
            # In a session, a statement may have run before the error.
            self._refuse(
                Problem.IN_DOUBT if self._session else Problem.BUSY,
                "internal error",
            )
        finally:
            self._task = None
            self._last_active_at = clock.now()
            if self._finishing:
                self.close()
            if self._closing and self._session is not None:
                self._session.close()

    async def _handle_line(self, line):
        word, _, rest = line.partition(" ")
        match word:
            case wire.CONNECT if self._session is None:
                await self._open_session(rest)
            case wire.QUERY if self._session is not None:
                await self._answer_query(rest)
            case wire.QUIT:
                self.close()
            case _:
                self._refuse(Problem.MALFORMED, "unexpected message")

    def _refuse(self, problem, detail):
        """Send an ERROR line and close the connection."""
        self._write(wire.encode_line(wire.error_line(problem, detail)))
        self.close()

    def _refuse_unreadable(self, error):
        """Refuse a message that violates the protocol, and end the session."""
        event(log.info, "message_refused", error=error)
        match error:
            case exceptions.MessageTooLong():
                self._refuse(Problem.TOO_LARGE, str(error))
            case _:
                self._refuse(Problem.MALFORMED, str(error))

    def _write(self, data):
        if self._transport.is_closing():
            self._log_unanswered("answer_dropped")
        else:
            self._transport.write(data)

    def _log_failure(self, exc):
        """Log an error that no handler expected.

        Its text may contain a customer's key.
        """
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        event(
            log.error,
            "request_failed",
            request_id=self._request_id,
            error=type(exc).__name__,
            function=frame.name,
            line=frame.lineno,
        )

    def _log_unanswered(self, name):
        """Log what is known of a request without a regular answer."""
        event(
            log.notice,
            name,
            request_id=self._request_id,
            database=self._session.database if self._session else "",
            state=self._session.state.name if self._session else "",
            queued=len(self._pending_lines),
            waited_s=clock.now() - self._request_started_at,
        )

    async def _open_session(self, rest):
        database, _, key = rest.partition(" ")
        directory = self._fleet.directory
        deadline = clock.now() + ACCEPT_TIMEOUT_S
        try:
            async with asyncio.timeout_at(deadline):
                await directory.table_changed.wait()
        except TimeoutError:
            self._refuse(Problem.BUSY, "no configuration yet")
            return
        customers = self._fleet.customers
        if database not in directory.table.routes:
            if customers.is_key(database):
                database = ""
            event(
                log.info,
                "database_unknown",
                database=database,
                version=directory.table.version,
                unanswered_s=directory.routes.unanswered_s(),
            )
            self._refuse(Problem.NO_DATABASE, database or "-")
            return
        try:
            identity = customers.identify(database, key)
        except exceptions.KeyDenied as exc:
            self._refuse(Problem.DENIED, str(exc))
            return
        except exceptions.ConfigurationOutdated as exc:
            self._refuse(Problem.BUSY, exc.reason)
            return
        self._session = session.Session(self._fleet, database, identity)
        self._write(wire.encode_line(wire.encode_ready(State.IDLE)))

    async def _answer_query(self, rest):
        request_id, _, text = rest.partition(" ")
        self._request_id = request_id
        self._request_started_at = started_at = clock.now()
        try:
            statement = wire.parse_statement(text)
        except exceptions.ProtocolError as exc:
            answer = Answer.refusal(
                Problem.MALFORMED, str(exc), self._session.state
            )
        else:
            answer = await self._run(request_id, statement)
        elapsed_s = clock.now() - started_at
        metrics.observe_statement(
            self._session.database,
            answer.problem.value if answer.problem else "done",
            elapsed_s,
        )
        if (route := self._session.route) is not None:
            metrics.observe_priority(route.priority, elapsed_s)
        self._write(wire.encode_answer(answer))
        refused = answer.problem is not None and answer.state is State.IDLE
        if refused and self._is_refusing():
            # The caller has to repeat its request at another instance.
            self._finishing = True

    async def _run(self, request_id, statement):
        """Return the answer to a statement, which a shutdown may give up."""
        try:
            async with asyncio.timeout_at(self._server.answer_by) as timeout:
                self._answer_timeout = timeout
                return await self._session.answer(request_id, statement)
        except TimeoutError:
            self._log_unanswered("request_given_up")
            self._finishing = True
            return self._session.give_up(statement, Problem.TIMEOUT)
        except (Exception, asyncio.CancelledError) as exc:
            # The cancelled task may be one that the session awaited.
            if asyncio.current_task().cancelling():
                raise
            self._log_failure(exc)
            self._finishing = True
            return self._session.give_up(statement, Problem.FAILED)
        finally:
            self._answer_timeout = None

    def limit_answer_time(self, deadline):
        """Give the running request up if it is not answered in time.

        Parameters
        ----------
        deadline : float
            Loop seconds.
        """
        if self._answer_timeout is not None:
            self._answer_timeout.reschedule(deadline)

    def is_idle(self):
        """Return whether no request runs and no transaction is open.

        A transaction that has failed counts as open until a shutdown
        refuses new operations.
        """
        if self._task is not None:
            return False
        state = State.IDLE if self._session is None else self._session.state
        return state is State.IDLE or (
            state is State.FAILED and self._is_refusing()
        )

    def _is_refusing(self):
        """Return whether a shutdown refuses new operations by now."""
        shutdown = self._fleet.shutdown
        return shutdown is not None and shutdown.refuses_operations(
            clock.now()
        )

    def idle_s(self):
        """Return the seconds since the latest answer; 0 while one is due."""
        return 0.0 if self._task else clock.now() - self._last_active_at

    def abort_idle_transaction(self, now, limit_s):
        """Abort the open transaction if it was idle longer than `limit_s`."""
        if self._session is None or self._task is not None:
            return
        if self._session.transaction_idle_s(now) > limit_s:
            self._session.abort_transaction("idle")

    def finish(self):
        """Close the connection when its running request is answered."""
        self._finishing = True
        if self._task is None:
            self.close()

    def close(self):
        """Close the connection after the written data is sent."""
        runs_request = self._task not in (None, asyncio.current_task())
        if runs_request and not self._closing:
            self._log_unanswered("closed_while_busy")
        self._closing = True
        if self._transport is not None:
            self._transport.close()
