"""Shared connections on which one session runs statements."""

import asyncio
import urllib.parse

import attrs

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.policy import loans
from balsamhinge.policy import statements

__all__ = [
    "LeaseLost",
    "LocalConnection",
    "RemoteConnection",
    "SessionStateNotApplied",
    "borrow_error",
    "shared_prepared_name",
]

# Applying session state runs no statement on data, so a short limit
# suffices.
SESSION_STATE_TIMEOUT_S = 0.5


class LeaseLost(exceptions.NotRunError):
    """The primary's lease has lapsed; nothing was sent."""


class SessionStateNotApplied(exceptions.NotRunError):
    """The session's values could not be set on a connection."""


@attrs.define(eq=False)
class LocalConnection:
    """A pooled connection of this instance, in use by one session.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    pool : TargetPool
        Pool to which the connection returns.
    pooled : PooledConnection
        The connection and the session state set on it.
    leadership : Leadership or None
        Leadership under which the target is used as the primary; None if
        it is used as a replica.
    state : State
        Transaction state after the last statement of the borrower, if the
        connection is lent to another instance.
    released : bool
        Whether the connection has returned to the pool or was closed.
    workload : Workload
        Whose statements run on the connection.
    gate : TargetGate or None
        Admission queue of the target, if this instance is its host.
    permit : Permit or None
        Permit to run the next statement.
    sent_at : float
        Time when the latest statement was sent, in loop seconds.
    """

    fleet: object
    pool: object
    pooled: object
    leadership: object = None
    state: statements.State = statements.State.IDLE
    released: bool = False
    workload: object = None
    gate: object = None
    permit: object = None
    sent_at: float = 0.0

    @property
    def target(self):
        """`ServingTarget` to which the connection is open."""
        return self.pool.target

    @property
    def outstanding(self):
        """Number of orders without an answer."""
        return self.pooled.conn.outstanding

    async def reserve(self):
        """Do nothing; only a `RemoteConnection` has to be reserved."""

    async def admit(self, deadline, kind=""):
        """Wait for a permit to run a statement, if none is held.

        The statement goes before those that hold no connection. The check
        of the lease has to follow.

        Parameters
        ----------
        deadline : float
            Loop seconds when the answer is due.
        kind : str
            Kind of statement.

        Raises
        ------
        NotRunError
            If there is no permit in time, or the connection was released
            meanwhile.
        """
        if self.gate is None or self.permit is not None:
            return
        permit = await self.gate.enter(
            self.workload, deadline, continuing=True, kind=kind
        )
        if self.released:
            permit.release(completed=False)
            raise exceptions.NotRunError("the connection was released")
        self.permit = permit

    def waited_s(self, started_at):
        """Return how long the latest statement waited before it was sent.

        Parameters
        ----------
        started_at : float
            Loop seconds of its arrival.

        Returns
        -------
        float
            Seconds; 0 without an admission queue.
        """
        return 0.0 if self.gate is None else self.sent_at - started_at

    def end_permit(self, completed=False, refusal=None):
        """End the permit, if one is held; see `Permit.release`."""
        permit, self.permit = self.permit, None
        if permit is not None:
            permit.release(completed, refusal)

    def clear_prepared(self):
        """Discard the record of statements prepared on the connection.

        Called when the target no longer knows one of them.
        """
        self.pooled.prepared.clear()

    async def apply_session_state(self, values, prepared, deadline):
        """Set the session's values and prepare the statement to execute.

        Parameters
        ----------
        values : dict of str to str
            Values of the session, by name.
        prepared : Prepare or None
            Prepared statement that the next order executes.
        deadline : float
            Latest time to finish, in loop seconds.

        Raises
        ------
        SessionStateNotApplied
            If the target rejected them or did not answer in time. The
            caller's statement was not sent.
        """
        pooled = self.pooled
        needed = setup_statements(pooled, values, prepared)
        if not needed:
            return
        futures = []
        try:
            for statement in needed:
                futures.append(self.send(statements.Order(statement)))
            deadline = min(deadline, clock.now() + SESSION_STATE_TIMEOUT_S)
            async with asyncio.timeout_at(deadline):
                answers = [await asyncio.shield(fut) for fut in futures]
        except (TimeoutError, exceptions.TargetError) as exc:
            raise SessionStateNotApplied(
                "the session's values were not taken"
            ) from exc
        if any(answer.problem for answer in answers):
            raise SessionStateNotApplied(
                "the target refused the session's values"
            )
        pooled.values = dict(values)
        if isinstance(needed[0], statements.Reset):
            pooled.prepared = set()
        if prepared is not None:
            pooled.prepared.add(shared_prepared_name(prepared))

    async def execute(self, order, deadline):
        """Send an order and return the target's `Answer`.

        Parameters
        ----------
        order : Order
            Statement to run.
        deadline : float
            Latest time of the answer, in loop seconds.

        Raises
        ------
        ConnectionUnavailable
            If the order was not sent.
        OutcomeUnknown
            If no answer arrived in time; the statement may have run.
        """
        uses_slot = loans.uses_slot(order.statement)
        if self.permit is not None and uses_slot:
            self.permit.record_sent(loans.statement_kind(order.statement))
        self.sent_at = clock.now()
        try:
            fut = self.send(order)
            answer = await self._await_answer(fut, order, deadline)
            self.end_permit(uses_slot, answer.problem)
            return answer
        finally:
            self.end_permit()

    async def _await_answer(self, fut, order, deadline):
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(fut)
        except TimeoutError as exc:
            name = self.target.name
            self.fleet.health.record_abandoned(name, order, clock.now())
            raise exceptions.OutcomeUnknown("no answer in time") from exc

    def send(self, order):
        """Send an order and return a future of its `Answer`."""
        fleet = self.fleet
        asked_at = fleet.dependencies.boot_time()
        leased = has_lease(fleet, self.leadership)
        fut = self.pooled.conn.send(order)
        name = self.target.name
        fleet.health.record_sent(name, order, clock.now())

        def record_result(done):
            if done.cancelled() or done.exception() is not None:
                fleet.health.record_abandoned(name, order, clock.now())
                if not self.released:
                    fleet.health.record_failure(name, clock.now())
                return
            answer = done.result()
            self.pool.answered_at = clock.now()
            fleet.health.record_answer(name, order, answer, clock.now())
            if leased and answer.position is not None:
                fleet.leaders.record_position(
                    self.leadership, asked_at, answer.position
                )

        fut.add_done_callback(record_result)
        return fut

    def release(self, usable=True):
        """Return the connection to its pool, or close it if not usable."""
        if self.released:
            return
        self.released = True
        self.end_permit()
        if self.leadership is not None:
            self.fleet.leaders.end_work(self.leadership)
        if usable:
            self.pool.return_connection(self.pooled)
        else:
            self.pool.discard(self.pooled)


