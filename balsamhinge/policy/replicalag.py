"""Measured lag of a replica, to predict whether it holds a position."""

import math

import attrs

from balsamhinge.policy import positions

__all__ = ["ReplicaLag"]

# Weight of one report in the moving average of the lag. An answer that the
# replica lacks a position raises the lag at once.
LAG_WEIGHT = 0.3
# Time in seconds after which a measured lag counts for 1/e. A large fleet's
# instance asks one replica every other second, and must not avoid it for
# long after the lag has passed.
LAG_MEMORY_S = 3.0
# A shorter lag passes before a statement arrives.
MIN_LAG_S = 0.005


@attrs.define
class ReplicaLag:
    """Lag of one replica.

    Parameters
    ----------
    lag_s : float
        Seconds for which the replica lacked the primary's latest entries.
    measured_at : float
        Boot-clock seconds of the last measurement.
    applied : LogPosition
        Highest position that it has reported.
    """

    lag_s: float = 0.0
    measured_at: float = float("-inf")
    applied: positions.LogPosition = positions.ORIGIN

    def record_applied(self, position, history, now):
        """Record a position that the replica has reported.

        Parameters
        ----------
        position : LogPosition
            The reported position.
        history : PositionSamples
            Positions of the group's primary.
        now : float
            Boot-clock seconds.
        """
        self.applied = position
        lacks_from = history.first_beyond(position)
        lag_s = max(0.0, now - lacks_from)
        self.lag_s += LAG_WEIGHT * (lag_s - self.lag_s)
        self.measured_at = now

    def record_missing(self, needed, history, now):
        """Record that the replica lacked a position; see above."""
        known_from = history.first_covering(needed)
        if known_from <= now:
            self.lag_s = max(self.lag_s, now - known_from)
            self.measured_at = now

    def predicted_s(self, now):
        """Return the predicted lag in seconds; old measurements fade."""
        age_s = now - self.measured_at
        lag_s = self.lag_s * math.exp(-age_s / LAG_MEMORY_S)
        return lag_s if lag_s >= MIN_LAG_S else 0.0
