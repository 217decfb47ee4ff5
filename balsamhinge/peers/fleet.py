"""gRPC client and server for calls between instances of a fleet."""

import asyncio

import attrs
import grpc
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.peers import streams
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import limitmessages
from balsamhinge.policy import loans
from balsamhinge.policy import routingdeltas

__all__ = ["FleetServer", "GrpcFleetPeerClient", "stream_handlers"]

# Short reconnect delays: the answer of a peer may be needed to renew leases.
CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_retries", 0),
)
# Purposes of channels.
GOSSIP = "notes"
LOANS = "loans"
TABLES = "tables"
# Time that running calls get when their channel is closed. The timeouts of
# statements are 0.8 to 2 s in current routes.
CLOSE_GRACE_S = {GOSSIP: 0.0, LOANS: 2.0, TABLES: 0.0}
# A channel is not replaced before this age: an unresponsive peer is called
# every 0.4 s, and opening a channel costs more than several calls.
MIN_CHANNEL_AGE_S = 0.7


def envelope(message):
    """Return a message encoded as a protobuf `Envelope`."""
    return peers_pb2.Envelope(body=msgspec.msgpack.encode(message))


@attrs.frozen
class CachedChannel:
    """A channel to an instance; `opened_at` is in monotonic seconds."""

    address: str
    channel: grpc.aio.Channel
    stub: peers_pb2_grpc.FleetStub
    opened_at: float


class GrpcFleetPeerClient(interfaces.FleetPeerClient):
    """Calls other instances over cached channels, one for each purpose.

    Gossip, loans and configurations use separate channels. A gossip
    message that times out replaces its channel, which must not interrupt
    running statements, and gossip must not queue behind the transfer of
    a large configuration.

    Parameters
    ----------
    security : PeerSecurity
        Credentials for calls between instances.
    """

    def __init__(self, security):
        self._security = security
        self._channels = {}
        self._closing = set()

    async def exchange(self, member, message, timeout_s):
        """See `FleetPeerClient.exchange`."""
        body = await self._call(
            member, "Exchange", envelope(message), timeout_s, GOSSIP
        )
        return decode_reply(member, body, gossipmessages.GossipMessage)

    async def fetch_table(self, member, request, timeout_s):
        """See `FleetPeerClient.fetch_table`."""
        body = await self._call(
            member, "Table", envelope(request), timeout_s, TABLES
        )
        return decode_reply(member, body, routingdeltas.TableReply)

    async def borrow(self, member, request, timeout_s):
        """See `FleetPeerClient.borrow`."""
        body = await self._call(
            member, "Borrow", envelope(request), timeout_s, LOANS
        )
        return decode_reply(member, body, loans.BorrowReply)

    async def run(self, member, request, timeout_s):
        """See `FleetPeerClient.run`."""
        body = await self._call(
            member, "Run", envelope(request), timeout_s, LOANS
        )
        return decode_reply(member, body, loans.RunReply)

    async def give_back(self, member, ended, timeout_s):
        """See `FleetPeerClient.give_back`."""
        message = peers_pb2.Loan(
            number=ended.loan, usable=ended.usable, borrower=ended.borrower
        )
        await self._call(member, "GiveBack", message, timeout_s, LOANS)

    async def request_allowance(self, member, request, timeout_s):
        """Raise PeerUnavailable: gRPC has no such call.

        An instance without streams is of a release without limits.
        """
        raise exceptions.PeerUnavailable(member.name, False)

    async def _call(self, member, method, message, timeout_s, purpose):
        cached = self._channel(member, purpose)
        try:
            answer = await getattr(cached.stub, method)(
                message, timeout=timeout_s, metadata=self._security.metadata
            )
        except grpc.aio.AioRpcError as exc:
            # A connection cut without a TCP reset keeps calls waiting
            # long after a network partition has healed; a new channel
            # works at once. The channel itself reopens connections that
            # were closed with a reset.
            timed_out = exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            if (
                timed_out
                and clock.now() - cached.opened_at >= MIN_CHANNEL_AGE_S
            ):
                self._drop(member.name, purpose, cached)
            raise exceptions.PeerUnavailable(member.name, True) from exc
        except asyncio.CancelledError as exc:
            # Closing a channel cancels the calls left on it. That is a
            # failed call, not a cancellation of the current task.
            if asyncio.current_task().cancelling():
                raise
            raise exceptions.PeerUnavailable(member.name, True) from exc
        return answer.body

    def _channel(self, member, purpose):
        cached = self._channels.get((member.name, purpose))
        if cached is not None and cached.address == member.address:
            return cached
        # Channels with equal options would share one connection.
        options = (*CHANNEL_OPTIONS, ("balsamhinge.purpose", purpose))
        channel = self._security.open_channel(member.address, options)
        stub = peers_pb2_grpc.FleetStub(channel)
        opened = CachedChannel(member.address, channel, stub, clock.now())
        self._channels[member.name, purpose] = opened
        return opened

    def _drop(self, name, purpose, cached):
        """Remove a channel from the cache and close it, if still there."""
        if self._channels.get((name, purpose)) is not cached:
            return
        del self._channels[name, purpose]
        task = asyncio.ensure_future(
            cached.channel.close(CLOSE_GRACE_S[purpose])
        )
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self):
        """Close every channel."""
        for (name, purpose), opened in list(self._channels.items()):
            self._drop(name, purpose, opened)
        await asyncio.gather(*self._closing)


