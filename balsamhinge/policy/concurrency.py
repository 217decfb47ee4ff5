"""Learned number of statements that a target takes at once."""

from balsamhinge.policy import relativetimes

__all__ = ["ConcurrencyLimit"]

MIN_LIMIT = 1
# A target may handle more than its configured slots; more than twice as
# many would only make a queue inside the target, which nobody can order.
MAX_LIMIT_FACTOR = 2
# Growth of the durations, relative to those with few statements in flight,
# from which on the target is overloaded. With one threshold of 1.4, the
# scatter of durations cost 2 to 6 % of the work at the configured slots.
OVERLOAD_RATIO = 1.8
# The same while the limit is above the slots: two statements ahead of five
# slots make each take 1.4 times as long.
EXCESS_RATIO = 1.4
# Smallest factor of one decrease.
MAX_DECREASE = 0.5
REJECTED_DECREASE = 0.7
# Statements that were sent before a decrease are rejected for as long as
# one statement takes.
REJECTION_INTERVAL_S = 0.05
# Completions over which a decision is made.
MIN_SAMPLES = 6
# Weight of one completion in the moving averages of relative durations. Ten
# completions at a target of 5 slots and 20 ms take 40 ms.
RATIO_WEIGHT = 0.15
# Completions with few statements in flight after which their mean is used.
PROBE_SAMPLES = 4
# Seconds for which a measurement with few in flight tells the state of a
# target that seems to be overloaded.
UNLOADED_MAX_AGE_S = 2.0
# Seconds after which a target that is always busy is measured with few
# statements in flight even if it does not seem to be overloaded.
PROBE_INTERVAL_S = 30.0
# Single answers are lost with connections; this share, of the recent
# statements, means that the target itself does not keep up.
LOST_SHARE = 0.4
LOST_WEIGHT = 0.1


class ConcurrencyLimit:
    """Concurrency limit of one target, learned from its response times.

    Parameters
    ----------
    slots : int
        Configured number of statements that the target runs at once.
    learned : bool
        Whether the limit is learned; otherwise it stays at the slots, and
        only the speed is learned.

    Notes
    -----
    The durations of statements that were sent while many were in flight are
    compared with those sent while few were, as in TCP Vegas (Brakmo and
    Peterson 1994), and the limit changes by the gradient of the two, as in
    Netflix's Gradient2. Both compare with a long-term baseline, and would
    lower the limit for as long as a target is slow for other reasons than
    its load. Here the baseline is measured again by a probe with few in
    flight, as BBR (Cardwell et al. 2016) does: if the target is as slow
    then, fewer statements do not help, and the limit goes back up.
    """

    def __init__(self, slots, learned=True):
        self.slots = slots
        self._learned = learned
        self._times = relativetimes.RelativeTimes(RATIO_WEIGHT)
        self._limit = float(slots + 1)
        self._few = max(1, slots // 2)
        self._samples = 0
        self._used = 0
        self._probe_samples = -1
        self._probe = (0.0, 0.0)
        self._changed_at = float("-inf")
        self._unloaded_at = float("-inf")
        self._lost_share = 0.0

    @property
    def limit(self):
        """Number of statements that may be at the target at once."""
        if not self._learned:
            return self.slots
        if self.is_probing:
            return min(self._few, int(self._limit))
        return int(self._limit)

    @property
    def is_probing(self):
        """Whether the target is measured with few statements in flight."""
        return self._probe_samples >= 0

    @property
    def slowness(self):
        """Durations at present, relative to the target's own usual ones."""
        return self._times.slowness

    def expected_s(self, kind):
        """Return the expected duration of a kind, None if unknown."""
        return self._times.expected_s(kind)

    def record(
        self, response_s, in_flight, completed, kind, now, rejected=False
    ):
        """Record the end of one statement.

        Parameters
        ----------
        response_s : float
            Seconds between sending it and its end. Opening a connection is
            not part of it.
        in_flight : int
            Statements at the target when it was sent, with itself.
        completed : bool
            Whether the target answered.
        kind : str
            Kind of the statement; durations are compared within a kind.
        now : float
            Loop time in seconds.
        rejected : bool
            Whether the target answered BUSY.
        """
        is_lost = not completed and not rejected
        self._lost_share += LOST_WEIGHT * (is_lost - self._lost_share)
        if is_lost:
            if self._lost_share > LOST_SHARE:
                self._lost_share = 0.0
                self._decrease(now, MAX_DECREASE)
        elif rejected:
            self._record_rejection(in_flight, now)
        else:
            self._record_answer(response_s, in_flight, kind, now)

    def _record_rejection(self, in_flight, now):
        """Decrease the limit, at most once in a round of statements."""
        if now - self._changed_at > REJECTION_INTERVAL_S:
            self._limit = min(self._limit, float(in_flight))
            self._decrease(now, REJECTED_DECREASE)

    def _record_answer(self, response_s, in_flight, kind, now):
        is_few = in_flight <= self._few
        if now - response_s < self._changed_at:
            # It competed with more statements than are sent now.
            is_few = None
        relative = self._times.record(kind, response_s, is_few)
        if is_few is None:
            return
        self._samples += 1
        self._used += in_flight >= self.limit
        if is_few:
            self._unloaded_at = now
        if self.is_probing:
            if is_few:
                self._record_probe(response_s, relative)
        elif self._samples >= MIN_SAMPLES:
            self._decide(now)

    def _record_probe(self, duration_s, relative):
        """Use a statement that was sent during a probe."""
        measured_s, usual_s = self._probe
        measured_s += duration_s
        usual_s += duration_s / relative
        self._probe = measured_s, usual_s
        self._probe_samples += 1
        if self._probe_samples >= PROBE_SAMPLES:
            self._times.set_unloaded(measured_s / usual_s)
            self._times.restart_loaded()
            self._end_round()
            self._probe_samples = -1

    def _decide(self, now):
        ratio = self._times.congestion
        is_stale = now - self._unloaded_at > UNLOADED_MAX_AGE_S
        is_excess = self._limit > self.slots
        allowed = EXCESS_RATIO if is_excess else OVERLOAD_RATIO
        if ratio > OVERLOAD_RATIO and is_stale:
            self._begin_probe(now)
        elif ratio > allowed:
            self._decrease(now, max(MAX_DECREASE, allowed / ratio))
            if is_excess and ratio <= OVERLOAD_RATIO:
                self._limit = max(self._limit, float(self.slots))
        elif now - self._unloaded_at > PROBE_INTERVAL_S:
            self._begin_probe(now)
        elif self._samples >= self._limit * self._rounds_per_step():
            self._increase()

    def _rounds_per_step(self):
        """Return the rounds of the limit before it grows by one.

        Up to the slots the target is known to be able to follow.
        """
        return 1 if self._limit < self.slots else 4

    def _increase(self):
        if 2 * self._used >= self._samples:
            self._limit = min(
                self._limit + 1, float(MAX_LIMIT_FACTOR * self.slots)
            )
        self._end_round()

    def _decrease(self, now, factor):
        self._changed_at = now
        self._limit = max(float(MIN_LIMIT), self._limit * factor)
        self._times.restart_loaded()
        self._end_round()

    def _begin_probe(self, now):
        self._probe_samples = 0
        self._probe = (0.0, 0.0)
        self._changed_at = now

    def _end_round(self):
        self._samples = 0
        self._used = 0
