"""Tests of gRPC calls between the instances of a fleet."""

import asyncio
import socket

import testtools

from balsamhinge import exceptions
from balsamhinge.peers import fleet
from balsamhinge.peers import security
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import loans
from balsamhinge.policy import ownership
from balsamhinge.policy import routingdeltas
from tests.support import real

__all__ = ["ChannelTest", "StopTest", "TableTest", "UnresponsivePeerTest"]


# Time in which a server without calls has stopped.
STOP_S = 0.2


class ChannelTest(testtools.TestCase):
    """Concurrent calls that share a channel to an instance."""

    def test_call_that_closes_the_channel_cancels_no_other_task(self):
        async def run():
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                silent.listen()
                host, port = silent.getsockname()
                member = ownership.Member("one", f"{host}:{port}", "n")
                peers = fleet.GrpcFleetPeerClient(security.PeerSecurity(""))
                calls = [
                    peers.exchange(
                        member, gossipmessages.GossipMessage("two"), timeout_s
                    )
                    for timeout_s in (
                        1.3 * fleet.MIN_CHANNEL_AGE_S,
                        30.0,
                        30.0,
                    )
                ]
                results = await asyncio.gather(*calls, return_exceptions=True)
                await peers.close()
                return results

        for result in asyncio.run(run()):
            self.assertIsInstance(result, exceptions.PeerUnavailable)


class CountingSecurity:
    """Counts the channels opened with the credentials of a `PeerSecurity`."""

    def __init__(self):
        self._trust = security.PeerSecurity("")
        self.metadata = self._trust.metadata
        self.opened = 0

    def open_channel(self, address, options):
        """See `PeerSecurity.open_channel`."""
        self.opened += 1
        return self._trust.open_channel(address, options)


class UnresponsivePeerTest(testtools.TestCase):
    """Repeated calls to an unresponsive peer, as in a partition."""

    def count_opened_channels(self, timeout_s, calls):
        """Return the channels opened by calls to an unresponsive peer."""
        trust = CountingSecurity()

        async def run():
            with socket.socket() as silent:
                silent.bind((real.HOST, 0))
                silent.listen()
                host, port = silent.getsockname()
                member = ownership.Member("one", f"{host}:{port}", "n")
                peers = fleet.GrpcFleetPeerClient(trust)
                for _call in range(calls):
                    try:
                        await peers.exchange(
                            member,
                            gossipmessages.GossipMessage("two"),
                            timeout_s,
                        )
                    except exceptions.PeerUnavailable:
                        continue
                await peers.close()

        real.run_real(run())
        return trust.opened

    # Guards against a new channel for each call: opening channels took most
    # of the CPU time while a data centre was partitioned.
    def test_calls_in_quick_succession_share_a_channel(self):
        self.assertLess(
            self.count_opened_channels(fleet.MIN_CHANNEL_AGE_S / 100, 5), 5
        )

    def test_unresponsive_channel_is_replaced(self):
        opened = self.count_opened_channels(1.1 * fleet.MIN_CHANNEL_AGE_S, 2)
        self.assertEqual(2, opened)


class Lender:
    """Answers a borrow request when told to."""

    def __init__(self):
        self.started = asyncio.Event()
        self.release = asyncio.Event()

    async def lend(self, request):
        """See `ConnectionLoanController.lend`."""
        self.started.set()
        await self.release.wait()
        return loans.BorrowReply(7)


class StopTest(testtools.TestCase):
    """Calls of an instance of an earlier release to one that stops."""

    # Guards against a lent statement that is cut as its host stops.
    def test_running_call_is_answered_before_the_stop(self):
        async def run():
            trust = security.PeerSecurity("")
            address = f"{real.HOST}:{real.free_port()}"
            lender = Lender()
            server = fleet.FleetServer(None, None, lender, trust)
            await server.start(address)
            peers = fleet.GrpcFleetPeerClient(trust)
            call = asyncio.ensure_future(
                peers.borrow(
                    ownership.Member("one", address, "n"),
                    loans.BorrowRequest("a", 0, 1.0, True),
                    real.LIMIT_S,
                )
            )
            await lender.started.wait()
            stopping = asyncio.ensure_future(server.stop(real.LIMIT_S))
            # A server that does not wait has stopped by then.
            await asyncio.wait([stopping], timeout=STOP_S)
            lender.release.set()
            try:
                return await call
            finally:
                await stopping
                await peers.close()

        self.assertEqual(7, real.run_real(run()).loan)


class TableTest(testtools.TestCase):
    """Transfer of the configuration between instances."""

    def test_table_request_and_reply_are_transferred(self):
        requests = []

        def serve(request):
            requests.append(request)
            return routingdeltas.TableReply(b"packed", ["three"])

        async def run():
            trust = security.PeerSecurity("")
            address = f"{real.HOST}:{real.free_port()}"
            server = fleet.FleetServer(None, serve, None, trust)
            await server.start(address)
            peers = fleet.GrpcFleetPeerClient(trust)
            try:
                return await peers.fetch_table(
                    ownership.Member("one", address, "n"),
                    routingdeltas.TableRequest("two", 7),
                    real.LIMIT_S,
                )
            finally:
                await peers.close()
                await server.stop()

        reply = real.run_real(run())
        self.assertEqual(routingdeltas.TableReply(b"packed", ["three"]), reply)
        self.assertEqual([routingdeltas.TableRequest("two", 7)], requests)
