"""A stand-in for the platform's store of records, and its promotions."""

import asyncio

import attrs

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.policy import revisions

__all__ = ["RecordLink", "Records", "RecordsCopy", "RecordsKnobs"]

# Changes that a watch may still ask for.
HISTORY = 1000
# Clocks do not advance by less than their resolution.
LEAST_WAIT_S = 0.001


@attrs.define
class RecordsKnobs:
    """What a test changes while the store runs.

    Parameters
    ----------
    latency_s : float
        Seconds that each call takes.
    down : bool
        Whether every call is refused.
    cut, refused : set of str
        Instances that the store does not answer, and that it turns away at
        once.
    lose_answers : int
        How many of the next changes are made and not answered.
    silent_watches : bool
        Whether watches hear nothing.
    answer_change_s : float
        Seconds from a change until it is answered.
    """

    latency_s: float = 0.004
    down: bool = False
    cut: set = attrs.Factory(set)
    refused: set = attrs.Factory(set)
    lose_answers: int = 0
    silent_watches: bool = False
    answer_change_s: float = 0.0


@attrs.frozen
class RecordsCopy:
    """All records by kind and name, as of a revision."""

    revision: int
    kinds: dict


class Records:
    """Records with revisions and watches, in memory.

    Revisions count from 1 here; links tell them with the incarnation.
    """

    def __init__(self):
        self.knobs = RecordsKnobs()
        self.incarnation = 0
        self.revision = 1
        self.kinds = {}
        self._history = []
        self._changed = asyncio.Event()
        self._silent_since = float("-inf")
        self.calls = 0

    def link(self, instance):
        """Return what an instance uses to call the store."""
        return RecordLink(self, instance)

    def put(self, kind, name, value):
        """Write a record as the platform itself does."""
        self.revision += 1
        record = interfaces.Record(name, self.revision, value)
        self.kinds.setdefault(kind, {})[name] = record
        self._note(kind, interfaces.RecordChange(record, False))
        return record

    def drop(self, kind, name):
        """Delete a record as the platform itself does."""
        record = self.kinds.get(kind, {}).pop(name, None)
        if record is None:
            return
        self.revision += 1
        gone = attrs.evolve(record, revision=self.revision)
        self._note(kind, interfaces.RecordChange(gone, True))

    def forget_history(self):
        """Make every later watch of earlier changes fail."""
        self._history = [(self.revision, None, None)]
        self._wake()

    def copy(self):
        """Return a copy to which the store may be restored later."""
        kinds = {kind: dict(named) for kind, named in self.kinds.items()}
        return RecordsCopy(self.revision, kinds)

    def restore(self, copy):
        """Come back from a copy; later revisions are given out again."""
        self.incarnation += 1
        self.revision = copy.revision
        self.kinds = {kind: dict(named) for kind, named in copy.kinds.items()}
        self.forget_history()

    def silence_watches(self):
        """Let each watch that waits now go unanswered, as later ones do not.

        Connections that go silent are found out by a time-out only.
        """
        self._silent_since = asyncio.get_running_loop().time()

    def is_silent(self, begun):
        """Return whether a watch of that time is never answered."""
        return begun <= self._silent_since

    def _note(self, kind, change):
        self._history.append((self.revision, kind, change))
        self._history = self._history[-HISTORY:]
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def since(self, kind, after):
        """Return the changes of a kind after a revision."""
        first = self._history[0] if self._history else None
        if first and first[2] is None and after < first[0]:
            raise exceptions.HistoryExpired(kind)
        if after > self.revision:
            raise exceptions.HistoryExpired(kind)
        if self.knobs.silent_watches:
            return []
        return [
            change
            for revision, of_kind, change in self._history
            if revision > after and of_kind == kind
        ]

    async def changed(self, timeout_s):
        """Wait for any change."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return


class RecordLink(interfaces.RecordStore):
    """One instance's calls to `Records`."""

    def __init__(self, records, instance):
        self._records = records
        self._instance = instance

    async def _reach(self):
        self._records.calls += 1
        await self._cross()

    async def _cross(self):
        """Pass what lies between the store and the instance."""
        knobs = self._records.knobs
        await asyncio.sleep(knobs.latency_s)
        if self._instance in knobs.cut:
            await asyncio.sleep(1.0)
            raise exceptions.StoreUnavailable("no answer")
        if knobs.down or self._instance in knobs.refused:
            raise exceptions.StoreUnavailable("status 503")

    def _tell(self, record):
        """Return a record as callers see it."""
        revision = revisions.compose(
            self._records.incarnation, record.revision
        )
        return attrs.evolve(record, revision=revision)

    def _as_of(self):
        return revisions.compose(
            self._records.incarnation, self._records.revision
        )

    async def list(self, kind):
        """See `RecordStore.list`."""
        await self._reach()
        held = self._records.kinds.get(kind, {})
        found = {name: self._tell(record) for name, record in held.items()}
        return interfaces.Listing(found, self._as_of())

    async def watch(self, kind, after, wait_s, timeout_s):
        """See `RecordStore.watch`."""
        await self._reach()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        until = begun + wait_s
        while True:
            if revisions.incarnation_of(after) != self._records.incarnation:
                raise exceptions.HistoryExpired(kind)
            changes = self._records.since(kind, revisions.number_of(after))
            left_s = until - loop.time()
            if self._records.is_silent(begun):
                await asyncio.sleep(begun + timeout_s - loop.time())
                raise exceptions.StoreUnavailable("no answer")
            if changes or left_s < LEAST_WAIT_S:
                break
            await self._records.changed(left_s)
        await self._cross()
        told = [
            attrs.evolve(change, record=self._tell(change.record))
            for change in changes
        ]
        return interfaces.RecordChanges(told, self._as_of())

    def _held(self, kind, name):
        return self._records.kinds.get(kind, {}).get(name)

    async def _answer(self, record):
        told = self._tell(record)
        knobs = self._records.knobs
        await asyncio.sleep(knobs.answer_change_s)
        if knobs.lose_answers:
            knobs.lose_answers -= 1
            raise exceptions.StoreUnavailable("the answer was lost")
        return told

    async def create(self, kind, name, value):
        """See `RecordStore.create`."""
        await self._reach()
        if self._held(kind, name) is not None:
            raise exceptions.StoreConflict(name)
        return await self._answer(self._records.put(kind, name, value))

    async def replace(self, kind, name, value, revision):
        """See `RecordStore.replace`."""
        await self._reach()
        self._check(kind, name, revision)
        answer = await self._answer(self._records.put(kind, name, value))
        self._check_current(name, revision)
        return answer

    async def delete(self, kind, name, revision):
        """See `RecordStore.delete`."""
        await self._reach()
        self._check(kind, name, revision)
        self._records.drop(kind, name)
        self._check_current(name, revision)

    def _check(self, kind, name, revision):
        held = self._held(kind, name)
        if held is None:
            raise exceptions.RecordNotFound(name)
        if held.revision != revisions.number_of(revision):
            raise exceptions.StoreConflict(name)

    def _check_current(self, name, revision):
        """Raise if the store was restored after a revision was told."""
        if revisions.incarnation_of(revision) != self._records.incarnation:
            raise exceptions.StoreConflict(name)
