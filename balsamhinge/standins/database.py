"""A stand-in for one database target, without its wire protocol.

A target keeps a log of committed transactions, takes terms only upward
and, as a replica, pulls the log of its primary.  Data lives in SQLite.
"""

import asyncio
import os
import sqlite3
import tempfile

import attrs

from balsamhinge import exceptions
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.targets import protocol

__all__ = ["Database", "Knobs", "LogEntry", "refusal", "run_sqlite"]

CREATE_REQUESTS = (
    f"CREATE TABLE IF NOT EXISTS {protocol.REQUESTS_TABLE} "
    "(id TEXT PRIMARY KEY, answer BLOB, created REAL)"
)


@attrs.define
class Knobs:
    """What an experiment changes while a target runs.

    Parameters
    ----------
    connect_s, statement_s : float
        Seconds to open a connection, and to run a statement.
    apply_lag_s, receive_lag_s : float
        Seconds by which a replica applies and receives entries late.
    slots, connections : int
        Statements that run at once, and the limit of connections.
    """

    connect_s: float = 0.010
    statement_s: float = 0.0005
    apply_lag_s: float = 0.0
    receive_lag_s: float = 0.0
    slots: int = 3
    connections: int = 20


@attrs.frozen
class LogEntry:
    """One committed transaction, or the first entry of a term.

    Parameters
    ----------
    term : int
        Term of the primary that wrote it.
    statements : list of Statement
        What replicas run.
    voters : list of str
        The group's voters if this entry begins a term, else empty.
    """

    term: int
    statements: list[messages.Statement]
    voters: list[str] = attrs.Factory(list)


