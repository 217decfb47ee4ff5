"""Durations at a target, relative to what each kind of statement takes."""

__all__ = ["RelativeTimes"]

# Weight of one duration in that of its kind. Kinds differ by the statements
# and not by the target's state, so they are learned slowly.
KIND_WEIGHT = 0.02
MAX_KINDS = 256
# The target has become faster if statements take less than this share, sent
# with many in flight, of what they took with few. Without the margin the
# baseline would follow the lowest scatter.
FASTER_RATIO = 0.8
# Weight of one duration in the target's usual speed, if it is slower or
# faster than usual: a slow minute is not to become usual, but a first
# measurement during an overload is to be corrected.
SLOWER_WEIGHT = 0.0005
FASTER_WEIGHT = 0.02


class RelativeTimes:
    """Durations by kind, and the target's speed relative to them.

    Parameters
    ----------
    weight : float
        Weight of one duration in the moving averages.

    Attributes
    ----------
    loaded, unloaded : float or None
        Durations of statements that were sent with many and with few others
        in flight, relative to their kinds; None if not measured.

    Notes
    -----
    The averages are quotients of mean durations. A mean of quotients would
    depend most on the shortest statements, which wait for others anyway.
    """

    def __init__(self, weight):
        self._weight = weight
        self._kinds = {}
        self._loaded = _Quotient(weight)
        self.unloaded = None
        self._unloaded = _Quotient(weight)
        self._recent = _Quotient(weight)
        self._usual = None

    @property
    def loaded(self):
        """Relative duration with many in flight, None if not measured."""
        return self._loaded.value

    @property
    def _latest(self):
        return self._recent.value

    @property
    def congestion(self):
        """Growth of the durations by the statements in flight; 1 if none."""
        if self.loaded is None or not self.unloaded:
            return 1.0
        return self.loaded / self.unloaded

    @property
    def slowness(self):
        """Durations at present, relative to the usual ones."""
        if not self._usual:
            return 1.0
        return self._latest / self._usual

    def expected_s(self, kind):
        """Return the duration of a kind at present, None if unknown."""
        kind_s = self._kinds.get(kind)
        return None if kind_s is None else kind_s * self._latest

    def record(self, kind, duration_s, is_few):
        """Record a duration and return it relative to its kind.

        Parameters
        ----------
        kind : str
            Kind of the statement.
        duration_s : float
            Its duration in seconds.
        is_few : bool or None
            Whether it was sent with few others in flight; None if the limit
            has changed since.
        """
        reference = self.unloaded if is_few else self.loaded
        reference = reference or self._latest or 1.0
        kind_s = self._kinds.get(kind)
        if kind_s is None:
            # A new kind is assumed to meet the target's present speed.
            if len(self._kinds) >= MAX_KINDS:
                return reference
            kind_s = self._kinds[kind] = max(duration_s, 1e-6) / reference
        relative = duration_s / kind_s
        self._average(duration_s, kind_s, is_few)
        error = relative / reference - 1
        self._kinds[kind] *= 1 + KIND_WEIGHT * max(-1.0, min(1.0, error))
        return relative

    def _average(self, duration_s, kind_s, is_few):
        if is_few:
            self._unloaded.record(duration_s, kind_s)
            self.unloaded = self._unloaded.value
        elif is_few is not None:
            self._loaded.record(duration_s, kind_s)
            if (
                self.unloaded is None
                or self.loaded < FASTER_RATIO * self.unloaded
            ):
                # The target has become faster.
                self.set_unloaded(self.loaded)
        self._recent.record(duration_s, kind_s)
        if self._usual is None:
            self._usual = self._latest
        weight = FASTER_WEIGHT
        if self._latest > self._usual:
            weight = SLOWER_WEIGHT
        self._usual += weight * (self._latest - self._usual)

    def set_unloaded(self, relative):
        """Replace the duration with few in flight by a measured one."""
        self.unloaded = relative
        self._unloaded = _Quotient(self._weight)
        self._unloaded.record(relative, 1.0)

    def restart_loaded(self):
        """Discard the durations with many in flight, as fewer follow."""
        self._loaded = _Quotient(self._weight)


class _Quotient:
    """Quotient of the moving averages of measured and usual durations."""

    def __init__(self, weight):
        self._weight = weight
        self._measured_s = 0.0
        self._usual_s = 0.0
        self.value = None

    def record(self, measured_s, usual_s):
        """Record one duration and what its kind usually takes."""
        weight = 1.0 if self.value is None else self._weight
        self._measured_s += weight * (measured_s - self._measured_s)
        self._usual_s += weight * (usual_s - self._usual_s)
        self.value = self._measured_s / self._usual_s
