"""A stand-in for one database target, without its wire protocol.

A target keeps a log of committed transactions, takes terms only upward
and, as a replica, pulls the log of its primary.  Data lives in SQLite.
"""

import asyncio
import os
import re
import sqlite3
import tempfile

import attrs
import msgspec

from balsamhinge import exceptions
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.targets import protocol

__all__ = [
    "Database",
    "DatabaseSession",
    "Knobs",
    "LogEntry",
    "log_statement",
    "parse_log",
]

FUNCTION = re.compile(r"^\s*SELECT \* FROM balsamhinge_(\w+)\(", re.I)
WORK_TIME = re.compile(r"/\*\s*work:(\d+(?:\.\d+)?)\s*\*/")
TRANSACTION_END = ("COMMIT", "ROLLBACK")
WRITES = ("INSERT", "UPDATE", "DELETE", "CREATE", "DROP", "ALTER")
IN_FAILED_TRANSACTION = "25P02"
READ_ONLY = "25006"
IDLE_TIMEOUT = "25P03"
STATUS_COLUMNS = [
    "name",
    "role",
    "term",
    "proposer",
    "received_term",
    "received_offset",
    "applied_term",
    "applied_offset",
    "voters",
    "voters_term",
]
INSERT_REQUEST = f"INSERT INTO {protocol.REQUESTS_TABLE}"
SELECT_REQUEST = f"SELECT id FROM {protocol.REQUESTS_TABLE} WHERE id = $1"
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


