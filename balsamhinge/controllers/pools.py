"""Connections to one target for callers' work."""

import asyncio

import attrs

from balsamhinge.configuration import checks
from balsamhinge import exceptions

__all__ = ["ConnectionPool", "pool_size"]

CONNECT_S = 1.0


def pool_size(target):
    """Return how many connections a home may open to a target.

    Parameters
    ----------
    target : Target
        Of the plan.

    Returns
    -------
    int
        Half of what is left after control, because two instances take
        themselves for the home while their views differ.
    """
    left = target.connections - checks.CONTROL_CONNECTIONS
    return max(target.slots, left // 2)


@attrs.define(eq=False)
class ConnectionPool:
    """Opens, lends and takes back connections.

    Parameters
    ----------
    link : TargetLink
        Opens connections.
    target : Target
        Of the plan.
    size : int
        Most connections open at once.
    """

    link: object
    target: object
    size: int
    _idle: list = attrs.Factory(list)
    _open: int = 0
    _freed: asyncio.Condition = attrs.Factory(asyncio.Condition)

    @property
    def open(self):
        """Return how many connections are open."""
        return self._open

    async def acquire(self):
        """Return an idle connection, opening one if it has to.

        Raises
        ------
        ConnectionUnavailable
            If the target can not be reached; nothing was sent.
        """
        async with self._freed:
            while not self._idle and self._open >= self.size:
                await self._freed.wait()
            if self._idle:
                return self._idle.pop()
            self._open += 1
        try:
            return await self.link.connect(self.target, CONNECT_S)
        except BaseException:
            await self._forget()
            raise

    async def release(self, conn):
        """Take a connection back, or close it unless it is idle.

        A connection whose transaction state the target has not confirmed
        is closed: the next session must not run inside it.
        """
        if conn.idle:
            async with self._freed:
                self._idle.append(conn)
                self._freed.notify()
            return
        await self.discard(conn)

    async def discard(self, conn):
        """Close a connection that is not fit for further use."""
        await self._forget()
        await conn.close()

    async def _forget(self):
        async with self._freed:
            self._open -= 1
            self._freed.notify()

    async def close(self):
        """Close the idle connections."""
        async with self._freed:
            idle, self._idle = self._idle, []
            self._open -= len(idle)
        for conn in idle:
            try:
                await conn.close()
            except exceptions.BalsamhingeError:
                continue
