"""How old a replica's data can be, without comparing clocks."""

import bisect
import collections

from balsamhinge.policy import positions

__all__ = ["PrimaryHistory"]

HISTORY_LENGTH = 600


class PrimaryHistory:
    """Positions of a primary by the local time when it was asked.

    Notes
    -----
    A replica that has applied what the primary held when it was asked at
    time t is no older than t, whatever the clocks of other machines say.
    """

    def __init__(self):
        self._times = collections.deque(maxlen=HISTORY_LENGTH)
        self._positions = collections.deque(maxlen=HISTORY_LENGTH)
        self._led_until = float("-inf")
        self.held = positions.ORIGIN

    def __len__(self):
        return len(self._times)

    def record_led(self, until, held):
        """Record that the primary led until then, and what is confirmed.

        Parameters
        ----------
        until : float
            Loop time in seconds; probes asked later prove nothing yet,
            because another target may lead since.
        held : LogPosition
            What a majority of the voters holds.
        """
        self._led_until = max(self._led_until, until)
        self.record_held(held)

    def record_held(self, held):
        """Record a position that a majority holds."""
        self.held = max(self.held, held)

    def record(self, asked, position):
        """Record what the primary held when it was asked at `asked`."""
        if self._times and asked <= self._times[-1]:
            return
        self._times.append(asked)
        self._positions.append(position)

    def needed_for(self, now, max_age_s):
        """Return what a target must hold to be at most so old.

        Parameters
        ----------
        now : float
            Loop time in seconds.
        max_age_s : float
            Greatest age in seconds.

        Returns
        -------
        LogPosition or None
            None if the primary has not been heard of for that long.
        """
        index = bisect.bisect_left(self._times, now - max_age_s)
        if index == len(self._times):
            return None
        if self._times[index] > self._led_until:
            return None
        return self._positions[index]

    def age_s(self, now, applied):
        """Return the age in seconds of a target, or None if unknown."""
        for asked, position in zip(
            reversed(self._times), reversed(self._positions), strict=True
        ):
            proven = asked <= self._led_until
            if proven and positions.covers(applied, position):
                return now - asked
        return None
