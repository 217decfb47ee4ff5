"""Registered instances, as read from the store and told by other instances."""

import attrs

from balsamhinge.policy import gossipmessages
from balsamhinge.policy import hashing
from balsamhinge.policy import leases

__all__ = ["MEMBER_EXPIRY_S", "Registrations"]

# Incarnation of the store before the first read.
NEVER_LISTED = -1
# A registered instance that is silent for this long is deregistered;
# longer than any lease.
MEMBER_EXPIRY_S = 12.0


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


class Registrations:
    """The instances that a change of a primary has to wait for.

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
        Boot-clock seconds of a complete read of the store that found these
        instances, by this instance or by another one. Messages tell of new
        instances but not of those that were deregistered, so it may be
        earlier than the last known read.
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

    def merge_listing(self, records, incarnation, now):
        """Replace the records by those of a read of the store.

        Parameters
        ----------
        records : dict of str to MemberRecord
            All records in the store, by name.
        incarnation : int
            Incarnation of the store that was read.
        now : float
            Boot-clock seconds.
        """
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
        lost_records = {name: one.record for name, one in self._lost.items()}
        self._replace(lost_records | records)
        self.read_at = max(self.read_at, now)

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
            self.read_at = max(self.read_at, read_at)

    def merge(self, records):
        """Merge records that another instance told.

        Parameters
        ----------
        records : iterable of MemberRecord
            The records; later revisions replace earlier ones.
        """
        merged = dict(self.records)
        for record in records:
            current = merged.get(record.member.name)
            if current is None or current.revision < record.revision:
                merged[record.member.name] = record
        self._replace(merged)

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
