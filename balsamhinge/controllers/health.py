"""What an instance has heard of each target, and since when it has not."""

import attrs

from balsamhinge.policy import positions

__all__ = ["HealthController", "TargetHealth"]

# Weight of one answer in the running mean of answer times.
MEAN_WEIGHT = 0.1
# What an answer that was not waited for is taken to have lasted, by the
# time for which it was, and its weight: few waits teach that a target has
# become slow.
LOST_FACTOR = 2.0
LOST_WEIGHT = 0.3
# An unanswered order counts as a sign of trouble after so long: the
# longest statements of the users' classes take 0.16 to 0.27 s.
UNANSWERED_S = 0.3


@attrs.define
class TargetHealth:
    """What is known of one target.

    Parameters
    ----------
    heard_at : float
        Loop seconds of the last answer of any kind.
    trouble_at : float
        Loop seconds of the first sign of trouble since then, or infinite.
    outstanding : dict
        Loop seconds of sending, by order.
    applied, applied_at
        Last position that it told, and when.
    mean_s : float
        Running mean of its answer times.
    """

    last_answer_at: float = float("-inf")
    first_failure_at: float = float("inf")
    outstanding: dict = attrs.Factory(dict)
    applied: positions.LogPosition = positions.ORIGIN
    applied_at: float = float("-inf")
    mean_response_s: float = 0.0

    def unresponsive_s(self, now):
        """Return for how long it has failed to answer, 0 for not."""
        since = self.first_failure_at
        for sent_at in self.outstanding.values():
            if now - sent_at > UNANSWERED_S:
                since = min(since, max(sent_at, self.last_answer_at))
                break
        return max(0.0, now - since)


class HealthController:
    """Keeps the health of all targets."""

    def __init__(self):
        self._healths = {}

    def of(self, target):
        """Return the `TargetHealth` of a target by name."""
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
        health.mean_response_s += MEAN_WEIGHT * (
            now - sent_at - health.mean_response_s
        )
        if answer.position is not None:
            health.applied = answer.position
            health.applied_at = now
        self.record_contact(target, now)

    def record_contact(self, target, now):
        """Record a sign of life."""
        health = self.of(target)
        health.last_answer_at = now
        health.first_failure_at = float("inf")

    def record_abandoned(self, target, order, now):
        """Record that nobody waits for an order any more."""
        health = self.of(target)
        sent_at = health.outstanding.pop(id(order), now)
        # It would have taken longer than it was waited for. Counting just
        # that, work would go on to be sent with too little time left.
        guess_s = LOST_FACTOR * (now - sent_at)
        health.mean_response_s += LOST_WEIGHT * max(
            0.0, guess_s - health.mean_response_s
        )

    def record_failure(self, target, now):
        """Record a failure to connect or a lost connection."""
        health = self.of(target)
        health.first_failure_at = min(health.first_failure_at, now)

    def retain_only(self, targets):
        """Forget targets that are not among those names."""
        for name in set(self._healths) - set(targets):
            del self._healths[name]
