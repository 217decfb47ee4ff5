"""Log lines: one line of key=value pairs for each event."""

import contextvars
import sys

import logbook

__all__ = ["event", "log_request", "set_up"]

LEVELS = ("debug", "info", "notice", "warning", "error")
FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)

_least = 0
_request_id = contextvars.ContextVar("request_id", default="")


def set_up(level, stream=None):
    """Send log lines of `level` and above to a stream.

    Parameters
    ----------
    level : str
        One of `LEVELS`.
    stream : file, optional
        Standard error if none is given.
    """
    global _least
    _least = LEVELS.index(level)
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=level.upper(), format_string=FORMAT
    )
    handler.push_application()
    return handler


def log_request(request_id):
    """Add a request's identifier to the lines of the running task."""
    _request_id.set(request_id)


def event(write, name, **fields):
    """Write one line, unless its level is below the least one.

    Parameters
    ----------
    write : callable
        A logger's method, for example `log.info`.
    name : str
        What happened.
    **fields
        Further pairs.
    """
    if LEVELS.index(write.__name__) < _least:
        return
    request_id = _request_id.get()
    if request_id:
        fields["request_id"] = request_id
    pairs = [f"event={name}"]
    pairs += [f"{key}={quoted(value)}" for key, value in fields.items()]
    write(" ".join(pairs))


def quoted(value):
    """Return a value as text, in quotes where it has to be."""
    text = f"{value:.6f}" if isinstance(value, float) else str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
