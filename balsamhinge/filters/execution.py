"""Runs admitted work on a connection to its target."""

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
    "OwnerRequest",
    "RecordedAnswer",
    "commit_id",
    "commit_key",
    "unless_superseded",
]

# Statement that takes a commit's request identifier, so that a commit that
# has not taken effect yet never does.
NEVER_COMMITTED = "SELECT 'transaction undone'"

log = logbook.Logger(__name__)
TransactionStep = messages.TransactionStep


@attrs.frozen
class RecordedAnswer:
    """Stored answer of a request, returned when the request is repeated.

    Parameters
    ----------
    fingerprint : int
        Hash of the statements. Distinguishes a repetition from another
        request with the same identifier.
    results : list of CommandResult
        Results of the first execution.
    """

    fingerprint: int
    results: list[messages.CommandResult]


@attrs.define
class OwnerRequest:
    """Work in the owner's chain of filters.

    Parameters
    ----------
    work : WorkRequest
        Request of the entry instance.
    deadline : float
        Latest time of the reply, in loop seconds.
    target : Target or None
        Configured target; None within an open transaction.
    limiter : TargetLimiter or None
        Slots, queue and connections of the target.
    transaction : OpenTransaction or None
        Open transaction to which the work belongs.
    """

    work: messages.WorkRequest
    deadline: float
    target: object = None
    limiter: object = None
    transaction: object = None


class Execution:
    """Runs work at the target; the last filter of the owner's chain.

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
            case TransactionStep.SINGLE:
                return await self._run_single(req)
            case TransactionStep.BEGIN:
                return await self._begin(req)
            case TransactionStep.STATEMENT:
                return await self._run_statement(req)
            case TransactionStep.COMMIT:
                return await self._commit(req)
            case TransactionStep.ROLLBACK:
                await self._core.transactions.abort(req.transaction)
                return messages.Reply(messages.Outcome.DONE)

    async def _run_single(self, req):
        conn = await self._acquire(req)
        run = self._write if req.work.write else self._read
        try:
            reply = await self._within_deadline(req, conn, run(req, conn))
        except exceptions.CommandFailed:
            await req.limiter.pool.release(conn)
            raise
        except BaseException:
            # Closing the connection makes the target roll back.
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

    async def _within_deadline(self, req, conn, coroutine):
        if req.work.write:
            coroutine = unless_superseded(
                self._core.groups, req.work, coroutine
            )
        else:
            # In a separate task, each received packet resumes only the
            # connection's coroutine and not the whole chain.
            coroutine = asyncio.ensure_future(coroutine)
        try:
            async with asyncio.timeout_at(req.deadline):
                return await coroutine
        except (TimeoutError, confirmations.Superseded) as exc:
            if req.work.write and not conn.commit_sent:
                raise exceptions.ConnectionUnavailable(
                    "the commit was not sent"
                ) from exc
            raise exceptions.OutcomeUnknown(
                "the target has not answered in time"
            ) from exc

    async def _read(self, req, conn):
        work = req.work
        guard = connection.Guard(
            work.view.term, work.needed, lead=work.confirm
        )
        result = await conn.read(guard, work.statements)
        return messages.Reply(
            messages.Outcome.DONE,
            results=result.results,
            position=result.position,
            target_applied=result.position,
            term=result.term,
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
            result = await conn.write_repeatable(guard, work.statements)
            return committed_reply(
                result.results, result.position, work.view.term
            )
        result = await conn.write(
            guard,
            work.statements,
            work.request_id,
            self._core.dependencies.wall_time(),
            encode,
        )
        if result is None:
            return await self._replay_answer(req, conn, fingerprint)
        reply = committed_reply(
            result.results, result.position, work.view.term
        )
        return attrs.evolve(reply, target=work.target)

    async def _replay_answer(self, req, conn, fingerprint):
        """Return the recorded answer of a repeated request."""
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
        return committed_reply(recorded.results, position, work.view.term)

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

    async def _run_statement(self, req):
        transaction = req.transaction
        conn = transaction.conn
        try:
            results = await self._within_deadline(
                req, conn, conn.pipeline(req.work.statements)
            )
        except BaseException:
            await self._end_broken(transaction)
            raise
        return messages.Reply(
            messages.Outcome.DONE,
            results=results,
            transaction=transaction.name,
            term=transaction.work.view.term,
        )

    async def _end_broken(self, transaction):
        """End a transaction whose connection is no longer usable."""
        if transaction.conn.commit_sent:
            await self._core.transactions.end(transaction)
        else:
            await self._core.transactions.abort(transaction)

    async def _commit(self, req):
        transaction = req.transaction
        conn = transaction.conn
        begin_work = transaction.work
        try:
            if begin_work.write:
                request_id = commit_id(begin_work.service, transaction.name)
                coroutine = self._commit_writes(conn, request_id, begin_work)
            else:
                coroutine = self._commit_reads(conn, begin_work)
            reply = await self._within_deadline(req, conn, coroutine)
        except BaseException:
            await self._end_broken(transaction)
            raise
        await self._core.transactions.end(transaction)
        req.work = attrs.evolve(
            req.work,
            view=begin_work.view,
            write=begin_work.write,
            confirm=True,
        )
        return reply

    async def _commit_writes(self, conn, request_id, begin_work):
        await conn.record_request(
            request_id, self._core.dependencies.wall_time()
        )
        answer = RecordedAnswer(fingerprint_of([]), [])
        result = await conn.commit(
            request_id,
            msgspec.msgpack.encode(answer),
            begin_work.view.term,
            [],
        )
        return committed_reply(
            result.results, result.position, begin_work.view.term
        )

    async def _commit_reads(self, conn, begin_work):
        await conn.rollback()
        guard = connection.Guard(begin_work.view.term, lead=True)
        result = await conn.read(guard, [])
        return committed_reply([], result.position, begin_work.view.term)


async def unless_superseded(groups, work, coroutine):
    """Await `coroutine` unless the group of `work` gets another primary.

    Raises
    ------
    Superseded
        If the group gets another primary; `coroutine` is then cancelled.
    """
    task = asyncio.ensure_future(coroutine)
    superseded = asyncio.ensure_future(
        groups.wait_superseded(work.group, work.view.term)
    )
    try:
        await asyncio.wait(
            {task, superseded}, return_when=asyncio.FIRST_COMPLETED
        )
        if not task.done():
            raise confirmations.Superseded(
                f"term {work.view.term} is superseded"
            )
        return task.result()
    finally:
        task.cancel()
        superseded.cancel()


def committed_reply(results, position, term):
    """Return the reply for work that was committed at `position`."""
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
    """Return a commit's request identifier without the service prefix."""
    return f"commit/{transaction}"


def commit_id(service, transaction):
    """Return the request identifier of a transaction's commit."""
    return f"{service}/{commit_key(transaction)}"
