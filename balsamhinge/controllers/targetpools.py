"""Connections to one target, lent to statements and transactions."""

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

# A target that is reached answers within milliseconds; it must be
# possible to try another one within the least aim in use, 150 ms.
CONNECT_S = 0.4
# Connections beyond those that are kept are closed after so long without
# use, so that other instances can open theirs.
SPARE_IDLE_S = 1.5
# ... and after this where there are more instances than connections:
# longer than the pauses inside an operation, so that most operations open
# one connection at most.
SCARCE_IDLE_S = 0.2
# Pause after a target's limit of connections was met: others give theirs
# back within tens of milliseconds. It doubles while the limit is met again,
# to a fifth of the callers' 0.8 s; each attempt is work for both ends.
LIMIT_PAUSE_S = 0.04
MOST_LIMIT_PAUSE_S = 0.16
# Weight of one loan in the running mean of how long they last.
LOAN_WEIGHT = 0.05

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class PooledConnection:
    """One connection and what its session at the target holds.

    Parameters
    ----------
    conn : object
        The connection.
    values : dict of str to str
        Session values that are set on it.
    prepared : set of str
        Prepared statements that it knows.
    idle_at : float
        Loop seconds when it was last given back.
    lent_at : float
        Loop seconds when it was last lent.
    """

    conn: object
    values: dict = attrs.Factory(dict)
    prepared: set = attrs.Factory(set)
    idle_at: float = 0.0
    lent_at: float = 0.0


@attrs.define(eq=False)
class BorrowWaiter:
    """Who waits for a connection.

    Parameters
    ----------
    fut : Future
        Gets the `PooledConnection`.
    until : float
        Loop seconds by which its statement is to be answered.
    patient : bool
        Whether to wait where the target's limit is met.
    """

    fut: asyncio.Future
    until: float
    patient: bool


class TargetPool:
    """Opens, lends and takes back connections to one target.

    Parameters
    ----------
    target : ServingTarget
        Where they lead.
    link : SessionTargetLink
        Opens them.
    health : HealthController
        Is told of what happens.
    most : callable
        Returns how many may be open.
    """

    def __init__(self, target, link, health, most):
        self.target = target
        self._link = link
        self._health = health
        self._most = most
        self._idle = []
        self._waiting = collections.deque()
        self._opening = 0
        self._limited_until = 0.0
        # How often in succession the limit was met.
        self._limited = 0
        self._closed = False
        self.open = 0
        self._loan_s = 0.0

    async def borrow(self, until, patient=True):
        """Return a `PooledConnection`.

        Parameters
        ----------
        until : float
            Loop seconds by which the statement is to be answered.
        patient : bool
            Whether to wait where the target's limit of connections is
            met; otherwise another target may serve sooner.

        Raises
        ------
        Overloaded
            If the target cannot answer in time.
        NotRunError
            If none could be had; nothing was sent.
        """
        while self._idle:
            lent = self._idle.pop()
            if not lent.conn.lost:
                lent.lent_at = clock.now()
                return lent
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
            f"{self.open} open, most {self._most()}"
        )

    def predict_served_s(self):
        """Return when one more would be answered, by the latest loans.

        Refusing at once what will be too late leaves its caller time to
        ask elsewhere, and the others a shorter queue.
        """
        if not self.open:
            return 0.0
        wait_s = len(self._waiting) * self._loan_s / self.open
        return wait_s + self._answer_s()

    def _answer_s(self):
        """Return how long the target takes for a statement lately."""
        return self._health.of(self.target.name).mean_response_s

    def _overloaded(self, served_s):
        return exceptions.Overloaded(
            f"{len(self._waiting)} wait for {self.target.name}, about "
            f"{served_s:.2f} s"
        )

    def _withdraw(self, waiter):
        """Take a waiter back, and what it may have got meanwhile."""
        fut = waiter.fut
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if fut.done() and not fut.cancelled() and not fut.exception():
            self.return_connection(fut.result())
        fut.cancel()

    def return_connection(self, lent):
        """Take a connection back; one with work outstanding is dropped."""
        self._note_loan(lent)
        if lent.conn.lost or lent.conn.outstanding or self._closed:
            self._end(lent)
            return
        if self._hand_over(lent):
            return
        lent.idle_at = clock.now()
        self._idle.append(lent)

    def _note_loan(self, lent):
        loan_s = clock.now() - lent.lent_at
        self._loan_s += LOAN_WEIGHT * (loan_s - self._loan_s)

    def discard(self, lent):
        """Close a connection that is not fit for further use."""
        self._note_loan(lent)
        self._end(lent)

    def _end(self, lent):
        self.open -= 1
        lent.conn.abort()
        self._open_more()

    def _hand_over(self, lent):
        now = clock.now()
        answer_s = self._answer_s()
        while self._waiting:
            waiter = self._waiting.popleft()
            if waiter.fut.done():
                continue
            if now + answer_s > waiter.until:
                # A write that is sent too late ends in doubt.
                waiter.fut.set_exception(self._overloaded(answer_s))
                continue
            lent.lent_at = now
            waiter.fut.set_result(lent)
            return True
        return False

    def _open_more(self):
        wanted = len(self._waiting) - self._opening
        room = self._most() - self.open - self._opening
        if clock.now() < self._limited_until:
            return
        # As many more as there are: opening takes a target's slot as a
        # statement does, and each instance opens when all return at once.
        growth = max(1, self.open)
        if self._limited:
            # One attempt tells whether there is room again.
            growth = 1
        room = min(room, growth - self._opening)
        for _one in range(min(wanted, room)):
            self._opening += 1
            asyncio.ensure_future(self._open_one())

    async def _open_one(self):
        now = clock.now()
        try:
            conn = await self._link.connect(self.target, CONNECT_S)
        except exceptions.TargetRefused as exc:
            self._opening -= 1
            self._refused(exc)
            return
        except exceptions.TargetSilent as exc:
            self._opening -= 1
            self._health.record_failure(self.target.name, now)
            self._fail_waiting(exc)
            return
        self._opening -= 1
        self._limited = 0
        self.open += 1
        self._health.record_contact(self.target.name, clock.now())
        self.return_connection(PooledConnection(conn, lent_at=clock.now()))
        self._open_more()

    def _refused(self, exc):
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
            pause_s = min(MOST_LIMIT_PAUSE_S, LIMIT_PAUSE_S * 2**self._limited)
            self._limited += 1
            self._limited_until = now + pause_s
            loop = asyncio.get_running_loop()
            loop.call_later(pause_s, self._try_again)
        if not self.open:
            self._fail_impatient(exc)

    def _try_again(self):
        """Open connections after the limit was met.

        A timer may run a little before its time, so the time is not
        looked at again.
        """
        self._limited_until = 0.0
        self._open_more()

    def _fail_impatient(self, exc):
        """Send away who may be served by another target."""
        impatient = [one for one in self._waiting if not one.patient]
        for waiter in impatient:
            self._waiting.remove(waiter)
            if not waiter.fut.done():
                waiter.fut.set_exception(exc)

    def _fail_waiting(self, exc):
        waiting, self._waiting = self._waiting, collections.deque()
        for waiter in waiting:
            if not waiter.fut.done():
                waiter.fut.set_exception(exc)

    def sweep(self, keep):
        """Close idle connections beyond `keep`, and dead ones."""
        now = clock.now()
        idle_s = SPARE_IDLE_S if keep else SCARCE_IDLE_S
        kept = []
        for lent in self._idle:
            spare = self.open > keep and now - lent.idle_at > idle_s
            if lent.conn.lost or spare:
                self.open -= 1
                lent.conn.close()
            else:
                kept.append(lent)
        self._idle = kept

    def close(self):
        """Close the idle connections; lent ones close when returned."""
        self._closed = True
        for lent in self._idle:
            lent.conn.close()
        self.open -= len(self._idle)
        self._idle = []
        self._fail_waiting(exceptions.NotRunError("the target has left"))