class Database:
    """One database target.

    Parameters
    ----------
    name : str
        Its name in the operators' text.
    voters : list of str
        Every target of the group at the start.
    primary : str
        The target that leads at term 1.
    knobs : Knobs
        Delays and limits.
    """

    def __init__(self, name, voters, primary, knobs):
        self.name = name
        self.knobs = knobs
        self.term = 1
        self.proposer = ""
        self.primary = primary
        self.retired = False
        self.log = [LogEntry(1, [], list(voters))]
        self.applied = 1
        self.settled = 1
        self.executed = []
        self.sessions = set()
        self.peak_connections = 0
        self.last_work = 0.0
        self.slots = asyncio.Semaphore(knobs.slots)
        self.write_lock = asyncio.Lock()
        self.reserved = {}
        self.progress = asyncio.Condition()
        self._directory = tempfile.TemporaryDirectory(prefix="bh-target-")
        self._generation = 0
        self._rebuild()

    def close(self):
        """Drop the data."""
        self._writer.close()
        self._directory.cleanup()

    def _rebuild(self):
        # A replica that drops entries starts over from its log, because
        # SQLite can not undo a committed transaction.
        self._generation += 1
        self._writer = self.open_sqlite()
        self._writer.execute(CREATE_REQUESTS)
        for entry in self.log[: self.applied]:
            self._replay(entry)

    def open_sqlite(self):
        """Return a new SQLite connection to the current data."""
        path = os.path.join(self._directory.name, f"{self._generation}.db")
        conn = sqlite3.connect(path, isolation_level=None, timeout=0)
        conn.execute("PRAGMA journal_mode=MEMORY")
        conn.execute("PRAGMA synchronous=OFF")
        conn.execute("PRAGMA cache_spill=OFF")
        return conn

    @property
    def generation(self):
        """Number of times the data was built from the log."""
        return self._generation

    @property
    def role(self):
        """Return the role, see `TargetStatus`."""
        if self.retired:
            return "retired"
        if not self.primary:
            return "fenced"
        return "primary" if self.primary == self.name else "replica"

    @property
    def received(self):
        """Return the position of the last entry kept."""
        return positions.LogPosition(self.log[-1].term, len(self.log))

    @property
    def applied_position(self):
        """Return the position of the last entry that reads see."""
        if not self.applied:
            return positions.ORIGIN
        term = self.log[self.applied - 1].term
        return positions.LogPosition(term, self.applied)

    def voters(self):
        """Return the latest voters in the log and the term naming them."""
        for entry in reversed(self.log):
            if entry.voters:
                return entry.voters, entry.term
        return [], 0

    def status(self):
        """Return a `TargetStatus`."""
        voters, voters_term = self.voters()
        return messages.TargetStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            proposer=self.proposer,
            received=self.received,
            applied=self.applied_position,
            voters=list(voters),
            voters_term=voters_term,
        )

    async def notify(self):
        """Wake everything that waits for a position or a term."""
        async with self.progress:
            self.progress.notify_all()

    def require_term(self, term):
        """Refuse work of any other term than the current one.

        Raises
        ------
        CommandFailed
            With `STALE_TERM` or `RETIRED`.
        """
        if self.retired:
            raise refusal(protocol.RETIRED, "the target is retired")
        if term < self.term:
            raise refusal(
                protocol.SUPERSEDED, f"term {term} is below {self.term}"
            )
        if term > self.term:
            raise refusal(
                protocol.STALE_TERM, f"term {term} is above {self.term}"
            )

    async def fence(self, term, proposer):
        """Take a higher term, after which nobody leads here."""
        if self.retired:
            raise refusal(protocol.RETIRED, "the target is retired")
        same = term == self.term and proposer == self.proposer
        if term <= self.term and not same:
            raise refusal(protocol.SUPERSEDED, f"term is {self.term}")
        if not same:
            self.term = term
            self.proposer = proposer
            self.primary = ""
            await self.notify()

    async def promote(self, term, voters):
        """Lead from now on; the first entry of the term names the voters."""
        self.require_term(term)
        if self.primary == self.name:
            return
        async with self.write_lock:
            self.require_term(term)
            self.settled = len(self.log)
            await self.apply_to(len(self.log))
            self.log.append(LogEntry(term, [], voters))
            self.settled = self.applied = len(self.log)
            self.primary = self.name
        await self.notify()

    async def follow(self, term, primary):
        """Pull the log of `primary`, a target that leads at `term`."""
        self.require_term(term)
        if self.primary not in ("", primary):
            raise refusal(protocol.STALE_TERM, "another primary is followed")
        self.primary = primary
        await self.notify()

    async def retire(self, term):
        """Take no work and no term from now on."""
        if term < self.term:
            raise refusal(protocol.SUPERSEDED, f"term is {self.term}")
        self.retired = True
        await self.notify()

    async def wait(self, term, offset, timeout_s):
        """Return once the log holds `offset`, or the time is over."""
        self.require_term(term)

        def reached():
            return len(self.log) >= offset or self.term != term

        await self.wait_for(reached, timeout_s)
        self.require_term(term)

    async def wait_for(self, predicate, timeout_s):
        """Wait until `predicate` holds, at most `timeout_s` seconds."""
        if predicate() or timeout_s <= 0:
            return
        try:
            async with asyncio.timeout(timeout_s), self.progress:
                await self.progress.wait_for(predicate)
        except TimeoutError:
            return

    async def append(self, term, statements):
        """Append a committed transaction and return its position."""
        self.log.append(LogEntry(term, statements))
        self.settled = self.applied = len(self.log)
        await self.notify()
        return self.received

    async def read_log(self, term, last, most, timeout_s):
        """Return entries for a replica whose log ends at `last`.

        Returns
        -------
        tuple of (int, list of LogEntry)
            The offset up to which the replica's log agrees, and what
            comes after it.
        """
        self.require_term(term)
        if self.primary != self.name:
            raise refusal(protocol.NOT_PRIMARY, "not the primary")
        if last.offset > len(self.log):
            return len(self.log), []
        if last.offset and self.log[last.offset - 1].term != last.term:
            return last.offset - 1, []
        await self.wait_for(
            lambda: len(self.log) > last.offset or self.term != term,
            timeout_s,
        )
        self.require_term(term)
        return last.offset, self.log[last.offset : last.offset + most]

    async def receive(self, term, agreed, entries):
        """Keep entries that the primary of `term` sent.

        Entries beyond `agreed` that the primary does not hold are dropped.
        """
        self.require_term(term)
        if agreed < len(self.log):
            del self.log[agreed:]
            if self.applied > agreed:
                self.applied = agreed
                self._rebuild()
            self.settled = min(self.settled, agreed)
        self.log.extend(entries)
        # An entry of an older term can still be dropped until an entry of
        # the primary's own term follows it, so reads do not see it before.
        if self.log and self.log[-1].term == term:
            self.settled = len(self.log)
        await self.notify()

    async def apply_to(self, offset):
        """Make entries up to `offset` visible to reads."""
        while self.applied < min(offset, self.settled):
            self._replay(self.log[self.applied])
            self.applied += 1
        await self.notify()

    def _replay(self, entry):
        self._writer.execute("BEGIN IMMEDIATE")
        for statement in entry.statements:
            run_sqlite(self._writer, statement.sql, statement.params)
        self._writer.execute("COMMIT")


def refusal(sqlstate, message):
    """Return the error of a refused command."""
    return exceptions.CommandFailed(0, sqlstate, message, [])


def run_sqlite(conn, sql, params):
    """Run one statement in SQLite, with $1, $2, ... bound."""
    values = {str(i): value for i, value in enumerate(params, 1)}
    cursor = conn.execute(sql, values)
    columns = [column[0] for column in cursor.description or []]
    rows = [list(row) for row in cursor.fetchall()]
    count = len(rows) if columns else max(cursor.rowcount, 0)
    return messages.CommandResult(columns, rows, count)