@attrs.define(eq=False)
class RemoteConnection:
    """A connection that another instance, the connection host, lends.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    target : ServingTarget
        Target to which the connection is open.
    host : Member
        The connection host.
    borrow : BorrowRequest
        Request that is sent along with the first statement.
    leadership : Leadership or None
        Leadership under which the target is used as the primary; None if
        it is used as a replica.
    loan : int
        Number of the loan at the host; 0 while nothing is borrowed.
    outstanding : int
        Number of orders without an answer.
    released : bool
        Whether the session no longer uses the connection.
    """

    fleet: object
    target: object
    host: object
    borrow: object
    leadership: object = None
    loan: int = 0
    outstanding: int = 0
    released: bool = False
    _values: dict = attrs.Factory(dict)
    _prepared: object = None

    async def reserve(self):
        """Borrow the connection before a statement is sent.

        Used for writes outside transactions. If such a write were sent
        along with the borrow request and the host failed, its outcome
        would be unknown.

        Raises
        ------
        NotRunError
            If the host does not answer or lends no connection.
        """
        self.loan = await self.fleet.connection_loans.borrow(
            self.host, self.borrow
        )

    async def admit(self, deadline, kind=""):
        """Do nothing; the host waits for a permit."""

    async def apply_session_state(self, values, prepared, deadline):
        """Store the session state, which is sent with the next order."""
        self._values = dict(values)
        self._prepared = prepared

    def clear_prepared(self):
        """Do nothing; the host does so for its own connection."""

    async def execute(self, order, deadline):
        """Have the host run an order and return the target's `Answer`.

        Parameters
        ----------
        order : Order
            Statement to run.
        deadline : float
            Latest time of the answer, in loop seconds.

        Raises
        ------
        NotRunError
            If nothing was sent to the target.
        OutcomeUnknown
            If no answer arrived in time; the statement may have run.
        """
        patience_s = deadline - clock.now()
        if patience_s <= 0:
            raise exceptions.NotRunError("no time is left")
        name, fields = loans.encode_statement(order.statement)
        request = loans.RunRequest(
            loan=self.loan,
            borrow=None if self.loan else self.borrow,
            statement=name,
            fields=fields,
            request_id=order.request_id,
            needed=order.needed,
            values=self._values,
            prepared=self._prepared,
            patience_s=patience_s,
            borrower=self.borrow.borrower if self.loan else 0,
        )
        asked_at = self.fleet.dependencies.boot_time()
        leased = has_lease(self.fleet, self.leadership)
        health, target = self.fleet.health, self.target.name
        sent_at = clock.now()
        # A wait in the host's queue says nothing about the target.
        health.record_sent(target, order, sent_at + self._reported_wait_s())
        self.outstanding += 1
        answer = None
        try:
            answer, waited_s = await self._run(request, patience_s)
            health.record_sent(target, order, sent_at + waited_s)
        except exceptions.Overloaded:
            if self.fleet.target_pools.is_ordered:
                health.withdraw(target, order)
            raise
        finally:
            self.outstanding -= 1
            if answer is None:
                health.record_abandoned(target, order, clock.now())
        health.record_answer(target, order, answer, clock.now())
        if leased and answer.position is not None:
            self.fleet.leaders.record_position(
                self.leadership, asked_at, answer.position
            )
        return answer

    async def _run(self, request, patience_s):
        try:
            reply = await self.fleet.dependencies.peers.run(
                self.host, request, patience_s
            )
        except exceptions.PeerUnavailable as exc:
            self.fleet.connection_loans.avoid_host(self.host)
            detail = f"no answer of host {self.host.name}"
            if not exc.sent:
                raise exceptions.NotRunError(detail) from exc
            raise exceptions.OutcomeUnknown(detail) from exc
        self.loan = reply.loan
        self.fleet.connection_loans.record_reply(
            self.host, self.target.name, reply
        )
        if reply.answer is not None:
            return reply.answer, reply.waited_s
        if reply.may_have_run:
            raise exceptions.OutcomeUnknown(
                f"host {self.host.name}: {reply.detail}"
            )
        raise borrow_error(self.host, reply)

    def _reported_wait_s(self):
        """Return the wait that the host has recently reported, or 0."""
        if self.loan:
            return 0.0
        return self.fleet.connection_loans.reported_wait_s(
            self.target.name, self.borrow.workload
        )

    def release(self, usable=True):
        """Return the loan unless the host has ended it."""
        if self.released:
            return
        self.released = True
        if self.leadership is not None:
            self.fleet.leaders.end_work(self.leadership)
        if self.loan:
            self.fleet.connection_loans.return_loan(
                self.host, self.loan, usable
            )


