"""Membership: the listed instances and which of them are reachable."""

import bisect
import itertools

import attrs

from balsamhinge.controllers import changenotifier
from balsamhinge import interfaces
from balsamhinge.policy import ownership

__all__ = ["MembersController"]

MAX_OWNERS = 6


class MembersController:
    """Holds the platform's list of instances and their reachability.

    Parameters
    ----------
    me : Member
        This instance.
    seeds : list of Member
        Instances from the settings, used until a list arrives.
    owns_all_targets : bool
        Whether this instance owns every target, as in the baseline.
    """

    def __init__(self, me, seeds=(), owns_all_targets=False):
        self.me = me
        self.version = 0
        self.changes = changenotifier.ChangeNotifier()
        self.leaving_targets = set()
        self._owns_all_targets = owns_all_targets
        self._members_by_name = {}
        self._sorted_names = []
        self._unreachable = set()
        self._leaving = set()
        self._rankings = ownership.OwnerRankings()
        self._replace_members([me, *seeds])

    @property
    def leaving_names(self):
        """Sorted names of the instances that are about to stop."""
        return sorted(self._leaving)

    def platform_inventory(self):
        """Return the platform's list as this instance holds it."""
        return interfaces.PlatformInventory(
            self.listed(), sorted(self.leaving_targets)
        )

    def update(self, version, platform_list):
        """Replace the platform's list if the given one is newer.

        Returns
        -------
        bool
            Whether the list was newer.
        """
        if version <= self.version:
            return False
        self.version = version
        self.leaving_targets = set(platform_list.leaving_targets)
        self._replace_members(platform_list.instances)
        self.add_leaving(
            member.name for member in platform_list.instances if member.leaving
        )
        return True

    def _replace_members(self, members):
        self._members_by_name = {member.name: member for member in members}
        self._members_by_name.setdefault(self.me.name, self.me)
        self._sorted_names = sorted(self._members_by_name)
        self._unreachable &= set(self._members_by_name)
        self._leaving &= set(self._members_by_name)
        self._rankings.replace_members(self._members_by_name)
        self.changes.notify_all()

    def add_leaving(self, names):
        """Record instances that are about to stop."""
        listed_names = set(names) & set(self._members_by_name)
        if not listed_names <= self._leaving:
            self._leaving |= listed_names
            self.changes.notify_all()

    def mark_returned(self, names):
        """Record that instances serve again after a stop or a failure."""
        for name in names:
            self._leaving.discard(name)
            self.mark_reachable(name)

    def get(self, name):
        """Return the member of a name, or None."""
        return self._members_by_name.get(name)

    def listed(self):
        """Return every member, sorted by name."""
        return [self._members_by_name[name] for name in self._sorted_names]

    def reachable_names(self):
        """Return the names of other reachable members, sorted."""
        names = list(self._sorted_names)
        del names[bisect.bisect_left(names, self.me.name)]
        return [name for name in names if name not in self._unreachable]

    def unreachable_names(self):
        """Return the names of unreachable members, sorted."""
        return sorted(self._unreachable)

    def mark_unreachable(self, name):
        """Record that a member did not answer."""
        if name in self._members_by_name and name not in self._unreachable:
            self._unreachable.add(name)
            self.changes.notify_all()

    def mark_reachable(self, name):
        """Record that a member answered."""
        if name in self._unreachable:
            self._unreachable.discard(name)
            self.changes.notify_all()

    def owners(self, target):
        """Return the members that may own a target, in rank order.

        Parameters
        ----------
        target : Target
            Target of the plan.

        Returns
        -------
        list of Member
            At most `MAX_OWNERS` reachable members that are not leaving;
            the first one is the owner. All are in the target's data
            centre; only if none is left there, members elsewhere are
            returned. An instance that is cut off from that data centre
            cannot reach the target either.
        """
        if self._owns_all_targets:
            return [self.me]
        names = self._rankings.local_names(target.name, target.data_centre)
        available = self._first_available(names)
        if not available:
            names = self._rankings.remote_names(
                target.name, target.data_centre
            )
            available = self._first_available(names)
        return [self._members_by_name[name] for name in available]

    def _first_available(self, names):
        available = (name for name in names if self._is_available(name))
        return list(itertools.islice(available, MAX_OWNERS))

    def is_owner(self, target):
        """Return whether this instance owns a target."""
        ranked_owners = self.owners(target)
        return bool(ranked_owners) and ranked_owners[0].name == self.me.name

    def mark_self_leaving(self):
        """Mark this instance as about to stop."""
        self.me = attrs.evolve(self.me, leaving=True)
        self.add_leaving([self.me.name])

    def relay_names(self, count):
        """Return the names of the relays of this data centre.

        Relays watch the store on behalf of the data centre's instances.

        Parameters
        ----------
        count : int
            Maximum number of relays.
        """
        local_members = [
            member
            for member in self._members_by_name.values()
            if member.data_centre == self.me.data_centre
            and self._is_available(member.name)
        ]
        ranked = ownership.rank_members(local_members, "relay")
        return [member.name for member in ranked[:count]]

    def _is_available(self, name):
        return name not in self._unreachable and name not in self._leaving
