"""Positions of a primary and the times since when they suffice."""

import bisect
import collections

from balsamhinge.policy import positions

__all__ = ["PositionSamples"]

# Samples come some tens a second; the greatest accepted age in use is
# 2.5 s.
MOST_SAMPLES = 400


class PositionSamples:
    """What a group's primary had committed, by the time of asking.

    Notes
    -----
    A position that the primary tells in answer to a question sent at time
    t covers every commit that was acknowledged before t. The oldest
    sample that an accepted age permits is the one that most replicas
    hold.
    """

    def __init__(self):
        self._times = collections.deque(maxlen=MOST_SAMPLES)
        self._positions = collections.deque(maxlen=MOST_SAMPLES)

    @property
    def latest_at(self):
        """Return the time of the latest sample in boot-clock seconds."""
        return self._times[-1] if self._times else float("-inf")

    @property
    def latest(self):
        """Return the position of the latest sample."""
        return self._positions[-1] if self._positions else positions.ORIGIN

    def record(self, asked_at, position):
        """Add a sample; one that is not later than the last is left out."""
        if asked_at <= self.latest_at:
            return
        self._times.append(asked_at)
        self._positions.append(position)

    def needed(self, now, max_age_s):
        """Return the least position that is recent enough, or None.

        Parameters
        ----------
        now : float
            Boot-clock seconds.
        max_age_s : float
            Accepted age in seconds.
        """
        index = bisect.bisect_left(self._times, now - max_age_s)
        if index == len(self._times):
            return None
        return self._positions[index]
