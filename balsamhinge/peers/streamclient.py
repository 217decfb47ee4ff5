"""Client for frequent calls to other instances, over streams."""

import asyncio
import enum

import attrs
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.peers import streams
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import limitmessages
from balsamhinge.policy import loans

__all__ = ["StreamFleetPeerClient"]

# A stream is not replaced before this age: an unresponsive peer is called
# every 0.4 s, and opening a stream costs more than a call.
MIN_STREAM_AGE_S = 0.7
# Streams without a call for this long are closed.
IDLE_TIMEOUT_S = 20.0
IDLE_CHECK_INTERVAL_S = 5.0

Method = streams.Method


class Purpose(enum.Enum):
    """What a stream carries.

    A gossip message that times out replaces its stream, which must not
    delay statements. Requests about limits precede each statement, so they
    do not wait behind the answers of others. An instance of an earlier
    release closes the stream on which it receives one.
    """

    GOSSIP = "gossip"
    LOANS = "loans"
    LIMITS = "limits"


REPLY_DECODERS = {
    Method.EXCHANGE: msgspec.msgpack.Decoder(gossipmessages.GossipMessage),
    Method.BORROW: msgspec.msgpack.Decoder(loans.BorrowReply),
    Method.RUN: msgspec.msgpack.Decoder(loans.RunReply),
    Method.GIVE_BACK: msgspec.msgpack.Decoder(None),
    Method.ALLOWANCE: msgspec.msgpack.Decoder(limitmessages.AllowanceReply),
}


@attrs.frozen(eq=False)
class CachedStream:
    """A stream to an instance, possibly still being opened.

    Parameters
    ----------
    address : str
        Address of the instance when the stream was opened.
    opening : Task
        Returns the `StreamConnection`.
    """

    address: str
    opening: asyncio.Task

    @property
    def conn(self):
        """The open `StreamConnection`, or None."""
        ready = self.opening.done() and not self.opening.cancelled()
        if not ready or self.opening.exception() is not None:
            return None
        return self.opening.result()

    @property
    def is_usable(self):
        """Return whether the stream is open or being opened."""
        if not self.opening.done():
            return True
        return self.conn is not None and not self.conn.closed


