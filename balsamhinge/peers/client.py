"""gRPC client for calls to other instances."""

import grpc
import msgspec

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.policy import messages

__all__ = ["GrpcPeerClient"]

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_retries", 0),
)
# gRPC's detail text for UNAVAILABLE when no connection was established, so
# the call was not sent.
NOT_CONNECTED_DETAIL = "failed to connect"


class GrpcPeerClient(interfaces.PeerClient):
    """Calls other instances, over one cached channel to each.

    Parameters
    ----------
    security : PeerSecurity
        Credentials for calls between instances.
    """

    def __init__(self, security):
        self._security = security
        self._channels = {}

    async def forward(self, member, work, timeout_s):
        """See `PeerClient.forward`."""
        envelope = peers_pb2.Envelope(body=msgspec.msgpack.encode(work))
        answer = await self._call(member, "Forward", envelope, timeout_s)
        return msgspec.msgpack.decode(answer.body, type=messages.Reply)

    async def exchange(self, member, message, timeout_s):
        """See `PeerClient.exchange`."""
        envelope = peers_pb2.Envelope(body=msgspec.msgpack.encode(message))
        answer = await self._call(member, "Exchange", envelope, timeout_s)
        return msgspec.msgpack.decode(
            answer.body, type=interfaces.AntiEntropyMessage
        )

    async def observe_primary(self, member, group, timeout_s):
        """See `PeerClient.observe_primary`."""
        request = peers_pb2.SightRequest(group=group)
        answer = await self._call(member, "Sight", request, timeout_s)
        return interfaces.PrimaryObservation(
            group, answer.term, answer.silent_s
        )

    async def _call(self, member, method, request, timeout_s):
        stub = self._stub(member)
        try:
            return await getattr(stub, method)(
                request, timeout=timeout_s, metadata=self._security.metadata
            )
        except grpc.aio.AioRpcError as exc:
            details = (exc.details() or "").lower()
            unavailable = exc.code() is grpc.StatusCode.UNAVAILABLE
            sent = not (unavailable and NOT_CONNECTED_DETAIL in details)
            raise exceptions.PeerUnavailable(member.name, sent) from exc

    def _stub(self, member):
        cached = self._channels.get(member.name)
        if cached is not None and cached[0] == member.address:
            return cached[2]
        channel = self._security.open_channel(member.address, CHANNEL_OPTIONS)
        stub = peers_pb2_grpc.PeersStub(channel)
        self._channels[member.name] = member.address, channel, stub
        return stub

    async def close(self):
        """Close every channel."""
        for _address, channel, _stub in self._channels.values():
            await channel.close()
