"""Pools the connections of this instance to one target."""

import asyncio
import collections
import math

import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers.targetpools import idle
from balsamhinge.controllers.targetpools import waiters
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import statements
from balsamhinge.policy import workload as workloads

__all__ = ["TargetPool"]

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
# Share of a pool's connections that one customer may have open. Its
# transactions could otherwise hold all of them.
MAX_CUSTOMER_SHARE = 0.75
# Time by which a waiter may be overtaken by later ones of a customer that has
# connections, when all are in use: a few statements, as closing a connection
# and opening another one costs as much as one.
MAX_OVERTAKEN_S = 0.05
# Time for which a target counts as unreachable after a failed attempt. One
# statement then tries again, as each attempt takes up to `CONNECT_TIMEOUT_S`.
UNREACHABLE_S = 0.5
NO_WORKLOAD = workloads.Workload()

log = logbook.Logger(__name__)


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
    open_counts : Counter
        The same by customer.
    opened_total, evicted_total : int
        Connections opened so far, and idle ones that were closed in favour
        of another customer.
    answered_at : float
        Loop seconds of the target's last answer on one of the connections.
    wait_counts : Counter
        Number of waits for a connection so far, by customer.
    """

    def __init__(self, target, link, health, max_open):
        self.target = target
        self._link = link
        self._health = health
        self._max_open = max_open
        self._idle = idle.IdleConnections()
        self._waiting = waiters.WaiterQueue()
        # Connections that are being opened, by customer.
        self._opening = collections.Counter()
        self._limited_until = 0.0
        # Refusals in succession because the connection limit was met.
        self._limit_refusals = 0
        self._closed = False
        # Start of the last connection attempt, if it failed.
        self._failed_at = float("-inf")
        self.answered_at = float("-inf")
        self.open_counts = collections.Counter()
        self.opened_total = 0
        self.evicted_total = 0
        self.wait_counts = collections.Counter()
        self._mean_loan_s = 0.0

    @property
    def open(self):
        """Number of open connections, idle or lent."""
        return self.open_counts.total()

    async def borrow(
        self, until, patient=True, workload=NO_WORKLOAD, admitted=False
    ):
        """Return a `PooledConnection` of the workload's customer.

        Parameters
        ----------
        until : float
            Loop seconds by which the statement is to be answered.
        patient : bool
            Whether to wait while the target's connection limit is met;
            otherwise another target may serve the statement sooner.
        workload : Workload
            Whose statement it is.
        admitted : bool
            Whether an admission queue has judged that the statement can be
            answered in time. Its estimate is better: it leaves out answers
            that never came, because the target was out of reach.

        Raises
        ------
        Overloaded
            If the target cannot answer in time.
        NotRunError
            If there is no connection in time; nothing was sent.
        """
        customer = workload.customer
        while pooled := self._idle.pop(customer):
            if not pooled.conn.lost:
                pooled.borrowed_at = clock.now()
                return pooled
            self._discount(pooled)
        served_s = self.predict_served_s()
        if not admitted and clock.now() + served_s > until:
            raise self._overloaded(served_s)
        if not patient and clock.now() < self._limited_until:
            raise exceptions.NotRunError(
                f"{self.target.name} accepts no more connections"
            )
        return await self._wait_for_connection(
            customer, until, patient, admitted
        )

    async def _wait_for_connection(self, customer, until, patient, admitted):
        fut = asyncio.get_running_loop().create_future()
        waiter = waiters.BorrowWaiter(
            fut, customer, until, patient, clock.now(), admitted
        )
        self._waiting.add(waiter)
        self.wait_counts[customer] += 1
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

    @property
    def is_unreachable(self):
        """Whether the target did not answer the last connection attempt.

        False if it has answered on another connection since, as a full
        target may also let a handshake time out.
        """
        is_recent = (
            clock.now() - self._failed_at < CONNECT_TIMEOUT_S + UNREACHABLE_S
        )
        return is_recent and self.answered_at < self._failed_at

    def can_lend(self, customer):
        """Return whether a connection is idle or may be opened now.

        Parameters
        ----------
        customer : str
            Customer that needs a connection.
        """
        if self._idle.has(customer):
            return True
        if clock.now() < self._limited_until:
            return False
        used = self.open_counts[customer] + self._opening[customer]
        if used >= self._max_customer_open(customer):
            return False
        is_full = self.open + self._opening.total() >= self._max_open()
        return not is_full or len(self._idle) > 0

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
        overtaken = self._find_overtaken(pooled.customer)
        if overtaken is not None:
            self._evict(pooled)
            self._start_opening(overtaken.customer)
            return
        if self._pass_on(pooled):
            return
        pooled.idle_at = clock.now()
        self._idle.add(pooled)
        self._open_more()

    def _record_loan(self, pooled):
        loan_s = clock.now() - pooled.borrowed_at
        self._mean_loan_s += LOAN_WEIGHT * (loan_s - self._mean_loan_s)

    def discard(self, pooled):
        """Close a borrowed connection that must not be reused."""
        self._record_loan(pooled)
        self._abort(pooled)

    def _abort(self, pooled):
        self._discount(pooled)
        pooled.conn.abort()
        self._open_more()

    def _discount(self, pooled):
        """Count a connection as closed."""
        self.open_counts[pooled.customer] -= 1
        if not self.open_counts[pooled.customer]:
            del self.open_counts[pooled.customer]

    def _find_overtaken(self, customer):
        """Return a waiter that others have overtaken for too long, or None.

        A returned connection is closed for it, even if later statements of
        the connection's customer wait.
        """
        now = clock.now()
        own = self._waiting.count(customer)
        if not own or own == len(self._waiting) or now < self._limited_until:
            return None
        for waiter in self._openable_waiters():
            if now - waiter.since < MAX_OVERTAKEN_S:
                return None
            if waiter.customer != customer:
                return waiter
        return None

    def _pass_on(self, pooled):
        """Lend a connection to the first waiter that it can still serve.

        Returns
        -------
        bool
            Whether there was one.
        """
        now = clock.now()
        answer_s = self._answer_s()
        while waiter := self._waiting.pop(pooled.customer):
            if waiter.fut.done():
                continue
            if not waiter.admitted and now + answer_s > waiter.until:
                # The outcome of a write that is sent too late is unknown.
                waiter.fut.set_exception(self._overloaded(answer_s))
                continue
            pooled.borrowed_at = now
            waiter.fut.set_result(pooled)
            return True
        return False

    def _open_more(self):
        """Open connections for waiters, up to the limit."""
        if clock.now() < self._limited_until or self._closed:
            return
        # At most doubles the open connections: opening one occupies a slot
        # of the target like a statement, and after an outage all instances
        # open connections at once.
        growth = max(1, self.open)
        if self._limit_refusals:
            # One attempt shows whether the target accepts connections again.
            growth = 1
        while self._opening.total() < growth:
            waiter = next(self._openable_waiters(), None)
            if waiter is None or not self._make_room(waiter.customer):
                return
            self._start_opening(waiter.customer)

    def _openable_waiters(self):
        """Yield waiters for which another connection may be opened."""
        for waiter in self._waiting.unopened(self._opening):
            customer = waiter.customer
            used = self.open_counts[customer] + self._opening[customer]
            if used < self._max_customer_open(customer):
                yield waiter

    def _max_customer_open(self, customer):
        if not customer:
            return self._max_open()
        return math.ceil(MAX_CUSTOMER_SHARE * self._max_open())

    def _make_room(self, customer):
        """Make room for a new connection; return whether there is some.

        If there is none, closes an idle connection of another customer.
        """
        is_full = self.open + self._opening.total() >= self._max_open()
        if not is_full and not self._limit_refusals:
            return True
        unused = self._idle.choose_for_eviction(customer, self.open_counts)
        if unused is None:
            return not is_full
        self._idle.remove(unused)
        self._evict(unused)
        return True

    def _evict(self, pooled):
        """Close a connection in favour of another customer."""
        self._discount(pooled)
        self.evicted_total += 1
        pooled.conn.close()

    def _start_opening(self, customer):
        self._opening[customer] += 1
        asyncio.ensure_future(self._open_one(customer))

    def _end_opening(self, customer):
        self._opening[customer] -= 1
        if not self._opening[customer]:
            del self._opening[customer]

    async def _open_one(self, customer):
        now = clock.now()
        try:
            conn = await self._link.connect(
                self.target, CONNECT_TIMEOUT_S, customer
            )
        except exceptions.ConnectionRejected as exc:
            self._end_opening(customer)
            self._handle_refusal(exc, customer)
            return
        except exceptions.TargetUnreachable as exc:
            self._end_opening(customer)
            self._failed_at = now
            self._health.record_failure(self.target.name, now)
            self._fail_waiting(exc)
            return
        self._end_opening(customer)
        self._limit_refusals = 0
        self.answered_at = clock.now()
        self.open_counts[customer] += 1
        self.opened_total += 1
        self._health.record_contact(self.target.name, clock.now())
        self.return_connection(
            idle.PooledConnection(conn, customer, borrowed_at=clock.now())
        )
        self._open_more()

    def _handle_refusal(self, exc, customer):
        if exc.problem is not statements.Problem.TOO_MANY:
            self._fail_waiting(exc, customer)
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
        self._fail_impatient(exc)

    def _retry_after_limit(self):
        """Open connections after the limit was met.

        A timer may fire slightly early, so the delay is reset instead of
        being compared with the clock again.
        """
        self._limited_until = 0.0
        self._open_more()

    def _fail_impatient(self, exc):
        """Fail waiters that another target may serve.

        Those of customers with open connections may still get one.
        """
        for waiter in list(self._waiting):
            if waiter.patient or self.open_counts[waiter.customer]:
                continue
            self._waiting.remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_exception(exc)

    def _fail_waiting(self, exc, customer=None):
        """Fail the waiters of a customer, or all if it is None."""
        for waiter in list(self._waiting):
            if customer in (None, waiter.customer):
                self._waiting.remove(waiter)
                if not waiter.fut.done():
                    waiter.fut.set_exception(exc)

    def sweep(self, max_idle, is_successor=False):
        """Close lost connections, and idle ones beyond a limit.

        Parameters
        ----------
        max_idle : int
            Number of open connections up to which idle ones stay open.
        is_successor : bool
            Whether the instance may have to serve for the target's host.
        """
        now = clock.now()
        keep_idle_s = (
            EXCESS_IDLE_TIMEOUT_S
            if max_idle or is_successor
            else SCARCE_IDLE_TIMEOUT_S
        )
        for pooled in self._idle:
            excess = (
                self.open > max_idle and now - pooled.idle_at > keep_idle_s
            )
            if pooled.conn.lost or excess:
                self._idle.remove(pooled)
                self._discount(pooled)
                pooled.conn.close()

    def close(self):
        """Close idle connections now, and lent ones when they return."""
        self._closed = True
        for pooled in self._idle:
            self._idle.remove(pooled)
            self._discount(pooled)
            pooled.conn.close()
        self._fail_waiting(exceptions.NotRunError("the target has left"))

    def describe(self):
        """Return the pool's counters as data that JSON can represent."""
        return {
            "open": self.open,
            "idle": len(self._idle),
            "waiting": len(self._waiting),
            "opened_total": self.opened_total,
            "evicted_total": self.evicted_total,
            "customers": {
                customer: {
                    "open": self.open_counts[customer],
                    "waiting": self._waiting.count(customer),
                    "waits_total": self.wait_counts[customer],
                }
                for customer in {**self.open_counts, **self.wait_counts}
            },
        }
