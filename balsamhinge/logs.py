"""Structured logging: one line of key=value pairs for each event."""

import collections
import contextvars
import os
import sys
import time

import logbook

__all__ = [
    "BoundedHandler",
    "EventRateLimiter",
    "event",
    "report_dropped",
    "set_request_id",
    "set_up",
    "set_up_bounded",
]

LEVELS = ("debug", "info", "notice", "warning", "error")
LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
    "level={record.level_name} {record.message}"
)

# Limit for each event name. Events of requests can occur hundreds of times
# a second; a sample of them is enough for a diagnosis.
MAX_LINES_PER_S = 20
# Lines that would exceed this buffer are dropped.
MAX_BUFFERED_BYTES = 256 * 1024

_min_level_index = 0
_rate_limiter = None
_request_id = contextvars.ContextVar("request_id", default="")


def set_up(level):
    """Write log lines of `level` and above to standard error."""
    global _min_level_index
    _min_level_index = LEVELS.index(level)
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=LINE_FORMAT
    )
    handler.push_application()
    return handler


class EventRateLimiter:
    """Limits the lines written in a second for each event name.

    Parameters
    ----------
    lines_per_s : int
        Maximum number of lines of one event in a second.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, lines_per_s=MAX_LINES_PER_S, clock=time.monotonic):
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._second = 0
        self._written = collections.Counter()
        self.dropped = collections.Counter()

    def allows(self, name):
        """Count a line of event `name`; return whether to write it."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[name] += 1
        if self._written[name] <= self._lines_per_s:
            return True
        self.dropped[name] += 1
        return False

    def pop_dropped(self):
        """Return the dropped lines by event name and reset the counts."""
        dropped, self.dropped = self.dropped, collections.Counter()
        return dropped


class BoundedHandler(logbook.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines that the reader has not taken are kept in a bounded buffer;
    lines that do not fit are dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    level : str
        Minimum level of lines.
    """

    def __init__(self, descriptor, level):
        super().__init__(level=level)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.formatter = logbook.StringFormatter(LINE_FORMAT)
        self.dropped = 0

    def emit(self, record):
        """Buffer a formatted record and flush; see `logbook.Handler`."""
        line = (self.format(record) + "\n").encode("utf-8", "replace")
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; only the counter remains.
                self.dropped += 1
                self._buffer.clear()
                return
            del self._buffer[:written]


def set_up_bounded(level, descriptor):
    """Write rate-limited log lines through a `BoundedHandler`."""
    global _min_level_index, _rate_limiter
    _min_level_index = LEVELS.index(level)
    _rate_limiter = EventRateLimiter()
    handler = BoundedHandler(descriptor, level.upper())
    handler.push_application()
    return handler


def report_dropped(write, handler):
    """Log and reset the numbers of dropped lines.

    Parameters
    ----------
    write : callable
        Method of a logger, for example `log.warning`.
    handler : BoundedHandler or None
        Handler to flush and report on.
    """
    if _rate_limiter is not None:
        for name, count in _rate_limiter.pop_dropped().items():
            event(write, "log_lines_dropped", dropped=name, lines=count)
    if handler is not None:
        handler.flush()
        if handler.dropped:
            count, handler.dropped = handler.dropped, 0
            event(write, "log_lines_dropped", dropped="unread", lines=count)


def set_request_id(request_id):
    """Add `request_id` to the lines that the current task logs."""
    _request_id.set(request_id)


def event(write, name, /, **fields):
    """Log an event, subject to the minimum level and the rate limit.

    Parameters
    ----------
    write : callable
        Method of a logger, for example `log.info`.
    name : str
        Name of the event.
    **fields
        Further pairs of the line.
    """
    if LEVELS.index(write.__name__) < _min_level_index:
        return
    if _rate_limiter is not None and not _rate_limiter.allows(name):
        return
    request_id = _request_id.get()
    if request_id:
        fields["request_id"] = request_id
    pairs = [f"event={name}"]
    pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
    write(" ".join(pairs))


def format_value(value):
    """Return a value as text, quoted if it holds blanks or quotes."""
    text = f"{value:.6f}" if isinstance(value, float) else str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
