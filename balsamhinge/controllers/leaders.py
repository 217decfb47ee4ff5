"""What this instance knows of the groups' primaries, and may act upon."""

import asyncio

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.logs import event
from balsamhinge.policy import hashing
from balsamhinge.policy import homes
from balsamhinge.policy import leases
from balsamhinge.policy import notes
from balsamhinge.policy import positions
from balsamhinge.policy import samples

__all__ = ["LeadersController", "group_key", "member_key"]

# All lie in one kind, so that one reading covers them all.
GROUP_PREFIX = "group."
MEMBER_PREFIX = "member."
DUTY_KEY = "duty"
# How long the work at the old primary may go on in an orderly change.
ORDERLY_S = 0.5
# Instances that one log line names at most.
MOST_NAMED = 5

log = logbook.Logger(__name__)


def group_key(group):
    """Return the name of a group's record in the store."""
    return f"{GROUP_PREFIX}{group}"


def member_key(name):
    """Return the name of an instance's record in the store."""
    return f"{MEMBER_PREFIX}{name}"


class LeadersController:
    """The lease book of one instance, and its use of primaries.

    Parameters
    ----------
    store : RecordStore
        The platform's store.
    health : StoreHealth
        Whether it answers.
    me : Member
        This instance.
    boot_time : callable
        See `FleetLinks`.
    """

    def __init__(self, store, health, me, boot_time):
        self.store = store
        self._health = health
        self._me = me
        self.member_records = {}
        # Both follow from the records; every statement needs the second.
        self.members = {}
        self.other_names = ()
        self.members_key = 0
        self.boot_time = boot_time
        self.book = leases.LeaseBook()
        self.position_samples = {}
        self.released = {}
        self.duty_record = None
        self.duty_read_at = float("-inf")
        self._changed = asyncio.Event()
        self._in_use = {}
        self._grace = {}
        self._valid = False

    def _list_members(self, found):
        """Take in the records of all registered instances."""
        self.member_records = found
        self.members = {name: one.member for name, one in found.items()}
        self.other_names = tuple(
            name for name in found if name != self._me.name
        )
        self.members_key = hashing.hash_text("/".join(sorted(found)))

    def valid_leadership(self, group):
        """Return the `Leadership` that may be acted upon now, or None.

        Only what was read since this instance was registered counts:
        whoever announced a change before did not wait for it.
        """
        own = self.member_records.get(self._me.name)
        if own is None or self.book.knowledge.as_of < own.revision:
            return None
        return self.book.leader(group, self.boot_time(), self.other_names)

    def latest(self, group):
        """Return the latest known `Leadership`, however old, or None."""
        return self.book.leaderships.get(group)

    async def wait_valid_leadership(self, group, until):
        """Return the `Leadership`, waiting for one, or None in time."""
        while (found := self.valid_leadership(group)) is None:
            if clock.now() >= until or not await self.wait_change(until):
                return None
        return found

    async def wait_change(self, until):
        """Wait for news of any primary; return whether it came in time."""
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
        """Return whether a leadership may still be acted upon."""
        known = self.valid_leadership(leadership.group)
        return known is not None and known.epoch == leadership.epoch

    def may_commit(self, leadership):
        """Return whether work under a leadership may still be committed.

        In an orderly change it may for a while: the new primary takes
        over only after this instance has left the old one, or after the
        lease that it had when the change was announced.
        """
        known = self.latest(leadership.group)
        if known is None or known.epoch != leadership.epoch:
            return False
        if not known.changing:
            return self.is_valid(leadership)
        if not known.orderly or self.has_released(leadership):
            return False
        return self.boot_time() < self._grace.get(known.group, 0.0)

    async def wait_may_commit(self, leadership, until):
        """Return whether it may be acted upon at some time from now on.

        A commit that was made under a leadership which still holds was
        made before any later primary accepted one.
        """
        while not self.may_commit(leadership):
            known = self.latest(leadership.group)
            ended = known is None or known.epoch != leadership.epoch
            if ended or known.changing:
                return False
            if clock.now() >= until or not await self.wait_change(until):
                return False
        return True

    # Work under a leadership, counted until an orderly change may begin.

    def begin_work(self, leadership):
        """Count work that begins at a primary."""
        key = leadership.group, leadership.epoch
        self._in_use[key] = self._in_use.get(key, 0) + 1

    def end_work(self, leadership):
        """Count work that has ended at a primary."""
        key = leadership.group, leadership.epoch
        self._in_use[key] -= 1
        if not self._in_use[key]:
            del self._in_use[key]
            self._depart()

    def _depart(self):
        """Confirm announced changes whose old primary is not in use."""
        now = self.boot_time()
        for group, known in self.book.leaderships.items():
            if not known.changing:
                continue
            if self.released.get(group, 0) >= known.revision:
                continue
            busy = self._in_use.get((group, known.epoch), 0)
            patient = known.orderly and now < self._grace[group]
            if busy and patient:
                continue
            self.released[group] = known.revision
            event(
                log.notice,
                "primary_left",
                group=group,
                target=known.target,
                epoch=known.epoch,
                revision=known.revision,
                work_open=busy,
            )
            self._notify()

    def has_released(self, leadership):
        """Return whether work under it must end, its commits in doubt."""
        known = self.latest(leadership.group)
        if known is None or known.epoch != leadership.epoch:
            return True
        return known.changing and (
            self.released.get(known.group, 0) >= known.revision
        )

    # News of primaries.

    def merge_leadership(self, leadership, source):
        """Take in a record of a group's primary."""
        before = self.latest(leadership.group)
        now = self.boot_time()
        # Before the reading that tells of a change counts as knowledge.
        lapses_at = self.book.valid_until(self.other_names)
        if not self.book.learn(leadership):
            return
        if leadership.changing:
            self._grace[leadership.group] = min(lapses_at, now + ORDERLY_S)
        event(
            log.notice,
            "leadership",
            group=leadership.group,
            target=leadership.target,
            epoch=leadership.epoch,
            changing=leadership.changing,
            revision=leadership.revision,
            earlier=before.target if before else "",
            source=source,
        )
        self._depart()
        self._notify()

    def merge_store_read(self, knowledge, source):
        """Take in a reading of the store up to a revision."""
        known = self.book.knowledge.as_of
        if knowledge.as_of < known:
            return
        if self.book.confirm(knowledge):
            self._track(source)

    def merge_promise_of_all(self, until, source):
        """Take in that no other instance begins a change before a time."""
        for name in self.other_names:
            self.book.promise(name, until)
        self._track(source)

    def merge_promise(self, member, until):
        """Take in a member's promise not to begin a change."""
        self.book.promise(member, until)
        self._track("promise")

    def _track(self, source):
        """Log when all leases are lost or regained."""
        now = self.boot_time()
        valid = self.book.is_valid(now, self.other_names)
        if valid == self._valid:
            return
        self._valid = valid
        age_s = self.book.age_s(now)
        as_of = self.book.knowledge.as_of
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
        missing = self.book.without_promise(self.other_names, now)
        event(
            log.warning,
            "leases_lapsed",
            age_s=age_s,
            as_of=as_of,
            source=source,
            without_promise=len(missing),
            instances=",".join(missing[:MOST_NAMED]),
        )

    async def read(self):
        """Read all primaries and the duty from the store now."""
        asked_at = self.boot_time()
        try:
            listing = await self.store.list(links.LEADERS)
        except exceptions.StoreUnavailable as exc:
            self._health.record_failure(exc)
            raise
        self._health.record_answer()
        found = {}
        for record in listing.records.values():
            if record.name.startswith(GROUP_PREFIX):
                self.merge_leadership(decode_leadership(record), "store")
            elif record.name.startswith(MEMBER_PREFIX):
                one = decode_member(record)
                found[one.member.name] = one
        if listing.as_of >= self.book.knowledge.as_of:
            self._list_members(found)
        self.duty_record = listing.records.get(DUTY_KEY)
        self.duty_read_at = asked_at
        self.merge_store_read(
            leases.Knowledge(listing.as_of, asked_at), "store"
        )

    def merge_members(self, records):
        """Take in records of registered instances."""
        found = dict(self.member_records)
        for one in records:
            known = found.get(one.member.name)
            if known is None or known.revision < one.revision:
                found[one.member.name] = one
        if found != self.member_records:
            self._list_members(found)

    def record_position(self, leadership, asked_at, position):
        """Record a primary's position, asked while its lease held."""
        key = leadership.group
        known = self.position_samples.get(key)
        if known is None or known[0] < leadership.epoch:
            # Positions of an earlier primary stay valid for their time.
            kept = known[1] if known else samples.PositionSamples()
            known = self.position_samples[key] = (leadership.epoch, kept)
        if known[0] == leadership.epoch:
            known[1].record(asked_at, position)

    def position_for_age(self, group, max_age_s):
        """Return the position that makes a read recent enough, or None."""
        known = self.position_samples.get(group)
        if known is None:
            return None
        return known[1].needed(self.boot_time(), max_age_s)

    def last_position(self, leadership):
        """Return the latest position known of a primary."""
        known = self.position_samples.get(leadership.group)
        return known[1].latest if known else positions.ORIGIN

    def sample_age_s(self, group):
        """Return the age of the latest position in seconds."""
        known = self.position_samples.get(group)
        if known is None:
            return float("inf")
        return self.boot_time() - known[1].latest_at

    async def check_leases(self):
        """Confirm orderly changes in time, and log lapsed leases."""
        self._depart()
        self._track("clock")