def decode_reply(member, body, reply_type):
    """Decode the reply of an instance.

    Raises
    ------
    PeerUnavailable
        If it cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(body, type=reply_type)
    except msgspec.DecodeError as exc:
        raise exceptions.PeerUnavailable(member.name, True) from exc


class FleetServer(peers_pb2_grpc.FleetServicer):
    """Passes calls of other instances to the controllers.

    Parameters
    ----------
    receive : callable
        Handles a `GossipMessage` and returns the `GossipMessage` in answer.
    serve_table : callable
        Handles a `TableRequest` and returns the `TableReply`.
    connection_loans : ConnectionLoanController
        Lends pooled connections to other instances.
    security : PeerSecurity
        Credentials for calls between instances.
    """

    def __init__(self, receive, serve_table, connection_loans, security):
        self._receive = receive
        self._serve_table = serve_table
        self._connection_loans = connection_loans
        self._security = security
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        peers_pb2_grpc.add_FleetServicer_to_server(self, self._server)

    async def start(self, address):
        """Listen on `address`."""
        if not self._security.listen(self._server, address):
            raise exceptions.BalsamhingeError(f"cannot listen on {address}")
        await self._server.start()

    async def stop(self, grace_s=0.0):
        """Refuse new calls, and cancel running ones after `grace_s`."""
        await self._server.stop(grace_s)

    async def _require_secret(self, context):
        if not self._security.accepts(context.invocation_metadata()):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "wrong secret"
            )

    async def Exchange(self, request, context):  # noqa: N802
        """Merge a gossip message and answer with this instance's own."""
        await self._require_secret(context)
        message = msgspec.msgpack.decode(
            request.body, type=gossipmessages.GossipMessage
        )
        return envelope(self._receive(message))

    async def Table(self, request, context):  # noqa: N802
        """Return the changes that the caller's configuration lacks."""
        await self._require_secret(context)
        asked = msgspec.msgpack.decode(
            request.body, type=routingdeltas.TableRequest
        )
        return envelope(self._serve_table(asked))

    async def Borrow(self, request, context):  # noqa: N802
        """Lend a pooled connection to another instance."""
        await self._require_secret(context)
        asked = msgspec.msgpack.decode(request.body, type=loans.BorrowRequest)
        return envelope(await self._connection_loans.lend(asked))

    async def Run(self, request, context):  # noqa: N802
        """Execute a statement on a lent connection."""
        await self._require_secret(context)
        asked = msgspec.msgpack.decode(request.body, type=loans.RunRequest)
        return envelope(await self._connection_loans.run(asked))

    async def GiveBack(self, request, context):  # noqa: N802
        """End the loan of a connection."""
        await self._require_secret(context)
        self._connection_loans.handle_end(
            loans.LoanEnd(request.number, request.usable, request.borrower)
        )
        return peers_pb2.Envelope()


def stream_handlers(receive, connection_loans, serve_allowance):
    """Return the `Handler` of each method that is served over streams.

    Parameters
    ----------
    receive : callable
        Handles a `GossipMessage` and returns the `GossipMessage` in answer.
    connection_loans : ConnectionLoanController
        Lends pooled connections to other instances.
    serve_allowance : callable
        Handles an `AllowanceRequest` and returns the `AllowanceReply`.
    """
    served = {
        streams.Method.EXCHANGE: (gossipmessages.GossipMessage, receive),
        streams.Method.BORROW: (loans.BorrowRequest, connection_loans.lend),
        streams.Method.RUN: (loans.RunRequest, connection_loans.run),
        streams.Method.GIVE_BACK: (
            loans.LoanEnd,
            connection_loans.handle_end,
        ),
        streams.Method.ALLOWANCE: (
            limitmessages.AllowanceRequest,
            serve_allowance,
        ),
    }
    return {
        method: streams.Handler(msgspec.msgpack.Decoder(request), respond)
        for method, (request, respond) in served.items()
    }
