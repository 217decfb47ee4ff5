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

__all__ = ["LineTargetLink"]

# Who connects is a free word of the protocol.
CALLER_WORD = "balsamhinge"
# Milliseconds without an acknowledgement after which the kernel gives a
# connection up: several times the longest statement timeout in use.
UNACKNOWLEDGED_MS = 4000


class LineTargetConnection(asyncio.Protocol):
    """One connection to a target; answers come in the order of orders.

    Notes
    -----
    Several orders may be under way: the target takes them one by one.
    """

    def __init__(self):
        self._buffer = wire.LineBuffer()
        self._transport = None
        self._waiting = collections.deque()
        self._rows = []
        self._ended = None
        self._error = None
        self.opened = asyncio.get_running_loop().create_future()
        self.lost = False
        self.heard = 0.0

    @property
    def outstanding(self):
        """Return how many orders have no answer yet."""
        return len(self._waiting)

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )

    def introduce(self, target):
        """Ask for a session with a target under its own name."""
        line = f"{wire.CONNECT} {target.group} {CALLER_WORD} {target.name}"
        self._waiting.append(self.opened)
        self._transport.write(wire.encode(line))

    def send(self, order):
        """Send an order; return a future of its `Answer`.

        Raises
        ------
        ConnectionUnavailable
            If the connection is lost; nothing was sent.
        """
        if self.lost or self._transport.is_closing():
            raise exceptions.ConnectionUnavailable("the connection is lost")
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self._transport.write(wire.encode_order(order))
        return fut

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        self.heard = asyncio.get_running_loop().time()
        try:
            for line in self._buffer.feed(data):
                self._take(line)
        except exceptions.ProtocolError as exc:
            self._error = exc
            self.abort()

    def _take(self, line):
        word, _, rest = line.partition(" ")
        match word:
            case "DATA":
                self._rows.append(rest)
            case "COMPLETE":
                self._ended = statements.Answer(
                    rows=tuple(self._rows), signature=rest
                )
            case "ERROR":
                code, _, detail = rest.partition(" ")
                problem = wire.PROBLEMS.get(code)
                if problem is None:
                    raise exceptions.ProtocolError(f"unknown code {code!r}")
                self._ended = statements.Answer.refusal(problem, detail)
                if not self.opened.done():
                    # A refused session is closed without a READY line.
                    self._finish(self._ended)
            case "READY":
                self._ready(rest)
            case _:
                raise exceptions.ProtocolError(f"unknown message {word!r}")

    def _ready(self, rest):
        letter, _, position = rest.partition(" ")
        if letter not in wire.STATES:
            raise exceptions.ProtocolError(f"unknown state {letter!r}")
        ended = self._ended or statements.Answer()
        self._finish(
            attrs.evolve(
                ended,
                state=wire.STATES[letter],
                position=wire.parse_position(position),
            )
        )

    def _finish(self, answer):
        self._ended = None
        self._rows = []
        if not self._waiting:
            raise exceptions.ProtocolError("an answer that nobody asked for")
        fut = self._waiting.popleft()
        if not fut.done():
            fut.set_result(answer)

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self.lost = True
        reason = self._error or exc or "closed by the target"
        while self._waiting:
            fut = self._waiting.popleft()
            if not fut.done():
                fut.set_exception(exceptions.OutcomeUnknown(str(reason)))
                # Nobody may be waiting for it any more.
                fut.exception()

    def abort(self):
        """Drop the connection at once; the target undoes what is open."""
        self.lost = True
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        """End the session in order."""
        self.lost = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(wire.encode(wire.QUIT))
            self._transport.close()


class LineTargetLink(interfaces.SessionTargetConnector):
    """Opens connections to targets by the line protocol."""

    async def connect(self, target, timeout_s):
        """See `SessionTargetConnector.connect`."""
        host, _, port = target.address.rpartition(":")
        loop = asyncio.get_running_loop()
        conn = None
        try:
            async with asyncio.timeout(timeout_s):
                _transport, conn = await loop.create_connection(
                    LineTargetConnection, host, int(port)
                )
                conn.introduce(target)
                answer = await conn.opened
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