def decode_leadership(record):
    """Return the `Leadership` in a record of the store."""
    value = record.value
    return leases.Leadership(
        group=record.name.removeprefix(GROUP_PREFIX),
        target=value["target"],
        epoch=value["epoch"],
        changing=value["changing"],
        orderly=value["orderly"],
        successor=value.get("successor", ""),
        revision=record.revision,
    )


def decode_member(record):
    """Return the `MemberRecord` in a record of the store."""
    value = record.value
    member = homes.Member(
        record.name.removeprefix(MEMBER_PREFIX),
        value["address"],
        value["data_centre"],
    )
    return notes.MemberRecord(member, record.revision)


def record_value(leadership):
    """Return what is stored of a leadership."""
    return {
        "target": leadership.target,
        "epoch": leadership.epoch,
        "changing": leadership.changing,
        "orderly": leadership.orderly,
        "successor": leadership.successor,
    }


async def put_record(store, name, value, known):
    """Create or replace a record of the leaders' kind.

    Parameters
    ----------
    known : int
        Its revision; 0 if there is none.
    """
    if not known:
        return await store.create(links.LEADERS, name, value)
    try:
        return await store.replace(links.LEADERS, name, value, known)
    except exceptions.RecordMissing as exc:
        raise exceptions.StoreConflict(name) from exc
