"""One caller's session: its state, values, statements, transaction."""

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import positions
from balsamhinge.policy import statements
from balsamhinge.sessions import connections
from balsamhinge.sessions import dispatch

__all__ = ["Session"]

# Pause before a target that turned work away is asked again.
BUSY_PAUSE_S = 0.02

Access = statements.Access
Answer = statements.Answer
Problem = statements.Problem
State = statements.State

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class Transaction:
    """An open transaction of a session.

    Parameters
    ----------
    read_only : bool
        Whether it was opened for reading.
    route : Route
        As it was when the transaction began.
    conn : LocalConnection or None
        Its connection, from its first statement on.
    wrote : bool
        Whether a write was sent.
    used_at : float
        Loop seconds of its last statement.
    """

    read_only: bool
    route: object
    conn: object = None
    wrote: bool = False
    used_at: float = 0.0


class Session:
    """A caller's session with one database.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    database : str
        What the caller named.
    """

    def __init__(self, fleet, database):
        self._fleet = fleet
        self.database = database
        self.state = State.IDLE
        self._values = {}
        self._prepared = {}
        self._transaction = None
        self._dispatcher = dispatch.Dispatcher(fleet)
        # What this session has committed: its reads must see it.
        self._seen = positions.ORIGIN
        # Whether a commit of this session is in doubt.
        self._in_doubt = False

    @property
    def route(self):
        """Return the `Route` in force, or None."""
        return self._fleet.directory.table.routes.get(self.database)

    def close(self):
        """End the session; an open transaction is undone."""
        self._end_transaction(usable=False)

    def transaction_idle_s(self, now):
        """Return how long an open transaction has been idle."""
        if self._transaction is None:
            return 0.0
        return now - self._transaction.used_at

    async def answer(self, request_id, statement):
        """Return the `Answer` to one request of the caller."""
        if self.state is State.FAILED:
            return self._answer_failed(statement)
        match statement:
            case statements.Begin(read_only):
                return self._begin(read_only)
            case statements.Commit():
                return await self._commit(request_id, statement)
            case statements.Rollback():
                self._roll_back()
                return self._done()
            case statements.Assign(name, value):
                self._values[name] = value
                return self._done()
            case statements.Prepare(name):
                self._prepared[name] = statement
                return self._done()
            case statements.Deallocate(name):
                return self._deallocate(name)
            case statements.Execute(name):
                prepared = self._prepared.get(name)
                if prepared is None:
                    return self._fail(
                        Problem.UNKNOWN_NAME, f"no statement {name}"
                    )
                return await self._run(request_id, statement, prepared)
            case statements.Direct():
                return await self._run(request_id, statement, None)
        raise TypeError(f"not a caller's statement: {statement!r}")

    def _done(self):
        return Answer(state=self.state)

    def _fail(self, problem, detail):
        """Return a refusal; it fails an open transaction."""
        if self.state is State.OPEN:
            self.state = State.FAILED
            self._end_transaction(usable=True)
        return Answer.refusal(problem, detail, self.state)

    def _answer_failed(self, statement):
        match statement:
            case statements.Rollback():
                self.state = State.IDLE
                return self._done()
            case statements.Commit():
                self.state = State.IDLE
                return Answer.refusal(
                    Problem.ABORTED, "the transaction had failed"
                )
        return Answer.refusal(
            Problem.MALFORMED, "the transaction has failed", self.state
        )

    def _begin(self, read_only):
        if self.state is not State.IDLE:
            return self._fail(Problem.MALFORMED, "a transaction is open")
        route = self.route
        if route is None:
            return Answer.refusal(Problem.NO_DATABASE, self.database)
        self._transaction = Transaction(read_only, route, used_at=clock.now())
        self.state = State.OPEN
        return self._done()

    def _deallocate(self, name):
        if self._prepared.pop(name, None) is None:
            return self._fail(Problem.UNKNOWN_NAME, f"no statement {name}")
        return self._done()

    def _roll_back(self):
        """Undo an open transaction; the connection is used again after."""
        self.state = State.IDLE
        self._end_transaction(usable=True)

    def _end_transaction(self, usable):
        transaction, self._transaction = self._transaction, None
        if transaction is None or transaction.conn is None:
            return
        conn = transaction.conn
        if not usable or conn.outstanding:
            conn.release(usable=False)
            return
        self._fleet.spawn(self._undo(conn))

    async def _undo(self, conn):
        """Have the target undo a transaction, then give its place back."""
        order = statements.Order(statements.Rollback())
        try:
            answer = await conn.execute(
                order, clock.now() + connections.SESSION_STATE_TIMEOUT_S
            )
            conn.release(usable=answer.state is State.IDLE)
        except exceptions.TargetError as exc:
            event(
                log.info,
                "undo_failed",
                target=conn.target.name,
                error=exc,
            )
            conn.release(usable=False)

    def abort_transaction(self, reason):
        """End an idle transaction; its next statement will be refused."""
        if self.state is State.OPEN:
            event(log.info, "transaction_ended", reason=reason)
            self.state = State.FAILED
            self._end_transaction(usable=True)

    # Statements that targets run.

    def _order(self, request_id, statement, prepared, needed=None):
        if prepared is not None:
            statement = attrs.evolve(
                statement, name=connections.shared_prepared_name(prepared)
            )
        return statements.Order(statement, request_id, needed)

    async def _run(self, request_id, statement, prepared):
        access = prepared.access if prepared else statement.access
        if self._transaction is not None:
            return await self._run_inside(
                request_id, statement, prepared, access
            )
        route = self.route
        if route is None:
            return Answer.refusal(Problem.NO_DATABASE, self.database)
        ask = self._ask(request_id, route, access is Access.WRITE)
        if access is Access.WRITE:
            return await self._write_once(ask, statement, prepared)
        return await self._read_once(ask, statement, prepared)

    def _ask(self, request_id, route, at_primary):
        return dispatch.DispatchRequest(
            request_id=request_id,
            route=route,
            at_primary=at_primary or self._in_doubt,
            seen=self._seen,
            until=clock.now() + route.timeout_s,
        )

    async def _read_once(self, ask, statement, prepared):
        """Run a read of its own; it may be tried at several targets."""

        async def attempt(conn, needed):
            await conn.apply_session_state(self._values, prepared, ask.until)
            self._check_lease(conn)
            order = self._order(ask.request_id, statement, prepared, needed)
            return await conn.execute(order, ask.until)

        return await self._dispatcher.read(ask, attempt)

    def _check_lease(self, conn):
        """Check once more that the target may be used as the primary.

        Nothing is awaited between this and the sending of the order.
        """
        leadership = conn.leadership
        if leadership is None:
            return
        if not self._fleet.leaders.holds(leadership):
            raise connections.LeaseLost("the primary's lease has lapsed")

    async def _write_once(self, ask, statement, prepared):
        """Run a write of its own; sent once, unless it surely did not run."""
        while True:
            conn = await self._dispatcher.primary(ask)
            if isinstance(conn, Answer):
                return conn
            try:
                answer = await self._try_write(conn, ask, statement, prepared)
            except exceptions.NotRunError as exc:
                conn.release(usable=False)
                ask.note(conn.target.name, exc)
                if not await self._dispatcher.again(ask):
                    return self._dispatcher.refusal(ask)
                continue
            except exceptions.AnswerLost as exc:
                conn.release(usable=False)
                self._in_doubt = True
                return self._in_doubt_answer(ask, conn, exc)
            conn.release(usable=answer.state is State.IDLE)
            if answer.problem in dispatch.NOT_RUN:
                ask.note(conn.target.name, answer.problem.value)
                if await self._dispatcher.again(ask):
                    continue
            return answer

    async def _try_write(self, conn, ask, statement, prepared):
        await conn.reserve()
        await conn.apply_session_state(self._values, prepared, ask.until)
        self._check_lease(conn)
        order = self._order(ask.request_id, statement, prepared)
        answer = await conn.execute(order, ask.until)
        if answer.problem is None:
            await self._accept(conn, answer, ask.until)
        return answer

    async def _accept(self, conn, answer, until):
        """Take in a commit, once it is sure to be of the group's log.

        Raises
        ------
        AnswerLost
            If another primary may have taken over before it.
        """
        leaders = self._fleet.leaders
        if not await leaders.outlasts(conn.leadership, until):
            raise exceptions.AnswerLost("the group may have another primary")
        if answer.position is not None:
            self._seen = max(self._seen, answer.position)

    def _in_doubt_answer(self, ask, conn, exc):
        event(
            log.notice,
            "write_in_doubt",
            request_id=ask.request_id,
            group=ask.route.group,
            target=conn.target.name,
            waited_s=ask.waited_s,
            error=exc,
        )
        return Answer.refusal(
            Problem.IN_DOUBT,
            f"{conn.target.name}: {exc}",
        )

    # Transactions.

    async def _run_inside(self, request_id, statement, prepared, access):
        transaction = self._transaction
        transaction.used_at = clock.now()
        route = transaction.route
        ask = self._ask(request_id, route, not transaction.read_only)
        if transaction.conn is None:
            refused = await self._open(transaction, ask)
            if refused is not None:
                return self._fail(refused.problem, refused.detail)
        conn = transaction.conn
        if self._has_left(conn):
            return self._aborted(ask, "the group gets another primary")
        try:
            await conn.apply_session_state(self._values, prepared, ask.until)
            if access is Access.WRITE:
                transaction.wrote = True
            order = self._order(request_id, statement, prepared)
            answer = await self._ask_inside(conn, order, ask)
        except (exceptions.TargetError, exceptions.NotRunError) as exc:
            return self._aborted(ask, exc)
        transaction.used_at = clock.now()
        if self._transaction is not transaction:
            return Answer.refusal(
                Problem.ABORTED, "the transaction was ended", self.state
            )
        if answer.problem is not None:
            event(
                log.info,
                "statement_failed",
                request_id=request_id,
                target=conn.target.name,
                problem=answer.problem.value,
                detail=answer.detail,
            )
            return self._fail(answer.problem, answer.detail)
        if answer.state is not State.OPEN:
            return self._aborted(ask, "the target left the transaction")
        return answer

    def _has_left(self, conn):
        leadership = conn.leadership
        if leadership is None:
            return False
        return self._fleet.leaders.has_left(leadership)

    async def _ask_inside(self, conn, order, ask):
        """Ask within a transaction; what was turned away is asked again."""
        while True:
            answer = await conn.execute(order, ask.until)
            again = (
                answer.problem is Problem.BUSY
                and answer.state is State.OPEN
                and clock.now() + BUSY_PAUSE_S < ask.until
            )
            if not again:
                return answer
            await clock.pause(BUSY_PAUSE_S)

    def _aborted(self, ask, exc):
        """Fail the transaction: nothing of it was committed."""
        transaction, self._transaction = self._transaction, None
        target = ""
        if transaction is not None and transaction.conn is not None:
            target = transaction.conn.target.name
            transaction.conn.release(usable=False)
        self.state = State.FAILED
        event(
            log.notice,
            "transaction_aborted",
            request_id=ask.request_id,
            group=ask.route.group,
            target=target,
            waited_s=ask.waited_s,
            error=exc,
        )
        return Answer.refusal(Problem.ABORTED, str(exc), self.state)

    async def _open(self, transaction, ask):
        """Open the transaction at a target; return a refusal or None."""

        async def attempt(conn, needed):
            await conn.apply_session_state(self._values, None, ask.until)
            self._check_lease(conn)
            begin = statements.Begin(transaction.read_only)
            order = statements.Order(begin, "", needed)
            return await conn.execute(order, ask.until)

        if transaction.read_only:
            answer = await self._dispatcher.read(ask, attempt, keep=True)
            if isinstance(answer, Answer):
                return answer
            transaction.conn = answer
            return None
        while True:
            conn = await self._dispatcher.primary(ask)
            if isinstance(conn, Answer):
                return conn
            try:
                answer = await attempt(conn, None)
            except (exceptions.NotRunError, exceptions.TargetError) as exc:
                conn.release(usable=False)
                ask.note(conn.target.name, exc)
            else:
                if answer.problem is None and answer.state is State.OPEN:
                    transaction.conn = conn
                    return None
                conn.release(usable=False)
                ask.note(conn.target.name, answer.problem)
            if not await self._dispatcher.again(ask):
                return self._dispatcher.refusal(ask)

    async def _commit(self, request_id, statement):
        transaction = self._transaction
        if transaction is None:
            return Answer.refusal(
                Problem.MALFORMED, "no transaction is open", self.state
            )
        transaction.used_at = clock.now()
        ask = self._ask(
            request_id, transaction.route, not transaction.read_only
        )
        if transaction.conn is None:
            refused = await self._open(transaction, ask)
            if refused is not None:
                return self._fail(refused.problem, refused.detail)
        conn = transaction.conn
        order = statements.Order(statement, request_id)
        sent = False
        try:
            await conn.apply_session_state(self._values, None, ask.until)
            if transaction.wrote and not await self._fleet.leaders.outlasts(
                conn.leadership, ask.until
            ):
                return self._aborted(ask, "the primary's lease has lapsed")
            sent = True
            answer = await self._ask_inside(conn, order, ask)
            if answer.problem is None and transaction.wrote:
                await self._accept(conn, answer, ask.until)
        except (exceptions.NotRunError, exceptions.TargetError) as exc:
            if not sent or not transaction.wrote:
                return self._aborted(ask, exc)
            self._transaction = None
            conn.release(usable=False)
            self.state = State.IDLE
            self._in_doubt = True
            return self._in_doubt_answer(ask, conn, exc)
        if answer.problem is None and answer.state is State.IDLE:
            self._transaction = None
            self.state = State.IDLE
            conn.release()
            return answer
        self._roll_back()
        problem = answer.problem or Problem.ABORTED
        return Answer.refusal(problem, answer.detail, self.state)
