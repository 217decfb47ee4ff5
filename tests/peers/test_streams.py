"""Tests of calls between instances over streams."""

import asyncio
import contextlib
import socket

import attrs
import testtools

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.peers import fleet
from balsamhinge.peers import security
from balsamhinge.peers import streamclient
from balsamhinge.peers import streams
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import limitmessages
from balsamhinge.policy import loans
from balsamhinge.policy import ownership
from balsamhinge.policy import statements
from tests.support import real

__all__ = ["StreamCallTest", "StreamFailureTest", "StreamStopTest"]

SECRET = "s"
# Longer than the time for which a stream was kept after a late answer.
RETIRED_S = 2.2
# Bytes of a reply that does not fit into the buffers of the sockets.
LARGE_REPLY = 8_300_000
RECEIVE_BUFFER = 65_536
Message = gossipmessages.GossipMessage


class Lender:
    """Answers each borrow request; statements wait for an event."""

    def __init__(self):
        self.ended = []
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.answer = statements.Answer()

    async def lend(self, request):
        """See `ConnectionLoanController.lend`."""
        if request.target == "broken":
            raise ValueError("no such target")
        return loans.BorrowReply(7)

    async def run(self, request):
        """See `ConnectionLoanController.run`."""
        self.started.set()
        await self.release.wait()
        return loans.RunReply(self.answer, request.loan)

    def serve_allowance(self, request):
        """See `CustomerLimitsController.serve`."""
        return limitmessages.AllowanceReply(dict(request.needed))

    def handle_end(self, ended):
        """See `ConnectionLoanController.handle_end`."""
        self.ended.append((ended.loan, ended.usable))


class Peer:
    """A listening instance and a client that calls it."""

    def __init__(self, secret=SECRET):
        self.lender = Lender()
        self.receive = lambda message: Message("one", holder=message.sender)
        self.port, port = real.free_ports(2)
        address = f"{real.HOST}:{port}"
        self.member = ownership.Member("one", address, "n")
        self.server = streams.StreamServer(
            fleet.stream_handlers(
                lambda message: self.receive(message),
                self.lender,
                self.lender.serve_allowance,
            ),
            SECRET,
        )
        self.client = make_client(self.port, secret)

    async def drain(self):
        """Finish all calls, as before a planned stop."""
        await self.server.drain(clock.now() + real.LIMIT_S)

    @contextlib.asynccontextmanager
    async def running(self):
        """Listen, and close everything at the end."""
        await self.server.start(f"{real.HOST}:{self.port}")
        try:
            yield self
        finally:
            self.lender.release.set()
            await self.client.close()
            self.server.stop()


def make_client(port, secret=SECRET):
    """Return a client of streams with a gRPC client beside it."""
    grpc_client = fleet.GrpcFleetPeerClient(security.PeerSecurity(secret))
    return streamclient.StreamFleetPeerClient(port, secret, grpc_client)


def run_request(loan):
    """Return the request to run a rollback on a loan."""
    name, fields = loans.encode_statement(statements.Rollback())
    return loans.RunRequest(
        loan=loan,
        borrow=None,
        statement=name,
        fields=fields,
        request_id="r",
        needed=None,
        values={},
        prepared=None,
        patience_s=real.LIMIT_S,
    )


