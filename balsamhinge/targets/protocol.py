"""Protocol between the proxy and the extension that targets run.

The extension for another SQL dialect has to provide the same functions.
"""

__all__ = [
    "BEHIND",
    "DUPLICATE_REQUEST",
    "MODE_LEAD",
    "MODE_READ",
    "MODE_WRITE",
    "NOT_PRIMARY",
    "REQUESTS_TABLE",
    "RETIRED",
    "SQL_APPLIED",
    "SQL_COMMITTED",
    "SQL_FENCE",
    "SQL_FOLLOW",
    "SQL_GUARD",
    "SQL_LOG",
    "SQL_PROMOTE",
    "SQL_RETIRE",
    "SQL_STATUS",
    "SQL_WAIT",
    "SQL_WAIT_APPLIED",
    "STALE_TERM",
    "SUPERSEDED",
    "TOO_MANY_CONNECTIONS",
]

# SQLSTATE codes. SUPERSEDED: the statement's term is lower than that of the
# target. STALE_TERM: it is higher, or the target follows another primary in
# this term. BEHIND: the target has not applied the needed log position.
SUPERSEDED = "BH001"
STALE_TERM = "BH005"
BEHIND = "BH002"
NOT_PRIMARY = "BH003"
RETIRED = "BH004"
TOO_MANY_CONNECTIONS = "53300"
DUPLICATE_REQUEST = "23505"

# Modes of the guard: read on any target, read on the primary, write on the
# primary.
MODE_READ = "read"
MODE_LEAD = "lead"
MODE_WRITE = "write"

REQUESTS_TABLE = "balsamhinge_requests"

SQL_STATUS = "SELECT * FROM balsamhinge_status()"
# Raises the term of the target: term, proposer.
SQL_FENCE = "SELECT * FROM balsamhinge_fence($1, $2)"
# Makes the target primary: term, comma-separated voters.
SQL_PROMOTE = "SELECT * FROM balsamhinge_promote($1, $2)"
# Makes the target a replica: term, name of the primary.
SQL_FOLLOW = "SELECT * FROM balsamhinge_follow($1, $2)"
# Makes the target reject later terms and all work: term.
SQL_RETIRE = "SELECT * FROM balsamhinge_retire($1)"
# Waits until the log is received up to an offset: term, offset, timeout in
# seconds.
SQL_WAIT = "SELECT * FROM balsamhinge_wait($1, $2, $3)"
# Waits until the log is applied up to an offset: offset, timeout in seconds.
SQL_WAIT_APPLIED = "SELECT * FROM balsamhinge_wait_applied($1, $2)"
# Checks the preconditions of a transaction: mode, term, needed position (term,
# offset), idle timeout in milliseconds after which the target rolls back.
# MODE_READ and MODE_LEAD make the transaction read-only.
SQL_GUARD = "SELECT * FROM balsamhinge_guard($1, $2, $3, $4, $5)"
# Returns the position up to which the log is applied.
SQL_APPLIED = "SELECT * FROM balsamhinge_applied()"
# Returns the log position of this connection's last commit.
SQL_COMMITTED = "SELECT * FROM balsamhinge_committed()"
# Returns log entries for a replica: its term, the term and offset of its last
# entry, maximum number of entries, timeout in seconds.
SQL_LOG = "SELECT * FROM balsamhinge_log($1, $2, $3, $4, $5)"
