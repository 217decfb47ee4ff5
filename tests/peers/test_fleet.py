"""Tests of calls between the instances of a fleet."""

import asyncio
import socket

import testtools

from balsamhinge import exceptions
from balsamhinge.peers import fleet
from balsamhinge.peers import security
from balsamhinge.policy import homes
from balsamhinge.policy import notes

__all__ = ["ChannelTest"]


class ChannelTest(testtools.TestCase):
    """Calls share a channel to an instance."""

    def test_a_call_that_gives_it_up_cancels_no_other_caller(self):
        async def run():
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                silent.listen()
                host, port = silent.getsockname()
                member = homes.Member("one", f"{host}:{port}", "n")
                peers = fleet.GrpcFleetPeers(security.PeerSecurity(""))
                asked = [
                    peers.exchange(member, notes.Note("two"), timeout_s)
                    for timeout_s in (0.2, 30.0, 30.0)
                ]
                found = await asyncio.gather(*asked, return_exceptions=True)
                await peers.close()
                return found

        for one in asyncio.run(run()):
            self.assertIsInstance(one, exceptions.PeerUnavailable)
