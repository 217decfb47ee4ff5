"""What the home of a target does with work: the inner chain."""

import asyncio

import attrs
import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge.controllers import confirmations
from balsamhinge import exceptions
from balsamhinge.filters import chain
from balsamhinge.logs import event
from balsamhinge.policy import admission
from balsamhinge.policy import hashing
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.targets import connection
from balsamhinge.targets import protocol

__all__ = [
    "NEVER_COMMITTED",
    "HomeChain",
    "RecordedAnswer",
    "commit_id",
    "commit_key",
]

SUPERSEDED_STATES = (
    protocol.SUPERSEDED,
    protocol.STALE_TERM,
    protocol.NOT_PRIMARY,
    protocol.RETIRED,
)
DEADLINE_MARGIN_S = 0.001
ASK_S = 0.01
# Recorded under a commit's identifier by whoever finds it missing.
NEVER_COMMITTED = "SELECT 'transaction undone'"

log = logbook.Logger(__name__)
Step = messages.Step


@attrs.frozen
class RecordedAnswer:
    """The first answer of a request, for those who repeat it.

    Parameters
    ----------
    fingerprint : int
        Hash of the statements, which tells a repeat from another request
        under the same identifier.
    results : list of CommandResult
        What the first run gave.
    """

    fingerprint: int
    results: list[messages.CommandResult]


@attrs.define
class HomeRequest:
    """Work on its way through the inner chain.

    Parameters
    ----------
    work : Work
        What the entry instance asks for.
    deadline : float
        Loop time in seconds.
    target : Target or None
        Of the plan.
    gate : Gate or None
        Before the target.
    transaction : OpenTransaction or None
        That the work belongs to.
    """

    work: messages.Work
    deadline: float
    target: object = None
    gate: object = None
    transaction: object = None


