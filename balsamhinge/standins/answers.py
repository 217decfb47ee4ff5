"""Rows in which a stand-in target answers balsamhinge's functions."""

import msgspec

from balsamhinge.policy import messages
from balsamhinge.standins import database
from balsamhinge.targets import protocol

__all__ = [
    "log_result",
    "log_statement",
    "parse_log",
    "position_result",
    "status_result",
]

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
    entries = msgspec.msgpack.decode(encoded, type=list[database.LogEntry])
    return int(agreed), entries


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
