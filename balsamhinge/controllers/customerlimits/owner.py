"""Owner's side of rate limits: buckets and the requests for their tokens."""

import attrs

from balsamhinge.policy import limitmessages
from balsamhinge.policy import ratelimits

__all__ = ["LimitOwnerController"]

# Interval in which buckets of removed customers are dropped once full.
DROP_INTERVAL_S = 10.0


@attrs.define
class OwnedBucket:
    """The bucket of a customer whose limit this instance owns.

    Parameters
    ----------
    bucket : TokenBucket
        The bucket.
    granting_from : float
        Boot seconds from which this instance may grant its tokens.
    history_version : int
        Version of the ownership for which that holds.
    """

    bucket: ratelimits.TokenBucket
    granting_from: float
    history_version: int


class LimitOwnerController:
    """Grants tokens of the customers whose limits this instance owns.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    membership : LimitMembership
        Decides which customers are owned.
    """

    def __init__(self, fleet, membership):
        self._boot_time = fleet.dependencies.boot_time
        self._membership = membership
        self._owned = {}
        self._next_drop_at = 0.0

    def serve(self, request):
        """Return the `AllowanceReply` to an `AllowanceRequest`."""
        reply = limitmessages.AllowanceReply()
        for name, needed in request.needed.items():
            expected = request.expected.get(name, 0)
            allowance = self.grant(name, needed, expected)
            if allowance is None:
                reply.not_owned.append(name)
                continue
            if allowance.tokens:
                reply.granted[name] = allowance.tokens
            if allowance.retry_after_s:
                reply.retry_after_s[name] = allowance.retry_after_s
        return reply

    def grant(self, name, needed, expected):
        """Grant tokens to one instance.

        Parameters
        ----------
        name : str
            Name of the customer.
        needed, expected : int
            See `TokenBucket.take`.

        Returns
        -------
        Allowance or None
            None if this instance may not grant tokens of the customer.
        """
        now = self._boot_time()
        customer = self._membership.limited_customer(name)
        is_valid = needed >= 0 and expected >= 0
        if customer is None or not is_valid:
            return None
        if not self._membership.may_grant(now):
            return None
        owned = self._find_owned(customer, now)
        if owned is None:
            return None
        return owned.bucket.take(needed, expected, now)

    def _find_owned(self, customer, now):
        """Return the `OwnedBucket` of a customer, or None."""
        membership = self._membership
        size = membership.bucket_size(customer)
        owned = self._owned.get(customer.name)
        if (
            owned is None
            or owned.history_version != membership.history_version
        ):
            granting_from = membership.granting_from(customer.name)
            if owned is None or owned.granting_from != granting_from:
                # Another instance may have granted until then.
                bucket = ratelimits.TokenBucket(size, granting_from)
                owned = OwnedBucket(bucket, granting_from, 0)
            owned.history_version = membership.history_version
            self._owned[customer.name] = owned
        if now < owned.granting_from:
            del self._owned[customer.name]
            return None
        if owned.bucket.size != size:
            owned.bucket.resize(size, now)
        return owned

    def sweep(self):
        """Drop full buckets of removed customers.

        A full bucket is equal to one that is created later. One that is not
        full stays, as its customer may be added again.
        """
        now = self._boot_time()
        if now < self._next_drop_at:
            return
        self._next_drop_at = now + DROP_INTERVAL_S
        self._owned = {
            name: owned
            for name, owned in self._owned.items()
            if self._membership.limited_customer(name) is not None
            or not owned.bucket.is_full(now)
        }

    def describe(self):
        """Return the state of all buckets by customer."""
        now = self._boot_time()
        return {
            name: {
                "level": owned.bucket.level(now),
                "capacity": owned.bucket.size.capacity,
                "rate_per_s": owned.bucket.size.rate_per_s,
                "granted": owned.bucket.granted,
                "refused": owned.bucket.refused,
            }
            for name, owned in sorted(self._owned.items())
        }
