"""Log positions of a primary by the time of asking."""

import bisect
import collections

from balsamhinge.policy import positions

__all__ = ["PositionSamples"]

# Tens of samples are taken per second, and the maximum ages of reads in use
# go up to 2.5 s.
MAX_SAMPLES = 400


class PositionSamples:
    """Recent positions of a group's primary, by the time of asking.

    Notes
    -----
    A position that the primary reports to a query sent at time t covers
    every commit that was acknowledged before t. Of the samples within the
    maximum age the oldest is used, as most replicas hold it.
    """

    def __init__(self):
        self._times = collections.deque(maxlen=MAX_SAMPLES)
        self._positions = collections.deque(maxlen=MAX_SAMPLES)

    @property
    def latest_at(self):
        """Time of the latest sample in boot-clock seconds, or -inf."""
        return self._times[-1] if self._times else float("-inf")

    @property
    def latest(self):
        """Position of the latest sample, or `ORIGIN`."""
        return self._positions[-1] if self._positions else positions.ORIGIN

    def record(self, asked_at, position):
        """Add a sample unless it is older than the latest one.

        Parameters
        ----------
        asked_at : float
            Boot-clock seconds when the primary was asked.
        position : LogPosition
            Position that it reported.
        """
        if asked_at <= self.latest_at:
            return
        self._times.append(asked_at)
        self._positions.append(position)

    def first_covering(self, position):
        """Return the time of the first sample that covers a position.

        Returns
        -------
        float
            Boot-clock seconds; infinite if no sample covers it.
        """
        index = bisect.bisect_left(self._positions, position)
        if index == len(self._times):
            return float("inf")
        return self._times[index]

    def first_beyond(self, position):
        """Return the time of the first sample later than a position.

        Returns
        -------
        float
            Boot-clock seconds; infinite if there is none.
        """
        index = bisect.bisect_right(self._positions, position)
        if index == len(self._times):
            return float("inf")
        return self._times[index]

    def position_for_age(self, now, max_age_s):
        """Return the position that data of a maximum age must include.

        Parameters
        ----------
        now : float
            Boot-clock seconds.
        max_age_s : float
            Maximum age of the data in seconds.

        Returns
        -------
        LogPosition or None
            None if no sample is recent enough.
        """
        return self.first_since(now - max_age_s)

    def first_since(self, since):
        """Return the position of the first sample that is not older.

        Parameters
        ----------
        since : float
            Boot-clock seconds.

        Returns
        -------
        LogPosition or None
            None if no sample is that recent.
        """
        index = bisect.bisect_left(self._times, since)
        if index == len(self._times):
            return None
        return self._positions[index]
