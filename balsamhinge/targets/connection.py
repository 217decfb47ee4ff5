"""Transport-independent interface of a connection to a target.

Statements are sent in pipelines of one round trip each. The first statement
that fails ends its pipeline.
"""

import abc

import attrs

from balsamhinge import exceptions
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.targets import protocol

__all__ = ["Guard", "RunResult", "TargetConnection"]

BEGIN = messages.Statement("BEGIN")
BEGIN_READ_ONLY = messages.Statement("BEGIN READ ONLY")
COMMIT = messages.Statement("COMMIT")
ROLLBACK = messages.Statement("ROLLBACK")
APPLIED = messages.Statement(protocol.SQL_APPLIED)
COMMITTED = messages.Statement(protocol.SQL_COMMITTED)
# Idle timeouts after which the target rolls back a transaction that an
# instance abandoned. An interactive one waits for its caller between
# statements.
SINGLE_IDLE_MS = 2_000
INTERACTIVE_IDLE_MS = 60_000
# Position of the INSERT_REQUEST statement in the pipeline of `write`.
INSERT_REQUEST_INDEX = 2
INSERT_REQUEST = (
    f"INSERT INTO {protocol.REQUESTS_TABLE} (id, created) VALUES ($1, $2)"
)
UPDATE_REQUEST = (
    f"UPDATE {protocol.REQUESTS_TABLE} SET answer = $2 WHERE id = $1"
)
SELECT_REQUEST = f"SELECT answer FROM {protocol.REQUESTS_TABLE} WHERE id = $1"
DELETE_OLD_REQUESTS = (
    f"DELETE FROM {protocol.REQUESTS_TABLE} WHERE created < $1"
)


@attrs.frozen
class Guard:
    """Preconditions that the target checks before it runs statements.

    Parameters
    ----------
    term : int
        Term in which the statements are sent.
    needed : LogPosition
        Log position that the target must have applied.
    write : bool
        Whether the target must be the primary of `term`; otherwise the
        transaction becomes read-only.
    lead : bool
        Whether the target must be the primary of `term` for a read as
        well. A former primary that now follows another one may lack
        writes that the new primary has acknowledged.
    idle_ms : int
        Milliseconds without a statement after which the target rolls
        back the transaction.
    """

    term: int
    needed: positions.LogPosition = positions.ORIGIN
    write: bool = False
    lead: bool = False
    idle_ms: int = SINGLE_IDLE_MS

    @property
    def mode(self):
        """Return the guard mode of `balsamhinge.targets.protocol`."""
        if self.write:
            return protocol.MODE_WRITE
        return protocol.MODE_LEAD if self.lead else protocol.MODE_READ

    def statement(self):
        """Return the statement that checks the guard."""
        return messages.Statement(
            protocol.SQL_GUARD,
            [
                self.mode,
                self.term,
                self.needed.term,
                self.needed.offset,
                self.idle_ms,
            ],
        )


@attrs.frozen
class RunResult:
    """Results of statements, with log position and term of the target.

    Parameters
    ----------
    results : list of CommandResult
        In the order of the statements.
    position : LogPosition
        Position of the commit, or position applied after a read.
    term : int
        Term of the target.
    """

    results: list[messages.CommandResult]
    position: positions.LogPosition
    term: int


