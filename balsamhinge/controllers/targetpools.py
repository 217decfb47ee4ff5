"""Pools the connections of this instance to targets."""

import asyncio
import collections

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import loans
from balsamhinge.policy import statements

__all__ = ["TargetPool", "TargetPoolsController"]

# A reachable target answers within milliseconds. A timeout must leave time
# to try another target within the smallest latency target in use, 150 ms.
CONNECT_TIMEOUT_S = 0.4
# Idle time after which connections beyond the idle limit are closed, so that
# other instances can open theirs.
EXCESS_IDLE_TIMEOUT_S = 1.5
# The same where there are more instances than connections: longer than the
# pauses inside an operation, so that most operations open one connection at
# most.
SCARCE_IDLE_TIMEOUT_S = 0.2
# Delay before the next attempt after a target's connection limit was met;
# other instances return connections within tens of milliseconds. It doubles
# with each further refusal, up to a fifth of the callers' 0.8 s, as each
# attempt is work for both ends.
LIMIT_RETRY_DELAY_S = 0.04
MAX_LIMIT_RETRY_DELAY_S = 0.16
# Weight of one loan in the moving average of loan durations.
LOAN_WEIGHT = 0.05

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class PooledConnection:
    """A connection and the state of its session at the target.

    Parameters
    ----------
    conn : object
        The connection.
    values : dict of str to str
        Session values that are set on it.
    prepared : set of str
        Names of the statements that are prepared on it.
    idle_at : float
        Loop seconds when it was last returned.
    borrowed_at : float
        Loop seconds when it was last borrowed.
    """

    conn: object
    values: dict = attrs.Factory(dict)
    prepared: set = attrs.Factory(set)
    idle_at: float = 0.0
    borrowed_at: float = 0.0


@attrs.define(eq=False)
class BorrowWaiter:
    """A statement or transaction that waits for a connection.

    Parameters
    ----------
    fut : Future
        Receives the `PooledConnection`.
    until : float
        Loop seconds by which its statement is to be answered.
    patient : bool
        Whether to wait while the target's connection limit is met.
    """

    fut: asyncio.Future
    until: float
    patient: bool


