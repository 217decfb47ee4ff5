"""One connection to a target, above any transport.

Commands travel in pipelines: one round trip each, and the first command
that fails ends the pipeline.
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
# The target undoes a single write that an instance leaves in the middle,
# and an interactive transaction only after a longer time.
SINGLE_IDLE_MS = 2_000
INTERACTIVE_IDLE_MS = 60_000
RECORD_INDEX = 2
INSERT_REQUEST = (
    f"INSERT INTO {protocol.REQUESTS_TABLE} (id, created) VALUES ($1, $2)"
)
UPDATE_REQUEST = (
    f"UPDATE {protocol.REQUESTS_TABLE} SET answer = $2 WHERE id = $1"
)
SELECT_REQUEST = f"SELECT answer FROM {protocol.REQUESTS_TABLE} WHERE id = $1"
FORGET_REQUESTS = f"DELETE FROM {protocol.REQUESTS_TABLE} WHERE created < $1"


@attrs.frozen
class Guard:
    """What must hold at the target when the work runs.

    Parameters
    ----------
    term : int
        Term under which the work is sent.
    needed : LogPosition
        What the target must have applied.
    write : bool
        Whether the target must lead at `term`; otherwise the transaction
        becomes read-only.
    lead : bool
        Whether the target must lead at `term` for a read as well: one
        that follows another primary by now can lack what that has
        acknowledged.
    idle_ms : int
        Milliseconds after which the target undoes the transaction if
        nothing more comes.
    """

    term: int
    needed: positions.LogPosition = positions.ORIGIN
    write: bool = False
    lead: bool = False
    idle_ms: int = SINGLE_IDLE_MS

    @property
    def mode(self):
        """Return the mode that the target knows."""
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
    """Results of statements, and how far the target was."""

    results: list[messages.CommandResult]
    position: positions.LogPosition
    term: int


class TargetConnection(abc.ABC):
    """What filters and controllers use of a target.

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
            Sent together; the first that fails ends them.

        Returns
        -------
        list of CommandResult

        Raises
        ------
        CommandFailed
            If the target refused one.
        OutcomeUnknown
            If the connection broke; what was run is unknown.
        """

    @abc.abstractmethod
    async def close(self):
        """Close the connection; the target undoes what is open."""

    @property
    @abc.abstractmethod
    def idle(self):
        """Whether the target confirmed that no transaction is open."""

    async def status(self):
        """Return the target's `TargetStatus`."""
        return await self._status(protocol.SQL_STATUS)

    async def fence(self, term, proposer):
        """Make the target take `term` on behalf of `proposer`."""
        return await self._status(protocol.SQL_FENCE, term, proposer)

    async def promote(self, term, voters):
        """Make the target lead at `term` for these voters."""
        joined = ",".join(voters)
        return await self._status(protocol.SQL_PROMOTE, term, joined)

    async def follow(self, term, primary):
        """Make the target follow `primary` at `term`."""
        return await self._status(protocol.SQL_FOLLOW, term, primary)

    async def retire(self, term):
        """Fence the target for good."""
        return await self._status(protocol.SQL_RETIRE, term)

    async def wait_received(self, term, offset, timeout_s):
        """Return the status once the log reaches `offset`, or later."""
        return await self._status(protocol.SQL_WAIT, term, offset, timeout_s)

    async def wait_applied(self, offset, timeout_s):
        """Return the status once reads see `offset`, or later."""
        return await self._status(protocol.SQL_WAIT_APPLIED, offset, timeout_s)

    async def _status(self, sql, *params):
        statement = messages.Statement(sql, list(params))
        (result,) = await self.pipeline([statement])
        return parse_status(result)

    async def read(self, guard, statements):
        """Run statements that change nothing, under a guard."""
        # One pipeline is one transaction, and the guard makes it read-only.
        # The position is asked for after the statements, since they may
        # see later commits than the guard did.
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
            With `write` set.
        statements : list of Statement
            In order.
        request_id : str
            Recorded in the same transaction.
        created : float
            Seconds since the epoch, for forgetting old identifiers.
        encode : callable
            Turns the results into the bytes that a repeat will get.

        Returns
        -------
        RunResult or None
            None if the identifier is recorded already.

        Raises
        ------
        CommandFailed
            Nothing is kept.
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
            results = await self._transaction(commands)
        except exceptions.OutcomeUnknown as exc:
            raise exceptions.ConnectionUnavailable(
                "the connection broke before the commit was sent"
            ) from exc
        except exceptions.CommandFailed as exc:
            if (
                exc.index == RECORD_INDEX
                and exc.sqlstate == protocol.DUPLICATE_REQUEST
            ):
                return None
            raise
        if self.idle:
            raise exceptions.OutcomeUnknown(
                "a statement ended its transaction"
            )
        kept = results[RECORD_INDEX + 1 :]
        return await self.commit(request_id, encode(kept), guard.term, kept)

    async def write_repeatable(self, guard, statements):
        """Run statements that may run twice, in one round trip."""
        self.commit_sent = True
        commands = [BEGIN, guard.statement(), *statements, COMMIT, COMMITTED]
        results = await self._transaction(commands)
        position = parse_position(results[-1])
        return RunResult(results[2:-2], position, guard.term)

    async def begin(self, guard):
        """Open a transaction under a guard."""
        self.commit_sent = False
        lasting = attrs.evolve(guard, idle_ms=INTERACTIVE_IDLE_MS)
        opening = BEGIN if guard.write else BEGIN_READ_ONLY
        await self._transaction([opening, lasting.statement()])

    async def commit(self, request_id, answer, term, results):
        """Commit the open transaction together with its answer."""
        keep = messages.Statement(UPDATE_REQUEST, [request_id, answer])
        self.commit_sent = True
        ended = await self._transaction([keep, COMMIT, COMMITTED])
        return RunResult(results, parse_position(ended[2]), term)

    async def record_request(self, request_id, created):
        """Record an identifier in the open transaction."""
        record = messages.Statement(INSERT_REQUEST, [request_id, created])
        await self._transaction([record])

    async def recorded_answer(self, guard, request_id):
        """Return the answer kept for an identifier, or None, and where."""
        question = messages.Statement(SELECT_REQUEST, [request_id])
        found = await self.read(guard, [question])
        rows = found.results[0].rows
        answer = rows[0][0] if rows else None
        return answer, bool(rows), found.position

    async def forget_requests(self, guard, before):
        """Delete identifiers that were recorded before a time."""
        forget = messages.Statement(FORGET_REQUESTS, [before])
        commands = [BEGIN, guard.statement(), forget, COMMIT]
        await self._transaction(commands)

    async def rollback(self):
        """Undo the open transaction."""
        await self.pipeline([ROLLBACK])

    async def _transaction(self, commands):
        try:
            return await self.pipeline(commands)
        except exceptions.CommandFailed:
            if not self.idle:
                await self.rollback()
            raise


def parse_position(result):
    """Return the `LogPosition` that a target's row holds."""
    term, offset = result.rows[0]
    return positions.LogPosition(int(term), int(offset))


def parse_status(result):
    """Return the `TargetStatus` that a target's row holds."""
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
