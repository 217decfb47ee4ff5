"""Keeps a stand-in replica close behind its primary."""

import asyncio

from balsamhinge import exceptions

__all__ = ["Replicator"]

BATCH_ENTRIES = 1000
POLL_S = 1.0
RETRY_S = 0.05
FOREVER_S = 1e6


class Replicator:
    """Pulls the primary's log and applies it late.

    Parameters
    ----------
    database : Database
        The replica.
    read_log : callable
        Coroutine function of (primary, term, last, most, timeout_s), as
        `Database.read_log` of the named primary.
    """

    def __init__(self, database, read_log):
        self._database = database
        self._read_log = read_log
        self._tasks = []

    def start(self):
        """Start pulling and applying on the running loop."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._pull())]
        self._tasks.append(loop.create_task(self._apply()))

    def stop(self):
        """Stop at once."""
        for task in self._tasks:
            task.cancel()

    async def _pull(self):
        database = self._database
        while True:
            if database.role != "replica":
                await database.wait_for(
                    lambda: database.role == "replica", POLL_S
                )
                continue
            try:
                await self._pull_while_following()
            except (exceptions.BalsamhingeError, OSError):
                await asyncio.sleep(RETRY_S)

    async def _pull_while_following(self):
        """Pull until another primary is to be followed.

        A connection to an unreachable primary can hang for long; the
        order to follow another one ends it.
        """
        database = self._database
        followed = database.term, database.primary
        pulling = asyncio.ensure_future(self._pull_forever())
        moved = asyncio.ensure_future(
            database.wait_for(
                lambda: (database.term, database.primary) != followed,
                FOREVER_S,
            )
        )
        try:
            await asyncio.wait(
                {pulling, moved}, return_when=asyncio.FIRST_COMPLETED
            )
            if pulling.done():
                pulling.result()
        finally:
            pulling.cancel()
            moved.cancel()

    async def _pull_forever(self):
        while True:
            await self._pull_once()

    async def _pull_once(self):
        database = self._database
        term = database.term
        agreed, entries = await self._read_log(
            database.primary, term, database.received, BATCH_ENTRIES, POLL_S
        )
        if database.knobs.receive_lag_s:
            await asyncio.sleep(database.knobs.receive_lag_s)
        if database.term == term and database.role == "replica":
            await database.receive(term, agreed, entries)

    async def _apply(self):
        database = self._database
        while True:
            await database.wait_for(
                lambda: database.applied < database.settled, POLL_S
            )
            target = database.settled
            if target > database.applied:
                await asyncio.sleep(database.knobs.apply_lag_s)
                if database.role == "replica":
                    await database.apply_to(target)
