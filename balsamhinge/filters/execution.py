"""Runs admitted work at its target."""

import asyncio

import attrs
import logbook
import msgspec

from balsamhinge.controllers import confirmations
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import hashing
from balsamhinge.policy import messages
from balsamhinge.targets import connection

__all__ = [
    "NEVER_COMMITTED",
    "Execution",
    "HomeRequest",
    "RecordedAnswer",
    "commit_id",
    "commit_key",
    "unless_superseded",
]

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
    limiter : TargetLimiter or None
        Before the target.
    transaction : OpenTransaction or None
        That the work belongs to.
    """

    work: messages.Work
    deadline: float
    target: object = None
    limiter: object = None
    transaction: object = None


class Execution:
    """The last filter of the inner chain.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core

    async def __call__(self, req, proceed=None):
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
            await req.limiter.pool.release(conn)
            raise
        except BaseException:
            # The target undoes what was not committed.
            await req.limiter.pool.discard(conn)
            raise
        await req.limiter.pool.release(conn)
        return reply

    async def _acquire(self, req):
        try:
            async with asyncio.timeout_at(req.deadline):
                return await req.limiter.pool.acquire()
        except TimeoutError as exc:
            raise exceptions.ConnectionUnavailable(
                "no connection to the target became free in time"
            ) from exc

    async def _within_deadline(self, req, conn, running):
        if req.work.write:
            running = unless_superseded(self._core.groups, req.work, running)
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
        guard = connection.Guard(
            work.view.term, work.needed, lead=work.confirm
        )
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
        guard = connection.Guard(work.view.term, lead=True)
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
        limiter = req.limiter
        if limiter.transaction_count >= limiter.max_transactions:
            raise exceptions.NotRunError("too many open transactions", 0.1)
        conn = await self._acquire(req)
        guard = connection.Guard(
            work.view.term, work.needed, work.write, lead=True
        )
        try:
            await self._within_deadline(req, conn, conn.begin(guard))
        except BaseException:
            await limiter.pool.discard(conn)
            raise
        transaction = self._core.transactions.add(work, conn, limiter)
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
        guard = connection.Guard(opened.view.term, lead=True)
        done = await conn.read(guard, [])
        return written([], done.position, opened.view.term)


async def unless_superseded(groups, work, running):
    """Await `running` unless the group of `work` gets another primary.

    Raises
    ------
    Superseded
        If it does; `running` is then cancelled.
    """
    task = asyncio.ensure_future(running)
    successor = asyncio.ensure_future(
        groups.wait_superseded(work.group, work.view.term)
    )
    try:
        await asyncio.wait(
            {task, successor}, return_when=asyncio.FIRST_COMPLETED
        )
        if not task.done():
            raise confirmations.Superseded(
                f"term {work.view.term} is superseded"
            )
        return task.result()
    finally:
        task.cancel()
        successor.cancel()


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