class TargetPoolsController:
    """The pools of all targets.

    Parameters
    ----------
    me : Member
        This instance.
    link : SessionTargetLink
        Opens connections.
    health : HealthController
        Is told of what happens.
    directory : DirectoryController
        Knows targets and limits.
    leaders : LeadersController
        Knows the instances.
    """

    def __init__(self, me, link, health, directory, leaders):
        self._me = me
        self._ranked_for = None
        self._ranked = {}
        self._link = link
        self._leaders = leaders
        self._health = health
        self._directory = directory
        self._pools = {}

    def _limit(self, group):
        limits = self._directory.table.groups.get(group)
        return limits.connections if limits else 1

    def hosts_of(self, target):
        """Return the instances to ask for a target's connections.

        Those that keep them come first; empty where each instance opens
        its own, see `policy.loans`.
        """
        members = self._leaders.members
        if not loans.is_lent(self._limit(target.group), len(members)):
            return []
        if self._ranked_for is not members:
            self._ranked_for = members
            self._ranked = {}
        key = target.name, target.data_centre
        if key not in self._ranked:
            self._ranked[key] = loans.rank_hosts(target, members.values())
        return self._ranked[key]

    def max_idle(self, target):
        """Return how many idle connections to a target are kept.

        Half of what may be open: when all instances lose power, targets
        count the connections of the dead ones for seconds, and the new
        ones need the other half.
        """
        limit = self._limit(target.group)
        hosts = self.hosts_of(target)
        if hosts:
            if self._me not in hosts[: loans.HOSTS]:
                return 0
            return max(1, loans.connections_of_host(limit) // 2)
        share = limit // max(1, len(self._leaders.members))
        return max(1, share // 2) if share else 0

    def max_open(self, target):
        """Return how many connections to a target may be open.

        Demand is uneven, so an instance may open more than its share
        while others use less; the target's own limit refuses the rest.
        """
        limit = self._limit(target.group)
        if self.hosts_of(target):
            return loans.connections_of_host(limit)
        instances = max(1, len(self._leaders.members))
        return max(1, min(limit, 3 * limit // instances))

    def pool(self, target):
        """Return the pool of a target."""
        known = self._pools.get(target.name)
        same = known is not None and (
            known.target.address == target.address
            and known.target.born_ms == target.born_ms
        )
        if same:
            return known
        if known is not None:
            known.close()
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
        """Close what is not needed, and pools of targets that are gone."""
        for name, pool in list(self._pools.items()):
            if name not in self._directory.targets:
                del self._pools[name]
                pool.close()
                continue
            pool.sweep(self.max_idle(pool.target))

    def close(self):
        """Close every pool."""
        for pool in self._pools.values():
            pool.close()
