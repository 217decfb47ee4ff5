"""Asynchronous HTTP/1.1 client on top of h11."""

import asyncio
import json
import socket

import attrs
import h11

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.platform import bodies

__all__ = ["HttpClient", "HttpResponse"]

# Idle connections that are kept for later calls.
MAX_IDLE_CONNECTIONS = 4
READ_CHUNK_BYTES = 65536
# Redirects are not followed.
FIRST_REFUSAL_STATUS = 300
# Timeouts for each further chunk of a response that has begun to arrive, and
# for the whole response: 1 MB, the most that the store holds, over 1 Mbit/s.
CHUNK_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 8.0
# The kernel closes a connection whose data stays unacknowledged for this
# time. Calls have exact timeouts of their own, so this one may be coarse.
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# A connection that waits for a watch sends no data that could stay
# unacknowledged, so TCP keepalive detects a dead one: within 3 s, because a
# configuration has to be in force within that time.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


@attrs.frozen
class HttpResponse:
    """Status code, decoded JSON body and headers of a response.

    Parameters
    ----------
    status : int
        Status code.
    body : object
        See `bodies.decode`. None for an empty body, and for that of a
        refusal, which nobody reads.
    headers : dict of str to str
        Values by lower-case name.
    """

    status: int
    body: object
    headers: dict = attrs.Factory(dict)


@attrs.define(eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    machine: h11.Connection
    # Loop seconds of the latest complete response, or of the opening.
    answered_at: float = attrs.Factory(clock.now)

    def abort(self):
        self.writer.transport.abort()


class HttpClient:
    """HTTP client of one server; reuses connections.

    Parameters
    ----------
    address : str
        IP:port of the server.
    """

    def __init__(self, address):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle = []

    async def call(
        self, method, path, body=None, headers=(), timeout_s=1.0, parts=None
    ):
        """Send a request and return its `HttpResponse`.

        Parameters
        ----------
        method, path : str
            Method and path of the request; the path includes the query.
        body : object, optional
            Sent as JSON.
        headers : iterable of tuple of str
            Names and values of additional headers.
        timeout_s : float
            Seconds until the response begins; a large one may take longer
            as long as its chunks keep arriving.
        parts : dict or list, optional
            Values of the response that may be unreadable on their own, see
            `bodies.decode`; by default the members of an object.

        Raises
        ------
        PlatformUnavailable
            If no complete response arrived; the server may have executed
            the request.
        """
        conn = None
        started_at = clock.now()
        try:
            async with asyncio.timeout(timeout_s) as call_timeout:
                conn = self._idle.pop() if self._idle else await self._open()
                self._send(conn, method, path, body, headers)
                response = await _receive(conn, call_timeout, parts or {})
        except (
            OSError,
            TimeoutError,
            ValueError,
            h11.ProtocolError,
            asyncio.IncompleteReadError,
        ) as exc:
            self._discard(conn, started_at)
            raise exceptions.PlatformUnavailable(
                f"{method} {path}: {type(exc).__name__} {exc}"
            ) from exc
        except BaseException:
            self._discard(conn, started_at)
            raise
        self._release(conn)
        return response

    async def _open(self):
        reader, writer = await asyncio.open_connection(self._host, self._port)
        _enable_dead_peer_detection(writer.get_extra_info("socket"))
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    def _send(self, conn, method, path, body, headers):
        content = b"" if body is None else json.dumps(body).encode()
        request = h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", f"{self._host}:{self._port}"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(content))),
                *headers,
            ],
        )
        data = conn.machine.send(request)
        if content:
            data += conn.machine.send(h11.Data(data=content))
        data += conn.machine.send(h11.EndOfMessage())
        conn.writer.write(data)

    def _discard(self, conn, started_at):
        """Close a connection that has failed, and the idle ones of before.

        What has silenced it may have silenced them too, and their kernel's
        probes may be answered all the same.

        Parameters
        ----------
        conn : _Connection or None
            The connection; None if it was not opened.
        started_at : float
            Loop seconds of the begin of the call.
        """
        if conn is not None:
            conn.abort()
        suspected = [
            idle for idle in self._idle if idle.answered_at < started_at
        ]
        for idle in suspected:
            self._idle.remove(idle)
            idle.abort()

    def _release(self, conn):
        reusable = (
            conn.machine.our_state is h11.DONE
            and conn.machine.their_state is h11.DONE
        )
        if not reusable or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            conn.writer.close()
            return
        conn.machine.start_next_cycle()
        conn.answered_at = clock.now()
        self._idle.append(conn)

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()


def _enable_dead_peer_detection(sock):
    """Make the kernel close a connection whose peer does not answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def _receive(conn, call_timeout, parts):
    """Read an `HttpResponse` from a connection.

    Parameters
    ----------
    conn : _Connection
        The connection on which the request was sent.
    call_timeout : asyncio.Timeout
        Timeout of the call; it is extended while the response arrives.
    parts : dict or list
        See `bodies.decode`.
    """
    loop = asyncio.get_running_loop()
    status, headers = 0, {}
    received, deadline = bytearray(), None
    while True:
        event = conn.machine.next_event()
        if event is h11.NEED_DATA:
            conn.machine.receive_data(await conn.reader.read(READ_CHUNK_BYTES))
            deadline = deadline or loop.time() + RESPONSE_TIMEOUT_S
            call_timeout.reschedule(
                min(deadline, loop.time() + CHUNK_TIMEOUT_S)
            )
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode("latin-1"): value.decode("latin-1")
                for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            received += event.data
        elif isinstance(event, h11.EndOfMessage):
            is_read = received and status < FIRST_REFUSAL_STATUS
            body = bodies.decode(received, parts) if is_read else None
            return HttpResponse(status, body, headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise ValueError("connection closed before the response")
