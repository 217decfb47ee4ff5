"""How long what is known of a group's primary may be acted upon.

A change of a primary is announced in the platform's store before it is
made, and takes effect only after a wait. Whoever has read the store since
less than that wait therefore knows every change that can have happened.
"""

import attrs

__all__ = [
    "EXTENDED_S",
    "LEASE_S",
    "PROMISE_S",
    "Knowledge",
    "Leadership",
    "LeaseBook",
]

# How long a reading of the store is good for. A change that some instance
# does not confirm waits so long, so it is short; three polls of the store
# and two exchanges of notes fit in, so that one lost message is harmless.
LEASE_S = 2.0
# How long a reading is good for while all other instances promise that
# they do not begin a change: longer than the users' outages of the store.
EXTENDED_S = 9.0
# How long such a promise binds; less than LEASE_S, so that the wait of a
# change outlasts it. It travels in two rounds of notes where the holder of
# the duty passes it on, and has to outlast a third.
PROMISE_S = 1.5


@attrs.frozen
class Leadership:
    """Who leads a group.

    Parameters
    ----------
    group, target : str
        The group and its primary.
    epoch : int
        Counts the changes of this group's primary.
    changing : bool
        Whether a change has been announced: nobody is to use the primary.
    orderly : bool
        Whether the old primary is to end its work before the change.
    successor : str
        Target that the platform may have been asked to promote.
    revision : int
        The store's revision of the record.
    """

    group: str
    target: str
    epoch: int
    changing: bool = False
    orderly: bool = False
    successor: str = ""
    revision: int = 0


@attrs.frozen
class Knowledge:
    """A reading of the store: all changes up to a revision.

    Parameters
    ----------
    as_of : int
        Revision of the store that was read.
    read_at : float
        Boot-clock seconds when the reading was asked for.
    """

    as_of: int = 0
    read_at: float = float("-inf")


class LeaseBook:
    """What one instance knows of all groups' primaries, with its age."""

    def __init__(self):
        self.leaderships = {}
        self.knowledge = Knowledge()
        self.promised_until = {}

    def learn(self, leadership):
        """Take in a record; return whether it is newer than the known."""
        known = self.leaderships.get(leadership.group)
        if known is not None and known.revision >= leadership.revision:
            return False
        self.leaderships[leadership.group] = leadership
        return True

    def confirm(self, knowledge):
        """Take in a reading; the records up to it must be known already.

        Returns
        -------
        bool
            Whether it is later than the known one.
        """
        if knowledge.read_at <= self.knowledge.read_at:
            return False
        as_of = max(knowledge.as_of, self.knowledge.as_of)
        self.knowledge = Knowledge(as_of, knowledge.read_at)
        return True

    def promise(self, member, until):
        """Record that a member begins no change before `until`."""
        known = self.promised_until.get(member, float("-inf"))
        self.promised_until[member] = max(known, until)

    def age_s(self, now):
        """Return the age of the last reading in seconds."""
        return now - self.knowledge.read_at

    def valid_until(self, others):
        """Return the boot-clock second at which all leases lapse.

        Parameters
        ----------
        others : iterable of str
            Every other registered instance.
        """
        until = self.knowledge.read_at + LEASE_S
        if not others:
            return until
        extended = self.knowledge.read_at + EXTENDED_S
        return max(until, min(extended, self.promised_by(others)))

    def promised_by(self, members):
        """Return until when all of these members begin no change."""
        known = self.promised_until
        return min(
            (known.get(name, float("-inf")) for name in members),
            default=float("inf"),
        )

    def without_promise(self, members, now):
        """Return those of some members whose promise does not hold now."""
        known = self.promised_until
        return [
            name for name in members if known.get(name, float("-inf")) <= now
        ]

    def leader(self, group, now, others):
        """Return the `Leadership` that may be acted upon, or None."""
        known = self.leaderships.get(group)
        if known is None or known.changing:
            return None
        return known if self.is_valid(now, others) else None

    def is_valid(self, now, others):
        """Return whether leases hold, see `valid_until`.

        Asked for every statement, so promises are looked at only where
        they matter.
        """
        if now < self.knowledge.read_at + LEASE_S:
            return True
        return now < self.valid_until(others)
