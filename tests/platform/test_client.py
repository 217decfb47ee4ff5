"""Tests of the client of the store of the PostgreSQL and HTTP edges."""

import asyncio

import testtools

from balsamhinge.platform import client
from tests.platform import relays

__all__ = ["DeadConnectionsTest"]

HOST = "127.0.0.1"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


async def serve_nothing(reader, writer):
    """Answer each request on a connection that no object exists."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(NOT_FOUND)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


class DeadConnectionsTest(testtools.TestCase):
    """Open connections are silent for good, but their kernel answers."""

    # Guards against a call that times out on an idle connection, after what
    # has silenced that connection has ended.
    def test_a_call_uses_no_connection_that_may_be_silent(self):
        async def run():
            server = await asyncio.start_server(serve_nothing, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            relay = relays.Relay(f"{HOST}:{port}")
            await relay.start()
            store = client.HttpStore(f"http://{relay.address}")
            try:
                self.assertIsNone(await store.get("a"))
                relay.begin_swallowing()
                relay.end_swallowing()
                self.assertIsNone(await store.get("a"))
            finally:
                await store.close()
                await relay.stop()
                server.close()

        asyncio.run(run())
