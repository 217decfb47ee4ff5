"""Interactive transactions, each pinned to one connection."""

import asyncio
import uuid

import attrs

from balsamhinge.controllers import clock
from balsamhinge import exceptions

__all__ = ["OpenTransaction", "TransactionsController", "owning_instance"]

IDLE_S = 30.0
SWEEP_S = 1.0
SEPARATOR = "."


@attrs.define(eq=False)
class OpenTransaction:
    """A transaction that waits for its next statement.

    Parameters
    ----------
    name : str
        Its identifier, which names the owning instance.
    work : Work
        What opened it.
    conn : TargetConnection
        The connection it is pinned to.
    limiter : TargetLimiter
        Where the connection comes from.
    used : float
        Loop time in seconds of its last statement.
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
    """Return the instance that owns a transaction."""
    return name.rpartition(SEPARATOR)[0]


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
        """Start to end idle transactions."""
        self._sweeper = asyncio.ensure_future(
            clock.run_forever(self._sweep, SWEEP_S)
        )

    def stop(self):
        """Stop at once."""
        if self._sweeper is not None:
            self._sweeper.cancel()

    def add(self, work, conn, limiter):
        """Keep an open transaction and return it."""
        name = f"{self._me}{SEPARATOR}{uuid.uuid4().hex}"
        transaction = OpenTransaction(name, work, conn, limiter, clock.now())
        limiter.transaction_count += 1
        self._open[name] = transaction
        return transaction

    def acquire(self, name, service):
        """Return an open transaction for one statement.

        Raises
        ------
        TransactionUnknown
            If it has ended, is busy, or belongs to another service.
        """
        transaction = self._open.get(name)
        if transaction is None or transaction.work.service != service:
            raise exceptions.TransactionUnknown("no such transaction")
        if transaction.busy:
            raise exceptions.TransactionUnknown(
                "another statement of the transaction is running"
            )
        transaction.busy = True
        return transaction

    def release(self, transaction):
        """Let the transaction wait for its next statement."""
        transaction.busy = False
        transaction.last_used_at = clock.now()

    async def end(self, transaction):
        """Forget a transaction and return its connection."""
        if self._open.pop(transaction.name, None) is None:
            return
        transaction.limiter.transaction_count -= 1
        await transaction.limiter.pool.release(transaction.conn)

    async def _sweep(self):
        earliest = clock.now() - IDLE_S
        idle = [
            transaction
            for transaction in self._open.values()
            if not transaction.busy and transaction.last_used_at < earliest
        ]
        for transaction in idle:
            await self.abort(transaction)

    async def abort(self, transaction):
        """Undo a transaction at the target."""
        transaction.busy = True
        try:
            await transaction.conn.rollback()
        except (exceptions.AnswerLost, exceptions.CommandFailed):
            pass
        await self.end(transaction)
