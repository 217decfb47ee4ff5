"""Rate limits of customers: token buckets, grants, and demand estimates.

Owners hold a token bucket for each customer and grant tokens that end soon.
Entry instances spend them, see docs/design/customer-limits.md. All times are
seconds of the boot clock, which the callers pass in.
"""

import bisect
import math

import attrs

__all__ = [
    "Allowance",
    "BucketSize",
    "DemandEstimate",
    "GrantBalance",
    "MAX_RETRY_AFTER_S",
    "TokenBucket",
    "grant_lifetime_s",
    "limit_retry_after_s",
]

# Longest time for which an entry instance rejects without asking again.
# Several instances compete for each refill, and one that waits longer leaves
# tokens unused while its callers are rejected.
MAX_RETRY_AFTER_S = 0.1
# Shortest such time, so that a bucket with a high rate is not asked again for
# each operation.
MIN_RETRY_AFTER_S = 0.005
# Share of the permitted slack that buckets may hold beyond the burst. A third
# of a small limit in each data centre holds too few whole tokens: at rate 2,
# burst 2 and a demand of 1/1.6 of that, one more token in each of 3 buckets
# leaves 6.9 % refused, this share 0.3 %. The other half of the slack covers
# operations that wait in a queue between admission and execution.
SLACK_SHARE = 0.5
# Spare tokens are granted only from the part of the bucket above this share.
# Below it they would expire at one instance while others are refused.
SPARE_LEVEL_SHARE = 0.5
# Time constant of the demand estimate, about the lifetime of a grant.
DEMAND_TIME_CONSTANT_S = 0.5
# A grant that ends sooner than this may end before its reply has arrived. A
# deployment that permits no overage gets the lifetime from the slack.
MIN_OVERAGE_LIFETIME_S = 0.1
MAX_SLACK_LIFETIME_S = 0.5
# Rounding errors of refills must not withhold a token that is due.
LEVEL_TOLERANCE = 1e-9


def grant_lifetime_s(settings, rate_per_s, data_centres):
    """Return the seconds from the request to the end of a grant.

    Tokens that are spent in a window were granted in the window or up to
    this time before it, so it is bounded by the permitted overage.

    Parameters
    ----------
    settings : CustomerSettings
        Settings of the deployment.
    rate_per_s : float
        Rate of the customer over all data centres.
    data_centres : int
        Number of data centres.
    """
    by_overage_s = settings.limit_overage * settings.limit_window_s
    if by_overage_s >= MIN_OVERAGE_LIFETIME_S or rate_per_s <= 0:
        return by_overage_s
    used = extra_capacity(settings.limit_slack, data_centres) * data_centres
    spare = max(0.0, settings.limit_slack - used)
    by_slack_s = min(MAX_SLACK_LIFETIME_S, spare / rate_per_s)
    return max(by_overage_s, by_slack_s)


def extra_capacity(slack, data_centres):
    """Return the tokens that a bucket may hold beyond its share of a burst.

    At least one, without which a customer with a burst below the number of
    data centres could not run an operation at all.

    Parameters
    ----------
    slack : float
        Operations by which a limit may be exceeded.
    data_centres : int
        Number of data centres.
    """
    return max(1.0, SLACK_SHARE * slack / data_centres)


