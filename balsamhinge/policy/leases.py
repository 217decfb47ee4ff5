"""Primary leases: how long a store read permits the use of a primary.

A primary change is announced in the platform's store and takes effect only
after a wait of at least `LEASE_S`. An instance that has read the store more
recently than that knows every change that can have taken effect.
"""

import attrs

__all__ = [
    "EXTENDED_LEASE_S",
    "LEASE_S",
    "Leadership",
    "PROMISE_S",
    "PrimaryLeases",
    "StoreRead",
]

# Validity of a store read. A primary change that some instance does not
# confirm waits as long, so this is short. It covers three store polls and
# two exchanges of gossip messages, so that one lost message is harmless.
LEASE_S = 2.0
# Validity of a store read while all other instances promise to begin no
# primary change. Longer than the store outages seen at customers.
EXTENDED_LEASE_S = 9.0
# Validity of a promise. Shorter than LEASE_S, so that the wait before a
# change outlasts it. Long enough for three rounds of gossip messages: two
# where the duty holder passes the promise on, and one in reserve.
PROMISE_S = 1.5


@attrs.frozen
class Leadership:
    """The stored record of a group's primary.

    Parameters
    ----------
    group, target : str
        The group and its primary.
    epoch : int
        Number of changes of this group's primary so far.
    changing : bool
        Whether a primary change is announced; the primary must not be
        used then.
    orderly : bool
        Whether the change is a switchover, before which work at the old
        primary ends, rather than a failover.
    successor : str
        Target that the platform may have been asked to promote, or "".
    revision : int
        Revision of the record in the store.
    """

    group: str
    target: str
    epoch: int
    changing: bool = False
    orderly: bool = False
    successor: str = ""
    revision: int = 0

    def is_same_leader(self, other):
        """Return whether another record is of this primary and epoch.

        The epoch alone does not tell: where a restored store has lost a
        change, the next one gives its epoch to another target.
        """
        return self.epoch == other.epoch and self.target == other.target


@attrs.frozen
class StoreRead:
    """A complete read of the records in the platform's store.

    Parameters
    ----------
    as_of : int
        Revision of the store up to which all records are known.
    read_at : float
        Boot-clock seconds when the read was requested.
    """

    as_of: int = 0
    read_at: float = float("-inf")


class PrimaryLeases:
    """The leadership records of all groups and how long they are valid.

    Attributes
    ----------
    leaderships : dict of str to Leadership
        Latest known record by group.
    last_read : StoreRead
        Latest store read.
    promise_expiries : dict of str to float
        By instance, boot-clock seconds until which it begins no primary
        change.
    """

    def __init__(self):
        self.leaderships = {}
        self.last_read = StoreRead()
        self.promise_expiries = {}

    def merge_leadership(self, leadership):
        """Keep a record if it is newer; return whether it is."""
        held = self.leaderships.get(leadership.group)
        if held is not None and held.revision >= leadership.revision:
            return False
        self.leaderships[leadership.group] = leadership
        return True

    def merge_store_read(self, store_read):
        """Keep a store read if it is later than the last one.

        Parameters
        ----------
        store_read : StoreRead
            All records up to its revision must have been merged already.

        Returns
        -------
        bool
            Whether it is later.
        """
        if store_read.read_at <= self.last_read.read_at:
            return False
        as_of = max(store_read.as_of, self.last_read.as_of)
        self.last_read = StoreRead(as_of, store_read.read_at)
        return True

    def merge_promise(self, member, until):
        """Record that an instance begins no primary change for a time.

        Parameters
        ----------
        member : str
            Name of the instance.
        until : float
            Boot-clock seconds; an earlier time than the recorded one
            changes nothing.
        """
        expiry = self.promise_expiries.get(member, float("-inf"))
        self.promise_expiries[member] = max(expiry, until)

    def read_age_s(self, now):
        """Return the age of the last store read in seconds."""
        return now - self.last_read.read_at

    def valid_until(self, others):
        """Return the boot-clock seconds at which all leases expire.

        Parameters
        ----------
        others : iterable of str
            Names of all other registered instances.
        """
        until = self.last_read.read_at + LEASE_S
        if not others:
            return until
        extended = self.last_read.read_at + EXTENDED_LEASE_S
        return max(until, min(extended, self.promises_valid_until(others)))

    def promises_valid_until(self, members):
        """Return until when none of these instances begins a change.

        Parameters
        ----------
        members : iterable of str
            Names of instances.

        Returns
        -------
        float
            Boot-clock seconds; infinite for no instances, minus infinite
            if one has never promised.
        """
        expiries = self.promise_expiries
        return min(
            (expiries.get(name, float("-inf")) for name in members),
            default=float("inf"),
        )

    def members_without_promise(self, members, now):
        """Return the names in `members` that have no promise in force."""
        expiries = self.promise_expiries
        return [
            name
            for name in members
            if expiries.get(name, float("-inf")) <= now
        ]

    def valid_leadership(self, group, now, others):
        """Return the `Leadership` of a group if it may be acted upon.

        Parameters
        ----------
        group : str
            Name of the group.
        now : float
            Boot-clock seconds.
        others : iterable of str
            Names of all other registered instances.

        Returns
        -------
        Leadership or None
            None if the group is unknown, a primary change is announced or
            the lease has expired.
        """
        leadership = self.leaderships.get(group)
        if leadership is None or leadership.changing:
            return None
        return leadership if self.is_valid(now, others) else None

    def is_valid(self, now, others):
        """Return whether the leases are in force, see `valid_until`.

        This runs for each statement, so the promises are read only once
        the plain lease has expired.
        """
        if now < self.last_read.read_at + LEASE_S:
            return True
        return now < self.valid_until(others)
