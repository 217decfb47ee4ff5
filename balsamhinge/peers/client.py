"""Calls to other instances by gRPC."""

import grpc
import msgspec

from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.policy import messages

__all__ = ["GrpcPeers"]

MOST_MESSAGE_BYTES = 64 * 1024 * 1024
OPTIONS = (
    ("grpc.max_receive_message_length", MOST_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MOST_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_retries", 0),
)
# The call never left this instance if the server is said to be
# unavailable before a connection stood.
NOT_CONNECTED = "failed to connect"


class GrpcPeers(links.PeerLink):
    """Keeps a channel to each instance that is called.

    Parameters
    ----------
    security : PeerSecurity
        How instances recognise each other.
    """

    def __init__(self, security):
        self._security = security
        self._channels = {}

    async def forward(self, member, work, timeout_s):
        """See `PeerLink.forward`."""
        envelope = peers_pb2.Envelope(body=msgspec.msgpack.encode(work))
        answer = await self._call(member, "Forward", envelope, timeout_s)
        return msgspec.msgpack.decode(answer.body, type=messages.Reply)

    async def exchange(self, member, message, timeout_s):
        """See `PeerLink.exchange`."""
        envelope = peers_pb2.Envelope(body=msgspec.msgpack.encode(message))
        answer = await self._call(member, "Exchange", envelope, timeout_s)
        return msgspec.msgpack.decode(answer.body, type=links.Exchange)

    async def sight(self, member, group, timeout_s):
        """See `PeerLink.sight`."""
        request = peers_pb2.SightRequest(group=group)
        answer = await self._call(member, "Sight", request, timeout_s)
        return links.Sight(group, answer.term, answer.silent_s)

    async def _call(self, member, method, request, timeout_s):
        stub = self._stub(member)
        try:
            return await getattr(stub, method)(
                request, timeout=timeout_s, metadata=self._security.metadata
            )
        except grpc.aio.AioRpcError as exc:
            details = (exc.details() or "").lower()
            refused = exc.code() is grpc.StatusCode.UNAVAILABLE
            sent = not (refused and NOT_CONNECTED in details)
            raise exceptions.PeerUnavailable(member.name, sent) from exc

    def _stub(self, member):
        known = self._channels.get(member.name)
        if known is not None and known[0] == member.address:
            return known[2]
        channel = self._security.open_channel(member.address, OPTIONS)
        stub = peers_pb2_grpc.PeersStub(channel)
        self._channels[member.name] = member.address, channel, stub
        return stub

    async def close(self):
        """Close every channel."""
        for _address, channel, _stub in self._channels.values():
            await channel.close()
