"""Serves callers by the line protocol."""

import asyncio
import collections

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge import metrics
from balsamhinge.platform import wire
from balsamhinge.policy import statements
from balsamhinge.sessions import session

__all__ = ["CallerServer"]

# A caller closes its session if it is not accepted within 2 s.
ACCEPT_S = 1.8
# Requests of one caller that wait while one runs; more stay in its
# socket.
MOST_QUEUED = 64
LISTEN_BACKLOG = 1024
IDLE_CHECK_S = 0.5
# Sessions closed in one step of a stop, and the pause between steps.
CLOSE_STEP_S = 0.1
CLOSE_STEPS = 10
# The balancer sends nobody here any more after two questions, a second
# apart; sessions that are closed before that come back.
ISOLATED_CLOSE_S = 2.1

log = logbook.Logger(__name__)

Answer = statements.Answer
Problem = statements.Problem
State = statements.State


class CallerServer:
    """Accepts callers and keeps their connections.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
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
        self.fleet.spawn(clock.run_forever(self._end_idle, IDLE_CHECK_S))

    async def _end_idle(self):
        now = clock.now()
        limit_s = self.fleet.directory.table.idle_transaction_s
        for conn in list(self.connections):
            conn.end_idle(now, limit_s)
        if self.fleet.isolated_s > ISOLATED_CLOSE_S:
            idle = [conn for conn in self.connections if conn.is_idle()]
            if idle:
                event(log.notice, "sessions_sent_away", sessions=len(idle))
            for conn in idle:
                conn.close()

    async def drain(self, grace_s):
        """Close all sessions in order, within `grace_s` seconds.

        Idle ones go first, a few at a time, so that their callers do not
        come back elsewhere all at once.
        """
        ends_at = clock.now() + grace_s
        while self.connections and clock.now() < ends_at:
            left_s = max(CLOSE_STEP_S, ends_at - clock.now() - 1.0)
            idle = [conn for conn in self.connections if conn.is_idle()]
            steps = min(CLOSE_STEPS, max(1, int(left_s / CLOSE_STEP_S)))
            for conn in idle[: 1 + len(idle) // steps]:
                conn.close()
            await clock.pause(CLOSE_STEP_S)
        for conn in list(self.connections):
            conn.close()

    def stop_listening(self):
        """Accept no further callers."""
        if self._server is not None:
            self._server.close()


class CallerConnection(asyncio.Protocol):
    """One caller's connection.

    Parameters
    ----------
    server : CallerServer
        Where it came in.
    """

    def __init__(self, server):
        self._server = server
        self._fleet = server.fleet
        self._buffer = wire.LineBuffer()
        self._transport = None
        self._lines = collections.deque()
        self._task = None
        self._session = None
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
        try:
            lines = self._buffer.feed(data)
        except exceptions.ProtocolError as exc:
            self._refuse(Problem.TOO_LARGE, str(exc))
            return
        self._lines.extend(lines)
        if len(self._lines) > MOST_QUEUED:
            self._transport.pause_reading()
        if self._task is None and self._lines:
            self._task = asyncio.ensure_future(self._serve())

    async def _serve(self):
        """Take the received lines one by one."""
        try:
            while self._lines and not self._closing:
                await self._take(self._lines.popleft())
                await self._writable.wait()
                if len(self._lines) <= MOST_QUEUED:
                    self._transport.resume_reading()
        finally:
            self._task = None
            if self._closing and self._session is not None:
                self._session.close()

    async def _take(self, line):
        word, _, rest = line.partition(" ")
        match word:
            case wire.CONNECT if self._session is None:
                await self._accept(rest)
            case wire.QUERY if self._session is not None:
                await self._answer(rest)
            case wire.QUIT:
                self.close()
            case _:
                self._refuse(Problem.MALFORMED, "unexpected message")

    def _refuse(self, problem, detail):
        """Answer an error and close."""
        self._write(wire.encode(f"ERROR {wire.CODES[problem]} {detail}"))
        self.close()

    def _write(self, data):
        if not self._transport.is_closing():
            self._transport.write(data)

    async def _accept(self, rest):
        database = rest.partition(" ")[0]
        directory = self._fleet.directory
        until = clock.now() + ACCEPT_S
        try:
            async with asyncio.timeout_at(until):
                await directory.table_changed.wait()
        except TimeoutError:
            self._refuse(Problem.BUSY, "no configuration yet")
            return
        if database not in directory.table.routes:
            event(
                log.info,
                "database_unknown",
                database=database,
                version=directory.table.version,
            )
            self._refuse(Problem.NO_DATABASE, database or "-")
            return
        self._session = session.Session(self._fleet, database)
        self._write(wire.encode(wire.encode_ready(State.IDLE)))

    async def _answer(self, rest):
        request_id, _, text = rest.partition(" ")
        begun = clock.now()
        try:
            statement = wire.parse_statement(text)
        except exceptions.ProtocolError as exc:
            answer = Answer.refusal(
                Problem.MALFORMED, str(exc), self._session.state
            )
        else:
            answer = await self._session.answer(request_id, statement)
        metrics.observe_statement(
            self._session.database,
            answer.problem.value if answer.problem else "done",
            clock.now() - begun,
        )
        self._write(wire.encode_answer(answer))

    def is_idle(self):
        """Return whether nothing is asked and no transaction is open."""
        if self._task is not None:
            return False
        return self._session is None or self._session.state is State.IDLE

    def end_idle(self, now, limit_s):
        """End a transaction that has been idle for too long."""
        if self._session is None or self._task is not None:
            return
        if self._session.transaction_idle_s(now) > limit_s:
            self._session.abort_transaction("idle")

    def close(self):
        """Close once what was written has left."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()
