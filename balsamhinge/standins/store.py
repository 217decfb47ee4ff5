"""A stand-in for the platform's object store, without its protocol."""

import asyncio
import collections

import attrs

from balsamhinge import exceptions
from balsamhinge import interfaces

__all__ = ["ObjectStore", "StoreKnobs"]


@attrs.define
class StoreKnobs:
    """What an experiment changes while the store runs.

    Parameters
    ----------
    latency_s : float
        Seconds that each call takes.
    down : bool
        Whether every call fails.
    lose_answers : int
        How many of the next changes take effect without an answer.
    stale : dict of str to Stored
        Old objects that reads give in place of the current ones.
    reads_per_second, writes_per_second : int
        Calls beyond these fail; a watch counts as one read.
    """

    latency_s: float = 0.002
    down: bool = False
    lose_answers: int = 0
    stale: dict[str, interfaces.StoredObject] = attrs.Factory(dict)
    reads_per_second: int = 2000
    writes_per_second: int = 300


class ObjectStore(interfaces.ObjectStoreClient):
    """Objects with versions, conditional updates and watches.

    Parameters
    ----------
    knobs : StoreKnobs
        Latency and failures.
    """

    def __init__(self, knobs=None):
        self.knobs = knobs or StoreKnobs()
        self.objects = {}
        self.reads = 0
        self.writes = 0
        self._second = 0
        self._counts = collections.Counter()
        self._changed = asyncio.Condition()
        self._closed = False
        self._silent_since = float("-inf")

    def silence_watches(self):
        """Answer no watch that waits now, not even later."""
        self._silent_since = self._now()

    def _now(self):
        return asyncio.get_running_loop().time()

    async def close(self):
        """End every watch."""
        self._closed = True
        await self._notify()

    def replace(self, key, stored):
        """Replace an object as the platform itself does."""
        self.objects[key] = stored
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    def _count(self, kind, most):
        """Count a call, and refuse it beyond the rate."""
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second = second
            self._counts.clear()
        self._counts[kind] += 1
        if self._counts[kind] > most:
            raise exceptions.StoreUnavailable(f"too many {kind} a second")

    def _count_read(self):
        self.reads += 1
        self._count("reads", self.knobs.reads_per_second)

    async def _answer(self):
        await asyncio.sleep(self.knobs.latency_s)
        if self.knobs.down:
            raise exceptions.StoreUnavailable("the store is down")

    async def get(self, key):
        """See `ObjectStoreClient.get`."""
        self._count_read()
        await self._answer()
        return self.knobs.stale.get(key) or self.objects.get(key)

    async def put(self, key, value, if_version):
        """See `ObjectStoreClient.put`."""
        self.writes += 1
        self._count("writes", self.knobs.writes_per_second)
        await self._answer()
        held = self.objects.get(key)
        version = held.version if held else 0
        if version != if_version:
            raise exceptions.StoreConflict(
                f"version {if_version} is not the current one, {version}"
            )
        stored = interfaces.StoredObject(version + 1, value)
        self.objects[key] = stored
        await self._notify()
        if self.knobs.lose_answers:
            self.knobs.lose_answers -= 1
            raise exceptions.StoreUnavailable("the answer was lost")
        return stored

    async def watch(self, key, after, wait_s, timeout_s):
        """See `ObjectStoreClient.watch`."""
        self._count_read()
        begun = self._now()
        await self._answer()

        def newer():
            if begun <= self._silent_since:
                return False
            held = self.objects.get(key)
            return held is not None and held.version > after

        def ended():
            return newer() or self._closed

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(ended)
        except TimeoutError:
            if begun > self._silent_since:
                return None
            await asyncio.sleep(begun + timeout_s - self._now())
            raise exceptions.StoreUnavailable("no answer") from None
        if not newer():
            return None
        await self._answer()
        return self.objects[key]
