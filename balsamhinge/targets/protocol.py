"""Names that balsamhinge and a target's extension share.

Another database dialect supplies these functions under the same names.
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

# The statement names a lower, or a higher, term than the target has.
SUPERSEDED = "BH001"
STALE_TERM = "BH005"
BEHIND = "BH002"
NOT_PRIMARY = "BH003"
RETIRED = "BH004"
TOO_MANY_CONNECTIONS = "53300"
DUPLICATE_REQUEST = "23505"

# Modes of the guard: any target, the primary for a read, the primary.
MODE_READ = "read"
MODE_LEAD = "lead"
MODE_WRITE = "write"

REQUESTS_TABLE = "balsamhinge_requests"

SQL_STATUS = "SELECT * FROM balsamhinge_status()"
# term, proposer
SQL_FENCE = "SELECT * FROM balsamhinge_fence($1, $2)"
# term, comma-separated voters
SQL_PROMOTE = "SELECT * FROM balsamhinge_promote($1, $2)"
# term, name of the primary
SQL_FOLLOW = "SELECT * FROM balsamhinge_follow($1, $2)"
# term: take no term and no work from now on
SQL_RETIRE = "SELECT * FROM balsamhinge_retire($1)"
# term, offset, seconds: answer once the log has come that far
SQL_WAIT = "SELECT * FROM balsamhinge_wait($1, $2, $3)"
# offset, seconds: answer once reads see that much
SQL_WAIT_APPLIED = "SELECT * FROM balsamhinge_wait_applied($1, $2)"
# mode, term, needed term, needed offset, milliseconds of idleness after
# which the transaction is undone; read and lead make it read-only
SQL_GUARD = "SELECT * FROM balsamhinge_guard($1, $2, $3, $4, $5)"
# where the log that reads see ends
SQL_APPLIED = "SELECT * FROM balsamhinge_applied()"
# where this connection's last commit is
SQL_COMMITTED = "SELECT * FROM balsamhinge_committed()"
# replica's term, its last term and offset, most entries, seconds to wait
SQL_LOG = "SELECT * FROM balsamhinge_log($1, $2, $3, $4, $5)"
