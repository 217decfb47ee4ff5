"""Tests of calls between the instances of a fleet."""

import asyncio
import socket

import testtools

from balsamhinge import exceptions
from balsamhinge.peers import fleet
from balsamhinge.peers import security
from balsamhinge.policy import homes
from balsamhinge.policy import notes
from balsamhinge.policy import routechanges
from tests.support import real

__all__ = ["ChannelTest", "TableTest"]


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


class TableTest(testtools.TestCase):
    """The configuration travels by a call of its own."""

    def test_an_instance_fetches_what_another_one_has(self):
        asked = []

        def serve(request):
            asked.append(request)
            return routechanges.TableReply(b"packed", ["three"])

        async def run():
            trust = security.PeerSecurity("")
            address = f"{real.HOST}:{real.free_port()}"
            server = fleet.FleetServer(None, serve, None, trust)
            await server.start(address)
            peers = fleet.GrpcFleetPeers(trust)
            try:
                return await peers.fetch_table(
                    homes.Member("one", address, "n"),
                    routechanges.TableRequest("two", 7),
                    real.LIMIT_S,
                )
            finally:
                await peers.close()
                await server.stop()

        reply = real.run_real(run())
        self.assertEqual(routechanges.TableReply(b"packed", ["three"]), reply)
        self.assertEqual([routechanges.TableRequest("two", 7)], asked)
