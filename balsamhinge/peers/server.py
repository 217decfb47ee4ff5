"""Serves other instances by gRPC."""

import asyncio

import grpc
import msgspec

from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.peers import client
from balsamhinge.peers.generated import peers_pb2
from balsamhinge.peers.generated import peers_pb2_grpc
from balsamhinge.policy import messages

__all__ = ["PeerServer"]


class PeerServer(peers_pb2_grpc.PeersServicer):
    """Hands other instances' calls to the controllers.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    security : PeerSecurity
        How instances recognise each other.
    """

    def __init__(self, core, security):
        self._core = core
        self._security = security
        self._server = grpc.aio.server(options=client.OPTIONS)
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)

    async def start(self, address):
        """Listen on `address`."""
        if not self._security.listen(self._server, address):
            raise exceptions.BalsamhingeError(f"cannot listen on {address}")
        await self._server.start()

    async def stop(self, patience_s):
        """Take no new calls and let running ones end."""
        await self._server.stop(patience_s)

    async def _require_secret(self, context):
        if not self._security.accepts(context.invocation_metadata()):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "wrong secret"
            )

    async def Forward(self, request, context):  # noqa: N802
        """Do work as the home of its target."""
        await self._require_secret(context)
        work = msgspec.msgpack.decode(request.body, type=messages.Work)
        # A caller that goes away must not cut work in its middle.
        doing = asyncio.ensure_future(self._core.owner_chain(work))
        reply = await asyncio.shield(doing)
        return peers_pb2.Envelope(body=msgspec.msgpack.encode(reply))

    async def Exchange(self, request, context):  # noqa: N802
        """Compare notes with another instance."""
        await self._require_secret(context)
        message = msgspec.msgpack.decode(request.body, type=links.Exchange)
        answer = await self._core.dissemination.handle_message(message)
        return peers_pb2.Envelope(body=msgspec.msgpack.encode(answer))

    async def Sight(self, request, context):  # noqa: N802
        """Tell whether a group's primary is heard here."""
        await self._require_secret(context)
        sight = self._core.sight(request.group)
        return peers_pb2.SightReply(term=sight.term, silent_s=sight.silent_s)
