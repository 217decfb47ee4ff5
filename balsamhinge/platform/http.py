"""Calls over HTTP/1.1 on the loop, by h11's protocol machine."""

import asyncio
import json
import socket

import attrs
import h11

from balsamhinge import exceptions

__all__ = ["HttpCaller", "HttpResponse"]

# Idle connections that are kept for the next call.
MOST_IDLE = 4
READ_BYTES = 65536
# Seconds for each further piece of an answer that has begun, and for all of
# it: 1 MB, the most that the store holds, over 1 Mbit/s.
PIECE_S = 1.0
ANSWER_S = 8.0
# Milliseconds without an acknowledgement after which the kernel gives a
# connection up; longer than any call's own timeout needs to be exact.
UNACKNOWLEDGED_MS = 3000
# A connection on which a watch waits sends nothing that could go
# unacknowledged. Probes of the kernel show within 3 s that it is dead: a
# configuration has to be in force within that time.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


@attrs.frozen
class HttpResponse:
    """Status code and decoded JSON body, None for an empty body."""

    status: int
    body: object


@attrs.define
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    machine: h11.Connection

    def abort(self):
        self.writer.transport.abort()


class HttpCaller:
    """Calls one server; connections are reused.

    Parameters
    ----------
    address : str
        IP:port of the server.
    """

    def __init__(self, address):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle = []

    async def call(self, method, path, body=None, headers=(), timeout_s=1.0):
        """Send a request and return its `HttpResponse`.

        Parameters
        ----------
        method, path : str
            Of the request; the path with its query.
        body : object, optional
            Sent as JSON.
        headers : iterable of tuple of str
            Beside those that each request has.
        timeout_s : float
            Seconds until the answer begins; a large one may take longer
            while its pieces arrive.

        Raises
        ------
        PlatformUnavailable
            If no whole response came; the call may have been executed.
        """
        conn = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                conn = self._idle.pop() if self._idle else await self._open()
                self._send(conn, method, path, body, headers)
                response = await _receive(conn, limit)
        except (
            OSError,
            TimeoutError,
            ValueError,
            h11.ProtocolError,
            asyncio.IncompleteReadError,
        ) as exc:
            if conn is not None:
                conn.abort()
            raise exceptions.PlatformUnavailable(
                f"{method} {path}: {type(exc).__name__} {exc}"
            ) from exc
        except BaseException:
            if conn is not None:
                conn.abort()
            raise
        self._keep(conn)
        return response

    async def _open(self):
        reader, writer = await asyncio.open_connection(self._host, self._port)
        _detect_silence(writer.get_extra_info("socket"))
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

    def _keep(self, conn):
        reusable = (
            conn.machine.our_state is h11.DONE
            and conn.machine.their_state is h11.DONE
        )
        if not reusable or len(self._idle) >= MOST_IDLE:
            conn.writer.close()
            return
        conn.machine.start_next_cycle()
        self._idle.append(conn)

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()


def _detect_silence(sock):
    """Have the kernel end a connection whose other end does not answer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def _receive(conn, limit):
    """Return the `HttpResponse` that comes on a connection.

    Parameters
    ----------
    conn : _Connection
        Where a request was sent.
    limit : asyncio.Timeout
        Is put off while the answer arrives.
    """
    loop = asyncio.get_running_loop()
    status, received, ends_at = 0, bytearray(), None
    while True:
        event = conn.machine.next_event()
        if event is h11.NEED_DATA:
            conn.machine.receive_data(await conn.reader.read(READ_BYTES))
            ends_at = ends_at or loop.time() + ANSWER_S
            limit.reschedule(min(ends_at, loop.time() + PIECE_S))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            received += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, json.loads(received or b"null"))
        elif isinstance(event, h11.ConnectionClosed):
            raise ValueError("closed without a response")
