"""Pool of connections to one target for callers' requests."""

import asyncio

import attrs

from balsamhinge.configuration import checks
from balsamhinge import exceptions

__all__ = ["ConnectionPool", "pool_size"]

CONNECT_TIMEOUT_S = 1.0


def pool_size(target):
    """Return how many connections an owner may open to a target.

    Parameters
    ----------
    target : Target
        Target of the plan.

    Returns
    -------
    int
        Half of the target's connections, less those reserved for control,
        but at least its slots. While instances' views differ, two of them
        may act as the owner.
    """
    work_connections = target.connections - checks.CONTROL_CONNECTIONS
    return max(target.slots, work_connections // 2)


@attrs.define(eq=False)
class ConnectionPool:
    """Connection pool of one target.

    Parameters
    ----------
    connector : TargetConnector
        Opens connections.
    target : Target
        Target of the plan.
    size : int
        Maximum number of open connections.
    """

    connector: object
    target: object
    size: int
    _idle: list = attrs.Factory(list)
    _open: int = 0
    _freed: asyncio.Condition = attrs.Factory(asyncio.Condition)

    @property
    def open(self):
        """Number of open connections."""
        return self._open

    async def acquire(self):
        """Return an idle connection, or open one if there is none.

        Waits while `size` connections are in use.

        Raises
        ------
        ConnectionUnavailable
            If the target cannot be reached; nothing was sent.
        """
        async with self._freed:
            while not self._idle and self._open >= self.size:
                await self._freed.wait()
            if self._idle:
                return self._idle.pop()
            self._open += 1
        try:
            return await self.connector.connect(self.target, CONNECT_TIMEOUT_S)
        except BaseException:
            await self._remove()
            raise

    async def release(self, conn):
        """Return a connection to the pool, or close it unless it is idle.

        If the target has not confirmed that no transaction is open, the
        next session could run inside it, so the connection is closed.
        """
        if conn.idle:
            async with self._freed:
                self._idle.append(conn)
                self._freed.notify()
            return
        await self.discard(conn)

    async def discard(self, conn):
        """Close a connection that must not be used again."""
        await self._remove()
        await conn.close()

    async def _remove(self):
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
