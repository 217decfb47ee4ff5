"""A budget that keeps retries from adding to an overload."""

import attrs

__all__ = ["RetryBudget"]

TOKENS_PER_REQUEST = 0.2
MOST_TOKENS = 50.0


@attrs.define
class RetryBudget:
    """Grants retries in proportion to first attempts.

    Parameters
    ----------
    tokens : float
        Retries that are allowed now.
    """

    tokens: float = MOST_TOKENS

    def record_request(self):
        """Count a first attempt."""
        self.tokens = min(MOST_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def take(self):
        """Return whether one more retry is allowed, and count it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
