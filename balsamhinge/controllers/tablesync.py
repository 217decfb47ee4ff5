"""Distributes the configuration between instances."""

import collections
import random

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import budgets
from balsamhinge.policy import routingdeltas

__all__ = ["TableSyncController"]

# Databases and customers in a change that a gossip message carries, about
# 3 KB. A message must arrive within 0.35 s, and each instance that lacks the
# change gets it.
MAX_INLINE_ENTRIES = 16
# Timeouts of the first and of later attempts to fetch a larger change. The
# largest configuration that the store holds, 1 MB before compression, takes
# 0.3 s on the narrowest link, 5 Mbit/s.
FIRST_FETCH_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
# Rate and burst of what an instance sends to those that fetch: a third of
# the narrowest link, the rest is left to callers.
SEND_BYTES_PER_S = 200_000
SEND_BURST_BYTES = 100_000
# Attempts before the fetch is given up until the next gossip message, and
# the delay between two attempts.
MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.15
# Alternative sources that a reply names.
MAX_SOURCES = 8

log = logbook.Logger(__name__)


class TableSyncController:
    """Fetches later versions of the configuration, and serves them.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._directory = fleet.directory
        self._rng = random.Random(f"tables/{fleet.me.name}")
        self._budget = budgets.ByteTokenBucket(
            SEND_BYTES_PER_S, SEND_BURST_BYTES
        )
        # Instances that fetched the version in force, most recent last.
        self._served = collections.deque(maxlen=MAX_SOURCES)
        self._served_table = None
        # Packed changes to the version in force, by earlier version.
        self._packed = {}
        self._fetching = False

    def small_delta_for(self, message):
        """Return the change that a sender lacks, if it is small.

        Parameters
        ----------
        message : GossipMessage
            The sender's last gossip message.

        Returns
        -------
        RoutingDelta or None
        """
        table = self._directory.table
        if not 0 < message.table_version < table.version:
            return None
        change = self._directory.history.delta_since(
            table, message.table_version
        )
        return change if change.size <= MAX_INLINE_ENTRIES else None

    def handle_message(self, message):
        """Apply the change in a gossip message, or fetch what is missing."""
        change = message.table_change
        table = self._directory.table
        if change is not None and change.base in (0, table.version):
            self._apply(change, message.sender)
        if message.table_version > self._directory.table.version:
            self._start_fetch(message.sender)

    def _apply(self, change, source):
        table = routingdeltas.apply_delta(self._directory.table, change)
        self._directory.activate_table(table, source)

    def _start_fetch(self, source):
        """Fetch from an instance, unless a fetch is in progress."""
        if self._fetching:
            return
        self._fetching = True
        self._fleet.spawn(self._fetch(source))

    async def _fetch(self, source):
        """Fetch a later version, starting with the instance `source`."""
        current_version = self._directory.table.version
        started_at = clock.now()
        try:
            for attempt in range(MAX_ATTEMPTS):
                timeout_s = (
                    FETCH_TIMEOUT_S if attempt else FIRST_FETCH_TIMEOUT_S
                )
                reply = await self._request(source, timeout_s)
                if self._directory.table.version > current_version:
                    return
                if reply is None:
                    source = self._find_other_source(source)
                    if source is None:
                        return
                    continue
                if reply.packed:
                    self._unpack(
                        reply.packed, source, clock.now() - started_at
                    )
                    return
                source = self._choose_source(source, reply.sources)
                await clock.pause(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
        finally:
            self._fetching = False

    async def _request(self, source, timeout_s):
        """Return an instance's `TableReply`, or None if it does not answer."""
        member = self._fleet.leaders.members.get(source)
        if member is None:
            return None
        request = routingdeltas.TableRequest(
            self._fleet.me.name, self._directory.table.version
        )
        try:
            return await self._fleet.dependencies.peers.fetch_table(
                member, request, timeout_s
            )
        except exceptions.PeerUnavailable as exc:
            event(log.info, "table_not_fetched", instance=source, error=exc)
            return None

    def _unpack(self, packed, source, seconds):
        """Apply a fetched change."""
        try:
            change = routingdeltas.decode_delta(packed)
            event(
                log.info,
                "table_fetched",
                instance=source,
                version=change.version,
                base=change.base,
                databases=len(change.changed) + len(change.removed),
                customers=len(change.customers)
                + len(change.removed_customers),
                bytes=len(packed),
                seconds=seconds,
            )
            self._apply(change, source)
        except ValueError as exc:
            event(log.warning, "table_unusable", instance=source, error=exc)

    def _find_other_source(self, source):
        """Return another instance with a later version, or None.

        Parameters
        ----------
        source : str
            The instance that does not answer.
        """
        version = self._directory.table.version
        names = [
            message.sender
            for message in self._fleet.gossip.live_messages()
            if message.table_version > version and message.sender != source
        ]
        return self._choose_source(None, names)

    def _choose_source(self, source, names):
        """Return the next instance to fetch from.

        Parameters
        ----------
        source : str or None
            The instance that is busy.
        names : list of str
            Instances that have the version, as it told.

        Returns
        -------
        str or None
            One of `names`, of the local data centre if possible; `source`
            if none of them is registered.
        """
        members = self._fleet.leaders.members
        candidates = [
            members[name]
            for name in names
            if name in members and name != self._fleet.me.name
        ]
        centre = self._fleet.me.data_centre
        local = [one for one in candidates if one.data_centre == centre]
        if not candidates:
            return source
        return self._rng.choice(local or candidates).name

    def serve_table(self, request):
        """Answer an instance that fetches the configuration.

        Parameters
        ----------
        request : TableRequest
            The request.

        Returns
        -------
        TableReply
            Contains no change if the byte budget is exhausted, or if the
            requester has the version in force.
        """
        table = self._directory.table
        if self._served_table is not table:
            self._served_table = table
            self._served.clear()
            self._packed.clear()
        sources = list(self._served)
        if request.known >= table.version:
            return routingdeltas.TableReply(b"", sources)
        packed = self._packed.get(request.known)
        if packed is None:
            change = self._directory.history.delta_since(table, request.known)
            packed = routingdeltas.encode_delta(change)
            self._packed[request.known] = packed
        if not self._budget.try_spend(len(packed), clock.now()):
            return routingdeltas.TableReply(b"", sources)
        self._served.append(request.sender)
        return routingdeltas.TableReply(packed, sources)
