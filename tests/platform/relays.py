"""Relays in front of a server that delay, lose and swallow what passes."""

import asyncio
import enum
import random

__all__ = ["Direction", "Refusal", "Relay"]

HOST = "127.0.0.1"
CHUNK_BYTES = 65536


class Direction(enum.Enum):
    """Which way bytes pass."""

    REQUESTS = "requests"
    ANSWERS = "answers"


BOTH = tuple(Direction)


class Refusal(enum.Enum):
    """How requests of HTTP are refused instead of being relayed."""

    BUSY = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
    UNAVAILABLE = (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
    )
    RESET = b""


class RelayedConnection:
    """One connection through a relay.

    The relay accepts and reads on both sides whatever happens, so that the
    kernel of neither side notices a peer that is not heard.
    """

    def __init__(self, relay):
        self._relay = relay
        # Directions in which nothing passes any more, for good.
        self.swallowed = set()
        self._writers = []

    async def run(self, reader, writer):
        """Relay until one side ends."""
        self._writers.append(writer)
        pumps = []
        try:
            if len(self.swallowed) == len(BOTH):
                await self._discard(reader)
                return
            if self._relay.refusal is not None:
                await self._refuse(reader, writer, self._relay.refusal)
                return
            host, _, port = self._relay.address_of_server.rpartition(":")
            server = await asyncio.open_connection(host, int(port))
            self._writers.append(server[1])
            pumps = [
                asyncio.ensure_future(pumped)
                for pumped in (
                    self._pump(reader, server[1], Direction.REQUESTS),
                    self._pump(server[0], writer, Direction.ANSWERS),
                )
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            # One side has reset the connection.
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self.abort()

    async def _discard(self, reader):
        while await reader.read(CHUNK_BYTES):
            pass

    async def _refuse(self, reader, writer, refusal):
        while await reader.read(CHUNK_BYTES):
            if not refusal.value:
                return
            writer.write(refusal.value)
            await writer.drain()

    async def _pump(self, reader, writer, direction):
        relay = self._relay
        while data := await reader.read(CHUNK_BYTES):
            if relay.delay_s:
                await asyncio.sleep(relay.delay_s)
            await relay.passing.wait()
            if direction in self.swallowed or relay.loses_chunk():
                continue
            writer.write(relay.translate(direction, data))
            await writer.drain()

    def abort(self):
        """Reset both sides."""
        for writer in self._writers:
            writer.transport.abort()


class Relay:
    """Relays connections to a server.

    Parameters
    ----------
    address_of_server : str
        IP:port.
    rng : random.Random
        Chooses the chunks that are lost.
    translate : callable, optional
        Returns the bytes to pass on, of the same length, for a `Direction`
        and the bytes of a chunk.

    Attributes
    ----------
    address : str
        IP:port on which the relay listens.
    delay_s : float
        Seconds by which each chunk is delayed.
    loss : float
        Share of chunks that are lost in the middle of a connection.
    refusal : Refusal or None
        How requests on connections that are opened from now on are refused.
    passing : asyncio.Event
        While it is clear, chunks are held back, and passed on later.
    """

    def __init__(self, address_of_server, rng=None, translate=None):
        self.address_of_server = address_of_server
        self.translate = translate or (lambda direction, data: data)
        self.address = ""
        self.delay_s = 0.0
        self.loss = 0.0
        self.refusal = None
        self.passing = asyncio.Event()
        self.passing.set()
        self._rng = rng or random.Random(0)
        self._swallowing = ()
        self._connections = set()
        self._tasks = set()
        self._server = None

    async def start(self, host=HOST, port=0):
        """Listen on a port, by default on a free one."""
        self._server = await asyncio.start_server(self._accept, host, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def loses_chunk(self):
        """Return whether the next chunk is lost."""
        return bool(self.loss) and self._rng.random() < self.loss

    @property
    def is_swallowing(self):
        """Return whether new connections stay silent."""
        return bool(self._swallowing)

    def begin_swallowing(self, directions=BOTH):
        """Swallow what comes, for good on each connection there is.

        A connection that is opened meanwhile also stays silent for good.
        """
        self._swallowing = directions
        for conn in self._connections:
            conn.swallowed.update(directions)

    def end_swallowing(self):
        """Relay what comes on connections that are opened from now on."""
        self._swallowing = ()

    def reset(self):
        """Reset all connections."""
        for conn in list(self._connections):
            conn.abort()

    async def _accept(self, reader, writer):
        conn = RelayedConnection(self)
        conn.swallowed.update(self._swallowing)
        self._connections.add(conn)
        self._tasks.add(asyncio.current_task())
        try:
            await conn.run(reader, writer)
        except asyncio.CancelledError:
            # The play has ended.
            conn.abort()
        finally:
            self._connections.discard(conn)
            self._tasks.discard(asyncio.current_task())

    async def stop(self):
        """Stop listening and end all connections."""
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Transports close in the next turn of the loop.
        await asyncio.sleep(0)
