"""Maximum age of a replica's data, computed without comparing clocks."""

import bisect
import collections

from balsamhinge.policy import positions

__all__ = ["PrimaryHistory"]

MAX_OBSERVATIONS = 600


class PrimaryHistory:
    """Log positions of a primary by the local time when it was asked.

    Notes
    -----
    If the primary, asked at time t, reports a position, then a replica
    that has applied this position has all data of before t. Only the
    local clock is involved.
    """

    def __init__(self):
        self._times = collections.deque(maxlen=MAX_OBSERVATIONS)
        self._positions = collections.deque(maxlen=MAX_OBSERVATIONS)
        self._led_until = float("-inf")
        self.confirmed_position = positions.ORIGIN

    def __len__(self):
        return len(self._times)

    def record_leading_until(self, until, confirmed):
        """Record that the primary still led at a time.

        Parameters
        ----------
        until : float
            Loop time in seconds. Positions asked for later prove nothing
            yet, because another target may have become the primary.
        confirmed : LogPosition
            Position that a majority of the voters holds.
        """
        self._led_until = max(self._led_until, until)
        self.record_confirmed(confirmed)

    def record_confirmed(self, position):
        """Record a position that a majority of the voters holds."""
        self.confirmed_position = max(self.confirmed_position, position)

    def record_position(self, asked, position):
        """Record the position of the primary.

        Parameters
        ----------
        asked : float
            Loop time in seconds when the primary was asked.
        position : LogPosition
            Position that it reported.
        """
        if self._times and asked <= self._times[-1]:
            return
        self._times.append(asked)
        self._positions.append(position)

    def position_for_age(self, now, max_age_s):
        """Return the position that data of a maximum age must include.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        max_age_s : float
            Maximum age of the data in seconds.

        Returns
        -------
        LogPosition or None
            None if no position of the primary is recent enough.
        """
        index = bisect.bisect_left(self._times, now - max_age_s)
        if index == len(self._times):
            return None
        if self._times[index] > self._led_until:
            return None
        return self._positions[index]

    def data_age_s(self, now, applied):
        """Return the age of a target's data in seconds, None if unknown.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        applied : LogPosition
            Last position that the target has applied.
        """
        for asked, position in zip(
            reversed(self._times), reversed(self._positions), strict=True
        ):
            proven = asked <= self._led_until
            if proven and positions.covers(applied, position):
                return now - asked
        return None
