"""Response times and failures of the targets, as this instance sees them."""

import attrs

from balsamhinge.policy import positions

__all__ = ["HealthController", "TargetHealth"]

# Weight of one answer in the moving average of response times.
RESPONSE_MEAN_WEIGHT = 0.1
# An abandoned wait counts as a response of this multiple of its duration,
# with a higher weight, so that a few abandoned waits show a slow target.
ABANDONED_FACTOR = 2.0
ABANDONED_MEAN_WEIGHT = 0.3
# An order without an answer counts as a failure after this time. The
# longest statements of the configured classes take 0.16 to 0.27 s.
MAX_UNANSWERED_S = 0.3


@attrs.define
class TargetHealth:
    """Last contacts with one target; times are the loop's, in seconds.

    Parameters
    ----------
    last_answer_at : float
        Time of the last answer of any kind, minus infinity before.
    first_failure_at : float
        Time of the first failure since then, or infinity.
    outstanding : dict of int to float
        Send times of the unanswered statements, by `id` of the `Order`.
    applied : LogPosition
        Last applied position that the target reported.
    applied_at : float
        Time of that report.
    mean_response_s : float
        Moving average of the response times in seconds.
    """

    last_answer_at: float = float("-inf")
    first_failure_at: float = float("inf")
    outstanding: dict = attrs.Factory(dict)
    applied: positions.LogPosition = positions.ORIGIN
    applied_at: float = float("-inf")
    mean_response_s: float = 0.0

    def unresponsive_s(self, now):
        """Return for how many seconds the target has failed to respond.

        The result is 0 for a target that responds.
        """
        failing_since = self.first_failure_at
        for sent_at in self.outstanding.values():
            if now - sent_at > MAX_UNANSWERED_S:
                failing_since = min(
                    failing_since, max(sent_at, self.last_answer_at)
                )
                break
        return max(0.0, now - failing_since)


class HealthController:
    """Tracks the health of all targets."""

    def __init__(self):
        self._healths = {}

    def of(self, target):
        """Return the `TargetHealth` of a target, created if missing."""
        health = self._healths.get(target)
        if health is None:
            health = self._healths[target] = TargetHealth()
        return health

    def record_sent(self, target, order, now):
        """Record that an order was sent."""
        self.of(target).outstanding[id(order)] = now

    def record_answer(self, target, order, answer, now):
        """Record the answer to an order."""
        health = self.of(target)
        sent_at = health.outstanding.pop(id(order), now)
        health.mean_response_s += RESPONSE_MEAN_WEIGHT * (
            now - sent_at - health.mean_response_s
        )
        if answer.position is not None:
            health.applied = answer.position
            health.applied_at = now
        self.record_contact(target, now)

    def record_contact(self, target, now):
        """Record that a target responded in any way."""
        health = self.of(target)
        health.last_answer_at = now
        health.first_failure_at = float("inf")

    def record_abandoned(self, target, order, now):
        """Record that an order's answer is no longer waited for."""
        health = self.of(target)
        sent_at = health.outstanding.pop(id(order), None)
        if sent_at is None:
            return
        # The answer would have taken longer than the wait. With only the
        # wait counted, work would still be sent with too little time left.
        estimate_s = ABANDONED_FACTOR * (now - sent_at)
        health.mean_response_s += ABANDONED_MEAN_WEIGHT * max(
            0.0, estimate_s - health.mean_response_s
        )

    def withdraw(self, target, order):
        """Remove an order that was refused before it reached the target."""
        self.of(target).outstanding.pop(id(order), None)

    def record_failure(self, target, now):
        """Record a failure to connect or a lost connection."""
        health = self.of(target)
        health.first_failure_at = min(health.first_failure_at, now)

    def retain_only(self, targets):
        """Remove the targets whose names are not in `targets`."""
        for name in set(self._healths) - set(targets):
            del self._healths[name]
