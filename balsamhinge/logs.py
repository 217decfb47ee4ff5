"""Log lines: one line of key=value pairs for each event."""

import collections
import contextvars
import os
import sys
import time

import logbook

__all__ = [
    "BoundedHandler",
    "EventBudget",
    "event",
    "log_request",
    "report_dropped",
    "set_up",
    "set_up_bounded",
]

LEVELS = ("debug", "info", "notice", "warning", "error")
FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)

# Lines a second of one event: what touches requests can come with each of
# hundreds a second, and an engineer needs some of each kind, not all.
LINES_PER_S = 20
# Bytes that wait for a reader of standard output; more are dropped.
MOST_WAITING_BYTES = 256 * 1024

_least = 0
_budget = None
_request_id = contextvars.ContextVar("request_id", default="")


def set_up(level):
    """Send log lines of `level` and above to standard error."""
    global _least
    _least = LEVELS.index(level)
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=FORMAT
    )
    handler.push_application()
    return handler


class EventBudget:
    """How many lines of each event may be written in a second.

    Parameters
    ----------
    lines_per_s : int
        Most lines of one event.
    clock : callable
        Returns seconds.
    """

    def __init__(self, lines_per_s=LINES_PER_S, clock=time.monotonic):
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._written = collections.Counter()
        self.dropped = collections.Counter()

    def allows(self, name):
        """Count a line of an event; return whether it may be written."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[name] += 1
        if self._written[name] <= self._lines_per_s:
            return True
        self.dropped[name] += 1
        return False

    def take_dropped(self):
        """Return how many lines were dropped by event, and forget it."""
        dropped, self.dropped = self.dropped, collections.Counter()
        return dropped


class BoundedHandler(logbook.Handler):
    """Writes lines to a descriptor, and never waits for its reader.

    Parameters
    ----------
    descriptor : int
        Is made non-blocking.
    level : str
        Least level of lines.
    """

    def __init__(self, descriptor, level):
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self.formatter = logbook.StringFormatter(FORMAT)
        self.dropped = 0

    def emit(self, record):
        """See `logbook.Handler`."""
        line = (self.format(record) + "\n").encode("utf-8", "replace")
        if len(self._waiting) + len(line) > MOST_WAITING_BYTES:
            self.dropped += 1
        else:
            self._waiting += line
        self.flush()

    def flush(self):
        """Write what the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nobody to tell.
                self.dropped += 1
                self._waiting.clear()
                return
            del self._waiting[:written]


def set_up_bounded(level, descriptor):
    """Send bounded log lines to a descriptor; see `BoundedHandler`."""
    global _least, _budget
    _least = LEVELS.index(level)
    _budget = EventBudget()
    handler = BoundedHandler(descriptor, level.upper())
    handler.push_application()
    return handler


def report_dropped(write, handler):
    """Write one line for each event whose lines were dropped."""
    if _budget is not None:
        for name, count in _budget.take_dropped().items():
            event(write, "log_lines_dropped", dropped=name, lines=count)
    if handler is not None:
        handler.flush()
        if handler.dropped:
            count, handler.dropped = handler.dropped, 0
            event(write, "log_lines_dropped", dropped="unread", lines=count)


def log_request(request_id):
    """Add a request's identifier to the lines of the running task."""
    _request_id.set(request_id)


def event(write, name, /, **fields):
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
    if _budget is not None and not _budget.allows(name):
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