class DatabaseSession:
    """One connection to a `Database`."""

    def __init__(self, database):
        if len(database.sessions) >= database.knobs.connections:
            raise refusal(
                protocol.TOO_MANY_CONNECTIONS, "too many connections"
            )
        self.database = database
        database.sessions.add(self)
        peak = max(database.peak_connections, len(database.sessions))
        database.peak_connections = peak
        self._conn = database.open_sqlite()
        self._generation = database.generation
        self._term = database.term
        self._guarded = False
        self.in_transaction = False
        self.failed = False
        self._pending = []
        self._deferred = []
        self._reserved = []
        self._locked = False
        self._read_only = False
        self._committed = positions.ORIGIN
        self.idle_limit_s = 0.0
        self._idle_timer = None
        self.expired = False

    def close(self):
        """Give up the connection; an open transaction is undone."""
        self.stop_watching_idle()
        self.database.sessions.discard(self)
        self._rollback()
        self._conn.close()

    async def execute(self, sql, params):
        """Run one command and return a `CommandResult`.

        Raises
        ------
        CommandFailed
            If the target refuses it or SQLite finds an error.
        """
        if self.expired:
            raise refusal(IDLE_TIMEOUT, "idle-in-transaction timeout")
        try:
            return await self._execute(sql, params)
        except sqlite3.IntegrityError as exc:
            self._fail()
            raise refusal(protocol.DUPLICATE_REQUEST, str(exc)) from exc
        except sqlite3.Error as exc:
            self._fail()
            raise refusal("42601", str(exc)) from exc
        except exceptions.CommandFailed:
            self._fail()
            raise

    def _fail(self):
        if self.in_transaction:
            self.failed = True

    async def _execute(self, sql, params):
        verb = sql.strip().split(None, 1)[0].upper().rstrip(";")
        if self.failed and verb not in TRANSACTION_END:
            raise refusal(IN_FAILED_TRANSACTION, "transaction is aborted")
        function = FUNCTION.match(sql)
        if function:
            return await getattr(self, f"_call_{function[1].lower()}")(*params)
        if verb == "BEGIN":
            return await self._begin(sql)
        if verb == "COMMIT":
            return await self._commit()
        if verb == "ROLLBACK":
            self._rollback()
            return messages.CommandResult()
        return await self._statement(verb, sql, params)

    def watch_idle(self):
        """Undo the open transaction unless a command comes in time."""
        self.stop_watching_idle()
        if self.in_transaction and self.idle_limit_s:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(self.idle_limit_s, self.expire)

    def stop_watching_idle(self):
        """Take note that a command came."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def expire(self):
        """End the session after an idle transaction, as PostgreSQL does."""
        self.expired = True
        self.close()

    async def _begin(self, sql):
        self._read_only = "READ ONLY" in sql.upper()
        self.in_transaction = True
        self._refresh()
        return messages.CommandResult()

    async def _lock(self):
        """Begin to write in SQLite, which has a single writer.

        Readers see each statement's latest state, so that no reader keeps
        a writer from committing.
        """
        if not self._locked:
            await self.database.write_lock.acquire()
            self._locked = True
            self._refresh()
            self._conn.execute("BEGIN IMMEDIATE")
        for statement in self._deferred:
            run_sqlite(self._conn, statement.sql, statement.params)
            self._pending.append(statement)
        self._deferred = []

    async def _reserve(self, statement):
        """Record a request identifier, at the latest with the commit.

        Another transaction with the same identifier is waited for, as
        PostgreSQL does with a unique key.
        """
        request_id = statement.params[0]
        reserved = self.database.reserved
        while request_id in reserved:
            await reserved[request_id].wait()
        found = run_sqlite(self._conn, SELECT_REQUEST, [request_id])
        if found.rows:
            raise refusal(protocol.DUPLICATE_REQUEST, "duplicate request")
        reserved[request_id] = asyncio.Event()
        self._reserved.append(request_id)
        self._deferred.append(statement)
        return messages.CommandResult(row_count=1)

    async def _commit(self):
        if self.failed:
            self._rollback()
            raise refusal(IN_FAILED_TRANSACTION, "transaction was rolled back")
        if not self._read_only:
            await self._commit_writes()
        self._end()
        return messages.CommandResult()

    async def _commit_writes(self):
        # The term is looked at again: a fence since the guard refuses the
        # commit, and a majority of such refusals protects the new term.
        await self._lock()
        try:
            self._require_primary(self._term)
        except exceptions.CommandFailed:
            self._rollback()
            raise
        self._conn.execute("COMMIT")
        if self._pending:
            self._committed = await self.database.append(
                self._term, self._pending
            )
            self.database.executed.append((self._term, tuple(self._pending)))

    def _rollback(self):
        if self.in_transaction:
            if self._conn.in_transaction:
                self._conn.execute("ROLLBACK")
            self._end()

    def _end(self):
        if self._locked:
            self.database.write_lock.release()
        self._locked = False
        for request_id in self._reserved:
            self.database.reserved.pop(request_id).set()
        self._reserved = []
        self._deferred = []
        self.in_transaction = False
        self.failed = False
        self._pending = []
        self._read_only = False
        self.idle_limit_s = 0.0

    async def _statement(self, verb, sql, params):
        if verb not in WRITES:
            await self._work(sql)
            self._refresh()
            return run_sqlite(self._conn, sql, params)
        if self._read_only or not self.in_transaction:
            raise refusal(READ_ONLY, "cannot write in a read-only transaction")
        statement = messages.Statement(sql, list(params))
        if sql.startswith(INSERT_REQUEST):
            return await self._reserve(statement)
        if protocol.REQUESTS_TABLE not in sql:
            await self._work(sql)
        await self._lock()
        result = run_sqlite(self._conn, sql, params)
        self._pending.append(statement)
        return result

    async def _work(self, sql):
        seconds = self.database.knobs.statement_s
        stated = WORK_TIME.search(sql)
        if stated:
            seconds = float(stated[1]) / 1000
        async with self.database.slots:
            self.database.last_work = asyncio.get_running_loop().time()
            await asyncio.sleep(seconds)

    def _refresh(self):
        if self._generation != self.database.generation:
            self._conn.close()
            self._conn = self.database.open_sqlite()
            self._generation = self.database.generation

    def _require_primary(self, term):
        self.database.require_term(term)
        if self.database.role != "primary":
            raise refusal(protocol.NOT_PRIMARY, "not the primary")

    async def _call_status(self):
        return status_result(self.database.status())

    async def _call_fence(self, term, proposer):
        await self.database.fence(int(term), proposer)
        return status_result(self.database.status())

    async def _call_promote(self, term, voters):
        await self.database.promote(int(term), voters.split(","))
        return status_result(self.database.status())

    async def _call_follow(self, term, primary):
        await self.database.follow(int(term), primary)
        return status_result(self.database.status())

    async def _call_retire(self, term):
        await self.database.retire(int(term))
        return status_result(self.database.status())

    async def _call_wait(self, term, offset, timeout_s):
        await self.database.wait(int(term), int(offset), float(timeout_s))
        return status_result(self.database.status())

    async def _call_knob(self, name, value):
        setattr(self.database.knobs, name, float(value))
        return messages.CommandResult()

    async def _call_log(self, term, last_term, last_offset, most, wait_s):
        last = positions.LogPosition(int(last_term), int(last_offset))
        agreed, entries = await self.database.read_log(
            int(term), last, int(most), float(wait_s)
        )
        return log_result(agreed, entries)

    async def _call_wait_applied(self, offset, timeout_s):
        database = self.database
        await database.wait_for(
            lambda: database.applied >= int(offset), float(timeout_s)
        )
        return status_result(database.status())

    async def _call_guard(self, mode, term, need_term, need_offset, idle_ms):
        database = self.database
        self.idle_limit_s = float(idle_ms) / 1000
        if mode == "write":
            self._require_primary(int(term))
        elif database.retired:
            raise refusal(protocol.RETIRED, "the target is retired")
        self._term = int(term)
        needed = positions.LogPosition(int(need_term), int(need_offset))
        applied = database.applied_position
        if not positions.covers(applied, needed):
            raise refusal(protocol.BEHIND, str(applied))
        return messages.CommandResult(["term"], [[database.term]], 1)

    async def _call_committed(self):
        return position_result(self._committed)

    async def _call_applied(self):
        return position_result(self.database.applied_position)


def log_statement(term, last, most, timeout_s):
    """Return the statement by which a replica asks for the log."""
    return messages.Statement(
        protocol.SQL_LOG, [term, last.term, last.offset, most, timeout_s]
    )


def log_result(agreed, entries):
    """Return what `Database.read_log` gives, as a row."""
    encoded = msgspec.msgpack.encode(entries)
    return messages.CommandResult(
        ["agreed", "entries"], [[agreed, encoded]], 1
    )


def parse_log(result):
    """Return the offset and the entries that a row holds."""
    agreed, encoded = result.rows[0]
    entries = msgspec.msgpack.decode(encoded, type=list[LogEntry])
    return int(agreed), entries


def refusal(sqlstate, message):
    """Return the error of a refused command."""
    return exceptions.CommandFailed(0, sqlstate, message, [])


def position_result(position):
    """Return a `LogPosition` as a row."""
    row = [position.term, position.offset]
    return messages.CommandResult(["term", "offset"], [row], 1)


def status_result(status):
    """Return a `TargetStatus` as a row."""
    row = [
        status.name,
        status.role,
        status.term,
        status.proposer,
        status.received.term,
        status.received.offset,
        status.applied.term,
        status.applied.offset,
        ",".join(status.voters),
        status.voters_term,
    ]
    return messages.CommandResult(STATUS_COLUMNS, [row], 1)


def run_sqlite(conn, sql, params):
    """Run one statement in SQLite, with $1, $2, ... bound."""
    values = {str(i): value for i, value in enumerate(params, 1)}
    cursor = conn.execute(sql, values)
    columns = [column[0] for column in cursor.description or []]
    rows = [list(row) for row in cursor.fetchall()]
    count = len(rows) if columns else max(cursor.rowcount, 0)
    return messages.CommandResult(columns, rows, count)
