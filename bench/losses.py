"""Tabulates why statements were lost: python -m bench.losses LOG [LOG ...]."""

import argparse
import collections
import enum
import sys

import attrs

from balsamhinge import explaining
from balsamhinge import tables

__all__ = ["Loss", "LossReport", "Reason", "classify", "main"]

COLUMNS_BY_REASON = ["outcome", "reason", "statements", "mean_wait_s"]
COLUMNS_BY_SECOND = ["second", "statements", "most_frequent", "share"]
LOSS_EVENTS = {
    "refused": "not run",
    "write_in_doubt": "in doubt",
    "transaction_aborted": "aborted",
}


class Reason(enum.StrEnum):
    """What a lost statement waited for last."""

    LEASE = "lease"
    CONNECTION = "connection"
    POSITION = "position"
    SLOT = "slot"
    HOST = "host"
    ANSWER = "answer"
    PRIMARY_CHANGE = "primary change"
    OTHER = "other"


# The first phrase that the text of an attempt contains decides.
PHRASES = (
    ("no primary may be used", Reason.LEASE),
    ("lease has lapsed", Reason.LEASE),
    ("host may not use the primary", Reason.LEASE),
    ("gets another primary", Reason.PRIMARY_CHANGE),
    ("may have another primary", Reason.PRIMARY_CHANGE),
    ("no answer of host", Reason.HOST),
    ("host is about to stop", Reason.HOST),
    ("does not answer", Reason.HOST),
    ("no connection to", Reason.CONNECTION),
    ("accepts no more connections", Reason.CONNECTION),
    ("too_many", Reason.CONNECTION),
    (" wait for ", Reason.CONNECTION),
    ("behind", Reason.POSITION),
    ("busy", Reason.SLOT),
    ("TimeoutError", Reason.ANSWER),
    ("no answer", Reason.ANSWER),
)


def classify(text):
    """Return the `Reason` in the text of a statement's last attempt."""
    for phrase, reason in PHRASES:
        if phrase in text:
            return reason
    return Reason.OTHER


@attrs.frozen
class Loss:
    """A statement that was not served.

    Parameters
    ----------
    second : int
        Time of day in seconds.
    outcome : str
        What the caller was told.
    reason : Reason
        What it waited for last.
    waited_s : float or None
        Seconds from its arrival to the answer, if the line tells them.
    """

    second: int
    outcome: str
    reason: Reason
    waited_s: float | None

    @classmethod
    def from_line(cls, line):
        """Return the loss in a `LogLine`, or None."""
        outcome = LOSS_EVENTS.get(line.event)
        if outcome is None:
            return None
        attempts = line.fields.get("failures", line.fields.get("error", ""))
        waited = line.fields.get("waited_s")
        return cls(
            int(line.second),
            outcome,
            classify(attempts.rpartition("; ")[2]),
            float(waited) if waited else None,
        )


@attrs.define
class LossReport:
    """Losses of a played day.

    Parameters
    ----------
    losses : list of Loss
        All losses in the logs.
    dropped : int
        Lines about losses that the instances did not write because of
        their rate limit.
    """

    losses: list = attrs.Factory(list)
    dropped: int = 0

    def add(self, line):
        """Take the next `LogLine` into account."""
        if line.event == "log_lines_dropped":
            if line.fields.get("dropped") in LOSS_EVENTS:
                self.dropped += int(line.fields["lines"])
            return
        loss = Loss.from_line(line)
        if loss is not None:
            self.losses.append(loss)

    def rows_by_reason(self):
        """Return a table row for each outcome and reason, largest first."""
        waits = collections.defaultdict(list)
        for loss in self.losses:
            waits[loss.outcome, loss.reason].append(loss.waited_s)
        rows = []
        for (outcome, reason), known in waits.items():
            told = [wait for wait in known if wait is not None]
            mean_s = sum(told) / len(told) if told else None
            values = outcome, reason, len(known), mean_s
            rows.append(dict(zip(COLUMNS_BY_REASON, values, strict=True)))
        return sorted(rows, key=lambda row: -row["statements"])

    def rows_by_second(self):
        """Return a table row for each second in which something was lost."""
        counts = collections.defaultdict(collections.Counter)
        for loss in self.losses:
            counts[loss.second][loss.reason] += 1
        rows = []
        for second, reasons in sorted(counts.items()):
            reason, most = reasons.most_common(1)[0]
            values = second, reasons.total(), reason, most / reasons.total()
            rows.append(dict(zip(COLUMNS_BY_SECOND, values, strict=True)))
        return rows


def main(argv=None):
    """Print both tables; return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench.losses")
    parser.add_argument("logs", nargs="+", metavar="LOG")
    args = parser.parse_args(argv)
    report = LossReport()
    for path in args.logs:
        with open(path, encoding="utf-8", errors="replace") as log_file:
            for text in log_file:
                line = explaining.parse_line(text, path)
                if line is not None:
                    report.add(line)
    print(tables.render(report.rows_by_reason(), COLUMNS_BY_REASON))
    print()
    print(tables.render(report.rows_by_second(), COLUMNS_BY_SECOND))
    print(f"\nlines dropped by the instances: {report.dropped}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