class HomeChain:
    """The filters that work passes at the home of its target.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._chain = chain.build_chain(
            [
                self.translate_errors,
                self.find_target,
                self.bound_age,
                self.confirm,
                self.find_transaction,
                self.catch_up,
                self.admit,
                self.execute,
            ]
        )

    async def __call__(self, work):
        """Do `work` and return a `Reply`; never raises."""
        deadline = clock.now() + work.remaining_s - DEADLINE_MARGIN_S
        self._core.in_flight += 1
        try:
            return await self._chain(HomeRequest(work, deadline))
        finally:
            self._core.in_flight -= 1

    async def translate_errors(self, req, proceed):
        """Turn errors into one of the three outcomes."""
        try:
            return await proceed(req)
        except exceptions.CommandFailed as exc:
            return self._refused(req, exc)
        except exceptions.ConnectionUnavailable as exc:
            reason = messages.Reason.NO_TARGET
            return messages.Reply.not_run(reason, exc.reason)
        except exceptions.NotRunError as exc:
            reason = messages.Reason.OVERLOADED
            return messages.Reply.not_run(
                reason, exc.reason, retry_after_s=exc.retry_after_s
            )
        except exceptions.TransactionUnknown as exc:
            reason = messages.Reason.TRANSACTION
            return messages.Reply.not_run(reason, str(exc))
        except exceptions.AnswerLost as exc:
            reason = messages.Reason.ANSWER_LOST
            return messages.Reply.unknown(reason, str(exc))

    def _refused(self, req, exc):
        """Return the reply for work that the target itself refused."""
        view = self._core.groups.view(req.work.group)
        detail = f"{exc.sqlstate}: {exc.message}"
        if exc.sqlstate in SUPERSEDED_STATES:
            return messages.Reply.not_run(
                messages.Reason.SUPERSEDED, detail, term=view.term
            )
        if exc.sqlstate == protocol.BEHIND:
            return messages.Reply.not_run(messages.Reason.BEHIND, detail)
        return messages.Reply.not_run(
            messages.Reason.DATABASE, exc.message, sqlstate=exc.sqlstate
        )

    async def find_target(self, req, proceed):
        """Find the target and refuse new work that it must not get."""
        work = req.work
        core = self._core
        core.groups.learn(work.view)
        plan = core.configuration.plan
        if work.step not in (Step.SINGLE, Step.BEGIN):
            return await proceed(req)
        if core.stopping:
            return messages.Reply.not_run(
                messages.Reason.DRAINING, "the instance is stopping"
            )
        req.target = plan.targets.get(work.target)
        if req.target is None or core.is_leaving(work.target):
            return messages.Reply.not_run(
                messages.Reason.NO_TARGET, f"{work.target} takes no new work"
            )
        req.gate = core.gates.gate(req.target)
        view = core.groups.view(work.group)
        if work.write and view.term > work.view.term:
            return messages.Reply.not_run(
                messages.Reason.SUPERSEDED,
                f"term {work.view.term} is superseded by {view.term}",
                term=view.term,
            )
        return await proceed(req)

    async def bound_age(self, req, proceed):
        """Turn an accepted age into a position that the target needs."""
        work = req.work
        if not work.max_age_s:
            return await proceed(req)
        history = self._core.groups.history(work.group)
        bound = history.needed_for(clock.now(), work.max_age_s)
        if bound is None:
            return messages.Reply.not_run(
                messages.Reason.TOO_OLD,
                "the primary was not heard of for longer than the age",
            )
        needed = max(work.needed, bound)
        req.work = attrs.evolve(work, needed=needed)
        return await proceed(req)

    async def confirm(self, req, proceed):
        """Hold a primary's answer back until a majority confirms it."""
        reply = await proceed(req)
        core = self._core
        # A request that is found recorded tells of an entry as well.
        shows_entry = reply.reason is messages.Reason.ID_REUSED
        if reply.outcome is not messages.Outcome.DONE and not shows_entry:
            return reply
        work = req.work
        if not work.confirm or work.step in (Step.BEGIN, Step.STATEMENT):
            return reply
        if self._is_confirmed(work, reply):
            return reply
        view = core.groups.view(work.group)
        if view.term != work.view.term:
            view = work.view
        plan = core.configuration.plan
        voters = [plan.targets[n] for n in view.voters if n in plan.targets]
        # Holding one's own entry under the term already shows that the
        # primary led; a read has to ask again.
        leads = not work.write
        confirming = core.confirmations.confirm(
            view, voters, reply.position, leads, req.deadline
        )
        try:
            await self._unless_superseded(req, confirming)
        except (
            confirmations.Superseded,
            confirmations.NotConfirmed,
        ) as exc:
            return messages.Reply.unknown(
                messages.Reason.NOT_CONFIRMED, str(exc), term=view.term
            )
        core.groups.history(work.group).record_held(reply.position)
        return reply

    def _is_confirmed(self, work, reply):
        """Return whether an aged read shows confirmed entries only.

        Its age is bounded already, so it need not be shown that the
        primary still leads; cut off, it can serve for a while.
        """
        if work.write or not work.max_age_s:
            return False
        return reply.position <= self._core.groups.history(work.group).held

    async def _unless_superseded(self, req, running):
        """Await `running` unless the group gets another primary."""
        view = req.work.view
        task = asyncio.ensure_future(running)
        successor = asyncio.ensure_future(
            self._core.groups.superseded(req.work.group, view.term)
        )
        try:
            await asyncio.wait(
                {task, successor}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                raise confirmations.Superseded(
                    f"term {view.term} is superseded"
                )
            return task.result()
        finally:
            task.cancel()
            successor.cancel()

    async def catch_up(self, req, proceed):
        """Wait without a slot until the target has what is needed."""
        work = req.work
        groups = self._core.groups
        if work.confirm or work.step is not Step.SINGLE:
            return await proceed(req)
        known = groups.applied(req.target.name)
        if not positions.covers(known, work.needed):
            # A target that usually lags longer than it may wait is only
            # asked how far it is by now.
            lag_s = groups.target_view(req.target).lag_s
            patience = work.catch_up_s
            if lag_s > work.catch_up_s:
                patience = ASK_S
            patience = min(patience, req.deadline - clock.now())
            applied = await self._core.progress.wait(
                req.target, work.needed, patience
            )
            groups.record_applied(req.target, applied, clock.now())
            if not positions.covers(applied, work.needed):
                return self._behind(req, applied)
        reply = await proceed(req)
        groups.record_applied(req.target, reply.target_applied, clock.now())
        lag_s = groups.target_view(req.target).lag_s
        return attrs.evolve(reply, lag_s=lag_s)

    def _behind(self, req, applied):
        return messages.Reply.not_run(
            messages.Reason.BEHIND,
            f"{req.target.name} has applied {applied}",
            target_applied=applied,
            lag_s=self._core.groups.target_view(req.target).lag_s,
        )

    async def find_transaction(self, req, proceed):
        """Find the transaction that a statement belongs to."""
        work = req.work
        if work.step in (Step.SINGLE, Step.BEGIN):
            return await proceed(req)
        transactions = self._core.transactions
        transaction = transactions.claim(work.transaction, work.service)
        req.transaction = transaction
        req.gate = transaction.gate
        try:
            return await proceed(req)
        finally:
            transactions.give_back(transaction)

    async def admit(self, req, proceed):
        """Wait for a slot of the target."""
        work = req.work
        if work.step is Step.ROLLBACK:
            return await proceed(req)
        ticket = admission.Ticket(
            service=work.service,
            urgent=work.urgent,
            long=work.long,
            deadline=req.deadline,
        )
        await req.gate.enter(ticket)
        try:
            reply = await proceed(req)
            ticket.completed = True
            return reply
        finally:
            req.gate.leave(ticket)

    async def execute(self, req, proceed=None):
        """Run the work at the target."""
        match req.work.step:
            case Step.SINGLE:
                return await self._single(req)
            case Step.BEGIN:
                return await self._begin(req)
            case Step.STATEMENT:
                return await self._statement(req)
            case Step.COMMIT:
                return await self._commit(req)
            case Step.ROLLBACK:
                await self._core.transactions.abort(req.transaction)
                return messages.Reply(messages.Outcome.DONE)

    async def _single(self, req):
        conn = await self._acquire(req)
        run = self._write if req.work.write else self._read
        try:
            reply = await self._within_deadline(req, conn, run(req, conn))
        except exceptions.CommandFailed:
            await req.gate.pool.release(conn)
            raise
        except BaseException:
            # The target undoes what was not committed.
            await req.gate.pool.discard(conn)
            raise
        await req.gate.pool.release(conn)
        return reply

    async def _acquire(self, req):
        try:
            async with asyncio.timeout_at(req.deadline):
                return await req.gate.pool.acquire()
        except TimeoutError as exc:
            raise exceptions.ConnectionUnavailable(
                "no connection to the target became free in time"
            ) from exc

    async def _within_deadline(self, req, conn, running):
        if req.work.write:
            running = self._unless_superseded(req, running)
        else:
            # In a task of its own, what wakes up for each packet is only
            # the connection's part and not the whole chain.
            running = asyncio.ensure_future(running)
        try:
            async with asyncio.timeout_at(req.deadline):
                return await running
        except (TimeoutError, confirmations.Superseded) as exc:
            if req.work.write and not conn.commit_sent:
                raise exceptions.ConnectionUnavailable(
                    "the commit was not sent"
                ) from exc
            raise exceptions.AnswerLost(
                "the target has not answered in time"
            ) from exc

    async def _read(self, req, conn):
        work = req.work
        guard = connection.Guard(work.view.term, work.needed)
        done = await conn.read(guard, work.statements)
        return messages.Reply(
            messages.Outcome.DONE,
            results=done.results,
            position=done.position,
            target_applied=done.position,
            term=done.term,
            target=work.target,
        )

    async def _write(self, req, conn):
        work = req.work
        fingerprint = fingerprint_of(work.statements)

        def encode(results):
            answer = RecordedAnswer(fingerprint, results)
            return msgspec.msgpack.encode(answer)

        guard = connection.Guard(work.view.term, write=True)
        if work.repeatable:
            done = await conn.write_repeatable(guard, work.statements)
            return written(done.results, done.position, work.view.term)
        done = await conn.write(
            guard,
            work.statements,
            work.request_id,
            self._core.links.wall_time(),
            encode,
        )
        if done is None:
            return await self._repeat(req, conn, fingerprint)
        reply = written(done.results, done.position, work.view.term)
        return attrs.evolve(reply, target=work.target)

    async def _repeat(self, req, conn, fingerprint):
        """Return the first answer of a request that was run before."""
        work = req.work
        event(log.info, "request_repeated", request=work.request_id)
        guard = connection.Guard(work.view.term)
        answer, _found, position = await conn.recorded_answer(
            guard, work.request_id
        )
        recorded = msgspec.msgpack.decode(answer, type=RecordedAnswer)
        if recorded.fingerprint != fingerprint:
            return messages.Reply.not_run(
                messages.Reason.ID_REUSED,
                "the request identifier belongs to another request",
                position=position,
            )
        return written(recorded.results, position, work.view.term)

    async def _begin(self, req):
        work = req.work
        gate = req.gate
        if gate.pinned >= gate.most_pinned:
            raise exceptions.NotRunError("too many open transactions", 0.1)
        conn = await self._acquire(req)
        guard = connection.Guard(work.view.term, work.needed, write=work.write)
        try:
            await self._within_deadline(req, conn, conn.begin(guard))
        except BaseException:
            await gate.pool.discard(conn)
            raise
        transaction = self._core.transactions.add(work, conn, gate)
        return messages.Reply(
            messages.Outcome.DONE,
            transaction=transaction.name,
            term=work.view.term,
        )

    async def _statement(self, req):
        transaction = req.transaction
        conn = transaction.conn
        try:
            results = await self._within_deadline(
                req, conn, conn.pipeline(req.work.statements)
            )
        except BaseException:
            await self._break(transaction)
            raise
        return messages.Reply(
            messages.Outcome.DONE,
            results=results,
            transaction=transaction.name,
            term=transaction.work.view.term,
        )

    async def _break(self, transaction):
        """End a transaction whose connection can not be used further."""
        if transaction.conn.commit_sent:
            await self._core.transactions.end(transaction)
        else:
            await self._core.transactions.abort(transaction)

    async def _commit(self, req):
        transaction = req.transaction
        conn = transaction.conn
        opened = transaction.work
        try:
            if opened.write:
                request_id = commit_id(opened.service, transaction.name)
                running = self._commit_writes(conn, request_id, opened)
            else:
                running = self._commit_reads(conn, opened)
            reply = await self._within_deadline(req, conn, running)
        except BaseException:
            await self._break(transaction)
            raise
        await self._core.transactions.end(transaction)
        req.work = attrs.evolve(
            req.work, view=opened.view, write=opened.write, confirm=True
        )
        return reply

    async def _commit_writes(self, conn, request_id, opened):
        await conn.record_request(request_id, self._core.links.wall_time())
        answer = RecordedAnswer(fingerprint_of([]), [])
        done = await conn.commit(
            request_id, msgspec.msgpack.encode(answer), opened.view.term, []
        )
        return written(done.results, done.position, opened.view.term)

    async def _commit_reads(self, conn, opened):
        await conn.rollback()
        guard = connection.Guard(opened.view.term)
        done = await conn.read(guard, [])
        return written([], done.position, opened.view.term)


def written(results, position, term):
    """Return the reply to work that was committed at `position`."""
    return messages.Reply(
        messages.Outcome.DONE,
        results=results,
        position=position,
        target_applied=position,
        term=term,
    )


def fingerprint_of(statements):
    """Return a hash of statements and their parameters."""
    encoded = msgspec.msgpack.encode(statements)
    return hashing.hash_bytes(encoded)


def commit_key(transaction):
    """Return the caller's part of the identifier of a commit."""
    return f"commit/{transaction}"


def commit_id(service, transaction):
    """Return the request identifier of a transaction's commit."""
    return f"{service}/{commit_key(transaction)}"
