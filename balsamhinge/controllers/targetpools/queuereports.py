"""Predicted waits that hosts report of their targets' admission queues."""

import attrs

__all__ = ["QueueReports"]


@attrs.frozen
class _Report:
    """A report; `received_at` in loop seconds."""

    waits_s: list
    received_at: float


class QueueReports:
    """Last report of each target's admission queue."""

    def __init__(self):
        self._reports = {}

    def record(self, target, waits_s, now):
        """Store a report that has arrived.

        Parameters
        ----------
        target : str
            Name of the target.
        waits_s : list of float
            Predicted wait in seconds, by route priority; an empty list
            changes nothing.
        now : float
            Loop time in seconds.
        """
        if waits_s:
            self._reports[target] = _Report(waits_s, now)

    def predicted_wait_s(self, target, priority, now):
        """Return the wait that was last reported for a target, and its age.

        Parameters
        ----------
        target : str
            Name of the target.
        priority : int
            Priority of the route.
        now : float
            Loop time in seconds.

        Returns
        -------
        seconds, age_s : float
            Wait of a new statement of that priority, 0 if none was reported;
            seconds since the report arrived, infinite if there is none.
        """
        report = self._reports.get(target)
        if report is None:
            return 0.0, float("inf")
        # Less urgent routes than any that the host knows wait the longest.
        index = max(0, min(priority, len(report.waits_s) - 1))
        return report.waits_s[index], now - report.received_at

    def retain_only(self, targets):
        """Remove the targets whose names are not in `targets`."""
        for name in set(self._reports) - set(targets):
            del self._reports[name]
