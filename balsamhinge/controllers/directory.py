"""Follows the platform's records of routes and targets."""

import asyncio
import random

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.policy import revisions
from balsamhinge.policy import routes
from balsamhinge.policy import routingdeltas
from balsamhinge.policy import targetentries

__all__ = ["DirectoryController", "RecordFollower"]

# Interval between the starts of two calls of which the first one has failed:
# short against the 3 s in which a configuration must be in force.
RETRY_INTERVAL_S = 0.3
# In a large fleet this many instances, besides the holder of the promotion
# duty, follow the store for all; limits the call rate to the store.
READER_COUNT = 2
# Age of the directory from which an instance follows the store itself: four
# gossip rounds have brought no confirmation, and a configuration must be in
# force within 3 s.
MAX_GOSSIP_AGE_S = 1.5
# Random addition to that age, so that not all instances start at once.
MAX_GOSSIP_AGE_JITTER_S = 0.5
# Entries that the store dropped during an outage, or lost in a restore, are
# registered again within about two seconds of its end.
REREGISTRATION_S = 2.0
# Time for which a target that has left is remembered; older than any copy from
# which a store is restored.
LEFT_RETENTION_S = 60.0

log = logbook.Logger(__name__)


@attrs.frozen
class WatchTimes:
    """How long a watch of one kind of records lasts.

    Parameters
    ----------
    wait_s : float
        Seconds for which the store waits for a change. It charges for each
        call.
    timeout_s : float
        Seconds after which a watch without an answer is given up. It may
        have been lost, with all changes since it began.
    """

    wait_s: float
    timeout_s: float


# A configuration must be in force everywhere within 3 s, of which gossip to
# those that do not follow the store takes up to 0.7 s.
ROUTES_WATCH = WatchTimes(wait_s=1.5, timeout_s=2.25)
# Watch of a reader beside another one, from which all learn of changes.
RESERVE_ROUTES_WATCH = WatchTimes(wait_s=3.0, timeout_s=3.75)
# A target that has announced its end serves for another 7 s.
TARGETS_WATCH = WatchTimes(wait_s=4.0, timeout_s=4.75)


class RecordFollower:
    """Keeps the records of one kind up to date.

    Parameters
    ----------
    store : RecordStore
        The platform's store.
    kind : str
        Kind of the records.
    health : StoreHealth
        Receives the results of calls.
    changed : callable
        Called with the follower after each change.
    wanted : callable
        Returns whether to follow the store.
    resumed : asyncio.Event
        Set while the store is to be followed.
    watch_times : callable
        Returns the `WatchTimes` of the next watch.
    """

    def __init__(
        self, store, kind, health, changed, wanted, resumed, watch_times
    ):
        self._watch_times = watch_times
        self._wanted = wanted
        self._resumed = resumed
        self._store = store
        self._health = health
        self._kind = kind
        self._changed = changed
        self.as_of = None
        self.records = {}
        # Loop seconds of the latest answer, or of the start to follow.
        self._answered_at = clock.now()
        # Called after each complete read that has been merged.
        self.listed = lambda asked_at, listing: None

    async def run(self, rng):
        """Follow the store while wanted, until cancelled.

        Parameters
        ----------
        rng : random.Random
            Varies the interval after a failed call.
        """
        while True:
            if not self._wanted():
                self.as_of = None
                self._resumed.clear()
                await self._resumed.wait()
                self._answered_at = clock.now()
                continue
            started_at = clock.now()
            try:
                if self.as_of is None:
                    await self._read()
                else:
                    await self._watch()
            except exceptions.HistoryExpired:
                event(log.info, "watch_history_expired", kind=self._kind)
                self.as_of = None
            except exceptions.StoreUnavailable as exc:
                event(
                    log.info,
                    "follow_failed",
                    kind=self._kind,
                    as_of=revisions.describe(self.as_of or 0),
                    seconds=clock.now() - started_at,
                    unanswered_s=self.unanswered_s(),
                    error=exc,
                )
                self._health.record_failure(exc)
                elapsed_s = clock.now() - started_at
                interval_s = RETRY_INTERVAL_S * rng.uniform(0.7, 1.3)
                await clock.pause(max(0.0, interval_s - elapsed_s))

    def unanswered_s(self):
        """Return the seconds since the latest answer.

        0 if this instance does not follow the store.
        """
        return clock.now() - self._answered_at if self._wanted() else 0.0

    async def _read(self):
        asked_at = self._health.boot_time()
        listing = await self._store.list(self._kind)
        self._health.record_answer(listing.as_of)
        self._replace(listing.records, listing.as_of)
        self._answered_at = clock.now()
        self.listed(asked_at, listing)

    def _replace(self, records, as_of):
        self.as_of = as_of
        self.records = records
        self._changed(self)

    async def _watch(self):
        times = self._watch_times()
        changes = await self._store.watch(
            self._kind, self.as_of, times.wait_s, times.timeout_s
        )
        self._health.record_answer(changes.as_of)
        records = dict(self.records)
        for change in changes.changes:
            name = change.record.name
            current = records.get(name)
            if current and current.revision > change.record.revision:
                continue
            if change.deleted:
                records.pop(name, None)
            else:
                records[name] = change.record
        self.as_of = max(changes.as_of, self.as_of)
        if changes.changes:
            self._replace(records, self.as_of)
        self._answered_at = clock.now()