def has_lease(fleet, leadership):
    """Return whether a leadership is known to be current now.

    A transaction may go on at an old primary while it is not. Positions of
    that primary say nothing about the group then.
    """
    return leadership is not None and fleet.leaders.is_valid(leadership)


def borrow_error(host, reply):
    """Return the exception for a host's reply without a loan."""
    exception_class = exceptions.NotRunError
    if reply.overloaded:
        exception_class = exceptions.Overloaded
    return exception_class(f"host {host.name}: {reply.detail}")


def shared_prepared_name(prepared):
    """Return the name of a prepared statement on shared connections.

    The name depends on the statement's content only, so sessions that
    prepare equal statements share one. It is one word, and statements of
    different content have different names.
    """
    shape = urllib.parse.quote(prepared.shape, "", errors="surrogateescape")
    return f"{prepared.access.value[0]}_{shape}"


def setup_statements(pooled, values, prepared):
    """Return the statements that apply a session's state to a connection."""
    setup = []
    current, prepared_names = pooled.values, pooled.prepared
    if set(current) - set(values):
        setup.append(statements.Reset())
        current, prepared_names = {}, set()
    setup += [
        statements.Assign(name, value)
        for name, value in values.items()
        if current.get(name) != value
    ]
    if (
        prepared is not None
        and shared_prepared_name(prepared) not in prepared_names
    ):
        setup.append(
            statements.Prepare(
                shared_prepared_name(prepared), prepared.access, prepared.shape
            )
        )
    return setup
