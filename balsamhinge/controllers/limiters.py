"""A home's gate before one target: its queue and its connections."""

import asyncio

from balsamhinge.configuration import checks
from balsamhinge.controllers import clock
from balsamhinge.controllers import pools
from balsamhinge import exceptions
from balsamhinge.policy import admission

__all__ = ["LimitersController", "TargetLimiter"]


class TargetLimiter:
    """Admits work to one target.

    Parameters
    ----------
    target : Target
        Of the plan.
    link : TargetLink
        Opens connections.
    limits : Limits
        What the target can run.
    size : int
        Most connections open at once.
    """

    def __init__(self, target, link, limits, size):
        self.target = target
        self.queue = admission.AdmissionQueue(limits)
        self.pool = pools.ConnectionPool(link, target, size)
        self.transaction_count = 0
        self._turns = {}

    @property
    def max_transactions(self):
        """Return how many transactions may hold a connection."""
        return max(1, self.pool.size - self.queue.limits.slots)

    async def acquire_slot(self, ticket):
        """Wait until `ticket` may run.

        Raises
        ------
        NotRunError
            If it can not meet its deadline; nothing was run.
        """
        now = clock.now()
        retry_after = self.queue.offer(ticket, now)
        if retry_after:
            raise exceptions.NotRunError("overloaded", retry_after)
        turn = asyncio.get_running_loop().create_future()
        self._turns[ticket] = turn
        self._start()
        try:
            async with asyncio.timeout_at(ticket.deadline):
                await turn
        except BaseException as exc:
            self._leave_queue(ticket)
            if isinstance(exc, TimeoutError):
                message = "the deadline passed in the queue"
                raise exceptions.NotRunError(message) from exc
            raise

    def _leave_queue(self, ticket):
        self._turns.pop(ticket, None)
        ticket.abandoned = True
        if ticket in self.queue.running:
            self.release_slot(ticket)

    def release_slot(self, ticket):
        """Free the slot of `ticket`."""
        self.queue.finish(ticket, clock.now())
        self._start()

    def _start(self):
        now = clock.now()
        while (ticket := self.queue.start_next(now)) is not None:
            turn = self._turns.pop(ticket)
            if not turn.done():
                turn.set_result(None)


class LimitersController:
    """The gates of the targets that this instance cares for.

    Parameters
    ----------
    link : TargetLink
        Opens connections.
    ordered : bool
        See `balsamhinge.policy.admission.Limits`.
    shares : int
        Instances that divide each target's connections; 0 if homes do.
    """

    def __init__(self, link, ordered=True, shares=0):
        self._link = link
        self._ordered = ordered
        self._shares = shares
        self.limiters = {}

    def limiter(self, target):
        """Return the gate of a target of the plan."""
        known = self.limiters.get(target.name)
        if known is not None and known.target == target:
            return known
        if known is not None:
            asyncio.ensure_future(known.pool.close())
        size = pools.pool_size(target)
        slots = target.slots
        if self._shares:
            left = target.connections - checks.CONTROL_CONNECTIONS
            size = max(1, left // self._shares)
            slots = size
        limits = admission.Limits(slots, ordered=self._ordered)
        limiter = TargetLimiter(target, self._link, limits, size)
        self.limiters[target.name] = limiter
        return limiter

    async def close_unowned(self, is_owner):
        """Give up idle connections to targets that others care for.

        Parameters
        ----------
        is_home : callable
            Returns whether this instance cares for a target. Every home
            counts on half of a target's connections.
        """
        for limiter in list(self.limiters.values()):
            if not is_owner(limiter.target):
                await limiter.pool.close()

    async def close(self):
        """Close the idle connections of every gate."""
        for limiter in self.limiters.values():
            await limiter.pool.close()
