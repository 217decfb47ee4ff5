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

__all__ = ["ChannelTest", "SilentPeerTest", "TableTest"]


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
                    for timeout_s in (1.3 * fleet.KEEP_S, 30.0, 30.0)
                ]
                found = await asyncio.gather(*asked, return_exceptions=True)
                await peers.close()
                return found

        for one in asyncio.run(run()):
            self.assertIsInstance(one, exceptions.PeerUnavailable)


class CountingSecurity:
    """Counts the channels that are opened."""

    def __init__(self):
        self._trust = security.PeerSecurity("")
        self.metadata = self._trust.metadata
        self.opened = 0

    def open_channel(self, address, options):
        """See `PeerSecurity.open_channel`."""
        self.opened += 1
        return self._trust.open_channel(address, options)


class SilentPeerTest(testtools.TestCase):
    """Pattern: a cut, in which each instance asks many that are silent."""

    def ask_in_vain(self, call_s, calls):
        """Return how many channels some calls to a silent peer open."""
        trust = CountingSecurity()

        async def run():
            with socket.socket() as silent:
                silent.bind((real.HOST, 0))
                silent.listen()
                host, port = silent.getsockname()
                member = homes.Member("one", f"{host}:{port}", "n")
                peers = fleet.GrpcFleetPeers(trust)
                for _call in range(calls):
                    try:
                        await peers.exchange(member, notes.Note("two"), call_s)
                    except exceptions.PeerUnavailable:
                        continue
                await peers.close()

        real.run_real(run())
        return trust.opened

    # Guards against a channel for each call: opening them took most of the
    # processor while a data centre was cut off.
    def test_calls_in_quick_succession_share_a_channel(self):
        # A hundredth of the time for which a channel is kept, each.
        self.assertLess(self.ask_in_vain(fleet.KEEP_S / 100, 5), 5)

    def test_a_channel_that_stays_silent_is_opened_anew(self):
        opened = self.ask_in_vain(1.1 * fleet.KEEP_S, 2)
        self.assertEqual(2, opened)


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