class StreamFleetPeerClient(interfaces.FleetPeerClient):
    """Calls other instances over cached streams.

    Configurations, which are rare and large, go over gRPC. So do all calls
    to an instance of an earlier release, which does not listen for streams.

    Parameters
    ----------
    port : int
        Port on which all instances of the fleet listen for streams.
    secret : str
        Shared secret of the fleet.
    grpc_client : GrpcFleetPeerClient
        Client for the other calls.
    """

    def __init__(self, port, secret, grpc_client):
        self._port = port
        self._secret = secret
        self._grpc_client = grpc_client
        self._streams = {}
        # Addresses of instances that have accepted a stream, by name.
        self._stream_addresses = {}
        self._idle_check = None

    async def exchange(self, member, message, timeout_s):
        """See `FleetPeerClient.exchange`."""
        try:
            return await self._call(
                member, Purpose.GOSSIP, Method.EXCHANGE, message, timeout_s
            )
        except ConnectionRefusedError:
            reply = await self._grpc_client.exchange(
                member, message, timeout_s
            )
            self._stream_addresses.pop(member.name, None)
            return reply

    async def fetch_table(self, member, request, timeout_s):
        """See `FleetPeerClient.fetch_table`."""
        return await self._grpc_client.fetch_table(member, request, timeout_s)

    async def borrow(self, member, request, timeout_s):
        """See `FleetPeerClient.borrow`."""
        try:
            return await self._call(
                member, Purpose.LOANS, Method.BORROW, request, timeout_s
            )
        except ConnectionRefusedError:
            self._check_release(member)
            return await self._grpc_client.borrow(member, request, timeout_s)

    async def run(self, member, request, timeout_s):
        """See `FleetPeerClient.run`."""
        try:
            return await self._call(
                member, Purpose.LOANS, Method.RUN, request, timeout_s
            )
        except ConnectionRefusedError:
            self._check_release(member)
            return await self._grpc_client.run(member, request, timeout_s)

    async def give_back(self, member, ended, timeout_s):
        """See `FleetPeerClient.give_back`."""
        try:
            await self._call(
                member, Purpose.LOANS, Method.GIVE_BACK, ended, timeout_s
            )
        except ConnectionRefusedError:
            self._check_release(member)
            await self._grpc_client.give_back(member, ended, timeout_s)

    async def request_allowance(self, member, request, timeout_s):
        """See `FleetPeerClient.request_allowance`."""
        try:
            return await self._call(
                member, Purpose.LIMITS, Method.ALLOWANCE, request, timeout_s
            )
        except ConnectionRefusedError:
            self._check_release(member)
            return await self._grpc_client.request_allowance(
                member, request, timeout_s
            )

    def _check_release(self, member):
        """Check that an instance may be of an earlier release.

        One that has accepted streams has stopped if it refuses them now.

        Raises
        ------
        PeerUnavailable
            If it has accepted streams; nothing was sent.
        """
        if self._stream_addresses.get(member.name) == member.address:
            raise exceptions.PeerUnavailable(member.name, False)

    async def _call(self, member, purpose, method, message, timeout_s):
        """Call an instance and return the decoded reply.

        Raises
        ------
        ConnectionRefusedError
            If the instance does not listen for streams.
        PeerUnavailable
            If there is no answer in time.
        """
        until = clock.now() + timeout_s
        cached = self._cached_stream(member, purpose)
        conn = cached.conn
        if conn is None:
            conn = await self._wait_opened(member, cached, until)
        try:
            body = await conn.call(method, message, until)
        except TimeoutError as exc:
            # A connection that a partition has cut without a reset stays
            # silent long after the partition has healed; a new one works.
            if clock.now() - conn.opened_at >= MIN_STREAM_AGE_S:
                self._drop(member.name, purpose, cached)
            raise exceptions.PeerUnavailable(member.name, True) from exc
        try:
            return REPLY_DECODERS[method].decode(body)
        except msgspec.DecodeError as exc:
            raise exceptions.PeerUnavailable(member.name, True) from exc

    async def _wait_opened(self, member, cached, until):
        try:
            async with asyncio.timeout_at(until):
                return await asyncio.shield(cached.opening)
        except ConnectionRefusedError:
            raise
        except (OSError, TimeoutError, UnicodeError) as exc:
            # UnicodeError: the address has a host name of an invalid form.
            raise exceptions.PeerUnavailable(member.name, False) from exc
        except asyncio.CancelledError as exc:
            # The opening was cancelled because the client was closed.
            if asyncio.current_task().cancelling():
                raise
            raise exceptions.PeerUnavailable(member.name, False) from exc

    def _cached_stream(self, member, purpose):
        key = member.name, purpose
        cached = self._streams.get(key)
        if cached is not None:
            if cached.address == member.address and cached.is_usable:
                return cached
            self._drop(member.name, purpose, cached)
        opening = asyncio.ensure_future(self._open(member))
        opening.add_done_callback(retrieve_exception)
        cached = self._streams[key] = CachedStream(member.address, opening)
        if self._idle_check is None:
            self._schedule_idle_check()
        return cached

    async def _open(self, member):
        host = member.address.rpartition(":")[0]
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(MIN_STREAM_AGE_S):
            _transport, conn = await loop.create_connection(
                lambda: streams.StreamConnection(member.name, self._secret),
                host,
                self._port,
            )
        self._stream_addresses[member.name] = member.address
        return conn

    def _drop(self, name, purpose, cached):
        """Remove a stream from the cache; close it after its last call."""
        if self._streams.get((name, purpose)) is not cached:
            return
        del self._streams[name, purpose]
        conn = cached.conn
        if conn is None:
            cached.opening.cancel()
        else:
            conn.retire()

    def _schedule_idle_check(self):
        loop = asyncio.get_running_loop()
        self._idle_check = loop.call_later(
            IDLE_CHECK_INTERVAL_S, self._close_idle
        )

    def _close_idle(self):
        self._idle_check = None
        unused_since = clock.now() - IDLE_TIMEOUT_S
        for (name, purpose), cached in list(self._streams.items()):
            conn = cached.conn
            if conn is None:
                if not cached.is_usable:
                    self._drop(name, purpose, cached)
            elif conn.is_idle and conn.used_at < unused_since:
                self._drop(name, purpose, cached)
        called = {name for name, _purpose in self._streams}
        for name in set(self._stream_addresses) - called:
            del self._stream_addresses[name]
        if self._streams:
            self._schedule_idle_check()

    async def close(self):
        """Close every stream and channel."""
        if self._idle_check is not None:
            self._idle_check.cancel()
        for cached in self._streams.values():
            cached.opening.cancel()
            if cached.conn is not None:
                cached.conn.close()
        self._streams.clear()
        await self._grpc_client.close()


def retrieve_exception(opening):
    """Mark the error of an opening as handled: its callers report it."""
    if not opening.cancelled():
        opening.exception()
