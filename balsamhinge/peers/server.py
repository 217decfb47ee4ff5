"""gRPC server for calls of other instances."""

import asyncio

import grpc
import msgspec

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.peers import client
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.policy import messages

__all__ = ["PeerServer"]


class PeerServer(peers_pb2_grpc.PeersServicer):
    """Passes calls of other instances to the controllers.

    Parameters
    ----------
    core : Core
        Controllers of the instance.
    security : PeerSecurity
        Credentials for calls between instances.
    """

    def __init__(self, core, security):
        self._core = core
        self._security = security
        self._server = grpc.aio.server(options=client.CHANNEL_OPTIONS)
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)

    async def start(self, address):
        """Listen on `address`."""
        if not self._security.listen(self._server, address):
            raise exceptions.BalsamhingeError(f"cannot listen on {address}")
        await self._server.start()

    async def stop(self, patience_s):
        """Refuse new calls and wait for running ones, at most `patience_s`."""
        await self._server.stop(patience_s)

    async def _require_secret(self, context):
        if not self._security.accepts(context.invocation_metadata()):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "wrong secret"
            )

    async def Forward(self, request, context):  # noqa: N802
        """Execute forwarded work on a target that this instance owns."""
        await self._require_secret(context)
        work = msgspec.msgpack.decode(request.body, type=messages.WorkRequest)
        # Shielded, so that a cancelled call does not interrupt the work.
        execution = asyncio.ensure_future(self._core.owner_chain(work))
        reply = await asyncio.shield(execution)
        return peers_pb2.Envelope(body=msgspec.msgpack.encode(reply))

    async def Exchange(self, request, context):  # noqa: N802
        """Merge another instance's state and answer with what it lacks."""
        await self._require_secret(context)
        message = msgspec.msgpack.decode(
            request.body, type=interfaces.AntiEntropyMessage
        )
        answer = await self._core.dissemination.handle_message(message)
        return peers_pb2.Envelope(body=msgspec.msgpack.encode(answer))

    async def Sight(self, request, context):  # noqa: N802
        """Return for how long a group's primary has not answered."""
        await self._require_secret(context)
        observation = self._core.observe_primary(request.group)
        return peers_pb2.SightReply(
            term=observation.term, silent_s=observation.silent_s
        )
