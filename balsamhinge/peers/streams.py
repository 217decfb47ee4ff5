"""Multiplexed calls between instances over plain TCP streams.

Gossip and statements at lent connections are small and frequent. A unary
gRPC call for each of them takes several times the processor time of the
work itself, see docs/design/platform.md. A frame is a length in four bytes
and a MessagePack array of call number, method and body.
"""

import asyncio
import enum
import hmac
import itertools
import socket

import attrs
import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event

__all__ = ["Frame", "Method", "StreamConnection", "StreamServer"]

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024
# A peer that does not read lets at most this much accumulate.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
# The kernel closes a connection whose data stays unacknowledged for this
# time. Calls have timeouts of their own, so this one may be coarse.
UNACKNOWLEDGED_TIMEOUT_MS = 3000
LISTEN_BACKLOG = 1024
# Part of the time for a drain that is left for the sending of replies, and
# the wait for peers to close streams whose replies have all been sent.
FLUSH_TIMEOUT_S = 0.2

log = logbook.Logger(__name__)


class Method(enum.IntEnum):
    """What a frame carries."""

    HELLO = 0
    REPLY = 1
    FAILED = 2
    EXCHANGE = 3
    BORROW = 4
    RUN = 5
    GIVE_BACK = 6
    ALLOWANCE = 7
    # The server handles no call after the one whose number is the body.
    CLOSING = 8


class Frame(msgspec.Struct, array_like=True):
    """One frame.

    Parameters
    ----------
    number : int
        Number of the call, chosen by the side that calls.
    method : int
        `Method` of a request, or the kind of the answer.
    body : Raw
        Encoded message.
    """

    number: int
    method: int
    body: msgspec.Raw


FRAME_DECODER = msgspec.msgpack.Decoder(Frame)
HELLO_DECODER = msgspec.msgpack.Decoder(str)
NUMBER_DECODER = msgspec.msgpack.Decoder(int)


def encode_frame(number, method, message):
    """Return the bytes of a frame that carries a message."""
    payload = msgspec.msgpack.encode((number, int(method), message))
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameProtocol(asyncio.Protocol):
    """Cuts received bytes into frames; subclasses handle them."""

    def __init__(self):
        self._buffer = bytearray()
        self.transport = None

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )

    def data_received(self, data):
        """See `asyncio.Protocol`."""
        self._buffer += data
        try:
            while (frame := self._next_frame()) is not None:
                self.handle_frame(frame)
        except (msgspec.MsgspecError, exceptions.ProtocolError) as exc:
            event(log.warning, "peer_stream_malformed", error=exc)
            self.transport.abort()

    def _next_frame(self):
        """Return the next complete `Frame`, or None."""
        buffer = self._buffer
        if len(buffer) < LENGTH_BYTES or self.transport.is_closing():
            return None
        length = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise exceptions.ProtocolError(f"a frame of {length} bytes")
        end = LENGTH_BYTES + length
        if len(buffer) < end:
            return None
        payload = bytes(memoryview(buffer)[LENGTH_BYTES:end])
        del buffer[:end]
        return FRAME_DECODER.decode(payload)

    def send(self, number, method, message):
        """Send a frame.

        Raises
        ------
        ProtocolError
            If the peer has not read for so long that the frame does not
            fit into the buffer; the connection is aborted then.
        """
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.transport.abort()
            raise exceptions.ProtocolError("the peer does not read")
        self.transport.write(encode_frame(number, method, message))

    def handle_frame(self, frame):
        """Handle one received frame."""
        raise NotImplementedError


class StreamConnection(FrameProtocol):
    """The calling side of a stream.

    Parameters
    ----------
    name : str
        Name of the called instance.
    secret : str
        Shared secret of the fleet.

    Attributes
    ----------
    opened_at, used_at : float
        Loop seconds of the opening and of the latest call.
    closed : bool
        Whether the connection has ended or the peer handles no more calls.
    """

    def __init__(self, name, secret):
        super().__init__()
        self._name = name
        self._secret = secret
        self._numbers = itertools.count(1)
        self._calls = {}
        self.opened_at = self.used_at = clock.now()
        self.closed = False
        self._retired = False

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        super().connection_made(transport)
        self.send(0, Method.HELLO, self._secret)

    def connection_lost(self, exc):
        """Fail all calls without an answer; see `asyncio.Protocol`."""
        self.closed = True
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            if not fut.done():
                fut.set_exception(exceptions.PeerUnavailable(self._name, True))

    @property
    def is_idle(self):
        """Return whether no call waits for its answer."""
        return not self._calls

    def handle_frame(self, frame):
        """Complete the call to which a frame belongs."""
        if frame.method == Method.CLOSING:
            self._handle_closing(NUMBER_DECODER.decode(frame.body))
            return
        fut = self._calls.pop(frame.number, None)
        if fut is None or fut.done():
            return
        if frame.method == Method.REPLY:
            fut.set_result(frame.body)
        else:
            fut.set_exception(exceptions.PeerUnavailable(self._name, True))

    def _handle_closing(self, last_handled):
        """Fail the calls that a stopping peer has not handled."""
        self.closed = True
        for number, fut in list(self._calls.items()):
            if number > last_handled and not fut.done():
                fut.set_exception(
                    exceptions.PeerUnavailable(self._name, False)
                )

    async def call(self, method, message, until):
        """Send a request and return the encoded answer.

        Parameters
        ----------
        method : Method
            Method to call.
        message : object
            Request.
        until : float
            Loop seconds of the deadline.

        Raises
        ------
        PeerUnavailable
            If the connection ends first, or the peer reports a failure.
        TimeoutError
            At the deadline.
        """
        if self.closed:
            raise exceptions.PeerUnavailable(self._name, False)
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        self.used_at = loop.time()
        try:
            self.send(number, method, message)
        except exceptions.ProtocolError as exc:
            raise exceptions.PeerUnavailable(self._name, False) from exc
        fut = self._calls[number] = loop.create_future()
        timer = loop.call_at(until, expire, fut)
        try:
            return await fut
        finally:
            timer.cancel()
            self._calls.pop(number, None)
            if self._retired and self.is_idle:
                self.close()

    def retire(self):
        """Close the connection once its last call has ended."""
        self._retired = True
        if self.is_idle:
            self.close()

    def close(self):
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