class TargetConnection(abc.ABC):
    """Connection to a target, as filters and controllers use it.

    Attributes
    ----------
    commit_sent : bool
        Whether the last transaction may have been committed.
    """

    commit_sent = False

    @abc.abstractmethod
    async def pipeline(self, statements):
        """Run statements in one round trip.

        Parameters
        ----------
        statements : list of Statement
            Sent together; those after the first failure are not run.

        Returns
        -------
        list of CommandResult

        Raises
        ------
        CommandFailed
            If the target rejected a statement.
        OutcomeUnknown
            If the connection broke; it is unknown which statements ran.
        """

    @abc.abstractmethod
    async def close(self):
        """Close the connection; the target rolls back an open transaction."""

    @property
    @abc.abstractmethod
    def idle(self):
        """Whether the target confirmed that no transaction is open."""

    async def status(self):
        """Return the target's `TargetStatus`."""
        return await self._status(protocol.SQL_STATUS)

    async def fence(self, term, proposer):
        """Raise the target's term to `term` on behalf of `proposer`."""
        return await self._status(protocol.SQL_FENCE, term, proposer)

    async def promote(self, term, voters):
        """Make the target the primary of `term` with these voters."""
        joined = ",".join(voters)
        return await self._status(protocol.SQL_PROMOTE, term, joined)

    async def follow(self, term, primary):
        """Make the target a replica of `primary` in `term`."""
        return await self._status(protocol.SQL_FOLLOW, term, primary)

    async def retire(self, term):
        """Fence the target permanently."""
        return await self._status(protocol.SQL_RETIRE, term)

    async def wait_received(self, term, offset, timeout_s):
        """Return the status once the log reaches `offset` or time is up."""
        return await self._status(protocol.SQL_WAIT, term, offset, timeout_s)

    async def wait_applied(self, offset, timeout_s):
        """Return the status once `offset` is applied or time is up."""
        return await self._status(protocol.SQL_WAIT_APPLIED, offset, timeout_s)

    async def _status(self, sql, *params):
        statement = messages.Statement(sql, list(params))
        (result,) = await self.pipeline([statement])
        return parse_status(result)

    async def read(self, guard, statements):
        """Run read-only statements under a guard."""
        # One pipeline is one transaction, and the guard makes it read-only.
        # The position is queried after the statements, since they may see
        # later commits than the guard did.
        results = await self.pipeline(
            [guard.statement(), *statements, APPLIED]
        )
        term = int(results[0].rows[0][0])
        position = parse_position(results[-1])
        return RunResult(results[1:-1], position, term)

    async def write(self, guard, statements, request_id, created, encode):
        """Run statements as one transaction, at most once.

        Parameters
        ----------
        guard : Guard
            Preconditions, with `write` set.
        statements : list of Statement
            Run in this order.
        request_id : str
            Request identifier, recorded in the same transaction.
        created : float
            Seconds since the epoch, by which old identifiers are deleted.
        encode : callable
            Encodes the results as bytes, which are recorded for retries.

        Returns
        -------
        RunResult or None
            None if the identifier was already recorded.

        Raises
        ------
        CommandFailed
            The transaction was rolled back.
        OutcomeUnknown
            The outcome is unknown.
        """
        record = messages.Statement(INSERT_REQUEST, [request_id, created])
        commands = [
            BEGIN,
            guard.statement(),
            record,
            *statements,
        ]
        self.commit_sent = False
        try:
            results = await self._run_transaction(commands)
        except exceptions.OutcomeUnknown as exc:
            raise exceptions.ConnectionUnavailable(
                "the connection broke before the commit was sent"
            ) from exc
        except exceptions.CommandFailed as exc:
            if (
                exc.index == INSERT_REQUEST_INDEX
                and exc.sqlstate == protocol.DUPLICATE_REQUEST
            ):
                return None
            raise
        if self.idle:
            raise exceptions.OutcomeUnknown(
                "a statement ended its transaction"
            )
        own_results = results[INSERT_REQUEST_INDEX + 1 :]
        return await self.commit(
            request_id, encode(own_results), guard.term, own_results
        )

    async def write_repeatable(self, guard, statements):
        """Run idempotent statements as one transaction in one round trip."""
        self.commit_sent = True
        commands = [BEGIN, guard.statement(), *statements, COMMIT, COMMITTED]
        results = await self._run_transaction(commands)
        position = parse_position(results[-1])
        return RunResult(results[2:-2], position, guard.term)

    async def begin(self, guard):
        """Open a transaction under a guard."""
        self.commit_sent = False
        interactive_guard = attrs.evolve(guard, idle_ms=INTERACTIVE_IDLE_MS)
        begin_statement = BEGIN if guard.write else BEGIN_READ_ONLY
        await self._run_transaction(
            [begin_statement, interactive_guard.statement()]
        )

    async def commit(self, request_id, answer, term, results):
        """Record the encoded answer and commit the open transaction."""
        update = messages.Statement(UPDATE_REQUEST, [request_id, answer])
        self.commit_sent = True
        command_results = await self._run_transaction(
            [update, COMMIT, COMMITTED]
        )
        return RunResult(results, parse_position(command_results[2]), term)

    async def record_request(self, request_id, created):
        """Record a request identifier in the open transaction."""
        record = messages.Statement(INSERT_REQUEST, [request_id, created])
        await self._run_transaction([record])

    async def recorded_answer(self, guard, request_id):
        """Look up the recorded answer of a request.

        Returns
        -------
        answer : bytes or None
            The encoded answer, None if none is recorded.
        is_recorded : bool
            Whether the request identifier is recorded.
        position : LogPosition
            Position that the target had applied.
        """
        query = messages.Statement(SELECT_REQUEST, [request_id])
        result = await self.read(guard, [query])
        rows = result.results[0].rows
        answer = rows[0][0] if rows else None
        return answer, bool(rows), result.position

    async def forget_requests(self, guard, before):
        """Delete request identifiers recorded before a time.

        Parameters
        ----------
        guard : Guard
            Preconditions, with `write` set.
        before : float
            Seconds since the epoch.
        """
        delete = messages.Statement(DELETE_OLD_REQUESTS, [before])
        commands = [BEGIN, guard.statement(), delete, COMMIT]
        await self._run_transaction(commands)

    async def rollback(self):
        """Roll back the open transaction."""
        await self.pipeline([ROLLBACK])

    async def _run_transaction(self, commands):
        try:
            return await self.pipeline(commands)
        except exceptions.CommandFailed:
            if not self.idle:
                await self.rollback()
            raise


def parse_position(result):
    """Return the `LogPosition` in the first row of a result."""
    term, offset = result.rows[0]
    return positions.LogPosition(int(term), int(offset))


def parse_status(result):
    """Return the `TargetStatus` in the first row of a result."""
    fields = dict(zip(result.columns, result.rows[0], strict=True))
    return messages.TargetStatus(
        name=fields["name"],
        role=fields["role"],
        term=int(fields["term"]),
        proposer=fields["proposer"],
        received=positions.LogPosition(
            int(fields["received_term"]), int(fields["received_offset"])
        ),
        applied=positions.LogPosition(
            int(fields["applied_term"]), int(fields["applied_offset"])
        ),
        voters=fields["voters"].split(","),
        voters_term=int(fields["voters_term"]),
    )
