"""Statements and transactions that wait for a connection of a pool."""

import asyncio
import collections

import attrs

__all__ = ["BorrowWaiter", "WaiterQueue"]


@attrs.define(eq=False)
class BorrowWaiter:
    """A statement or transaction that waits for a connection.

    Parameters
    ----------
    fut : Future
        Receives the `PooledConnection`.
    customer : str
        Customer of which the connection must be.
    until : float
        Loop seconds by which its statement is to be answered.
    patient : bool
        Whether to wait while the target's connection limit is met.
    since : float
        Loop seconds of its arrival.
    admitted : bool
        Whether an admission queue has judged that it can be answered in
        time.
    """

    fut: asyncio.Future
    customer: str
    until: float
    patient: bool
    since: float
    admitted: bool = False


class WaiterQueue:
    """Waiters of a pool in order of arrival."""

    def __init__(self):
        self._waiters = collections.deque()
        self._counts = collections.Counter()

    def __len__(self):
        return len(self._waiters)

    def __iter__(self):
        return iter(self._waiters)

    def count(self, customer):
        """Return the number of waiters of a customer."""
        return self._counts[customer]

    def add(self, waiter):
        """Append a waiter."""
        self._waiters.append(waiter)
        self._counts[waiter.customer] += 1

    def remove(self, waiter):
        """Remove a waiter; does nothing if it is not in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._discount(waiter)

    def _discount(self, waiter):
        self._counts[waiter.customer] -= 1
        if not self._counts[waiter.customer]:
            del self._counts[waiter.customer]

    def pop(self, customer):
        """Remove and return the first waiter of a customer, or None."""
        if not self._counts[customer]:
            return None
        waiter = next(
            queued for queued in self._waiters if queued.customer == customer
        )
        self.remove(waiter)
        return waiter

    def unopened(self, opening):
        """Yield waiters for which no connection is being opened, in order.

        Parameters
        ----------
        opening : dict of str to int
            Number of connections that are being opened, by customer.
        """
        left = collections.Counter(opening)
        for waiter in self._waiters:
            left[waiter.customer] -= 1
            if left[waiter.customer] < 0:
                yield waiter
