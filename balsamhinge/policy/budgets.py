"""Rate limit for bytes that need not be sent at once."""

__all__ = ["ByteTokenBucket"]


class ByteTokenBucket:
    """A token bucket whose balance may become negative.

    Parameters
    ----------
    rate : float
        Bytes that are added per second.
    burst : float
        Maximum balance in bytes.

    Notes
    -----
    A message larger than `burst` is allowed whenever the balance is
    positive; later messages are refused until the debt is paid off.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._balance = burst
        self._updated_at = float("-inf")

    def try_spend(self, size, now):
        """Return whether `size` bytes may be sent; if so, deduct them.

        Parameters
        ----------
        size : int
            Bytes to send.
        now : float
            Time in seconds.
        """
        gained = (now - self._updated_at) * self._rate
        self._balance = min(self._burst, self._balance + gained)
        self._updated_at = now
        if self._balance <= 0:
            return False
        self._balance -= size
        return True
