"""Expected durations of statements, learned for each kind."""

import attrs

__all__ = ["Duration", "ServiceTimes"]

SERVICE_TIME_WEIGHT = 0.1
# Growth of the shortest duration towards the mean with each statement, so
# that it follows a target that becomes slower.
SHORTEST_RISE = 0.02
# Kinds are few (steps of the callers' operations); the limit protects the
# memory of an instance if callers' texts become part of them.
MAX_KINDS = 256


@attrs.define
class Duration:
    """Moving average of a duration.

    Parameters
    ----------
    mean_s : float
        Mean in seconds.
    deviation_s : float
        Mean absolute deviation in seconds.
    shortest_s : float
        Shortest recent duration in seconds.
    """

    mean_s: float
    deviation_s: float = 0.0
    shortest_s: float = 0.0

    def record(self, spent_s):
        """Record one measured duration."""
        error_s = spent_s - self.mean_s
        self.mean_s += SERVICE_TIME_WEIGHT * error_s
        self.deviation_s += SERVICE_TIME_WEIGHT * (
            abs(error_s) - self.deviation_s
        )
        rising_s = self.shortest_s + SHORTEST_RISE * (
            self.mean_s - self.shortest_s
        )
        self.shortest_s = min(spent_s, rising_s)


class ServiceTimes:
    """Durations by kind of statement.

    Parameters
    ----------
    default : Duration
        Average over all kinds, used for kinds without a measurement.
    """

    def __init__(self, default):
        self.default = default
        self._kinds = {}

    def of(self, kind):
        """Return the `Duration` of a kind."""
        return self._kinds.get(kind, self.default)

    def record(self, kind, spent_s):
        """Record one measured duration of a kind."""
        self.default.record(spent_s)
        if not kind:
            return
        known = self._kinds.get(kind)
        if known is not None:
            known.record(spent_s)
        elif len(self._kinds) < MAX_KINDS:
            self._kinds[kind] = Duration(spent_s)
