"""Connections to targets that speak the line protocol."""

import asyncio
import collections
import socket

import attrs

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.platform import wire
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import statements

__all__ = ["LineTargetConnector"]

# Name of the client in CONNECT if its statements are of no customer.
CALLER_NAME = "balsamhinge"
# The kernel closes a connection whose data stays unacknowledged for this
# time: several times the longest statement timeout in use.
TCP_USER_TIMEOUT_MS = 4000


class LineTargetConnection(asyncio.Protocol):
    """A connection to a target, on which orders may be pipelined.

    Notes
    -----
    Several orders may be in flight: the target executes them one by one and
    answers in the order in which they were sent.
    """

    def __init__(self):
        self._buffer = wire.LineBuffer()
        self._transport = None
        self._pending = collections.deque()
        self._rows = []
        self._completed = None
        self._error = None
        self.session_opened = asyncio.get_running_loop().create_future()
        self.lost = False
        self.last_received_at = 0.0

    @property
    def outstanding(self):
        """Return the number of orders that are not answered yet."""
        return len(self._pending)

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def request_session(self, target, customer):
        """Request a session; the target refuses it if its name differs."""
        name = customer or CALLER_NAME
        line = f"{wire.CONNECT} {target.group} {name} {target.name}"
        self._pending.append(self.session_opened)
        self._transport.write(wire.encode_line(line))

    def send(self, order):
        """Send an `Order`; return a future of its `Answer`.

        Raises
        ------
        ConnectionUnavailable
            If the connection is lost; nothing was sent.
        """
        if self.lost or self._transport.is_closing():
            raise exceptions.ConnectionUnavailable("the connection is lost")
        fut = asyncio.get_running_loop().create_future()
        self._pending.append(fut)
        self._transport.write(wire.encode_order(order))
        return fut

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for line in self._buffer.feed(data):
                self._handle_line(line)
            if self._buffer.error is not None:
                raise self._buffer.error
        except exceptions.ProtocolError as exc:
            self._error = exc
            self.abort()

    def _handle_line(self, line):
        word, _, rest = line.partition(" ")
        match word:
            case "DATA":
                self._rows.append(rest)
            case "COMPLETE":
                self._completed = statements.Answer(
                    rows=tuple(self._rows), signature=rest
                )
            case "ERROR":
                code, _, detail = rest.partition(" ")
                problem = wire.PROBLEM_OF_CODE.get(code)
                if problem is None:
                    raise exceptions.ProtocolError(f"unknown code {code!r}")
                self._completed = statements.Answer.refusal(problem, detail)
                if not self.session_opened.done():
                    # A refused session is closed without a READY line.
                    self._resolve_next(self._completed)
            case "READY":
                self._handle_ready(rest)
            case _:
                raise exceptions.ProtocolError(f"unknown message {word!r}")

    def _handle_ready(self, rest):
        letter, _, position = rest.partition(" ")
        if letter not in wire.STATE_OF_LETTER:
            raise exceptions.ProtocolError(f"unknown state {letter!r}")
        completed = self._completed or statements.Answer()
        self._resolve_next(
            attrs.evolve(
                completed,
                state=wire.STATE_OF_LETTER[letter],
                position=wire.parse_position(position),
            )
        )

    def _resolve_next(self, answer):
        self._completed = None
        self._rows = []
        if not self._pending:
            raise exceptions.ProtocolError("an answer that nobody asked for")
        fut = self._pending.popleft()
        if not fut.done():
            fut.set_result(answer)

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self.lost = True
        reason = self._error or exc or "closed by the target"
        while self._pending:
            fut = self._pending.popleft()
            if not fut.done():
                fut.set_exception(exceptions.OutcomeUnknown(str(reason)))
                # Marks the exception as retrieved: the waiter may be gone.
                fut.exception()

    def abort(self):
        """Reset the connection; the target rolls back an open transaction."""
        self.lost = True
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        """Send QUIT and close the connection."""
        self.lost = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(wire.encode_line(wire.QUIT))
            self._transport.close()


class LineTargetConnector(interfaces.SessionTargetConnector):
    """Opens connections to targets that speak the line protocol."""

    async def connect(self, target, timeout_s, customer=""):
        """See `SessionTargetConnector.connect`."""
        host, _, port = target.address.rpartition(":")
        loop = asyncio.get_running_loop()
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                _transport, conn = await loop.create_connection(
                    LineTargetConnection, host, int(port)
                )
                conn.request_session(target, customer)
                answer = await conn.session_opened
        except (OSError, TimeoutError, exceptions.OutcomeUnknown) as exc:
            if conn is not None:
                conn.abort()
            raise exceptions.TargetUnreachable(
                f"{target.name}: {type(exc).__name__} {exc}"
            ) from exc
        except BaseException:
            if conn is not None:
                conn.abort()
            raise
        if answer.problem is not None:
            conn.abort()
            raise exceptions.ConnectionRejected(answer.problem, answer.detail)
        return conn

    def status(self, answer):
        """See `SessionTargetConnector.status`."""
        fields = answer.rows[0].split(" ") if answer.rows else []
        if len(fields) < 5 or fields[0] not in list(routes.TargetRole):
            return None
        received = wire.parse_position(fields[2])
        if received is None or not fields[1].isdigit():
            return None
        applied = answer.position or positions.ORIGIN
        return interfaces.TargetReport(
            role=routes.TargetRole(fields[0]),
            term=int(fields[1]),
            received=received,
            applied=applied,
        )
