"""Which instances there are, and which of them answer."""

import bisect
import itertools

import attrs

from balsamhinge.controllers import changenotifier
from balsamhinge import links
from balsamhinge.policy import homes

__all__ = ["MembersController"]

HOMES_KEPT = 6


class MembersController:
    """Holds the platform's list of instances and who is silent.

    Parameters
    ----------
    me : Member
        This instance.
    seeds : list of Member
        Instances known from the settings, used until a list arrives.
    local_homes : bool
        Baseline: every instance cares for every target itself.
    """

    def __init__(self, me, seeds=(), local_homes=False):
        self.me = me
        self.version = 0
        self.changes = changenotifier.ChangeNotifier()
        self.leaving_targets = set()
        self._local_homes = local_homes
        self._listed = {}
        self._names = []
        self._silent = set()
        self._leaving = set()
        self._orders = homes.HomeOrders()
        self._accept([me, *seeds])

    @property
    def leaving_names(self):
        """Return the instances that told of their stop."""
        return sorted(self._leaving)

    def platform_inventory(self):
        """Return the platform's list as this instance holds it."""
        return links.PlatformList(self.listed(), sorted(self.leaving_targets))

    def update(self, version, platform_list):
        """Take a list of the platform's, if it is newer.

        Returns
        -------
        bool
            Whether it was.
        """
        if version <= self.version:
            return False
        self.version = version
        self.leaving_targets = set(platform_list.leaving_targets)
        self._accept(platform_list.instances)
        self.add_leaving(
            member.name for member in platform_list.instances if member.leaving
        )
        return True

    def _accept(self, members):
        self._listed = {member.name: member for member in members}
        self._listed.setdefault(self.me.name, self.me)
        self._names = sorted(self._listed)
        self._silent &= set(self._listed)
        self._leaving &= set(self._listed)
        self._orders.replace_members(self._listed)
        self.changes.notify_all()

    def add_leaving(self, names):
        """Take note of instances that are about to stop."""
        known = set(names) & set(self._listed)
        if not known <= self._leaving:
            self._leaving |= known
            self.changes.notify_all()

    def mark_returned(self, names):
        """Take note that instances serve again."""
        for name in names:
            self._leaving.discard(name)
            self.mark_reachable(name)

    def get(self, name):
        """Return a member by its name, or None."""
        return self._listed.get(name)

    def listed(self):
        """Return every member, sorted by name."""
        return [self._listed[name] for name in self._names]

    def reachable_names(self):
        """Return the names of other members that answer, sorted."""
        names = list(self._names)
        del names[bisect.bisect_left(names, self.me.name)]
        return [name for name in names if name not in self._silent]

    def unreachable_names(self):
        """Return the names of members that do not answer, sorted."""
        return sorted(self._silent)

    def mark_unreachable(self, name):
        """Take note that a member did not answer."""
        if name in self._listed and name not in self._silent:
            self._silent.add(name)
            self.changes.notify_all()

    def mark_reachable(self, name):
        """Take note that a member answered."""
        if name in self._silent:
            self._silent.discard(name)
            self.changes.notify_all()

    def owners(self, target):
        """Return the members that may care for a target, best first.

        Parameters
        ----------
        target : Target
            Of the plan.

        Returns
        -------
        list of Member
            Only members that answer and stay. Those of the target's own
            data centre come first, and others only if none of them is
            left: whoever is cut off from that data centre can not reach
            the target either.
        """
        if self._local_homes:
            return [self.me]
        names = self._orders.near(target.name, target.data_centre)
        usable = self._first_usable(names)
        if not usable:
            names = self._orders.far(target.name, target.data_centre)
            usable = self._first_usable(names)
        return [self._listed[name] for name in usable]

    def _first_usable(self, names):
        usable = (name for name in names if self._usable(name))
        return list(itertools.islice(usable, HOMES_KEPT))

    def is_owner(self, target):
        """Return whether this instance comes first for a target."""
        ordered = self.owners(target)
        return bool(ordered) and ordered[0].name == self.me.name

    def mark_self_leaving(self):
        """Mark this instance as about to stop."""
        self.me = attrs.evolve(self.me, leaving=True)
        self.add_leaving([self.me.name])

    def relay_names(self, count):
        """Return the names of this data centre's first members."""
        near = [
            member
            for member in self._listed.values()
            if member.data_centre == self.me.data_centre
            and self._usable(member.name)
        ]
        ranked = homes.rank(near, "relay")
        return [member.name for member in ranked[:count]]

    def _usable(self, name):
        return name not in self._silent and name not in self._leaving
