"""One connection to a stand-in target: its transactions and its rules."""

import asyncio
import re
import sqlite3

from balsamhinge import exceptions
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.standins import answers
from balsamhinge.standins import database
from balsamhinge.targets import protocol

__all__ = ["DatabaseSession"]

FUNCTION = re.compile(r"^\s*SELECT \* FROM balsamhinge_(\w+)\(", re.I)
WORK_TIME = re.compile(r"/\*\s*work:(\d+(?:\.\d+)?)\s*\*/")
TRANSACTION_END = ("COMMIT", "ROLLBACK")
WRITES = ("INSERT", "UPDATE", "DELETE", "CREATE", "DROP", "ALTER")
IN_FAILED_TRANSACTION = "25P02"
READ_ONLY = "25006"
IDLE_TIMEOUT = "25P03"
INSERT_REQUEST = f"INSERT INTO {protocol.REQUESTS_TABLE}"
SELECT_REQUEST = f"SELECT id FROM {protocol.REQUESTS_TABLE} WHERE id = $1"


class DatabaseSession:
    """One connection to a `Database`."""

    def __init__(self, held):
        if len(held.sessions) >= held.knobs.connections:
            raise database.refusal(
                protocol.TOO_MANY_CONNECTIONS, "too many connections"
            )
        self.database = held
        held.sessions.add(self)
        peak = max(held.peak_connections, len(held.sessions))
        held.peak_connections = peak
        self._conn = held.open_sqlite()
        self._generation = held.generation
        self._term = held.term
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
            raise database.refusal(IDLE_TIMEOUT, "idle-in-transaction timeout")
        try:
            return await self._execute(sql, params)
        except sqlite3.IntegrityError as exc:
            self._fail()
            raise database.refusal(
                protocol.DUPLICATE_REQUEST, str(exc)
            ) from exc
        except sqlite3.Error as exc:
            self._fail()
            raise database.refusal("42601", str(exc)) from exc
        except exceptions.CommandFailed:
            self._fail()
            raise

    def _fail(self):
        if self.in_transaction:
            self.failed = True

    async def _execute(self, sql, params):
        verb = sql.strip().split(None, 1)[0].upper().rstrip(";")
        if self.failed and verb not in TRANSACTION_END:
            raise database.refusal(
                IN_FAILED_TRANSACTION, "transaction is aborted"
            )
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
            database.run_sqlite(self._conn, statement.sql, statement.params)
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
        found = database.run_sqlite(self._conn, SELECT_REQUEST, [request_id])
        if found.rows:
            raise database.refusal(
                protocol.DUPLICATE_REQUEST, "duplicate request"
            )
        reserved[request_id] = asyncio.Event()
        self._reserved.append(request_id)
        self._deferred.append(statement)
        return messages.CommandResult(row_count=1)

    async def _commit(self):
        if self.failed:
            self._rollback()
            raise database.refusal(
                IN_FAILED_TRANSACTION, "transaction was rolled back"
            )
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
            return database.run_sqlite(self._conn, sql, params)
        if self._read_only or not self.in_transaction:
            raise database.refusal(
                READ_ONLY, "cannot write in a read-only transaction"
            )
        statement = messages.Statement(sql, list(params))
        if sql.startswith(INSERT_REQUEST):
            return await self._reserve(statement)
        if protocol.REQUESTS_TABLE not in sql:
            await self._work(sql)
        await self._lock()
        result = database.run_sqlite(self._conn, sql, params)
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
            raise database.refusal(protocol.NOT_PRIMARY, "not the primary")

    async def _call_status(self):
        return answers.status_result(self.database.status())

    async def _call_fence(self, term, proposer):
        await self.database.fence(int(term), proposer)
        return answers.status_result(self.database.status())

    async def _call_promote(self, term, voters):
        await self.database.promote(int(term), voters.split(","))
        return answers.status_result(self.database.status())

    async def _call_follow(self, term, primary):
        await self.database.follow(int(term), primary)
        return answers.status_result(self.database.status())

    async def _call_retire(self, term):
        await self.database.retire(int(term))
        return answers.status_result(self.database.status())

    async def _call_wait(self, term, offset, timeout_s):
        await self.database.wait(int(term), int(offset), float(timeout_s))
        return answers.status_result(self.database.status())

    async def _call_knob(self, name, value):
        setattr(self.database.knobs, name, float(value))
        return messages.CommandResult()

    async def _call_peak(self):
        peak = self.database.peak_connections
        return messages.CommandResult(["peak"], [[peak]], 1)

    async def _call_log(self, term, last_term, last_offset, most, wait_s):
        last = positions.LogPosition(int(last_term), int(last_offset))
        agreed, entries = await self.database.read_log(
            int(term), last, int(most), float(wait_s)
        )
        return answers.log_result(agreed, entries)

    async def _call_wait_applied(self, offset, timeout_s):
        held = self.database
        await held.wait_for(
            lambda: held.applied >= int(offset), float(timeout_s)
        )
        return answers.status_result(held.status())

    async def _call_guard(self, mode, term, need_term, need_offset, idle_ms):
        held = self.database
        self.idle_limit_s = float(idle_ms) / 1000
        if mode in (protocol.MODE_WRITE, protocol.MODE_LEAD):
            self._require_primary(int(term))
        elif held.retired:
            raise database.refusal(protocol.RETIRED, "the target is retired")
        self._term = int(term)
        needed = positions.LogPosition(int(need_term), int(need_offset))
        applied = held.applied_position
        if not positions.covers(applied, needed):
            raise database.refusal(protocol.BEHIND, str(applied))
        return messages.CommandResult(["term"], [[held.term]], 1)

    async def _call_committed(self):
        return answers.position_result(self._committed)

    async def _call_applied(self):
        return answers.position_result(self.database.applied_position)
