"""Tests of calls over HTTP."""

import asyncio
import socket

import h11
import testtools

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.platform import http
from balsamhinge.platform import objects
from balsamhinge.standins import records
from tests.platform import standins
from tests.support import world

# What the users' configuration of 1,440 routes takes as JSON.
LARGE_BYTES = 262_144
# 1 Mbit/s, half of the narrowest link of any deployment seen.
LINK_RATE = 125_000
PIECES = 20
CALL_S = 1.0

__all__ = ["LargeAnswerTest", "SilenceTest"]


class SilenceTest(testtools.TestCase):
    """The kernel finds out that the other end does not answer."""

    # Guards against a watch that waits on a dead connection.
    def test_connections_to_the_store_are_probed_while_they_wait(self):
        async def run():
            server = standins.ObjectServer(records.Records(), {})
            await server.start()
            caller = http.HttpClient(server.address)
            await caller.call("GET", f"{objects.PATH}/leaders")
            sock = caller._idle[0].writer.get_extra_info("socket")
            probed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            found = [
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            ]
            caller.close()
            server.stop()
            return probed, found

        probed, (idle_s, interval_s, probes) = asyncio.run(run())
        self.assertTrue(probed)
        # A configuration has to be in force within 3 s.
        self.assertLessEqual(idle_s + interval_s * probes, 3)


class PipeWriter:
    """Takes what is sent, and forgets it."""

    transport = None

    def write(self, data):
        """See `asyncio.StreamWriter`."""

    def close(self):
        """See `asyncio.StreamWriter`."""

    def abort(self):
        """See `asyncio.WriteTransport`."""


class NarrowCaller(http.HttpClient):
    """Gets the first pieces of an answer over a narrow link."""

    def __init__(self, pieces):
        super().__init__("127.0.0.1:1")
        self._pieces = pieces

    async def _open(self):
        reader = asyncio.StreamReader()
        writer = PipeWriter()
        writer.transport = writer
        self.feeding = asyncio.ensure_future(self._feed(reader))
        return http._Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _feed(self, reader):
        size = LARGE_BYTES // PIECES
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size * PIECES}\r\n\r\n"
        reader.feed_data(head.encode() + b'"' + b"x" * (size - 1))
        for number in range(1, self._pieces):
            await clock.pause(size / LINK_RATE)
            last = number == PIECES - 1
            reader.feed_data(b"x" * (size - last) + b'"' * last)


class LargeAnswerTest(testtools.TestCase):
    """Pattern: a large answer over a narrow link."""

    def call(self, pieces):
        """Return the answer, and the seconds until it came."""

        async def run():
            begun = clock.now()
            try:
                response = await NarrowCaller(pieces).call(
                    "GET", "/", timeout_s=CALL_S
                )
            except exceptions.PlatformUnavailable:
                response = None
            return response, clock.now() - begun

        return world.run_virtual(run())

    # Guards against a large configuration that is never read to its end.
    def test_an_answer_that_keeps_coming_is_waited_for(self):
        response, took_s = self.call(PIECES)
        self.assertEqual(
            LARGE_BYTES // PIECES * PIECES - 2, len(response.body)
        )
        self.assertGreater(took_s, CALL_S)

    def test_an_answer_that_stops_is_given_up(self):
        response, took_s = self.call(PIECES // 2)
        self.assertIsNone(response)
        self.assertLess(took_s, http.RESPONSE_TIMEOUT_S)
