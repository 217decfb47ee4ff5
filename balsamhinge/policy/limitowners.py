"""Which instance owns the rate limit of a customer, and since when."""

import attrs

from balsamhinge.policy import leases
from balsamhinge.policy import ownership

__all__ = ["LimitOwners", "OwnerAvailability", "OwnershipHistory"]

# Few enough that an instance has few streams to owners, and enough to share
# the requests of a data centre.
OWNERS_PER_DATA_CENTRE = 8
RANKING_KEY = "limit owners"
# Earlier sets of candidates that are remembered. Dropping one makes buckets
# that are created later start empty, which costs some rejections.
MAX_EARLIER_SETS = 16
# Time for which an owner that did not answer is not asked.
SKIP_S = 1.0


class LimitOwners:
    """Owners of limits by customer and data centre, for one set of members.

    Parameters
    ----------
    members : iterable of Member
        Registered instances.
    """

    def __init__(self, members):
        self._members = {}
        for member in members:
            self._members.setdefault(member.data_centre, []).append(member)
        self._candidates = {}
        self._owners = {}

    @property
    def data_centres(self):
        """Names of the data centres that have members, sorted."""
        return sorted(self._members)

    def candidates(self, data_centre):
        """Return the members among which owners are chosen, as a tuple."""
        found = self._candidates.get(data_centre)
        if found is None:
            ranked = ownership.rank_members(
                self._members.get(data_centre, ()), RANKING_KEY
            )
            found = tuple(ranked[:OWNERS_PER_DATA_CENTRE])
            self._candidates[data_centre] = found
        return found

    def owner(self, data_centre, customer):
        """Return the owner in a data centre, or None if it has no members."""
        key = data_centre, customer
        if key not in self._owners:
            self._owners[key] = first_ranked(
                self.candidates(data_centre), customer
            )
        return self._owners[key]


def first_ranked(candidates, customer):
    """Return the candidate that owns the limit of a customer, or None."""
    ranked = ownership.rank_members(candidates, customer)
    return ranked[0] if ranked else None


@attrs.frozen
class EarlierSet:
    """Candidates that were replaced at a time of the boot clock."""

    candidates: tuple[ownership.Member, ...]
    replaced_at: float


class OwnershipHistory:
    """From when this instance may grant tokens of a customer.

    An instance that does not know yet of a change of the members goes on
    granting until its knowledge is `leases.EXTENDED_LEASE_S` old. An
    instance that becomes an owner through the change therefore waits as
    long.

    Parameters
    ----------
    name : str
        Name of this instance.
    started_at : float
        Time from which buckets may fill: the start of the process.

    Attributes
    ----------
    version : int
        Changes whenever an answer of `granting_from` may have changed.
    """

    def __init__(self, name, started_at):
        self._name = name
        self._from = started_at
        self._candidates = None
        self._earlier = []
        self.version = 0

    @property
    def is_candidate(self):
        """Return whether this instance may own limits."""
        return any(one.name == self._name for one in self._candidates or ())

    def record(self, candidates, now, was_registered):
        """Record the present candidates of the own data centre.

        Parameters
        ----------
        candidates : tuple of Member
            Present candidates.
        now : float
            Time at which they became known, or later.
        was_registered : bool
            Whether the first recorded candidates have been the same before
            this process started.
        """
        if candidates == self._candidates:
            return
        if self._candidates is not None or not was_registered:
            earlier = EarlierSet(self._candidates or (), now)
            self._earlier.append(earlier)
        if len(self._earlier) > MAX_EARLIER_SETS:
            dropped = self._earlier.pop(0)
            self.restart(dropped.replaced_at + leases.EXTENDED_LEASE_S)
        self._candidates = candidates
        self.version += 1

    def restart(self, at):
        """Make all buckets start empty at a time, if not later already."""
        if at > self._from:
            self._from = at
            self.version += 1

    def granting_from(self, customer):
        """Return from when tokens may be granted; infinite if not owned."""
        if not self._is_owner(self._candidates or (), customer):
            return float("inf")
        return max(
            self._from,
            *(
                earlier.replaced_at + leases.EXTENDED_LEASE_S
                for earlier in self._earlier
                if not self._is_owner(earlier.candidates, customer)
            ),
            float("-inf"),
        )

    def _is_owner(self, candidates, customer):
        owner = first_ranked(candidates, customer)
        return owner is not None and owner.name == self._name


class OwnerAvailability:
    """Owners that did not answer, which are not asked for a while."""

    def __init__(self):
        self._skipped_until = {}

    def may_ask(self, name, now):
        """Return whether to ask an owner.

        Once an owner has been left out for `SKIP_S`, one request tries it
        again, and it stays left out for the others until it answers.
        """
        until = self._skipped_until.get(name)
        if until is None:
            return True
        if now < until:
            return False
        self._skipped_until[name] = now + SKIP_S
        return True

    def record_answer(self, name):
        """Record an answer; return whether the owner was left out."""
        return self._skipped_until.pop(name, None) is not None

    def record_silence(self, name, now):
        """Record a missing answer; return whether it is the first one."""
        is_first = name not in self._skipped_until
        self._skipped_until[name] = now + SKIP_S
        return is_first

    def retain_only(self, names):
        """Forget owners that are not registered any more."""
        for name in self._skipped_until.keys() - set(names):
            del self._skipped_until[name]
