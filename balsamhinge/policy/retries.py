"""Retry budget, which keeps retries from adding to an overload."""

import attrs

__all__ = ["RetryBudget"]

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 50.0


@attrs.define
class RetryBudget:
    """Grants retries in proportion to first attempts.

    Parameters
    ----------
    tokens : float
        Number of retries that are allowed now.
    """

    tokens: float = MAX_TOKENS

    def record_request(self):
        """Count a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def try_spend(self):
        """Return whether a retry is allowed; if so, count it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