class TargetPool:
    """The connections of this instance to one target.

    Parameters
    ----------
    target : ServingTarget
        The target.
    link : SessionTargetConnector
        Opens connections.
    health : HealthController
        Receives the results of connection attempts.
    max_open : callable
        Returns the maximum number of open connections.

    Attributes
    ----------
    open : int
        Number of open connections, idle or lent.
    """

    def __init__(self, target, link, health, max_open):
        self.target = target
        self._link = link
        self._health = health
        self._max_open = max_open
        self._idle = []
        self._waiting = collections.deque()
        self._opening = 0
        self._limited_until = 0.0
        # Refusals in succession because the connection limit was met.
        self._limit_refusals = 0
        self._closed = False
        self.open = 0
        self._mean_loan_s = 0.0

    async def borrow(self, until, patient=True):
        """Return a `PooledConnection`.

        Parameters
        ----------
        until : float
            Loop seconds by which the statement is to be answered.
        patient : bool
            Whether to wait while the target's connection limit is met;
            otherwise another target may serve the statement sooner.

        Raises
        ------
        Overloaded
            If the target cannot answer in time.
        NotRunError
            If there is no connection in time; nothing was sent.
        """
        while self._idle:
            pooled = self._idle.pop()
            if not pooled.conn.lost:
                pooled.borrowed_at = clock.now()
                return pooled
            self.open -= 1
        served_s = self.predict_served_s()
        if clock.now() + served_s > until:
            raise self._overloaded(served_s)
        if not patient and clock.now() < self._limited_until:
            raise exceptions.NotRunError(
                f"{self.target.name} accepts no more connections"
            )
        fut = asyncio.get_running_loop().create_future()
        waiter = BorrowWaiter(fut, until, patient)
        self._waiting.append(waiter)
        self._open_more()
        try:
            await asyncio.wait([fut], timeout=max(0.0, until - clock.now()))
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        if fut.done():
            return fut.result()
        self._withdraw(waiter)
        raise exceptions.NotRunError(
            f"no connection to {self.target.name} in time, "
            f"{self.open} open, most {self._max_open()}"
        )

    def predict_served_s(self):
        """Return the predicted seconds until a new statement is answered.

        Based on the average duration of loans. Rejecting a statement that
        would be answered too late leaves its caller time to try elsewhere,
        and shortens the queue.
        """
        if not self.open:
            return 0.0
        wait_s = len(self._waiting) * self._mean_loan_s / self.open
        return wait_s + self._answer_s()

    def _answer_s(self):
        """Return the target's recent mean time to answer in seconds."""
        return self._health.of(self.target.name).mean_response_s

    def _overloaded(self, served_s):
        return exceptions.Overloaded(
            f"{len(self._waiting)} wait for {self.target.name}, about "
            f"{served_s:.2f} s"
        )

    def _withdraw(self, waiter):
        """Remove a waiter, and return the connection that it received."""
        fut = waiter.fut
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if fut.done() and not fut.cancelled() and not fut.exception():
            self.return_connection(fut.result())
        fut.cancel()

    def return_connection(self, pooled):
        """Return a connection; closes it if it has unanswered requests."""
        self._record_loan(pooled)
        if pooled.conn.lost or pooled.conn.outstanding or self._closed:
            self._abort(pooled)
            return
        if self._pass_on(pooled):
            return
        pooled.idle_at = clock.now()
        self._idle.append(pooled)

    def _record_loan(self, pooled):
        loan_s = clock.now() - pooled.borrowed_at
        self._mean_loan_s += LOAN_WEIGHT * (loan_s - self._mean_loan_s)

    def discard(self, pooled):
        """Close a borrowed connection that must not be reused."""
        self._record_loan(pooled)
        self._abort(pooled)

    def _abort(self, pooled):
        self.open -= 1
        pooled.conn.abort()
        self._open_more()

    def _pass_on(self, pooled):
        """Lend a connection to the first waiter that it can still serve.

        Returns
        -------
        bool
            Whether there was one.
        """
        now = clock.now()
        answer_s = self._answer_s()
        while self._waiting:
            waiter = self._waiting.popleft()
            if waiter.fut.done():
                continue
            if now + answer_s > waiter.until:
                # The outcome of a write that is sent too late is unknown.
                waiter.fut.set_exception(self._overloaded(answer_s))
                continue
            pooled.borrowed_at = now
            waiter.fut.set_result(pooled)
            return True
        return False

    def _open_more(self):
        """Open connections for waiters, up to the limit."""
        wanted = len(self._waiting) - self._opening
        room = self._max_open() - self.open - self._opening
        if clock.now() < self._limited_until:
            return
        # At most doubles the open connections: opening one occupies a slot
        # of the target like a statement, and after an outage all instances
        # open connections at once.
        growth = max(1, self.open)
        if self._limit_refusals:
            # One attempt shows whether the target accepts connections again.
            growth = 1
        room = min(room, growth - self._opening)
        for _attempt in range(min(wanted, room)):
            self._opening += 1
            asyncio.ensure_future(self._open_one())

    async def _open_one(self):
        now = clock.now()
        try:
            conn = await self._link.connect(self.target, CONNECT_TIMEOUT_S)
        except exceptions.ConnectionRejected as exc:
            self._opening -= 1
            self._handle_refusal(exc)
            return
        except exceptions.TargetUnreachable as exc:
            self._opening -= 1
            self._health.record_failure(self.target.name, now)
            self._fail_waiting(exc)
            return
        self._opening -= 1
        self._limit_refusals = 0
        self.open += 1
        self._health.record_contact(self.target.name, clock.now())
        self.return_connection(PooledConnection(conn, borrowed_at=clock.now()))
        self._open_more()

    def _handle_refusal(self, exc):
        if exc.problem is not statements.Problem.TOO_MANY:
            self._fail_waiting(exc)
            return
        now = clock.now()
        if now >= self._limited_until:
            event(
                log.info,
                "connection_limit_met",
                target=self.target.name,
                open=self.open,
                waiting=len(self._waiting),
            )
            delay_s = min(
                MAX_LIMIT_RETRY_DELAY_S,
                LIMIT_RETRY_DELAY_S * 2**self._limit_refusals,
            )
            self._limit_refusals += 1
            self._limited_until = now + delay_s
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._retry_after_limit)
        if not self.open:
            self._fail_impatient(exc)

    def _retry_after_limit(self):
        """Open connections after the limit was met.

        A timer may fire slightly early, so the delay is reset instead of
        being compared with the clock again.
        """
        self._limited_until = 0.0
        self._open_more()

    def _fail_impatient(self, exc):
        """Fail waiters that another target may serve."""
        impatient = [queued for queued in self._waiting if not queued.patient]
        for waiter in impatient:
            self._waiting.remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_exception(exc)

    def _fail_waiting(self, exc):
        waiting, self._waiting = self._waiting, collections.deque()
        for waiter in waiting:
            if not waiter.fut.done():
                waiter.fut.set_exception(exc)

    def sweep(self, max_idle):
        """Close lost connections, and idle ones beyond a limit.

        Parameters
        ----------
        max_idle : int
            Number of open connections up to which idle ones stay open.
        """
        now = clock.now()
        idle_timeout_s = (
            EXCESS_IDLE_TIMEOUT_S if max_idle else SCARCE_IDLE_TIMEOUT_S
        )
        kept = []
        for pooled in self._idle:
            excess = (
                self.open > max_idle and now - pooled.idle_at > idle_timeout_s
            )
            if pooled.conn.lost or excess:
                self.open -= 1
                pooled.conn.close()
            else:
                kept.append(pooled)
        self._idle = kept

    def close(self):
        """Close idle connections now, and lent ones when they return."""
        self._closed = True
        for pooled in self._idle:
            pooled.conn.close()
        self.open -= len(self._idle)
        self._idle = []
        self._fail_waiting(exceptions.NotRunError("the target has left"))