def limit_retry_after_s(seconds):
    """Return a time until the next request within the permitted range."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


@attrs.frozen
class BucketSize:
    """Rate in tokens a second, and capacity, of one bucket of a customer."""

    rate_per_s: float
    capacity: float

    @classmethod
    def from_customer(cls, customer, data_centres, slack):
        """Return the size of the bucket in each of several data centres.

        Parameters
        ----------
        customer : Customer
            Limit over all data centres.
        data_centres : int
            Number of data centres.
        slack : float
            See `extra_capacity`.
        """
        return cls(
            customer.rate_per_s / data_centres,
            customer.burst / data_centres
            + extra_capacity(slack, data_centres),
        )


@attrs.frozen
class Allowance:
    """Answer of a bucket to a request for tokens.

    Parameters
    ----------
    tokens : int
        Tokens that are granted.
    retry_after_s : float
        Seconds until it is worth asking again; 0 if all needed tokens are
        granted.
    """

    tokens: int
    retry_after_s: float = 0.0


class TokenBucket:
    """A token bucket, which starts empty.

    Parameters
    ----------
    size : BucketSize
        Rate and capacity.
    since : float
        Time from which the bucket fills.

    Attributes
    ----------
    size : BucketSize
        Rate and capacity in force.
    granted, refused : int
        Tokens that were granted, and needed tokens that were not.
    """

    def __init__(self, size, since):
        self.size = size
        self.granted = 0
        self.refused = 0
        self._level = 0.0
        self._at = since

    def level(self, now):
        """Return the tokens in the bucket."""
        elapsed_s = max(0.0, now - self._at)
        refilled = self._level + elapsed_s * self.size.rate_per_s
        return min(self.size.capacity, refilled)

    def is_full(self, now):
        """Return whether the bucket equals one that was never used."""
        return self.level(now) >= self.size.capacity

    def resize(self, size, now):
        """Change rate and capacity, keeping the content that still fits."""
        self._set_level(min(self.level(now), size.capacity), now)
        self.size = size

    def _set_level(self, level, now):
        self._level = level
        self._at = max(self._at, now)

    def take(self, needed, expected, now):
        """Take tokens for an instance.

        Parameters
        ----------
        needed : int
            Operations that wait.
        expected : int
            Further operations that the instance expects before the grant
            ends. Tokens for them are taken only while the bucket is more
            than half full.
        now : float
            Time of the request.

        Returns
        -------
        Allowance
        """
        level = self.level(now)
        tokens = min(needed, whole_tokens(level))
        spare = level - tokens - SPARE_LEVEL_SHARE * self.size.capacity
        if tokens == needed:
            tokens += min(expected, whole_tokens(spare))
        self._set_level(level - tokens, now)
        self.granted += tokens
        if tokens >= needed:
            return Allowance(tokens)
        self.refused += needed - tokens
        return Allowance(tokens, self.next_token_s(now))

    def next_token_s(self, now):
        """Return the seconds until a token is there, within the limits."""
        missing = 1.0 - self.level(now)
        if self.size.rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        return limit_retry_after_s(missing / self.size.rate_per_s)


def whole_tokens(level):
    """Return the number of whole tokens in `level`, at least 0."""
    return max(0, math.floor(level + LEVEL_TOLERANCE))


class GrantBalance:
    """Tokens that an entry instance may still spend on a customer.

    Attributes
    ----------
    expired : int
        Tokens whose grant has ended before they were spent.
    """

    def __init__(self):
        self.expired = 0
        # Ends and numbers of tokens, ordered by end.
        self._grants = []

    def add(self, tokens, end):
        """Add tokens that may be spent before `end`."""
        if tokens > 0:
            bisect.insort(self._grants, [end, tokens])

    def take(self, now):
        """Spend a token; return the end of its grant, or None.

        The token that ends first is spent first.
        """
        self._drop_expired(now)
        if not self._grants:
            return None
        grant = self._grants[0]
        grant[1] -= 1
        if not grant[1]:
            del self._grants[0]
        return grant[0]

    def count(self, now):
        """Return the number of tokens that may be spent."""
        self._drop_expired(now)
        return sum(tokens for _end, tokens in self._grants)

    def _drop_expired(self, now):
        while self._grants and self._grants[0][0] <= now:
            self.expired += self._grants.pop(0)[1]


class DemandEstimate:
    """Operations a second of a customer at one entry instance.

    Arrivals count with a weight that decays exponentially.
    """

    def __init__(self):
        self._weight = 0.0
        self._at = float("-inf")

    def record(self, now):
        """Record the arrival of one operation."""
        self._weight = self._decayed(now) + 1.0
        self._at = now

    def rate_per_s(self, now):
        """Return the estimated rate."""
        return self._decayed(now) / DEMAND_TIME_CONSTANT_S

    def _decayed(self, now):
        elapsed_s = max(0.0, now - self._at)
        return self._weight * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