class StreamCallTest(testtools.TestCase):
    """Calls that a listening instance answers."""

    def run_peer(self, scenario):
        async def run():
            async with Peer().running() as peer:
                return await scenario(peer)

        return real.run_real(run())

    def test_each_call_is_answered(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            reply = await client.exchange(member, Message("two"), real.LIMIT_S)
            self.assertEqual("two", reply.holder)
            request = loans.BorrowRequest("a", 0, 1.0, True)
            lent = await client.borrow(member, request, real.LIMIT_S)
            self.assertEqual(7, lent.loan)
            ended = loans.LoanEnd(7, False, 1)
            await client.give_back(member, ended, real.LIMIT_S)
            self.assertEqual([(7, False)], peer.lender.ended)
            peer.lender.release.set()
            ran = await client.run(member, run_request(7), real.LIMIT_S)
            self.assertEqual(7, ran.loan)

        self.run_peer(scenario)

    # Guards against a statement that waits for a slot and holds up all
    # others on the same stream.
    def test_slow_statement_delays_no_other_call(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            slow = asyncio.ensure_future(
                client.run(member, run_request(7), real.LIMIT_S)
            )
            await peer.lender.started.wait()
            request = loans.BorrowRequest("a", 0, 1.0, True)
            lent = await client.borrow(member, request, real.LIMIT_S)
            self.assertEqual(7, lent.loan)
            self.assertFalse(slow.done())
            peer.lender.release.set()
            await slow

        self.run_peer(scenario)

    # Guards against an unexpected error in one call that ends the process
    # or the stream of the others.
    def test_error_while_serving_fails_that_call_only(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            request = loans.BorrowRequest("broken", 0, 1.0, True)
            with self.assertRaises(exceptions.PeerUnavailable):
                await client.borrow(member, request, real.LIMIT_S)
            request = loans.BorrowRequest("a", 0, 1.0, True)
            lent = await client.borrow(member, request, real.LIMIT_S)
            self.assertEqual(7, lent.loan)

        self.run_peer(scenario)

    # Guards against a malformed message that takes the process down.
    def test_malformed_frames_close_their_stream_only(self):
        async def scenario(peer):
            hello = streams.encode_frame(0, streams.Method.HELLO, SECRET)
            for data in (
                b"\xff\xff\xff\xff",
                b"\x00\x00\x00\x02\xc1\xc1",
                streams.encode_frame(1, streams.Method.RUN, "early"),
                hello + streams.encode_frame(1, streams.Method.RUN, "odd"),
                hello + streams.encode_frame(1, 99, None),
            ):
                reader, writer = await asyncio.open_connection(
                    real.HOST, peer.port
                )
                writer.write(data)
                with contextlib.suppress(ConnectionResetError):
                    self.assertEqual(b"", await reader.read())
                writer.close()
            reply = await peer.client.exchange(
                peer.member, Message("two"), real.LIMIT_S
            )
            self.assertEqual("two", reply.holder)

        self.run_peer(scenario)


class StreamStopTest(testtools.TestCase):
    """Calls to an instance that stops as planned."""

    def run_peer(self, scenario):
        async def run():
            async with Peer().running() as peer:
                return await scenario(peer)

        return real.run_real(run())

    # Guards against a lent statement that is cut as its host stops.
    def test_running_call_is_answered_before_the_stop(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            call = asyncio.ensure_future(
                client.run(member, run_request(7), real.LIMIT_S)
            )
            await peer.lender.started.wait()
            draining = asyncio.ensure_future(peer.drain())
            await asyncio.sleep(0)
            self.assertFalse(draining.done())
            peer.lender.release.set()
            await draining
            peer.server.stop()
            self.assertEqual(7, (await call).loan)

        self.run_peer(scenario)

    # Guards against a reply that is lost in the transport's buffer as the
    # process ends: the caller reads slowly.
    def test_replies_are_sent_before_the_stop(self):
        async def scenario(peer):
            peer.lender.release.set()
            peer.lender.answer = statements.Answer(rows=("x" * LARGE_REPLY,))
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
            )
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (real.HOST, peer.port))
            reader, writer = await asyncio.open_connection(sock=sock)
            writer.write(streams.encode_frame(0, streams.Method.HELLO, SECRET))
            writer.write(
                streams.encode_frame(1, streams.Method.RUN, run_request(7))
            )
            await peer.lender.started.wait()
            draining = asyncio.ensure_future(peer.drain())
            while not all(each.is_finished for each in peer.server.streams):
                await asyncio.sleep(0)
            received = await reader.read()
            writer.close()
            await draining
            peer.server.stop()
            length = int.from_bytes(received[: streams.LENGTH_BYTES], "big")
            self.assertLess(LARGE_REPLY, length)
            self.assertLessEqual(length, len(received))

        self.run_peer(scenario)

    # Guards against "in doubt" for a commit that a stopping host did not
    # read any more.
    def test_call_after_the_last_reply_was_not_run(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            peer.lender.release.set()
            await client.run(member, run_request(7), real.LIMIT_S)
            draining = asyncio.ensure_future(peer.drain())
            # The server has said that it handles no more calls, which the
            # client has not read yet.
            while not all(each.is_finished for each in peer.server.streams):
                await asyncio.sleep(0)
            with self.assertRaises(exceptions.PeerUnavailable) as caught:
                await client.run(member, run_request(8), real.LIMIT_S)
            self.assertFalse(caught.exception.sent)
            await draining

        self.run_peer(scenario)

    # Guards against "in doubt" for a commit in a transaction at a host that
    # has stopped: nobody listens, so nothing was sent.
    def test_call_to_a_stopped_instance_was_not_sent(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            peer.lender.release.set()
            await client.run(member, run_request(7), real.LIMIT_S)
            await peer.drain()
            peer.server.stop()
            with self.assertRaises(exceptions.PeerUnavailable) as caught:
                await client.run(member, run_request(7), real.LIMIT_S)
            self.assertFalse(caught.exception.sent)

        self.run_peer(scenario)

    # Guards against an instance that is replaced by an earlier release and
    # never heard of again.
    def test_instance_replaced_by_an_earlier_release_is_called_by_grpc(self):
        async def scenario(peer):
            client, member = peer.client, peer.member
            await client.exchange(member, Message("two"), real.LIMIT_S)
            await peer.drain()
            peer.server.stop()
            server = fleet.FleetServer(
                lambda message: Message("one", holder=message.sender),
                None,
                peer.lender,
                security.PeerSecurity(SECRET),
            )
            await server.start(member.address)
            try:
                reply = await client.exchange(
                    member, Message("two"), real.LIMIT_S
                )
                self.assertEqual("two", reply.holder)
                request = loans.BorrowRequest("a", 0, 1.0, True)
                lent = await client.borrow(member, request, real.LIMIT_S)
                self.assertEqual(7, lent.loan)
            finally:
                await server.stop()

        self.run_peer(scenario)

    # Guards against a stop that takes longer than the grace time because
    # one call does not end.
    def test_drain_ends_in_time(self):
        async def scenario(peer):
            call = asyncio.ensure_future(
                peer.client.run(peer.member, run_request(7), real.LIMIT_S)
            )
            await peer.lender.started.wait()
            await peer.server.drain(clock.now() + 0.3)
            peer.server.stop()
            with self.assertRaises(exceptions.PeerUnavailable) as caught:
                await call
            self.assertTrue(caught.exception.sent)

        self.run_peer(scenario)

    # Guards against a stop that fails because a peer ended just before.
    def test_drain_after_the_end_of_a_peer(self):
        async def scenario(peer):
            sock = socket.create_connection((real.HOST, peer.port))
            while not peer.server.streams:
                await asyncio.sleep(0)
            # The loop has not noticed the end when the drain begins.
            sock.close()
            await peer.drain()
            self.assertEqual(set(), peer.server.streams)

        self.run_peer(scenario)


class StreamFailureTest(testtools.TestCase):
    """Calls that get no answer."""

    def test_wrong_secret_is_refused(self):
        async def run():
            async with Peer(secret="x").running() as peer:
                with self.assertRaises(exceptions.PeerUnavailable):
                    await peer.client.exchange(
                        peer.member, Message("two"), real.LIMIT_S
                    )

        real.run_real(run())

    # Guards against callers that wait for their deadline although the
    # instance that ran their statement is gone.
    def test_closed_stream_fails_its_calls_at_once(self):
        async def run():
            async with Peer().running() as peer:
                call = asyncio.ensure_future(
                    peer.client.run(peer.member, run_request(7), real.LIMIT_S)
                )
                await peer.lender.started.wait()
                peer.server.stop()
                with self.assertRaises(exceptions.PeerUnavailable) as caught:
                    await call
                return caught.exception.sent

        self.assertTrue(real.run_real(run()))

    # Guards against "in doubt" for a statement that never left: the host
    # accepts no connection.
    def test_call_to_an_unreachable_instance_was_not_sent(self):
        async def run():
            with socket.socket() as full:
                full.bind((real.HOST, 0))
                full.listen(0)
                address = full.getsockname()
                waiting = []
                for _attempt in range(3):
                    sock = socket.socket()
                    sock.setblocking(False)
                    sock.connect_ex(address)
                    waiting.append(sock)
                client = make_client(address[1])
                member = ownership.Member("one", f"{real.HOST}:1", "n")
                with self.assertRaises(exceptions.PeerUnavailable) as caught:
                    await client.run(member, run_request(7), 0.1)
                await client.close()
                for sock in waiting:
                    sock.close()
                return caught.exception.sent

        self.assertFalse(real.run_real(run()))

    # Guards against a stream that a partition has silenced and that is
    # used on after the partition has healed.
    def test_unresponsive_stream_is_replaced(self):
        accepted = []

        async def run():
            async def accept(reader, writer):
                accepted.append(writer)
                await reader.read()

            silent = await asyncio.start_server(accept, real.HOST, 0)
            port = silent.sockets[0].getsockname()[1]
            client = make_client(port)
            member = ownership.Member("one", f"{real.HOST}:1", "n")
            for _call in range(2):
                with self.assertRaises(exceptions.PeerUnavailable):
                    await client.exchange(
                        member,
                        Message("two"),
                        1.1 * streamclient.MIN_STREAM_AGE_S,
                    )
            await client.close()
            silent.close()

        real.run_real(run())
        self.assertEqual(2, len(accepted))

    # Guards against an instance whose loops fail because the address or an
    # answer of another one cannot be read.
    def test_unreadable_peer_counts_as_unavailable(self):
        async def run():
            async with Peer().running() as peer:
                odd = [
                    attrs.evolve(peer.member, name=name, address=address)
                    for name, address in (
                        ("a", "a..b:1"),
                        ("b", f"{'x' * 64}:1"),
                    )
                ]
                peer.receive = lambda _message: {"sender": 7}
                for member in (peer.member, *odd):
                    with self.assertRaises(exceptions.PeerUnavailable):
                        await peer.client.exchange(
                            member, Message("two"), real.LIMIT_S
                        )

        real.run_real(run())

    # Guards against instances of an earlier release that lose the others
    # while a fleet is replaced one instance after the other.
    def test_instance_without_streams_is_called_by_grpc(self):
        async def run():
            trust = security.PeerSecurity(SECRET)
            port, stream_port = real.free_ports(2)
            address = f"{real.HOST}:{port}"
            server = fleet.FleetServer(
                lambda message: Message("one", holder=message.sender),
                None,
                None,
                trust,
            )
            await server.start(address)
            client = make_client(stream_port)
            member = ownership.Member("one", address, "n")
            try:
                return await client.exchange(
                    member, Message("two"), real.LIMIT_S
                )
            finally:
                await client.close()
                await server.stop()

        self.assertEqual("two", real.run_real(run()).holder)

    # Guards against running work that is given up because its host was slow
    # to answer another request.
    def test_slow_answer_interrupts_no_running_statement(self):
        async def run():
            async with Peer().running() as peer:
                client, member = peer.client, peer.member
                running = asyncio.ensure_future(
                    client.run(member, run_request(7), real.LIMIT_S)
                )
                await peer.lender.started.wait()
                with self.assertRaises(exceptions.PeerUnavailable):
                    await client.run(
                        member,
                        run_request(8),
                        1.1 * streamclient.MIN_STREAM_AGE_S,
                    )
                reply = await client.exchange(
                    member, Message("two"), real.LIMIT_S
                )
                self.assertEqual("two", reply.holder)
                await asyncio.sleep(RETIRED_S)
                peer.lender.release.set()
                return await running

        self.assertEqual(7, real.run_real(run()).loan)
