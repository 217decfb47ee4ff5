"""Limits concurrent statements and connections to the targets."""

import asyncio

from balsamhinge.configuration import checks
from balsamhinge.controllers import clock
from balsamhinge.controllers import pools
from balsamhinge import exceptions
from balsamhinge.policy import admission

__all__ = ["LimitersController", "TargetLimiter"]


class TargetLimiter:
    """Admission queue and connection pool of one target.

    Parameters
    ----------
    target : Target
        Target of the plan.
    connector : TargetConnector
        Opens connections.
    limits : Limits
        Number of statements that the target runs at once.
    size : int
        Maximum number of open connections.
    """

    def __init__(self, target, connector, limits, size):
        self.target = target
        self.queue = admission.AdmissionQueue(limits)
        self.pool = pools.ConnectionPool(connector, target, size)
        self.transaction_count = 0
        self._slot_futures = {}

    @property
    def max_transactions(self):
        """Maximum number of transactions that may hold a connection.

        As many connections as the target has slots are left to
        statements outside transactions.
        """
        return max(1, self.pool.size - self.queue.limits.slots)

    async def acquire_slot(self, ticket):
        """Wait until `ticket` gets a slot.

        Raises
        ------
        NotRunError
            If the request cannot meet its deadline; nothing was run.
        """
        now = clock.now()
        retry_after = self.queue.offer(ticket, now)
        if retry_after:
            raise exceptions.NotRunError("overloaded", retry_after)
        slot_future = asyncio.get_running_loop().create_future()
        self._slot_futures[ticket] = slot_future
        self._start_waiting()
        try:
            async with asyncio.timeout_at(ticket.latest_start):
                await slot_future
        except BaseException as exc:
            self._abandon(ticket)
            if isinstance(exc, TimeoutError):
                message = "the queue leaves no time to answer"
                raise exceptions.NotRunError(message) from exc
            raise

    def _abandon(self, ticket):
        self._slot_futures.pop(ticket, None)
        ticket.abandoned = True
        self.queue.remove(ticket)
        if ticket in self.queue.running:
            self.release_slot(ticket)

    def release_slot(self, ticket):
        """Free the slot of `ticket`."""
        self.queue.finish(ticket, clock.now())
        self._start_waiting()

    def _start_waiting(self):
        now = clock.now()
        while (ticket := self.queue.start_next(now)) is not None:
            slot_future = self._slot_futures.pop(ticket)
            if not slot_future.done():
                slot_future.set_result(None)
        for ticket in self.queue.take_dropped():
            slot_future = self._slot_futures.pop(ticket)
            if not slot_future.done():
                slot_future.set_exception(TimeoutError())


class LimitersController:
    """The limiters of the targets that this instance sends work to.

    Parameters
    ----------
    connector : TargetConnector
        Opens connections.
    ordered : bool
        Whether queues order and refuse requests, see
        `balsamhinge.policy.admission.Limits`.
    instance_count : int
        Number of instances that divide each target's connections; 0 if
        only owners open connections.
    """

    def __init__(self, connector, ordered=True, instance_count=0):
        self._connector = connector
        self._ordered = ordered
        self._instance_count = instance_count
        self.limiters = {}

    def limiter(self, target):
        """Return the limiter of a target of the plan.

        A new one is created if the target has none yet or its definition
        has changed.
        """
        current = self.limiters.get(target.name)
        if current is not None and current.target == target:
            return current
        if current is not None:
            asyncio.ensure_future(current.pool.close())
        size = pools.pool_size(target)
        slots = target.slots
        if self._instance_count:
            work_connections = target.connections - checks.CONTROL_CONNECTIONS
            size = max(1, work_connections // self._instance_count)
            slots = size
        limits = admission.Limits(slots, ordered=self._ordered)
        limiter = TargetLimiter(target, self._connector, limits, size)
        self.limiters[target.name] = limiter
        return limiter

    async def close_unowned(self, is_owner):
        """Close idle connections to targets that other instances own.

        Parameters
        ----------
        is_owner : callable
            Returns whether this instance owns a target. An owner may open
            half of a target's connections, so a former owner has to close
            its own.
        """
        for limiter in list(self.limiters.values()):
            if not is_owner(limiter.target):
                await limiter.pool.close()

    async def close(self):
        """Close the idle connections to every target."""
        for limiter in self.limiters.values():
            await limiter.pool.close()
