"""What this instance knows of primaries, and its leases to use them."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.policy import leases
from balsamhinge.policy import positions
from balsamhinge.policy import registrations
from balsamhinge.policy import revisions
from balsamhinge.policy import samples

__all__ = ["LeadersController"]

# Time for which work at the old primary may go on in an orderly change.
ORDERLY_GRACE_S = 0.5
# Instances that one log line names.
MAX_LOGGED_NAMES = 5
MAX_LOGGED_CHARS = 80

log = logbook.Logger(__name__)


class LeadersController:
    """Tracks leaderships, leases and this instance's work at primaries.

    A leadership is the record of a group's primary. An instance may use a
    primary while its lease is valid, see `policy.leases`. When a change of
    the primary is announced, the instance releases the old primary: it ends
    its work there and confirms that by gossip.

    Parameters
    ----------
    store : RecordStore
        The platform's store.
    health : StoreHealth
        Tracks whether the store answers.
    me : Member
        This instance.
    boot_time : callable
        Returns the boot clock in seconds, see `FleetDependencies`.

    Attributes
    ----------
    registrations : Registrations
        The registered instances.
    released : dict of str to int
        By group, the revision of the last announced change for which this
        instance has released the old primary.
    position_samples : dict of str to tuple
        By group, the epoch and the `PositionSamples` of its primary.
    duty_record : DutyRecord or None
        The store's record of the holder of the promotion duty.
    challenge_record : ChallengeRecord or None
        The store's record of the latest challenge of that holder.
    duty_read_at : float
        Boot-clock seconds at which the last read of that record was
        requested.
    listing : Listing
        Latest read of the records, by any task of this instance.
    outdated_groups : list of str
        Groups whose record the store has lost in a restore, or holds as of
        before it. Until the holder of the duty has written them again, a
        read does not show every change of a primary.
    """

    def __init__(self, store, health, me, boot_time):
        self.store = store
        self._health = health
        self._me = me
        # Called after each read of the records.
        self.listing_merged = lambda: None
        self.registrations = registrations.Registrations(me.name)
        self.boot_time = boot_time
        self.book = leases.PrimaryLeases()
        self.position_samples = {}
        self.released = {}
        self.duty_record = None
        self.challenge_record = None
        self.duty_read_at = float("-inf")
        self.listing = interfaces.Listing({}, 0)
        self.outdated_groups = []
        self._changed = asyncio.Event()
        # Work in progress, by group, epoch and primary.
        self._work_counts = {}
        # Boot-clock seconds, by group.
        self._grace_ends_at = {}
        self._valid = False
        # Whether the last own read of the store was of an earlier revision.
        self._ignoring_reads = False
        # Revisions of the unreadable records of the latest read, by name.
        self._unreadable = {}
        self._unreadable_members = frozenset()

    @property
    def members(self):
        """Registered instances by name."""
        return self.registrations.members

    @property
    def other_names(self):
        """Names of all registered instances but this one."""
        return self.registrations.other_names

    @property
    def is_registered(self):
        """Whether the store, as last restored, holds this instance's record.

        A change of a primary waits for registered instances only. An
        unreadable record is to be written again.
        """
        if self._me.name in self._unreadable_members:
            return False
        if self.registrations.confirmed_in < self._health.incarnation:
            return False
        return self.members.get(self._me.name) == self._me

    def valid_leadership(self, group):
        """Return the `Leadership` of a group if its lease is valid now.

        Only knowledge from after the registration of this instance counts:
        an instance that announced a change before did not wait for it.

        Returns
        -------
        Leadership or None
        """
        if not self._is_waited_for():
            return None
        return self.book.valid_leadership(
            group, self.boot_time(), self.other_names
        )

    def _is_waited_for(self):
        """Return whether changes of primaries wait for this instance."""
        own = self.registrations.records.get(self._me.name)
        if own is None or self.registrations.is_in_doubt:
            return False
        return self.book.last_read.as_of >= own.revision

    def latest(self, group):
        """Return the latest `Leadership` of any age, or None."""
        return self.book.leaderships.get(group)

    async def wait_valid_leadership(self, group, until):
        """Wait for a `Leadership` with a valid lease.

        Parameters
        ----------
        group : str
            The group.
        until : float
            Loop seconds of the deadline.

        Returns
        -------
        Leadership or None
            None if there is none by the deadline.
        """
        while (leadership := self.valid_leadership(group)) is None:
            if clock.now() >= until or not await self.wait_change(until):
                return None
        return leadership

    async def wait_change(self, until):
        """Wait for an update of any leadership or lease.

        Parameters
        ----------
        until : float
            Loop seconds of the deadline.

        Returns
        -------
        bool
            Whether there was one by the deadline.
        """
        changed = self._changed
        try:
            async with asyncio.timeout_at(until):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def is_valid(self, leadership):
        """Return whether a leadership is current and its lease valid."""
        valid = self.valid_leadership(leadership.group)
        return valid is not None and valid.is_same_leader(leadership)

    def may_commit(self, leadership):
        """Return whether work under a leadership may still be committed.

        In an orderly change it may for a grace period: the new primary takes
        over only after this instance has released the old one, or after the
        lease that this instance had at the announcement has expired.
        """
        latest = self.latest(leadership.group)
        if latest is None or not latest.is_same_leader(leadership):
            return False
        if not latest.changing:
            return self.is_valid(leadership)
        if not latest.orderly or self.has_released(leadership):
            return False
        return self.boot_time() < self._grace_ends_at.get(latest.group, 0.0)

    async def wait_may_commit(self, leadership, until):
        """Wait until work under a leadership may be committed.

        A commit that was made under a leadership that is still current was
        made before any later primary accepted a commit.

        Parameters
        ----------
        leadership : Leadership
            The leadership under which the work was done.
        until : float
            Loop seconds of the deadline.

        Returns
        -------
        bool
            False if the leadership has ended, or at the deadline.
        """
        while not self.may_commit(leadership):
            latest = self.latest(leadership.group)
            ended = latest is None or not latest.is_same_leader(leadership)
            if ended or latest.changing:
                return False
            if clock.now() >= until or not await self.wait_change(until):
                return False
        return True

    # Work in progress delays the release of a primary in orderly changes.

    def begin_work(self, leadership):
        """Count work that begins under a leadership."""
        key = _work_key(leadership)
        self._work_counts[key] = self._work_counts.get(key, 0) + 1

    def end_work(self, leadership):
        """Count work that has ended under a leadership."""
        key = _work_key(leadership)
        self._work_counts[key] -= 1
        if not self._work_counts[key]:
            del self._work_counts[key]
            self._release_unused()

    def _release_unused(self):
        """Confirm announced changes whose old primary is not in use."""
        now = self.boot_time()
        for group, leadership in self.book.leaderships.items():
            if not leadership.changing:
                continue
            if self.released.get(group, 0) >= leadership.revision:
                continue
            busy = self._work_counts.get(_work_key(leadership), 0)
            in_grace = leadership.orderly and now < self._grace_ends_at[group]
            if busy and in_grace:
                continue
            self.released[group] = leadership.revision
            event(
                log.notice,
                "primary_left",
                group=group,
                target=leadership.target,
                epoch=leadership.epoch,
                revision=revisions.describe(leadership.revision),
                work_open=busy,
            )
            self._notify()

    def has_released(self, leadership):
        """Return whether work under a leadership must be aborted.

        This instance has then released the primary, or another leadership
        has replaced this one. The outcome of an unfinished commit is unknown.
        """
        latest = self.latest(leadership.group)
        if latest is None or not latest.is_same_leader(leadership):
            return True
        return latest.changing and (
            self.released.get(latest.group, 0) >= latest.revision
        )

    # Updates from the store and from other instances.

    def merge_leadership(self, leadership, source):
        """Merge a leadership record, unless a later one is known.

        Parameters
        ----------
        leadership : Leadership
            The record.
        source : str
            "store", "own", or the instance that sent the record.
        """
        before = self.latest(leadership.group)
        if not leadership.target and before is not None:
            # The record is unreadable.
            leadership = attrs.evolve(
                leadership, target=before.target, epoch=before.epoch
            )
        # Computed before the store read that shows the change extends leases.
        leases_end_at = self.book.valid_until(self.other_names)
        if not self.book.merge_leadership(leadership):
            return
        if leadership.changing:
            self._merge_change(leadership, before, leases_end_at)
        event(
            log.notice,
            "leadership",
            group=leadership.group,
            target=leadership.target,
            epoch=leadership.epoch,
            changing=leadership.changing,
            revision=revisions.describe(leadership.revision),
            earlier=before.target if before else "",
            source=source,
        )
        self._release_unused()
        self._notify()

    def _merge_change(self, leadership, before, leases_end_at):
        """Begin the grace period of a change, or go on with it.

        A change has several records: the holder of the duty adds the
        successor once all instances have released the old primary.

        Parameters
        ----------
        leadership : Leadership
            The new record.
        before : Leadership or None
            The record that it replaces.
        leases_end_at : float
            Boot-clock seconds until which the old primary could be used.
        """
        group = leadership.group
        if (
            before is None
            or not before.changing
            or not before.is_same_leader(leadership)
        ):
            self._grace_ends_at[group] = min(
                leases_end_at, self.boot_time() + ORDERLY_GRACE_S
            )
        elif self.released.get(group, 0) >= before.revision:
            self.released[group] = leadership.revision

    def merge_store_read(self, knowledge, source):
        """Extend leases by a read of the store, of any instance.

        Parameters
        ----------
        knowledge : StoreRead
            Revision and time of the read; all records up to the revision
            have been merged. A read of another instance counts only if it
            has found the registration of this one: changes of primaries do
            not wait for an instance whose registration has ended.
        source : str
            "store", or the instance that told of the read.
        """
        latest_as_of = self.book.last_read.as_of
        ignored = knowledge.as_of < latest_as_of
        if ignored and source == "store" and not self._ignoring_reads:
            event(
                log.warning,
                "store_reads_ignored",
                as_of=revisions.describe(knowledge.as_of),
                latest_as_of=revisions.describe(latest_as_of),
            )
        if source == "store":
            self._ignoring_reads = ignored
        incarnation = revisions.incarnation_of(knowledge.as_of)
        if ignored or incarnation > self.registrations.confirmed_in:
            return
        if knowledge.as_of > self.listing.as_of:
            # Leases rest only on reads in which no record is outdated.
            self._set_outdated_groups([])
        if self.book.merge_store_read(knowledge):
            self._log_lease_validity(source)

    def merge_promise_of_all(self, until, source):
        """Record that no other instance starts a change before a time.

        Parameters
        ----------
        until : float
            Boot-clock seconds.
        source : str
            The instance that told so.
        """
        for name in self.other_names:
            self.book.merge_promise(name, until)
        self._log_lease_validity(source)

    def merge_promise(self, member, until):
        """Record an instance's promise to start no change before a time.

        Parameters
        ----------
        member : str
            Name of the instance.
        until : float
            Boot-clock seconds.
        """
        self.book.merge_promise(member, until)
        self._log_lease_validity("promise")

    def _log_lease_validity(self, source):
        """Log when leases become valid or expire."""
        now = self.boot_time()
        valid = self.book.is_valid(now, self.other_names)
        if valid == self._valid:
            return
        self._valid = valid
        age_s = self.book.read_age_s(now)
        as_of = revisions.describe(self.book.last_read.as_of)
        if valid:
            event(
                log.notice,
                "leases_valid",
                age_s=age_s,
                as_of=as_of,
                source=source,
            )
            self._notify()
            return
        missing = self.book.members_without_promise(self.other_names, now)
        event(
            log.warning,
            "leases_lapsed",
            age_s=age_s,
            as_of=as_of,
            source=source,
            without_promise=len(missing),
            instances=",".join(missing[:MAX_LOGGED_NAMES]),
        )

    async def read(self):
        """Read leaderships, members and the duty's holder from the store.

        Raises
        ------
        StoreUnavailable
        """
        asked_at = self.boot_time()
        try:
            listing = await self.store.list(interfaces.LEADERS)
        except exceptions.StoreUnavailable as exc:
            self._health.record_failure(exc)
            raise
        self._health.record_answer(listing.as_of)
        self._merge_listing(listing, asked_at)

    def _merge_listing(self, listing, asked_at):
        """Merge a read of all records.

        Parameters
        ----------
        listing : Listing
            The records.
        asked_at : float
            Boot-clock seconds of the request.
        """
        decoded = storedrecords.decode_records(listing.records.values())
        self._log_unreadable(listing, decoded.errors)
        listed_at = {}
        for leadership in decoded.leaderships:
            listed_at[leadership.group] = leadership.revision
            self.merge_leadership(leadership, "store")
        if listing.as_of < self.listing.as_of:
            # Another task has received a later read meanwhile.
            return
        self.listing = listing
        self._unreadable_members = decoded.unreadable_members
        if listing.as_of >= self.book.last_read.as_of:
            self.registrations.merge_listing(
                decoded.members | self._known_members(decoded),
                listing.as_of,
                asked_at,
                self.boot_time(),
            )
        self.duty_record = decoded.duty
        self.challenge_record = decoded.challenge
        self.duty_read_at = asked_at
        self._set_outdated_groups(self._find_outdated_groups(listed_at))
        if not self.outdated_groups:
            self.merge_store_read(
                leases.StoreRead(listing.as_of, asked_at), "store"
            )
        self.listing_merged()

    def _known_members(self, decoded):
        """Return what is known of the instances with unreadable records.

        Changes of primaries still wait for such an instance.
        """
        known = self.registrations.records
        return {
            name: known[name]
            for name in decoded.unreadable_members
            if name in known
        }

    def _log_unreadable(self, listing, errors):
        """Log each unreadable record once for each of its revisions."""
        unreadable = {name: listing.records[name].revision for name in errors}
        for name, revision in unreadable.items():
            if self._unreadable.get(name) != revision:
                event(
                    log.error,
                    "record_unreadable",
                    name=repr(name[:MAX_LOGGED_CHARS]),
                    revision=revisions.describe(revision),
                    error=errors[name],
                )
        self._unreadable = unreadable

    def _find_outdated_groups(self, listed_at):
        """Return the groups whose record the latest read lacks.

        Parameters
        ----------
        listed_at : dict of str to int
            Revisions at which the listed records were written, by group.

        Returns
        -------
        list of str
        """
        incarnation = revisions.incarnation_of(self.listing.as_of)
        return sorted(
            group
            for group in listed_at.keys() | self.book.leaderships.keys()
            if revisions.incarnation_of(listed_at.get(group, 0)) < incarnation
        )

    def _set_outdated_groups(self, groups):
        if groups == self.outdated_groups:
            return
        event(
            log.warning if groups else log.notice,
            "records_outdated" if groups else "records_current",
            groups=",".join(groups),
            as_of=revisions.describe(self.listing.as_of),
            known=revisions.describe(self.book.last_read.as_of),
        )
        self.outdated_groups = groups

    async def put_record(self, name, value, revision):
        """Create or replace a record of the kind `interfaces.LEADERS`.

        Parameters
        ----------
        name : str
            Name of the record.
        value : dict
            Value to store.
        revision : int
            Revision of the record to replace; 0 to create it.

        Returns
        -------
        Record

        Raises
        ------
        StoreConflict
            If the record has changed or has been deleted, or if the store
            has been restored.
        StoreUnavailable
            If the store does not answer.
        """
        incarnation = revisions.incarnation_of(self.listing.as_of)
        value = value | {storedrecords.INCARNATION_FIELD: incarnation}
        if not revision:
            record = await self.store.create(interfaces.LEADERS, name, value)
        else:
            try:
                record = await self.store.replace(
                    interfaces.LEADERS, name, value, revision
                )
            except exceptions.RecordNotFound as exc:
                raise exceptions.StoreConflict(name) from exc
        if revisions.incarnation_of(record.revision) != incarnation:
            raise exceptions.StoreConflict(
                f"{name}: the store has been restored"
            )
        return record

    def record_position(self, leadership, asked_at, position):
        """Record a position that a primary reported.

        The lease must have been valid when the primary was asked.

        Parameters
        ----------
        leadership : Leadership
            The leadership under which the primary was asked.
        asked_at : float
            Boot-clock seconds of the request.
        position : LogPosition
            The reported position.
        """
        group_name = leadership.group
        latest = self.latest(group_name)
        if latest is None or not latest.is_same_leader(leadership):
            return
        entry = self.position_samples.get(group_name)
        if entry is None or entry[0] != leadership.epoch:
            # Positions of an earlier primary remain valid lower bounds.
            kept = entry[1] if entry else samples.PositionSamples()
            entry = self.position_samples[group_name] = (
                leadership.epoch,
                kept,
            )
        entry[1].record(asked_at, position)

    def position_for_age(self, group, max_age_s):
        """Return the least position with which a read is recent enough.

        Parameters
        ----------
        group : str
            The group to read from.
        max_age_s : float
            Accepted age in seconds.

        Returns
        -------
        LogPosition or None
            None if no sample is recent enough.
        """
        entry = self.position_samples.get(group)
        if entry is None:
            return None
        return entry[1].position_for_age(self.boot_time(), max_age_s)

    def position_since(self, group, since):
        """Return the first position that a primary reported since a time.

        Parameters
        ----------
        group : str
            The group.
        since : float
            Boot-clock seconds.

        Returns
        -------
        LogPosition or None
            It covers each commit that was acknowledged before that time;
            None if no sample is that recent.
        """
        entry = self.position_samples.get(group)
        return entry[1].first_since(since) if entry else None

    def position_age_s(self, group, position):
        """Return for how long the primary is known to have had a position.

        Returns
        -------
        float
            Seconds; 0 if no sample covers the position.
        """
        entry = self.position_samples.get(group)
        if entry is None:
            return 0.0
        known_from = entry[1].first_covering(position)
        return max(0.0, self.boot_time() - known_from)

    def last_position(self, leadership):
        """Return the latest sampled position of a group's primary."""
        entry = self.position_samples.get(leadership.group)
        return entry[1].latest if entry else positions.ORIGIN

    def sample_age_s(self, group):
        """Return the age of a group's latest position in seconds."""
        entry = self.position_samples.get(group)
        if entry is None:
            return float("inf")
        return self.boot_time() - entry[1].latest_at

    async def check_leases(self):
        """Release old primaries in time, and log expired leases."""
        self._release_unused()
        self._log_lease_validity("clock")


def _work_key(leadership):
    return leadership.group, leadership.epoch, leadership.target
