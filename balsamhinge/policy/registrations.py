"""Registered instances, as read from the store and told by other instances."""

import attrs

from balsamhinge.policy import gossipmessages
from balsamhinge.policy import hashing
from balsamhinge.policy import leases
from balsamhinge.policy import revisions

__all__ = ["MEMBER_EXPIRY_S", "Registrations"]

# Incarnation of the store before the first read.
NEVER_LISTED = -1
# A registered instance that is silent for this long is deregistered;
# longer than any lease.
MEMBER_EXPIRY_S = 12.0
# Time for which other instances are told of a registration that has ended.
REMOVAL_RETENTION_S = 60.0


@attrs.frozen
class _LostRegistration:
    """A registration that the store has lost in a restore.

    Parameters
    ----------
    record : MemberRecord
        The record.
    until : float
        Boot-clock seconds until which its instance may hold a lease that
        rests on the store's earlier incarnation.
    """

    record: gossipmessages.MemberRecord
    until: float


@attrs.frozen
class _EndedRegistration:
    """A registration whose record has been deleted.

    Parameters
    ----------
    record : MemberRecord
        The deleted record.
    ended_at : float
        Boot-clock seconds; it was deleted before.
    """

    record: gossipmessages.MemberRecord
    ended_at: float


class Registrations:
    """The instances that a change of a primary has to wait for.

    An instance that was deregistered may be alive, and hold leases that rest
    on reads of the store that still found its record. A change of a primary
    waits for it as for a registered one until the last of them has expired.

    Parameters
    ----------
    name : str
        Name of this instance.

    Attributes
    ----------
    records : dict of str to MemberRecord
        Registered instances by name. Those whose registration the store has
        lost in a restore are kept for as long as their leases may last.
    members : dict of str to Member
        The same without the revisions of their records.
    other_names : tuple of str
        Names of all registered instances but this one.
    key : int
        Hash of the names of all registered instances.
    confirmed_in : int
        Latest incarnation of the store in which the registration of this
        instance has been read; -1 if it has never been read.
    read_at : float
        Boot-clock seconds of the latest complete read of the store, by this
        instance or by another one, of which it is known which instances it
        has found.
    """

    def __init__(self, name):
        self._name = name
        self.records = {}
        # Derived from the records, as each statement needs `other_names`.
        self.members = {}
        self.other_names = ()
        self.key = 0
        self.confirmed_in = NEVER_LISTED
        self.read_at = float("-inf")
        self._missed_in = NEVER_LISTED
        self._latest_revision = 0
        self._lost = {}
        # `_EndedRegistration` by name.
        self._ended = {}
        # Names that the read at `read_at` has found.
        self._found = frozenset()
        # Boot-clock seconds since when no registration can have begun and
        # ended without being known here.
        self._followed_since = float("inf")
        self._listed = frozenset()
        self._listed_in = NEVER_LISTED

    @property
    def was_confirmed(self):
        """Whether this instance has ever been registered."""
        return self.confirmed_in > NEVER_LISTED

    @property
    def is_in_doubt(self):
        """Whether a restored store seems to lack this instance's record."""
        return self._missed_in > self.confirmed_in

    def _replace(self, records):
        if records == self.records:
            # Rankings of instances are kept as long as nothing changes.
            return
        self.records = records
        self.members = {name: one.member for name, one in records.items()}
        self.other_names = tuple(
            name for name in records if name != self._name
        )
        self.key = hashing.hash_text("/".join(sorted(records)))
        self._latest_revision = max(
            (record.revision for record in records.values()), default=0
        )

    def merge_listing(self, records, as_of, read_at, now):
        """Replace the records by those of a read of the store.

        Parameters
        ----------
        records : dict of str to MemberRecord
            All records in the store, by name.
        as_of : int
            Revision of the store that was read.
        read_at : float
            Boot-clock seconds when the read was requested.
        now : float
            Boot-clock seconds.
        """
        incarnation = revisions.incarnation_of(as_of)
        if incarnation > self._listed_in:
            until = now + leases.EXTENDED_LEASE_S
            self._lost |= {
                name: _LostRegistration(record, until)
                for name, record in self.records.items()
                if name not in records and name != self._name
            }
        self._listed = frozenset(records)
        self._listed_in = incarnation
        self.record_own(self._name in records, incarnation)
        self._lost = {
            name: lost
            for name, lost in self._lost.items()
            if name not in records and now < lost.until
        }
        kept = {name: one.record for name, one in self._lost.items()}
        for name, record in self.records.items():
            if name in records or name in kept:
                continue
            if record.revision > as_of:
                # Registered after this read.
                kept[name] = record
            else:
                self._ended[name] = _EndedRegistration(record, now)
        self._replace(kept | records)
        self._record_read(records.keys(), read_at)
        self._ended = {
            name: ended
            for name, ended in self._ended.items()
            if now < ended.ended_at + REMOVAL_RETENTION_S
        }

    def _record_read(self, names, read_at):
        """Record which instances a complete read of the store has found."""
        if read_at < self.read_at:
            return
        if read_at - self.read_at >= MEMBER_EXPIRY_S:
            self._followed_since = read_at
        self._found = names
        self.read_at = read_at

    def confirm(self, key, read_at):
        """Merge what another instance knows of its list of instances.

        Parameters
        ----------
        key : int
            Hash of the names in its list.
        read_at : float
            `read_at` of that list. Nothing changes if the lists differ.
        """
        if key == self.key:
            self._record_read(self.records.keys(), read_at)

    def found_age_s(self, name, now):
        """Return the age of the latest read known to have found an instance.

        Parameters
        ----------
        name : str
            Name of the instance.
        now : float
            Boot-clock seconds.

        Returns
        -------
        float
            Seconds; infinite if the latest read has not found it.
        """
        if name not in self._found or name in self._lost:
            return float("inf")
        return now - self.read_at

    def awaited_members(self, now):
        """Return the other instances that may hold a lease.

        Parameters
        ----------
        now : float
            Boot-clock seconds.

        Returns
        -------
        list of Member
            The registered ones, and those that were deregistered so recently
            that a lease of theirs may last.
        """
        awaited = {name: self.members[name] for name in self.other_names}
        for name, ended in self._ended.items():
            if now < ended.ended_at + leases.EXTENDED_LEASE_S:
                awaited.setdefault(name, ended.record.member)
        awaited.pop(self._name, None)
        return list(awaited.values())

    def are_all_awaited_known(self, now):
        """Return whether no other instance than these can hold a lease.

        An instance that has followed the list for a shorter time does not
        know which were deregistered just before.

        Parameters
        ----------
        now : float
            Boot-clock seconds.
        """
        return now - self._followed_since >= leases.EXTENDED_LEASE_S

    def merge(self, records, removals=(), now=0.0):
        """Merge records that another instance told.

        The record of this instance is taken from the store alone.

        Parameters
        ----------
        records : iterable of MemberRecord
            The records; later revisions replace earlier ones.
        removals : iterable of MemberRemoval
            Registrations that have ended.
        now : float
            Boot-clock seconds.
        """
        merged = dict(self.records)
        for record in records:
            name = record.member.name
            ended = self._ended.get(name)
            if name == self._name or (
                ended and record.revision <= ended.record.revision
            ):
                continue
            current = merged.get(name)
            if current is None or current.revision < record.revision:
                merged[name] = record
        for removal in removals:
            record = merged.get(removal.name)
            if record is not None and record.revision <= removal.revision:
                del merged[removal.name]
                self._ended[removal.name] = _EndedRegistration(record, now)
        self._replace(merged)

    def removals(self):
        """Return the `MemberRemoval` of each registration that has ended."""
        return [
            gossipmessages.MemberRemoval(name, ended.record.revision)
            for name, ended in self._ended.items()
            if name not in self.records
        ]

    @property
    def last_ended_at(self):
        """Boot-clock seconds at which a registration was last seen to end.

        Minus infinite if none has for as long as they are remembered.
        """
        return max(
            (ended.ended_at for ended in self._ended.values()),
            default=float("-inf"),
        )

    def since(self, revision):
        """Return the records that are later than a revision of the store."""
        if revision >= self._latest_revision:
            return []
        return [
            record
            for record in self.records.values()
            if record.revision > revision
        ]

    def record_own(self, is_listed, incarnation):
        """Record whether an incarnation holds this instance's registration.

        Parameters
        ----------
        is_listed : bool
            Whether a read of it showed the registration.
        incarnation : int
            Incarnation of the store.
        """
        if is_listed:
            self.confirmed_in = max(self.confirmed_in, incarnation)
        else:
            self._missed_in = max(self._missed_in, incarnation)

    def listed_in(self, name):
        """Return in which incarnation an instance was last read, or -1."""
        return self._listed_in if name in self._listed else NEVER_LISTED
