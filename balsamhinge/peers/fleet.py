"""Calls between the instances of a fleet, by gRPC."""

import grpc
import msgspec

from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.policy import notes

__all__ = ["FleetServer", "GrpcNotes"]

# A peer that was away is tried again soon: its knowledge renews leases.
OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_retries", 0),
)


class GrpcNotes(links.NotesLink):
    """Keeps a channel to each instance that is called.

    Parameters
    ----------
    security : PeerSecurity
        How instances recognise each other.
    """

    def __init__(self, security):
        self._security = security
        self._channels = {}

    async def exchange(self, member, note, timeout_s):
        """See `NotesLink.exchange`."""
        stub = self._stub(member)
        body = msgspec.msgpack.encode(note)
        try:
            answer = await stub.Exchange(
                peers_pb2.Envelope(body=body),
                timeout=timeout_s,
                metadata=self._security.metadata,
            )
        except grpc.aio.AioRpcError as exc:
            # A connection that was cut in silence would be waited for
            # long after the cut has healed; a new one tells at once.
            await self._drop(member.name)
            raise exceptions.PeerUnavailable(member.name, True) from exc
        return msgspec.msgpack.decode(answer.body, type=notes.Note)

    def _stub(self, member):
        known = self._channels.get(member.name)
        if known is not None and known[0] == member.address:
            return known[2]
        channel = self._security.open_channel(member.address, OPTIONS)
        stub = peers_pb2_grpc.FleetStub(channel)
        self._channels[member.name] = member.address, channel, stub
        return stub

    async def _drop(self, name):
        known = self._channels.pop(name, None)
        if known is not None:
            await known[1].close()

    async def close(self):
        """Close every channel."""
        for name in list(self._channels):
            await self._drop(name)


class FleetServer(peers_pb2_grpc.FleetServicer):
    """Hands other instances' notes to the controllers.

    Parameters
    ----------
    receive : callable
        Takes a `Note` and returns the answering one.
    security : PeerSecurity
        How instances recognise each other.
    """

    def __init__(self, receive, security):
        self._receive = receive
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

    async def Exchange(self, request, context):  # noqa: N802
        """Compare notes with another instance."""
        if not self._security.accepts(context.invocation_metadata()):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "wrong secret"
            )
        note = msgspec.msgpack.decode(request.body, type=notes.Note)
        answer = self._receive(note)
        return peers_pb2.Envelope(body=msgspec.msgpack.encode(answer))