@attrs.define
class _MissingTarget:
    """A target that is no longer listed, kept in case it registers again.

    Parameters
    ----------
    target : ServingTarget
        Its last entry.
    until : float
        Loop seconds until which it is kept.
    """

    target: routes.ServingTarget
    until: float


class DirectoryController:
    """The routes and targets of the platform, as known to this instance.

    Parameters
    ----------
    store : RecordStore
        The platform's store.
    health : StoreHealth
        Tracks whether the store answers.
    is_reader : callable
        Returns whether this instance follows the store for others.
    is_reserve : callable
        Returns whether it does so beside another one that all ask.
    seed : object
        Seed of random delays.

    Attributes
    ----------
    table : RoutingTable
        The configuration in force.
    history : RoutingHistory
        Recent changes of the configuration.
    targets : dict of str to ServingTarget
        Usable entries by name, including missing ones that are kept.
    targets_as_of : int
        Store revision of the target entries.
    target_entries : list of ServingTarget
        Target entries of that revision.
    table_changed : asyncio.Event
        Set when a configuration comes into force.
    """

    def __init__(self, store, health, is_reader, is_reserve, seed):
        self._rng = random.Random(f"directory/{seed}")
        self._health = health
        self._is_reader = is_reader
        self._is_reserve = is_reserve
        self._max_gossip_age_s = MAX_GOSSIP_AGE_S + self._rng.uniform(
            0.0, MAX_GOSSIP_AGE_JITTER_S
        )
        # Loop seconds up to which all changes in the store are known.
        self._current_at = clock.now()
        self.table = routes.RoutingTable()
        # Latest incarnation of the store that held the table in force; -1
        # for a table that was received from another instance.
        self._table_read_in = 0
        # Called after another table has come into force.
        self.table_replaced = lambda earlier: None
        self.history = routingdeltas.RoutingHistory()
        self.targets = {}
        self.targets_as_of = 0
        self.target_entries = []
        # Loop seconds since when a target is known to be about to stop.
        self._leaving_since = {}
        self._missing = {}
        # Last entries of targets that have left, and when they were dropped.
        self._left = {}
        # Last entries of targets that are no longer listed or have started
        # again, and the loop seconds at which that was seen, by name.
        self._unsettled = {}
        # Latest entries from before a restore of the store, and until when
        # they count: by then each target has written its entry again.
        self._before_restore = {}
        self._restore_ends_at = float("-inf")
        self.table_changed = asyncio.Event()
        resumed = self._follow_resumed = asyncio.Event()
        self.routes = RecordFollower(
            store,
            interfaces.ROUTES,
            health,
            self._merge_routes,
            self.is_following,
            resumed,
            self._routes_watch_times,
        )
        self.entries = RecordFollower(
            store,
            interfaces.TARGETS,
            health,
            self._merge_entries,
            self.is_following,
            resumed,
            lambda: TARGETS_WATCH,
        )

    def _routes_watch_times(self):
        return RESERVE_ROUTES_WATCH if self._is_reserve() else ROUTES_WATCH

    def age_s(self):
        """Return the age of the known routes and targets in seconds."""
        following = self.routes.as_of is not None and (
            self.entries.as_of is not None
        )
        if following and not self._health.failing:
            self.confirm_until(clock.now())
        return clock.now() - self._current_at

    def confirm_until(self, at):
        """Record that all changes before a time are known.

        Parameters
        ----------
        at : float
            Loop seconds.
        """
        self._current_at = max(self._current_at, at)

    def is_following(self):
        """Return whether this instance follows the store itself."""
        if self._is_reader() or not self.is_loaded:
            return True
        return clock.now() - self._current_at > self._max_gossip_age_s

    @property
    def is_loaded(self):
        """Return whether routes and targets have been received.

        A starting instance reads them from the store instead of waiting for
        gossip: if all instances restart together, none of them has any.
        """
        return bool(self.table.version and self.targets_as_of)

    def runners(self):
        """Return the coroutine functions that follow the store."""
        return [self._follow_routes, self._follow_entries]

    async def _follow_routes(self):
        await self.routes.run(self._rng)

    async def _follow_entries(self):
        await self.entries.run(self._rng)

    def activate_table(self, table, source):
        """Put a configuration into force, unless a later one is.

        Parameters
        ----------
        table : RoutingTable or None
            The configuration.
        source : str
            "store", or the instance that sent it.
        """
        if table is None or table.version <= self.table.version:
            return
        self._log_activation(table, source)
        self.history.record(self.table, table)
        self._table_read_in = -1
        self._set_table(table)

    def _set_table(self, table):
        earlier, self.table = self.table, table
        self.table_changed.set()
        self.table_replaced(earlier)

    def _log_activation(self, table, source):
        event(
            log.notice,
            "configuration_in_force",
            version=table.version,
            earlier=self.table.version,
            routes=len(table.routes),
            source=source,
            news_age_s=self.age_s(),
            unanswered_s=self.routes.unanswered_s(),
        )

    def _replace_version(self, table):
        """Put another configuration of the version in force into force.

        The store has lost the one in force, and an operator has given its
        version out again, or an instance of an earlier release has passed
        it on without what it does not know. Other instances may hold either
        of the two, so the history of changes begins anew.
        """
        event(
            log.error,
            "configuration_version_reused",
            version=table.version,
            databases=len(
                routingdeltas.differing_databases(self.table, table)
            ),
            customers=len(
                routingdeltas.differing_customers(self.table, table)
            ),
        )
        self._log_activation(table, "store")
        self.history = routingdeltas.RoutingHistory()
        self._set_table(table)

    def _merge_routes(self, follower):
        self.merge_routes(follower.as_of, follower.records)

    def merge_routes(self, as_of, records):
        """Put the configuration in force that the store holds.

        Parameters
        ----------
        as_of : int
            Store revision of the records.
        records : dict of str to Record
            Records of the kind `interfaces.ROUTES`.
        """
        incarnation = revisions.incarnation_of(as_of)
        for record in records.values():
            table = record.value
            self.activate_table(table, "store")
            if table is None or table.version != self.table.version:
                continue
            if incarnation > self._table_read_in and table != self.table:
                self._replace_version(table)
            self._table_read_in = incarnation

    def _merge_entries(self, follower):
        entries = [
            record.value
            for record in follower.records.values()
            if record.value is not None
        ]
        self.merge_targets(follower.as_of, entries)

    def merge_targets(self, as_of, entries):
        """Replace the target entries, unless later ones are known.

        Parameters
        ----------
        as_of : int
            Store revision of the entries.
        entries : list of ServingTarget
            All entries of that revision.
        """
        if as_of < self.targets_as_of:
            event(
                log.info,
                "target_entries_ignored",
                as_of=revisions.describe(as_of),
                latest_as_of=revisions.describe(self.targets_as_of),
            )
            return
        now = clock.now()
        if revisions.incarnation_of(as_of) > revisions.incarnation_of(
            self.targets_as_of
        ):
            self._remember_entries(now)
        self.targets_as_of = as_of
        self.target_entries = entries
        listed = {
            target.name: self._reconcile(target, now) for target in entries
        }
        for name, target in self.targets.items():
            if name in listed or name in self._missing:
                continue
            # The entry of a target that announced its end is dropped at
            # once. Any other may have expired while the store did not reach
            # the target.
            kept_s = 0.0 if target.leaving else REREGISTRATION_S
            self._missing[name] = _MissingTarget(target, now + kept_s)
            event(log.notice, "target_entry_gone", target=name, kept_s=kept_s)
        self._missing = {
            name: missing
            for name, missing in self._missing.items()
            if name not in listed
        }
        for name, target in listed.items():
            current = self.targets.get(name)
            known = current or self._unsettled.get(name, (None, 0.0))[0]
            if known is not None and known.born_ms != target.born_ms:
                self._unsettled[name] = target, now
            if current != target:
                event(
                    log.info,
                    "target_seen",
                    target=name,
                    group=target.group,
                    address=target.address,
                    role=target.role.value,
                    leaving=target.leaving,
                    born_ms=target.born_ms,
                )
        kept = {
            name: missing.target for name, missing in self._missing.items()
        }
        self.targets = kept | listed
        self._leaving_since = {
            name: self._leaving_since.get(name, now)
            for name, target in self.targets.items()
            if target.leaving
        }
        self.sweep()

    def _remember_entries(self, now):
        """Keep all entries, as the store was restored from an older copy."""
        known = {name: left for name, (left, _at) in self._left.items()}
        self._before_restore = known | self.targets
        self._restore_ends_at = now + REREGISTRATION_S

    def _reconcile(self, target, now):
        """Return the entry of a target to use, see `reconcile_entry`."""
        known = self._before_restore.get(target.name)
        if known is None or now >= self._restore_ends_at:
            return target
        return targetentries.reconcile_entry(known, target)

    def _forget_entries(self, now):
        """Go by the store alone once all targets have written again."""
        self._left = {
            name: (left, at)
            for name, (left, at) in self._left.items()
            if now - at < LEFT_RETENTION_S
        }
        self._unsettled = {
            name: (target, at)
            for name, (target, at) in self._unsettled.items()
            if now - at < LEFT_RETENTION_S
        }
        if self._before_restore and now >= self._restore_ends_at:
            self._before_restore = {}
            self.merge_targets(self.targets_as_of, self.target_entries)

    def sweep(self):
        """Remove missing targets that have not registered again in time.

        Also resumes to follow the store where that has become necessary.
        """
        if self.is_following():
            self._follow_resumed.set()
        now = clock.now()
        self._forget_entries(now)
        if self._health.failing:
            return
        since = self._health.returned_at + REREGISTRATION_S
        for name, missing in list(self._missing.items()):
            if now >= max(since, missing.until):
                del self._missing[name]
                if missing.target.leaving:
                    self._left[name] = missing.target, now
                self.targets.pop(name, None)
                self._unsettled[name] = missing.target, now

    def leaving_s(self, name):
        """Return for how long a target is known to be about to stop.

        Parameters
        ----------
        name : str
            Name of the target.

        Returns
        -------
        float
            Seconds; 0 if it is not.
        """
        now = clock.now()
        return now - self._leaving_since.get(name, now)

    def unsettled_targets(self, group, within_s):
        """Return the targets of a group that left or restarted recently.

        Parameters
        ----------
        group : str
            The group.
        within_s : float
            Seconds since a target was dropped from the list, or was seen to
            have started again; at most `LEFT_RETENTION_S`.

        Returns
        -------
        frozenset of str
        """
        now = clock.now()
        return frozenset(
            name
            for name, (target, at) in self._unsettled.items()
            if target.group == group and now - at < within_s
        )

    def active_targets(self, group):
        """Return the targets of a group that accept new work."""
        return [
            target
            for target in self.targets.values()
            if target.group == group and not target.leaving
        ]