def expire(fut):
    """Fail a call at its deadline."""
    if not fut.done():
        fut.set_exception(TimeoutError())


@attrs.frozen
class Handler:
    """How one method is served.

    Parameters
    ----------
    decoder : Decoder
        Decoder of the request.
    respond : callable
        Takes the request and returns the answer, or a coroutine of it.
    """

    decoder: msgspec.msgpack.Decoder
    respond: object


class ServedStream(FrameProtocol):
    """The serving side of a stream.

    Parameters
    ----------
    server : StreamServer
        The server that accepted the connection.
    """

    def __init__(self, server):
        super().__init__()
        self._server = server
        self._accepted = False
        self._last_handled = 0
        self.is_finished = False
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """See `asyncio.Protocol`."""
        super().connection_made(transport)
        self._server.streams.add(self)

    def connection_lost(self, exc):
        """See `asyncio.Protocol`."""
        self._server.streams.discard(self)
        self.ended.set_result(None)

    def finish(self):
        """Handle no more calls, and end the stream after the last reply.

        Input is read and discarded until the peer closes its side: closing
        a socket with unread input resets the connection, and the peer may
        lose replies that it has not read.
        """
        if self.is_finished or self.transport.is_closing():
            return
        self.is_finished = True
        # Replies that the peer has not read yet may exceed the limit of
        # `send`, which would abort the stream.
        self.transport.write(
            encode_frame(0, Method.CLOSING, self._last_handled)
        )
        try:
            self.transport.write_eof()
        except OSError:
            # The peer has ended, which the loop has not noticed yet.
            self.transport.abort()

    def handle_frame(self, frame):
        """Serve a request; the first frame must carry the secret."""
        if self.is_finished:
            return
        if not self._accepted:
            self._accept(frame)
            return
        self._last_handled = frame.number
        handler = self._server.handlers.get(frame.method)
        if handler is None:
            raise exceptions.ProtocolError(f"unknown method {frame.method}")
        request = handler.decoder.decode(frame.body)
        try:
            answer = handler.respond(request)
        except Exception as exc:
            self._fail(frame, exc)
            return
        if asyncio.iscoroutine(answer):
            self._server.spawn(self._answer_later(frame, answer))
        else:
            self._reply(frame, answer)

    def _accept(self, frame):
        given = HELLO_DECODER.decode(frame.body)
        secret = self._server.secret
        valid = hmac.compare_digest(given.encode(), secret.encode())
        if frame.method != Method.HELLO or not valid:
            raise exceptions.ProtocolError("wrong secret")
        self._accepted = True

    async def _answer_later(self, frame, answering):
        try:
            answer = await answering
        except Exception as exc:
            self._fail(frame, exc)
            return
        self._reply(frame, answer)

    def _reply(self, frame, answer):
        self._send_frame(frame.number, Method.REPLY, answer)

    def _fail(self, frame, exc):
        event(
            log.error,
            "peer_call_failed",
            method=Method(frame.method).name,
            error=f"{type(exc).__name__} {exc}",
        )
        self._send_frame(frame.number, Method.FAILED, None)

    def _send_frame(self, number, method, message):
        if self.is_finished or self.transport.is_closing():
            # The caller has gone; a loan that it never learnt of is
            # reclaimed when it stays unused.
            return
        try:
            self.send(number, method, message)
        except exceptions.ProtocolError as exc:
            event(log.warning, "peer_stream_stalled", error=exc)


async def wait_ended(served, until):
    """Wait until each `ServedStream` has ended, or until a loop time."""
    ending = [stream.ended for stream in served]
    if ending:
        await asyncio.wait(ending, timeout=max(0.0, until - clock.now()))


class StreamServer:
    """Serves calls of other instances.

    Parameters
    ----------
    handlers : dict of Method to Handler
        The methods served.
    secret : str
        Shared secret of the fleet.

    Attributes
    ----------
    streams : set of ServedStream
        Open connections.
    """

    def __init__(self, handlers, secret):
        self.handlers = handlers
        self.secret = secret
        self.streams = set()
        self._tasks = set()
        self._server = None

    async def start(self, address):
        """Listen on `address`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServedStream(self),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
        )

    def spawn(self, coroutine):
        """Run a coroutine as a task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self, until):
        """Answer all calls and send the replies before a planned stop.

        Parameters
        ----------
        until : float
            Latest time to return, in loop seconds.
        """
        if self._server is not None:
            self._server.close()
        while self._tasks and clock.now() < until - FLUSH_TIMEOUT_S:
            await asyncio.wait(
                self._tasks, timeout=until - FLUSH_TIMEOUT_S - clock.now()
            )
        if self._tasks:
            event(log.warning, "peer_calls_cut", calls=len(self._tasks))
        finished = list(self.streams)
        for stream in finished:
            stream.finish()
        # A peer that is frozen or cut off does not close its side.
        await wait_ended(finished, min(until, clock.now() + FLUSH_TIMEOUT_S))
        unsent = [
            stream
            for stream in self.streams
            if stream.transport.get_write_buffer_size()
        ]
        await wait_ended(unsent, until)

    def stop(self):
        """Stop at once, cancelling running calls."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for stream in list(self.streams):
            stream.transport.abort()
