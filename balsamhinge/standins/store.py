"""A stand-in for the platform's object store, without its protocol."""

import asyncio

import attrs

from balsamhinge import exceptions
from balsamhinge import links

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
    """

    latency_s: float = 0.002
    down: bool = False
    lose_answers: int = 0
    stale: dict[str, links.Stored] = attrs.Factory(dict)


class ObjectStore(links.StoreLink):
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
        self._changed = asyncio.Condition()

    def replace(self, key, stored):
        """Replace an object as the platform itself does."""
        self.objects[key] = stored
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _answer(self):
        await asyncio.sleep(self.knobs.latency_s)
        if self.knobs.down:
            raise exceptions.StoreUnavailable("the store is down")

    async def get(self, key):
        """See `StoreLink.get`."""
        self.reads += 1
        await self._answer()
        return self.knobs.stale.get(key) or self.objects.get(key)

    async def put(self, key, value, if_version):
        """See `StoreLink.put`."""
        self.writes += 1
        await self._answer()
        held = self.objects.get(key)
        version = held.version if held else 0
        if version != if_version:
            raise exceptions.StoreConflict(
                f"version {if_version} is not the current one, {version}"
            )
        stored = links.Stored(version + 1, value)
        self.objects[key] = stored
        await self._notify()
        if self.knobs.lose_answers:
            self.knobs.lose_answers -= 1
            raise exceptions.StoreUnavailable("the answer was lost")
        return stored

    async def watch(self, key, after, timeout_s):
        """See `StoreLink.watch`."""
        self.reads += 1
        await self._answer()

        def newer():
            held = self.objects.get(key)
            return held is not None and held.version > after

        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(newer)
        except TimeoutError:
            return None
        await self._answer()
        return self.objects[key]
