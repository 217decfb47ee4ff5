"""Runs orders of one session on connections that others use too."""

import asyncio

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

# The longest wait for a target to take over session values: it runs
# nothing for them.
SESSION_STATE_TIMEOUT_S = 0.5


class LeaseLost(exceptions.NotRunError):
    """The primary may not be used any more; nothing was sent."""


class SessionStateNotApplied(exceptions.NotRunError):
    """A connection could not be given the session's values."""


@attrs.define(eq=False)
class LocalConnection:
    """A connection that is lent to one statement or transaction.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    pool : TargetPool
        Where the connection comes from.
    lent : Lent
        The connection.
    leadership : Leadership or None
        Under which the target is used as the primary, if it is.
    state : State
        Where its connection stood after the last statement of another
        instance.
    """

    fleet: object
    pool: object
    lent: object
    leadership: object = None
    state: statements.State = statements.State.IDLE
    released: bool = False

    @property
    def target(self):
        """Return the `ServingTarget` that the connection leads to."""
        return self.pool.target

    @property
    def outstanding(self):
        """Return how many orders have no answer yet."""
        return self.lent.conn.outstanding

    async def reserve(self):
        """Do nothing: the connection is there; see `RemoteConnection`."""

    def clear_prepared(self):
        """Prepare statements anew: the target has lost them."""
        self.lent.prepared.clear()

    async def apply_session_state(self, values, prepared, until):
        """Give the connection the session's values and one statement.

        Parameters
        ----------
        values : dict of str to str
            The session's values.
        prepared : Prepare or None
            What the next order executes.
        until : float
            Loop seconds until which it may take.

        Raises
        ------
        SessionStateNotApplied
            If the target did not take them; the order was not sent.
        """
        lent = self.lent
        needed = setup_statements(lent, values, prepared)
        if not needed:
            return
        futures = []
        try:
            for statement in needed:
                futures.append(self.send(statements.Order(statement)))
            until = min(until, clock.now() + SESSION_STATE_TIMEOUT_S)
            async with asyncio.timeout_at(until):
                answers = [await asyncio.shield(fut) for fut in futures]
        except (TimeoutError, exceptions.TargetError) as exc:
            raise SessionStateNotApplied(
                "the session's values were not taken"
            ) from exc
        if any(answer.problem for answer in answers):
            raise SessionStateNotApplied(
                "the target refused the session's values"
            )
        lent.values = dict(values)
        if isinstance(needed[0], statements.Reset):
            lent.prepared = set()
        if prepared is not None:
            lent.prepared.add(shared_prepared_name(prepared))

    async def execute(self, order, until):
        """Send an order and return the target's `Answer`.

        Raises
        ------
        ConnectionUnavailable
            Nothing was sent.
        AnswerLost
            No answer came; the order may have run.
        """
        fut = self.send(order)
        try:
            async with asyncio.timeout_at(until):
                return await asyncio.shield(fut)
        except TimeoutError as exc:
            name = self.target.name
            self.fleet.health.record_abandoned(name, order, clock.now())
            raise exceptions.AnswerLost("no answer in time") from exc

    def send(self, order):
        """Send an order; return a future of its `Answer`."""
        fleet = self.fleet
        asked_at = fleet.links.boot_time()
        fut = self.lent.conn.send(order)
        name = self.target.name
        fleet.health.record_sent(name, order, clock.now())

        def done(ended):
            if ended.cancelled() or ended.exception() is not None:
                fleet.health.record_abandoned(name, order, clock.now())
                if not self.released:
                    fleet.health.record_failure(name, clock.now())
                return
            answer = ended.result()
            fleet.health.record_answer(name, order, answer, clock.now())
            if self.leadership is not None and answer.position is not None:
                fleet.leaders.sample(
                    self.leadership, asked_at, answer.position
                )

        fut.add_done_callback(done)
        return fut

    def release(self, usable=True):
        """Give the connection back, or drop it."""
        if self.released:
            return
        self.released = True
        if self.leadership is not None:
            self.fleet.leaders.leave(self.leadership)
        if usable:
            self.pool.give_back(self.lent)
        else:
            self.pool.drop(self.lent)


