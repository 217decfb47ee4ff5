"""A caller's session: settings, prepared statements, transaction."""

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers.customers import controller as customers
from balsamhinge.controllers import customerusage
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import positions
from balsamhinge.policy import statements
from balsamhinge.policy import workload
from balsamhinge.sessions import connections
from balsamhinge.sessions import dispatch

__all__ = ["Session"]

# Pause before a statement of a transaction is retried at a busy target.
BUSY_RETRY_PAUSE_S = 0.02
# Detail of refusals during a shutdown.
STOPPING = "the instance is stopping"

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
        Whether the transaction only reads.
    route : Route
        Route of the database when the transaction began.
    conn : LocalConnection, RemoteConnection or None
        Connection of the transaction; None before the first statement.
    wrote : bool
        Whether a write was sent.
    last_used_at : float
        Time of the latest statement, in loop seconds.
    customer : str
        Customer whose transaction it is; its connection serves no other.
    """

    read_only: bool
    route: object
    conn: object = None
    wrote: bool = False
    last_used_at: float = 0.0
    customer: str = ""


class Session:
    """A caller's session with one database.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    database : str
        Name of the database that the caller chose.
    identity : Identity, optional
        Identity of the caller; without one only databases can be used that
        need no key.
    """

    def __init__(self, fleet, database, identity=None):
        self._fleet = fleet
        self.database = database
        self._identity = identity or customers.Identity(database)
        # Workload of the statement that runs, see `_check_key`.
        self._workload = workload.Workload()
        self.state = State.IDLE
        self._values = {}
        self._prepared = {}
        self._transaction = None
        self._dispatcher = dispatch.Dispatcher(fleet)
        # Position of the latest commit; reads must see it.
        self._committed_position = positions.ORIGIN
        # Whether the outcome of a commit is unknown. Reads then go to the
        # primary only.
        self._outcome_unknown = False
        # Whether the running statement, a commit or a write of its own, may
        # have been sent.
        self._commit_sent = False
        self._given_up = False

    @property
    def route(self):
        """Configured `Route` of the database, or None."""
        return self._fleet.directory.table.routes.get(self.database)

    def close(self):
        """End the session and abort an open transaction."""
        self._end_transaction(usable=False)

    def transaction_idle_s(self, now):
        """Return the seconds since the latest statement of a transaction.

        Returns 0 if no transaction is open.
        """
        if self._transaction is None:
            return 0.0
        return now - self._transaction.last_used_at

    async def answer(self, request_id, statement):
        """Run one statement of the caller and return its `Answer`."""
        if self._given_up:
            return Answer.refusal(
                Problem.BUSY, "the session has ended", self.state
            )
        self._commit_sent = False
        rejection = self._check_key(request_id, statement)
        if rejection is None:
            rejection = self._check_shutdown(request_id, statement)
        if rejection is not None:
            return rejection
        if self.state is State.FAILED:
            return self._answer_in_failed_transaction(statement)
        match statement:
            case statements.Begin(read_only):
                return await self._begin_transaction(request_id, read_only)
            case statements.Commit():
                return await self._commit(request_id, statement)
            case statements.Rollback():
                self._roll_back()
                return self._success()
            case statements.Assign(name, value):
                self._values[name] = value
                return self._success()
            case statements.Prepare(name):
                self._prepared[name] = statement
                return self._success()
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

    def _check_key(self, request_id, statement):
        """Check the key again for a statement that has arrived.

        Returns
        -------
        Answer or None
            The refusal of the statement, which fails an open transaction.
            A failed transaction, and an open one that is rolled back, can
            be ended without a valid key.
        """
        checked = self._fleet.customers.check(self._identity, request_id)
        accepted = isinstance(checked, workload.Workload)
        if accepted:
            self._workload = checked
        if self._is_end_without_effect(statement):
            return None
        if self._transaction is not None:
            if accepted and self._transaction.customer == checked.customer:
                return None
            return self._abort_for_key(
                request_id,
                "the key belongs to another customer now"
                if accepted
                else checked.detail,
            )
        failed = self.state is State.FAILED
        if accepted or (failed and checked.problem is Problem.BUSY):
            return None
        return attrs.evolve(checked, state=self.state)

    def _check_shutdown(self, request_id, statement):
        """Abort an open transaction that a shutdown leaves no more time.

        Returns
        -------
        Answer or None
            The refusal of the statement. A rollback needs none.
        """
        shutdown = self._fleet.shutdown
        if (
            shutdown is None
            or self._transaction is None
            or isinstance(statement, statements.Rollback)
            or not shutdown.aborts_transactions(clock.now())
        ):
            return None
        event(
            log.notice,
            "transaction_aborted",
            request_id=request_id,
            group=self._transaction.route.group,
            error=STOPPING,
        )
        refusal = self._fail(Problem.ABORTED, STOPPING)
        if isinstance(statement, statements.Commit):
            self.state = State.IDLE
        return attrs.evolve(refusal, state=self.state)

    def _is_end_without_effect(self, statement):
        """Return whether a statement ends a transaction and keeps nothing."""
        match statement:
            case statements.Rollback():
                return self.state is not State.IDLE
            case statements.Commit():
                return self.state is State.FAILED
        return False

    def _abort_for_key(self, request_id, detail):
        """Roll back the open transaction of a key that is not accepted."""
        event(
            log.notice,
            "transaction_aborted",
            request_id=request_id,
            group=self._transaction.route.group,
            customer=self._transaction.customer,
            error=detail,
        )
        return self._fail(Problem.ABORTED, detail)

    async def _admit(self, request_id):
        """Admit a new operation: a single statement, or a transaction.

        Its key has been checked. Statements of an open transaction and
        attempts to repeat a statement are not admitted again.

        Returns
        -------
        Route or Answer
            The route of the operation, or its refusal.
        """
        route = self.route
        if route is None:
            directory = self._fleet.directory
            event(
                log.info,
                "database_unknown",
                request_id=request_id,
                database=self.database,
                version=directory.table.version,
                unanswered_s=directory.routes.unanswered_s(),
            )
            return Answer.refusal(Problem.NO_DATABASE, self.database)
        customer = self._workload.customer
        shutdown = self._fleet.shutdown
        if shutdown is not None and shutdown.refuses_operations(clock.now()):
            event(
                log.info,
                "refused",
                request_id=request_id,
                database=self.database,
                customer=customer,
                problem=Problem.BUSY.value,
                failures=STOPPING,
            )
            self._fleet.customer_usage.record_refused(
                customer, customerusage.Reason.UNAVAILABLE
            )
            return Answer.refusal(Problem.BUSY, STOPPING)
        try:
            await self._fleet.customer_limits.admit(
                self._workload, clock.now() + route.timeout_s
            )
        except exceptions.LimitExceeded as exc:
            event(
                log.info,
                "limit_exceeded",
                request_id=request_id,
                database=self.database,
                customer=customer,
                version=self._fleet.directory.table.version,
                error=exc,
            )
            self._fleet.customer_usage.record_refused(
                customer, customerusage.Reason.LIMIT
            )
            return Answer.refusal(Problem.BUSY, exc.reason)
        self._fleet.customer_usage.record_admitted(customer)
        return route

    def _success(self):
        return Answer(state=self.state)

    def _fail(self, problem, detail):
        """Fail an open transaction and return a refusal."""
        if self.state is State.OPEN:
            self.state = State.FAILED
            self._end_transaction(usable=True)
        return Answer.refusal(problem, detail, self.state)

    def _answer_in_failed_transaction(self, statement):
        match statement:
            case statements.Rollback():
                self.state = State.IDLE
                return self._success()
            case statements.Commit():
                self.state = State.IDLE
                return Answer.refusal(
                    Problem.ABORTED, "the transaction had failed"
                )
        return Answer.refusal(
            Problem.MALFORMED, "the transaction has failed", self.state
        )

    async def _begin_transaction(self, request_id, read_only):
        if self.state is not State.IDLE:
            return self._fail(Problem.MALFORMED, "a transaction is open")
        admitted = await self._admit(request_id)
        if isinstance(admitted, Answer):
            return admitted
        self._transaction = Transaction(
            read_only,
            admitted,
            last_used_at=clock.now(),
            customer=self._workload.customer,
        )
        self.state = State.OPEN
        return self._success()

    def _deallocate(self, name):
        if self._prepared.pop(name, None) is None:
            return self._fail(Problem.UNKNOWN_NAME, f"no statement {name}")
        return self._success()

    def _roll_back(self):
        """Roll back an open transaction; its connection may be reused."""
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
        self._fleet.spawn(self._roll_back_at_target(conn))

    async def _roll_back_at_target(self, conn):
        """Roll back at the target, then release the connection."""
        order = statements.Order(statements.Rollback())
        usable = False
        try:
            answer = await conn.execute(
                order, clock.now() + connections.SESSION_STATE_TIMEOUT_S
            )
            usable = answer.state is State.IDLE
        except (exceptions.NotRunError, exceptions.TargetError) as exc:
            event(
                log.info,
                "rollback_failed",
                target=conn.target.name,
                error=exc,
            )
        finally:
            conn.release(usable)

    def give_up(self, statement, problem):
        """End the processing of a statement whose answer is not known.

        The session refuses all further statements.

        Parameters
        ----------
        statement : object
            The statement that the caller has sent.
        problem : Problem
            Reported for a read, which may have run.

        Returns
        -------
        Answer
            It promises that nothing is kept unless a commit may have been
            sent.
        """
        self._given_up = True
        transaction, self._transaction = self._transaction, None
        if transaction is not None and transaction.conn is not None:
            transaction.conn.release(usable=False)
        self.state = State.IDLE
        if self._commit_sent:
            problem = Problem.IN_DOUBT
        elif transaction is not None:
            problem = Problem.ABORTED
            if not isinstance(statement, statements.Commit):
                self.state = State.FAILED
        elif not self._is_read(statement):
            problem = Problem.BUSY
        return Answer.refusal(problem, "given up", self.state)

    def _is_read(self, statement):
        """Return whether a statement outside transactions only reads."""
        match statement:
            case statements.Direct(access):
                return access is Access.READ
            case statements.Execute(name):
                prepared = self._prepared.get(name)
                return prepared is not None and prepared.access is Access.READ
        return False

    def abort_transaction(self, reason):
        """Abort an open transaction; its next statement fails."""
        if self.state is State.OPEN:
            event(log.info, "transaction_ended", reason=reason)
            self.state = State.FAILED
            self._end_transaction(usable=True)

    # Statements that run at targets.

    def _build_order(self, request_id, statement, prepared, required=None):
        if prepared is not None:
            statement = attrs.evolve(
                statement, name=connections.shared_prepared_name(prepared)
            )
        return statements.Order(statement, request_id, required)

    async def _run(self, request_id, statement, prepared):
        access = prepared.access if prepared else statement.access
        if self._transaction is not None:
            return await self._run_in_transaction(
                request_id, statement, prepared, access
            )
        admitted = await self._admit(request_id)
        if isinstance(admitted, Answer):
            return admitted
        req = self._make_request(request_id, admitted, access is Access.WRITE)
        if access is Access.WRITE:
            return await self._run_write(req, statement, prepared)
        return await self._run_read(req, statement, prepared)

    def _make_request(self, request_id, route, at_primary):
        return dispatch.DispatchRequest(
            request_id=request_id,
            route=route,
            at_primary=at_primary or self._outcome_unknown,
            committed_position=self._committed_position,
            deadline=clock.now() + route.timeout_s,
            workload=self._workload,
        )

    async def _run_read(self, req, statement, prepared):
        """Run a read outside transactions; may try several targets."""
        # A hedged attempt may get its connection after the caller has set
        # other values.
        values = dict(self._values)

        async def attempt(conn, required):
            await conn.apply_session_state(values, prepared, req.deadline)
            self._check_lease(conn)
            if req.answered:
                raise exceptions.NotRunError("another attempt was answered")
            order = self._build_order(
                req.request_id, statement, prepared, required
            )
            return await conn.execute(order, req.deadline)

        return await self._dispatcher.read(req, attempt)

    def _check_lease(self, conn):
        """Check that the primary's lease is still valid.

        Nothing may be awaited between this check and sending the order.

        Raises
        ------
        LeaseLost
            If the lease has lapsed.
        """
        leadership = conn.leadership
        if leadership is None:
            return
        if not self._fleet.leaders.is_valid(leadership):
            raise connections.LeaseLost("the primary's lease has lapsed")

    async def _run_write(self, req, statement, prepared):
        """Run a write outside transactions.

        The write is retried only if it certainly did not run.
        """
        while True:
            conn = await self._dispatcher.acquire_primary(req)
            if isinstance(conn, Answer):
                return conn
            try:
                answer = await self._attempt_write(
                    conn, req, statement, prepared
                )
            except exceptions.NotRunError as exc:
                self._commit_sent = False
                conn.release(usable=False)
                req.record_failure(conn.target.name, exc)
                if not await self._dispatcher.pause_before_retry(req):
                    return self._dispatcher.refuse(req)
                continue
            except exceptions.OutcomeUnknown as exc:
                conn.release(usable=False)
                self._outcome_unknown = True
                return self._unknown_outcome_answer(req, conn, exc)
            except BaseException:
                conn.release(usable=False)
                raise
            conn.release(usable=answer.state is State.IDLE)
            if answer.problem in dispatch.NOT_RUN:
                self._commit_sent = False
                req.record_failure(conn.target.name, answer.problem.value)
                if await self._dispatcher.pause_before_retry(req):
                    continue
            return answer

    async def _attempt_write(self, conn, req, statement, prepared):
        await conn.reserve()
        await conn.apply_session_state(self._values, prepared, req.deadline)
        self._check_lease(conn)
        order = self._build_order(req.request_id, statement, prepared)
        self._commit_sent = True
        before = self._fleet.leaders.last_position(conn.leadership)
        answer = await conn.execute(order, req.deadline)
        if answer.problem is None:
            await self._record_commit(conn, before, answer, req.deadline)
        return answer

    async def _record_commit(self, conn, before, answer, deadline):
        """Record the position of a commit that is certain to last.

        Parameters
        ----------
        conn : LocalConnection or RemoteConnection
            Connection on which it was sent.
        before : LogPosition
            Latest position of the primary that was known then.
        answer : Answer
            The target's answer.
        deadline : float
            Latest time of the answer, in loop seconds.

        Raises
        ------
        OutcomeUnknown
            If another primary may have taken over before the commit.
        """
        leaders = self._fleet.leaders
        if not await leaders.wait_may_commit(conn.leadership, deadline):
            raise exceptions.OutcomeUnknown(
                "the group may have another primary"
            )
        if answer.position is not None:
            # Told to others with the release of the primary, so before the
            # caller learns that the commit has been made.
            self._fleet.acknowledged.record(
                conn.leadership.group, before, answer.position
            )
            self._committed_position = max(
                self._committed_position, answer.position
            )

    def _unknown_outcome_answer(self, req, conn, exc):
        event(
            log.notice,
            "write_in_doubt",
            request_id=req.request_id,
            group=req.route.group,
            target=conn.target.name,
            waited_s=req.waited_s,
            error=exc,
        )
        return Answer.refusal(
            Problem.IN_DOUBT,
            f"{conn.target.name}: {exc}",
        )

    # Transactions.

    async def _run_in_transaction(
        self, request_id, statement, prepared, access
    ):
        transaction = self._transaction
        transaction.last_used_at = clock.now()
        route = transaction.route
        req = self._make_request(request_id, route, not transaction.read_only)
        if transaction.conn is None:
            rejection = await self._open_at_target(transaction, req)
            if rejection is not None:
                return self._fail(rejection.problem, rejection.detail)
        conn = transaction.conn
        if self._is_released(conn):
            return self._aborted(req, "the group gets another primary")
        try:
            await conn.apply_session_state(
                self._values, prepared, req.deadline
            )
            await conn.admit(req.deadline)
            if self._is_released(conn):
                return self._aborted(req, "the group gets another primary")
            if access is Access.WRITE:
                transaction.wrote = True
            order = self._build_order(request_id, statement, prepared)
            answer = await self._execute_in_transaction(conn, order, req)
        except (exceptions.TargetError, exceptions.NotRunError) as exc:
            return self._aborted(req, exc)
        transaction.last_used_at = clock.now()
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
            return self._aborted(req, "the target left the transaction")
        return answer

    def _is_released(self, conn):
        leadership = conn.leadership
        if leadership is None:
            return False
        return self._fleet.leaders.has_released(leadership)

    async def _execute_in_transaction(self, conn, order, req):
        """Execute an order; retry while the target reports it is busy."""
        while True:
            answer = await conn.execute(order, req.deadline)
            retry = (
                answer.problem is Problem.BUSY
                and answer.state is State.OPEN
                and clock.now() + BUSY_RETRY_PAUSE_S < req.deadline
            )
            if not retry:
                return answer
            await clock.pause(BUSY_RETRY_PAUSE_S)
            await conn.admit(req.deadline)

    def _aborted(self, req, exc):
        """Fail the transaction, of which nothing was committed."""
        transaction, self._transaction = self._transaction, None
        target = ""
        if transaction is not None and transaction.conn is not None:
            target = transaction.conn.target.name
            transaction.conn.release(usable=False)
        self.state = State.FAILED
        event(
            log.notice,
            "transaction_aborted",
            request_id=req.request_id,
            group=req.route.group,
            target=target,
            waited_s=req.waited_s,
            error=exc,
        )
        return Answer.refusal(Problem.ABORTED, str(exc), self.state)

    async def _open_at_target(self, transaction, req):
        """Begin the transaction at a target; return a refusal or None."""

        async def attempt(conn, required):
            await conn.apply_session_state(self._values, None, req.deadline)
            self._check_lease(conn)
            begin = statements.Begin(transaction.read_only)
            order = statements.Order(begin, "", required)
            return await conn.execute(order, req.deadline)

        if transaction.read_only:
            result = await self._dispatcher.read(req, attempt, keep=True)
            if isinstance(result, Answer):
                return result
            transaction.conn = result
            return None
        while True:
            conn = await self._dispatcher.acquire_primary(req)
            if isinstance(conn, Answer):
                return conn
            try:
                answer = await attempt(conn, None)
            except (exceptions.NotRunError, exceptions.TargetError) as exc:
                conn.release(usable=False)
                req.record_failure(conn.target.name, exc)
            except BaseException:
                conn.release(usable=False)
                raise
            else:
                if answer.problem is None and answer.state is State.OPEN:
                    transaction.conn = conn
                    return None
                conn.release(usable=False)
                req.record_failure(conn.target.name, answer.problem)
            if not await self._dispatcher.pause_before_retry(req):
                return self._dispatcher.refuse(req)

    async def _commit(self, request_id, statement):
        transaction = self._transaction
        if transaction is None:
            return Answer.refusal(
                Problem.MALFORMED, "no transaction is open", self.state
            )
        transaction.last_used_at = clock.now()
        req = self._make_request(
            request_id, transaction.route, not transaction.read_only
        )
        if transaction.conn is None:
            rejection = await self._open_at_target(transaction, req)
            if rejection is not None:
                return self._fail(rejection.problem, rejection.detail)
        conn = transaction.conn
        order = statements.Order(statement, request_id)
        try:
            await conn.apply_session_state(self._values, None, req.deadline)
            await conn.admit(req.deadline)
            if (
                transaction.wrote
                and not await self._fleet.leaders.wait_may_commit(
                    conn.leadership, req.deadline
                )
            ):
                return self._aborted(req, "the primary's lease has lapsed")
            self._commit_sent = transaction.wrote
            before = positions.ORIGIN
            if transaction.wrote:
                before = self._fleet.leaders.last_position(conn.leadership)
            answer = await self._execute_in_transaction(conn, order, req)
            if answer.problem is None and transaction.wrote:
                await self._record_commit(conn, before, answer, req.deadline)
        except exceptions.NotRunError as exc:
            return self._aborted(req, exc)
        except exceptions.TargetError as exc:
            if not transaction.wrote:
                return self._aborted(req, exc)
            self._transaction = None
            conn.release(usable=False)
            self.state = State.IDLE
            self._outcome_unknown = True
            return self._unknown_outcome_answer(req, conn, exc)
        if answer.problem is None and answer.state is State.IDLE:
            self._transaction = None
            self.state = State.IDLE
            conn.release()
            return answer
        self._roll_back()
        problem = answer.problem or Problem.ABORTED
        return Answer.refusal(problem, answer.detail, self.state)