class TargetPoolsController:
    """The connection pools of all targets.

    Parameters
    ----------
    me : Member
        This instance.
    link : SessionTargetConnector
        Opens connections.
    health : HealthController
        Receives the results of connection attempts.
    directory : DirectoryController
        Provides targets and connection limits.
    leaders : LeadersController
        Provides the registered instances.
    """

    def __init__(self, me, link, health, directory, leaders):
        self._me = me
        # Registered instances for which the cached ranking holds.
        self._ranked_for = None
        self._ranked = {}
        self._link = link
        self._leaders = leaders
        self._health = health
        self._directory = directory
        self._pools = {}

    def _limit(self, group):
        """Return the connections that each target of a group accepts."""
        limits = self._directory.table.groups.get(group)
        return limits.connections if limits else 1

    def hosts_of(self, target):
        """Return the instances that may lend connections to a target.

        Returns
        -------
        list of Member
            The first ones are the hosts of the target, see `policy.loans`;
            empty where each instance opens its own connections.
        """
        members = self._leaders.members
        if not loans.uses_hosts(self._limit(target.group), len(members)):
            return []
        if self._ranked_for is not members:
            self._ranked_for = members
            self._ranked = {}
        key = target.name, target.data_centre
        if key not in self._ranked:
            self._ranked[key] = loans.rank_hosts(target, members.values())
        return self._ranked[key]

    def max_idle(self, target):
        """Return the number of idle connections to keep to a target.

        Half of the maximum: when all instances lose power, targets count
        the old connections for some seconds, and the restarted instances
        need the other half.
        """
        limit = self._limit(target.group)
        hosts = self.hosts_of(target)
        if hosts:
            if self._me not in hosts[: loans.HOSTS_PER_TARGET]:
                return 0
            return max(1, loans.max_connections_per_host(limit) // 2)
        share = limit // max(1, len(self._leaders.members))
        return max(1, share // 2) if share else 0

    def max_open(self, target):
        """Return the maximum number of open connections to a target.

        Load is uneven, so an instance may open up to three times its equal
        share. The target refuses connections beyond its own limit.
        """
        limit = self._limit(target.group)
        if self.hosts_of(target):
            return loans.max_connections_per_host(limit)
        instances = max(1, len(self._leaders.members))
        return max(1, min(limit, 3 * limit // instances))

    def pool(self, target):
        """Return the pool of a target; replaces that of a restarted one."""
        existing = self._pools.get(target.name)
        same = existing is not None and (
            existing.target.address == target.address
            and existing.target.born_ms == target.born_ms
        )
        if same:
            return existing
        if existing is not None:
            existing.close()
        pool = TargetPool(
            target,
            self._link,
            self._health,
            lambda: self.max_open(target),
        )
        self._pools[target.name] = pool
        return pool

    def pools(self):
        """Return all pools."""
        return list(self._pools.values())

    def sweep(self):
        """Close excess connections, and pools of targets that have left."""
        for name, pool in list(self._pools.items()):
            if name not in self._directory.targets:
                del self._pools[name]
                pool.close()
                continue
            pool.sweep(self.max_idle(pool.target))

    def close(self):
        """Close all pools."""
        for pool in self._pools.values():
            pool.close()