@attrs.define(eq=False)
class RemoteConnection:
    """A connection that a host runs one statement or transaction on.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    target : ServingTarget
        Where the connection leads.
    host : Member
        The instance that keeps it.
    borrow : BorrowRequest
        What is borrowed with the first statement.
    leadership : Leadership or None
        Under which the target is used as the primary, if it is.
    loan : int
        The connection's number at the host; 0 if there is none now.
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
        """Borrow the connection before anything is sent.

        Other statements borrow it as they are sent. One that must not run
        twice would be in doubt if the host died meanwhile.

        Raises
        ------
        NotRunError
        """
        self.loan = await self.fleet.connection_loans.borrow(
            self.host, self.borrow
        )

    async def apply_session_state(self, values, prepared, until):
        """Have the host align its connection before the next order."""
        self._values = dict(values)
        self._prepared = prepared

    def clear_prepared(self):
        """Do nothing: the host knows what its connection lost."""

    async def execute(self, order, until):
        """Have the host run an order; return the target's `Answer`.

        Raises
        ------
        NotRunError
            Nothing was sent to the target.
        AnswerLost
            No answer came; the order may have run.
        """
        patience_s = until - clock.now()
        if patience_s <= 0:
            raise exceptions.NotRunError("no time is left")
        name, fields = loans.pack(order.statement)
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
        )
        asked_at = self.fleet.links.boot_time()
        health, target = self.fleet.health, self.target.name
        health.record_sent(target, order, clock.now())
        self.outstanding += 1
        answer = None
        try:
            answer = await self._run(request, patience_s)
        finally:
            self.outstanding -= 1
            if answer is None:
                health.record_abandoned(target, order, clock.now())
        health.record_answer(target, order, answer, clock.now())
        if self.leadership is not None and answer.position is not None:
            self.fleet.leaders.sample(
                self.leadership, asked_at, answer.position
            )
        return answer

    async def _run(self, request, patience_s):
        try:
            reply = await self.fleet.links.peers.run(
                self.host, request, patience_s
            )
        except exceptions.PeerUnavailable as exc:
            self.fleet.connection_loans.avoid_host(self.host)
            raise exceptions.AnswerLost(
                f"no answer of host {self.host.name}"
            ) from exc
        self.loan = reply.loan
        if reply.leaving:
            self.fleet.connection_loans.avoid_host(self.host, leaving=True)
        if reply.answer is not None:
            return reply.answer
        if reply.may_have_run:
            raise exceptions.AnswerLost(
                f"host {self.host.name}: {reply.detail}"
            )
        raise borrow_error(self.host, reply)

    def release(self, usable=True):
        """End the loan, where the host has not done so by itself."""
        if self.released:
            return
        self.released = True
        if self.leadership is not None:
            self.fleet.leaders.leave(self.leadership)
        if self.loan:
            self.fleet.connection_loans.return_loan(
                self.host, self.loan, usable
            )


def borrow_error(host, reply):
    """Return the error that says why a host lent nothing."""
    kind = exceptions.NotRunError
    if reply.overloaded:
        kind = exceptions.Overloaded
    return kind(f"host {host.name}: {reply.detail}")


def shared_prepared_name(prepared):
    """Return the name of a prepared statement on shared connections.

    It follows from what the statement does, so that all sessions that
    prepared the same one share it.
    """
    return f"{prepared.access.value[0]}_{prepared.shape}".replace(" ", "_")


def setup_statements(lent, values, prepared):
    """Return the statements that give a connection a session's values."""
    found = []
    held, known = lent.values, lent.prepared
    if set(held) - set(values):
        found.append(statements.Reset())
        held, known = {}, set()
    found += [
        statements.Assign(name, value)
        for name, value in values.items()
        if held.get(name) != value
    ]
    if prepared is not None and shared_prepared_name(prepared) not in known:
        found.append(
            statements.Prepare(
                shared_prepared_name(prepared), prepared.access, prepared.shape
            )
        )
    return found
