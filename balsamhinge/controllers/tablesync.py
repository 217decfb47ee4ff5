"""Brings the configuration from the instances that have it."""

import collections
import random

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import budgets
from balsamhinge.policy import routechanges

__all__ = ["TableSyncController"]

# A change of so many databases travels in notes: about 2 KB. A note has
# 0.35 s and goes to every instance that lacks the change.
INLINE_DATABASES = 16
# Seconds for one attempt to get a larger change: the largest configuration
# that the store holds, 1 MB before it is compressed, takes 0.3 s of the
# narrowest link, 5 Mbit/s.
FETCH_S = 2.0
# Bytes that an instance sends each second, and at once, to those that
# fetch: a third of the narrowest link, the rest is for its callers.
FETCH_RATE = 200_000
FETCH_BURST = 100_000
# Attempts before the next note starts anew, and the pause between two at
# the same instance.
MOST_ATTEMPTS = 8
PAUSE_S = 0.15
# Instances that are named to one that has to ask elsewhere.
SOURCES = 8

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
        self._budget = budgets.ByteBudget(FETCH_RATE, FETCH_BURST)
        self._served = collections.deque(maxlen=SOURCES)
        self._served_version = 0
        self._packed = {}
        self._fetching = False

    def small_delta_for(self, note):
        """Return the change that the sender of a note lacks, if small."""
        table = self._directory.table
        if not 0 < note.table_version < table.version:
            return None
        change = self._directory.history.change_since(
            table, note.table_version
        )
        return change if change.size <= INLINE_DATABASES else None

    def handle_message(self, note):
        """Take in what a note tells of the configuration."""
        change = note.table_change
        table = self._directory.table
        if change is not None and change.base in (0, table.version):
            self._learn(change, note.sender)
        if note.table_version > self._directory.table.version:
            self._start(note.sender)

    def _learn(self, change, source):
        table = routechanges.apply_change(self._directory.table, change)
        self._directory.activate_table(table, source)

    def _start(self, source):
        """Fetch from an instance, unless that is being done."""
        if self._fetching:
            return
        self._fetching = True
        self._fleet.spawn(self._fetch(source))

    async def _fetch(self, source):
        """Fetch a later version, first from `source`."""
        known = self._directory.table.version
        begun = clock.now()
        try:
            for _attempt in range(MOST_ATTEMPTS):
                reply = await self._ask(source)
                if reply is None or self._directory.table.version > known:
                    return
                if reply.packed:
                    self._take(reply.packed, source, clock.now() - begun)
                    return
                source = self._elsewhere(source, reply.sources)
                await clock.pause(PAUSE_S * self._rng.uniform(0.5, 1.5))
        finally:
            self._fetching = False

    async def _ask(self, source):
        """Return an instance's `TableReply`, or None."""
        member = self._fleet.leaders.members.get(source)
        if member is None:
            return None
        request = routechanges.TableRequest(
            self._fleet.me.name, self._directory.table.version
        )
        try:
            return await self._fleet.links.peers.fetch_table(
                member, request, FETCH_S
            )
        except exceptions.PeerUnavailable as exc:
            event(log.info, "table_not_fetched", instance=source, error=exc)
            return None

    def _take(self, packed, source, seconds):
        try:
            change = routechanges.unpack(packed)
            event(
                log.info,
                "table_fetched",
                instance=source,
                version=change.version,
                base=change.base,
                databases=change.size,
                bytes=len(packed),
                seconds=seconds,
            )
            self._learn(change, source)
        except ValueError as exc:
            event(log.warning, "table_unusable", instance=source, error=exc)

    def _elsewhere(self, source, names):
        """Return whom to ask instead of an instance that is busy."""
        members = self._fleet.leaders.members
        known = [
            members[name]
            for name in names
            if name in members and name != self._fleet.me.name
        ]
        centre = self._fleet.me.data_centre
        near = [one for one in known if one.data_centre == centre]
        if not known:
            return source
        return self._rng.choice(near or known).name

    def serve_table(self, request):
        """Return the `TableReply` to a `TableRequest`."""
        table = self._directory.table
        if self._served_version != table.version:
            self._served_version = table.version
            self._served.clear()
            self._packed.clear()
        sources = list(self._served)
        if request.known >= table.version:
            return routechanges.TableReply(b"", sources)
        packed = self._packed.get(request.known)
        if packed is None:
            change = self._directory.history.change_since(table, request.known)
            packed = routechanges.pack(change)
            self._packed[request.known] = packed
        if not self._budget.spend(len(packed), clock.now()):
            return routechanges.TableReply(b"", sources)
        self._served.append(request.sender)
        return routechanges.TableReply(packed, sources)
