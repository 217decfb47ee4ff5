"""Tests of the HTTP client."""

import asyncio
import socket

import h11
import testtools

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.platform import http
from balsamhinge.platform import objects
from balsamhinge.standins import records
from tests.platform import relays
from tests.platform import standins
from tests.support import world

# Size of the users' configuration of 1,440 routes as JSON.
RESPONSE_BYTES = 262_144
# 1 Mbit/s: half the bandwidth of the slowest link of any deployment.
LINK_BYTES_PER_S = 125_000
CHUNKS = 20
CALL_TIMEOUT_S = 1.0
IDLE_CONNECTIONS = 3
# Timeout of a call that is lost, and of one that has to be answered.
LOST_CALL_TIMEOUT_S = 0.2
HANG_TIMEOUT_S = 10.0

__all__ = ["DeadConnectionsTest", "KeepaliveTest", "LargeResponseTest"]


class KeepaliveTest(testtools.TestCase):
    """TCP keepalive detects a peer that does not answer."""

    # Guards against a watch that waits on a dead connection.
    def test_connections_to_the_store_use_keepalive(self):
        async def run():
            server = standins.ObjectServer(records.Records(), {})
            await server.start()
            client = http.HttpClient(server.address)
            await client.call("GET", f"{objects.PATH}/leaders")
            sock = client._idle[0].writer.get_extra_info("socket")
            keepalive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            options = [
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            ]
            client.close()
            server.stop()
            return keepalive, options

        keepalive, (idle_s, interval_s, probes) = asyncio.run(run())
        self.assertTrue(keepalive)
        # A configuration has to be in force within 3 s.
        self.assertLessEqual(idle_s + interval_s * probes, 3)


class DeadConnectionsTest(testtools.TestCase):
    """Open connections are silent for good, but their kernel answers."""

    def run_relayed(self, scenario):
        """Run `scenario(client, relay)` with idle connections."""

        async def run():
            server = standins.ObjectServer(records.Records(), {})
            await server.start()
            relay = relays.Relay(server.address)
            await relay.start()
            client = http.HttpClient(relay.address)
            try:
                await asyncio.gather(
                    *(self.call(client) for _ in range(IDLE_CONNECTIONS))
                )
                await scenario(client, relay)
            finally:
                client.close()
                await relay.stop()
                server.stop()

        asyncio.run(run())

    async def call(self, client, timeout_s=HANG_TIMEOUT_S):
        """Read an object list; return the status code."""
        path = f"{objects.PATH}/leaders"
        response = await client.call("GET", path, timeout_s=timeout_s)
        return response.status

    # Guards against calls that time out one after the other, on one idle
    # connection each, after what has silenced all of them has ended.
    def test_a_lost_call_ends_the_idle_connections_of_before(self):
        async def scenario(client, relay):
            relay.begin_swallowing()
            relay.end_swallowing()
            try:
                await self.call(client, LOST_CALL_TIMEOUT_S)
                self.fail("a silent connection has answered")
            except exceptions.PlatformUnavailable:
                self.assertEqual(200, await self.call(client))

        self.run_relayed(scenario)

    # Guards against the same where the caller has a time-out of its own.
    def test_a_cancelled_call_ends_the_idle_connections_of_before(self):
        async def scenario(client, relay):
            relay.begin_swallowing()
            relay.end_swallowing()
            try:
                async with asyncio.timeout(LOST_CALL_TIMEOUT_S):
                    await self.call(client)
                self.fail("a silent connection has answered")
            except TimeoutError:
                self.assertEqual(200, await self.call(client))

        self.run_relayed(scenario)

    # Guards against connections that are closed although they have answered
    # while another call waited.
    def test_a_lost_call_keeps_connections_that_have_answered_since(self):
        async def scenario(client, relay):
            relay.begin_swallowing()
            relay.end_swallowing()
            lost = asyncio.ensure_future(
                self.call(client, LOST_CALL_TIMEOUT_S)
            )
            await asyncio.sleep(0)
            client.close()
            self.assertEqual(200, await self.call(client))
            await asyncio.wait([lost])
            self.assertIsNotNone(lost.exception())
            self.assertEqual(1, len(client._idle))

        self.run_relayed(scenario)


class NullWriter:
    """Discards the data that is written."""

    transport = None

    def write(self, data):
        """See `asyncio.StreamWriter`."""

    def close(self):
        """See `asyncio.StreamWriter`."""

    def abort(self):
        """See `asyncio.WriteTransport`."""


class SlowLinkClient(http.HttpClient):
    """Receives the first chunks of a response over a slow link."""

    def __init__(self, chunks):
        super().__init__("127.0.0.1:1")
        self._chunks = chunks

    async def _open(self):
        reader = asyncio.StreamReader()
        writer = NullWriter()
        writer.transport = writer
        self.feeding = asyncio.ensure_future(self._feed(reader))
        return http._Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _feed(self, reader):
        size = RESPONSE_BYTES // CHUNKS
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size * CHUNKS}\r\n\r\n"
        reader.feed_data(head.encode() + b'"' + b"x" * (size - 1))
        for number in range(1, self._chunks):
            await clock.pause(size / LINK_BYTES_PER_S)
            last = number == CHUNKS - 1
            reader.feed_data(b"x" * (size - last) + b'"' * last)


class LargeResponseTest(testtools.TestCase):
    """A large response over a slow link."""

    def call(self, chunks):
        """Return the response, None if it timed out, and the seconds taken."""

        async def run():
            started_at = clock.now()
            try:
                response = await SlowLinkClient(chunks).call(
                    "GET", "/", timeout_s=CALL_TIMEOUT_S
                )
            except exceptions.PlatformUnavailable:
                response = None
            return response, clock.now() - started_at

        return world.run_virtual(run())

    # Guards against a large configuration that is never received completely.
    def test_response_that_keeps_arriving_is_completed(self):
        response, elapsed_s = self.call(CHUNKS)
        self.assertEqual(
            RESPONSE_BYTES // CHUNKS * CHUNKS - 2, len(response.body)
        )
        self.assertGreater(elapsed_s, CALL_TIMEOUT_S)

    def test_stalled_response_times_out(self):
        response, elapsed_s = self.call(CHUNKS // 2)
        self.assertIsNone(response)
        self.assertLess(elapsed_s, http.RESPONSE_TIMEOUT_S)
