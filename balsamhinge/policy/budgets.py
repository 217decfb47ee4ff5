"""How much may be sent of what can wait."""

__all__ = ["ByteBudget"]


class ByteBudget:
    """A token bucket of bytes that may be in debt once.

    Parameters
    ----------
    rate : float
        Bytes that are added each second.
    burst : float
        Most bytes that are kept.

    Notes
    -----
    What is larger than `burst` can be sent too: it is refused only while
    earlier ones have not been made up for.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = float("-inf")

    def spend(self, size, now):
        """Return whether `size` bytes may be sent at `now` seconds."""
        gained = (now - self._at) * self._rate
        self._left = min(self._burst, self._left + gained)
        self._at = now
        if self._left <= 0:
            return False
        self._left -= size
        return True
