"""Control connections for probes, confirmations and promotions."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge import exceptions

__all__ = ["ControlConnections"]

CONNECT_TIMEOUT_S = 0.25


class ControlConnections:
    """Keeps one connection for each target and purpose.

    Parameters
    ----------
    connector : TargetConnector
        Opens connections.
    """

    def __init__(self, connector):
        self._connector = connector
        self._connections = {}
        self._locks = {}

    async def call(self, target, purpose, method, *args, timeout_s):
        """Call a method of the target's control connection.

        Parameters
        ----------
        target : Target
            Target of the plan.
        purpose : str
            Calls of different purposes do not wait for each other.
        method : str
            Name of a method of `TargetConnection`.
        *args
            Arguments of the method.
        timeout_s : float
            Seconds to wait for the answer.

        Returns
        -------
        TargetStatus

        Raises
        ------
        CommandFailed
            If the target rejected the call.
        ConnectionUnavailable, OutcomeUnknown
            If the target did not answer in time.
        """
        key = (target.name, target.host, target.port, purpose)
        lock = self._locks.setdefault(key, asyncio.Lock())
        try:
            async with asyncio.timeout(timeout_s), lock:
                conn = await self._connection(key, target)
                return await getattr(conn, method)(*args)
        except TimeoutError as exc:
            self._drop(key)
            raise exceptions.OutcomeUnknown(
                f"{target.name} is silent"
            ) from exc
        except exceptions.OutcomeUnknown:
            self._drop(key)
            raise
        except asyncio.CancelledError:
            self._drop(key)
            raise

    async def _connection(self, key, target):
        if key not in self._connections:
            conn = await self._connector.connect(target, CONNECT_TIMEOUT_S)
            self._connections[key] = conn
        return self._connections[key]

    def _drop(self, key):
        conn = self._connections.pop(key, None)
        if conn is not None:
            asyncio.ensure_future(conn.close())

    async def close_purpose(self, target, purpose):
        """Close the connections of one purpose to a target."""
        for key in list(self._connections):
            if key[0] == target.name and key[3] == purpose:
                self._drop(key)
        await clock.pause(0)

    async def close(self):
        """Close every connection."""
        for key in list(self._connections):
            self._drop(key)
        await clock.pause(0)
