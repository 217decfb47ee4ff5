"""Calls between the instances of a fleet, by gRPC."""

import asyncio

import attrs
import grpc
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.policy import loans
from balsamhinge.policy import notes
from balsamhinge.policy import routechanges

__all__ = ["FleetServer", "GrpcFleetPeers"]

# A peer that was away is tried again soon: its knowledge renews leases.
OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_retries", 0),
)
NOTES = "notes"
LOANS = "loans"
TABLES = "tables"
# Seconds that calls under way on a channel that is given up may take.
# Statements last 0.8 to 2 s at most by today's routes.
GRACE_S = {NOTES: 0.0, LOANS: 2.0, TABLES: 0.0}
# A channel is kept for so long at least. A silent peer is asked again each
# 0.4 s, and opening a channel costs more than several calls.
KEEP_S = 0.7


def envelope(message):
    """Return a message as it is sent."""
    return peers_pb2.Envelope(body=msgspec.msgpack.encode(message))


@attrs.frozen
class OpenChannel:
    """A channel to an instance, and when it was opened."""

    address: str
    channel: grpc.aio.Channel
    stub: peers_pb2_grpc.FleetStub
    opened_at: float


class GrpcFleetPeers(links.FleetPeers):
    """Keeps channels to the instances that are called.

    Notes, loans and configurations have channels of their own: a note that
    comes late gives up its channel, and must not cut statements that are
    under way; nor should it wait behind a large configuration.

    Parameters
    ----------
    security : PeerSecurity
        How instances recognise each other.
    """

    def __init__(self, security):
        self._security = security
        self._channels = {}
        self._closing = set()

    async def exchange(self, member, note, timeout_s):
        """See `FleetPeers.exchange`."""
        body = await self._call(
            member, "Exchange", envelope(note), timeout_s, NOTES
        )
        return msgspec.msgpack.decode(body, type=notes.Note)

    async def fetch_table(self, member, request, timeout_s):
        """See `FleetPeers.fetch_table`."""
        body = await self._call(
            member, "Table", envelope(request), timeout_s, TABLES
        )
        return msgspec.msgpack.decode(body, type=routechanges.TableReply)

    async def borrow(self, member, request, timeout_s):
        """See `FleetPeers.borrow`."""
        body = await self._call(
            member, "Borrow", envelope(request), timeout_s, LOANS
        )
        return msgspec.msgpack.decode(body, type=loans.BorrowReply)

    async def run(self, member, request, timeout_s):
        """See `FleetPeers.run`."""
        body = await self._call(
            member, "Run", envelope(request), timeout_s, LOANS
        )
        return msgspec.msgpack.decode(body, type=loans.RunReply)

    async def give_back(self, member, loan, usable, timeout_s):
        """See `FleetPeers.give_back`."""
        ended = peers_pb2.Loan(number=loan, usable=usable)
        await self._call(member, "GiveBack", ended, timeout_s, LOANS)

    async def _call(self, member, method, message, timeout_s, purpose):
        used = self._channel(member, purpose)
        try:
            answer = await getattr(used.stub, method)(
                message, timeout=timeout_s, metadata=self._security.metadata
            )
        except grpc.aio.AioRpcError as exc:
            # A connection that was cut in silence would be waited for
            # long after the cut has healed; a new one tells at once.
            # Others are opened anew by the channel itself.
            silent = exc.code() is grpc.StatusCode.DEADLINE_EXCEEDED
            if silent and clock.now() - used.opened_at >= KEEP_S:
                self._drop(member.name, purpose, used)
            raise exceptions.PeerUnavailable(member.name, True) from exc
        except asyncio.CancelledError as exc:
            # A channel that another call has given up cancels the calls
            # that are left on it; that ends none of their callers.
            if asyncio.current_task().cancelling():
                raise
            raise exceptions.PeerUnavailable(member.name, True) from exc
        return answer.body

    def _channel(self, member, purpose):
        known = self._channels.get((member.name, purpose))
        if known is not None and known.address == member.address:
            return known
        options = (*OPTIONS, ("balsamhinge.purpose", purpose))
        channel = self._security.open_channel(member.address, options)
        stub = peers_pb2_grpc.FleetStub(channel)
        opened = OpenChannel(member.address, channel, stub, clock.now())
        self._channels[member.name, purpose] = opened
        return opened

    def _drop(self, name, purpose, used):
        """Close a channel, unless that has been done."""
        if self._channels.get((name, purpose)) is not used:
            return
        del self._channels[name, purpose]
        task = asyncio.ensure_future(used.channel.close(GRACE_S[purpose]))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self):
        """Close every channel."""
        for (name, purpose), opened in list(self._channels.items()):
            self._drop(name, purpose, opened)
        await asyncio.gather(*self._closing)


class FleetServer(peers_pb2_grpc.FleetServicer):
    """Hands other instances' calls to the controllers.

    Parameters
    ----------
    receive : callable
        Takes a `Note` and returns the answering one.
    serve_table : callable
        Takes a `TableRequest` and returns the `TableReply`.
    connection_loans : ConnectionLoanController
        Lends connections.
    security : PeerSecurity
        How instances recognise each other.
    """

    def __init__(self, receive, serve_table, connection_loans, security):
        self._receive = receive
        self._serve_table = serve_table
        self._connection_loans = connection_loans
        self._security = security
        self._server = grpc.aio.server(options=OPTIONS)
        peers_pb2_grpc.add_FleetServicer_to_server(self, self._server)

    async def start(self, address):
        """Listen on `address`."""
        if not self._security.listen(self._server, address):
            raise exceptions.BalsamhingeError(f"cannot listen on {address}")
        await self._server.start()

    async def stop(self):
        """Stop at once."""
        await self._server.stop(0)

    async def _require_secret(self, context):
        if not self._security.accepts(context.invocation_metadata()):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "wrong secret"
            )

    async def Exchange(self, request, context):  # noqa: N802
        """Compare notes with another instance."""
        await self._require_secret(context)
        note = msgspec.msgpack.decode(request.body, type=notes.Note)
        return envelope(self._receive(note))

    async def Table(self, request, context):  # noqa: N802
        """Tell what has changed in the configuration."""
        await self._require_secret(context)
        asked = msgspec.msgpack.decode(
            request.body, type=routechanges.TableRequest
        )
        return envelope(self._serve_table(asked))

    async def Borrow(self, request, context):  # noqa: N802
        """Lend a connection to another instance."""
        await self._require_secret(context)
        asked = msgspec.msgpack.decode(request.body, type=loans.BorrowRequest)
        return envelope(await self._connection_loans.lend(asked))

    async def Run(self, request, context):  # noqa: N802
        """Run a statement on a lent connection."""
        await self._require_secret(context)
        asked = msgspec.msgpack.decode(request.body, type=loans.RunRequest)
        return envelope(await self._connection_loans.run(asked))

    async def GiveBack(self, request, context):  # noqa: N802
        """Take a lent connection back."""
        await self._require_secret(context)
        self._connection_loans.end_loan(request.number, request.usable)
        return peers_pb2.Envelope()
