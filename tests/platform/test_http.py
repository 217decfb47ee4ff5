"""Tests of calls over HTTP."""

import asyncio
import socket

import testtools

from balsamhinge.platform import http
from balsamhinge.platform import objects
from balsamhinge.standins import records
from tests.platform import standins

__all__ = ["SilenceTest"]


class SilenceTest(testtools.TestCase):
    """The kernel finds out that the other end does not answer."""

    # Guards against a watch that waits on a dead connection.
    def test_connections_to_the_store_are_probed_while_they_wait(self):
        async def run():
            server = standins.ObjectServer(records.Records(), {})
            await server.start()
            caller = http.HttpCaller(server.address)
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
