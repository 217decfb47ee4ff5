"""Interactive transactions, each bound to one connection."""

import asyncio
import uuid

import attrs

from balsamhinge.controllers import clock
from balsamhinge import exceptions

__all__ = ["OpenTransaction", "TransactionsController", "owning_instance"]

IDLE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 1.0
OWNER_SEPARATOR = "."


@attrs.define(eq=False)
class OpenTransaction:
    """A transaction that is open between its statements.

    Parameters
    ----------
    name : str
        Identifier, which starts with the name of the owning instance.
    work : WorkRequest
        Request that opened the transaction.
    conn : TargetConnection
        Connection that the transaction is bound to.
    limiter : TargetLimiter
        Limiter of the target, whose pool the connection belongs to.
    last_used_at : float
        Loop time in seconds of the last statement.
    busy : bool
        Whether a statement is running.
    """

    name: str
    work: object
    conn: object
    limiter: object
    last_used_at: float
    busy: bool = False


def owning_instance(name):
    """Return the name of the instance that owns a transaction."""
    return name.rpartition(OWNER_SEPARATOR)[0]


class TransactionsController:
    """Holds the transactions that this instance owns.

    Parameters
    ----------
    me : str
        Name of this instance.
    """

    def __init__(self, me):
        self._me = me
        self._open = {}
        self._sweeper = None

    def __len__(self):
        return len(self._open)

    def start(self):
        """Start rolling back idle transactions periodically."""
        self._sweeper = asyncio.ensure_future(
            clock.run_forever(self._sweep, SWEEP_INTERVAL_S)
        )

    def stop(self):
        """Stop rolling back idle transactions."""
        if self._sweeper is not None:
            self._sweeper.cancel()

    def add(self, work, conn, limiter):
        """Register an open transaction.

        Parameters
        ----------
        work : WorkRequest
            Request that opened the transaction.
        conn : TargetConnection
            Connection that the transaction is bound to.
        limiter : TargetLimiter
            Limiter of the target.

        Returns
        -------
        OpenTransaction
        """
        name = f"{self._me}{OWNER_SEPARATOR}{uuid.uuid4().hex}"
        transaction = OpenTransaction(name, work, conn, limiter, clock.now())
        limiter.transaction_count += 1
        self._open[name] = transaction
        return transaction

    def acquire(self, name, service):
        """Mark an open transaction busy for one statement and return it.

        Raises
        ------
        UnknownTransaction
            If the transaction has ended, is busy, or belongs to another
            service.
        """
        transaction = self._open.get(name)
        if transaction is None or transaction.work.service != service:
            raise exceptions.UnknownTransaction("no such transaction")
        if transaction.busy:
            raise exceptions.UnknownTransaction(
                "another statement of the transaction is running"
            )
        transaction.busy = True
        return transaction

    def release(self, transaction):
        """Mark a transaction idle after a statement."""
        transaction.busy = False
        transaction.last_used_at = clock.now()

    async def end(self, transaction):
        """Remove a transaction and return its connection to the pool."""
        if self._open.pop(transaction.name, None) is None:
            return
        transaction.limiter.transaction_count -= 1
        await transaction.limiter.pool.release(transaction.conn)

    async def _sweep(self):
        idle_since = clock.now() - IDLE_TIMEOUT_S
        idle = [
            transaction
            for transaction in self._open.values()
            if not transaction.busy and transaction.last_used_at < idle_since
        ]
        for transaction in idle:
            await self.abort(transaction)

    async def abort(self, transaction):
        """Roll back a transaction at the target and remove it."""
        transaction.busy = True
        try:
            await transaction.conn.rollback()
        except (exceptions.OutcomeUnknown, exceptions.CommandFailed):
            pass
        await self.end(transaction)
