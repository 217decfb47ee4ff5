"""What this instance believes of groups and their targets."""

import asyncio

import attrs

from balsamhinge.controllers import changenotifier
from balsamhinge.policy import freshness
from balsamhinge.policy import majorities
from balsamhinge.policy import positions
from balsamhinge.policy import routing
from balsamhinge.policy import views

__all__ = ["GroupsController"]

LAG_WEIGHT = 0.3


class GroupsController:
    """Holds the view of every group; a view only goes up in term."""

    def __init__(self):
        self.changes = changenotifier.ChangeNotifier()
        self.retired = set()
        self.target_statuses = {}
        self._views = {}
        self._targets = {}
        self._histories = {}
        self._successors = {}
        # Kept up with each change, for working them out anew takes
        # milliseconds with thousands of groups.
        self.digests = views.bucket_digests([])
        self._asked = {}

    def merge_view(self, view):
        """Take a view if it is newer; return whether it was."""
        if not view.term or not views.newer(view, self._views.get(view.group)):
            return False
        views.toggle(self.digests, self._views.get(view.group))
        views.toggle(self.digests, view)
        self._views[view.group] = view
        successor = self._successors.pop(view.group, None)
        if successor is not None:
            successor.set()
        self.changes.notify_all()
        return True

    async def wait_superseded(self, group, term):
        """Return once the view of a group has a later term than `term`."""
        while self.view(group).term <= term:
            event = self._successors.setdefault(group, asyncio.Event())
            await event.wait()

    def add_retired(self, targets):
        """Take note of targets that are fenced for good."""
        if not set(targets) <= self.retired:
            self.retired |= set(targets)
            self.changes.notify_all()

    def view(self, group):
        """Return the view of a group; one of term 0 if none is known."""
        return self._views.get(group) or views.GroupView(group)

    def views(self):
        """Return all views."""
        return list(self._views.values())

    def remove_unlisted(self, plan):
        """Drop what is known of groups that the plan does not have."""
        for group in sorted(set(self._views) - set(plan.groups)):
            views.toggle(self.digests, self._views.pop(group))

    def primary_history(self, group):
        """Return the positions of a group's primary by time."""
        if group not in self._histories:
            self._histories[group] = freshness.PrimaryHistory()
        return self._histories[group]

    def target_view(self, target):
        """Return what is believed of a target of the plan."""
        known = self._targets.get(target.name)
        if known is None:
            known = routing.TargetView(target.name, target.data_centre)
        return known

    def record_applied(self, target, applied, now):
        """Take note of how far a target has come."""
        known = self.target_view(target)
        if applied < known.applied:
            return
        updated = attrs.evolve(known, applied=applied, seen=now)
        self._targets[target.name] = updated

    def record_lag(self, target, lag_s):
        """Take note of a target's lag behind its primary in seconds."""
        known = self.target_view(target)
        self._targets[target.name] = attrs.evolve(known, lag_s=lag_s)

    def record_status(
        self, group, target, status, asked, now, probe_interval_s
    ):
        """Take note of a target's answer to a probe.

        Parameters
        ----------
        group : str
            Its group.
        target : Target
            The target, of the plan.
        status : TargetStatus
            What it said.
        asked, now : float
            Loop time in seconds when it was asked, and now.
        probe_interval_s : float
            Seconds between two probes.
        """
        self.target_statuses[target.name] = status
        self._asked[target.name] = asked
        self.record_applied(target, status.applied, now)
        if status.role == "retired":
            self.add_retired([target.name])
        view = self.view(group)
        if status.role == "primary" and status.term >= view.term:
            self.primary_history(group).record(asked, status.received)
            return
        age = self.primary_history(group).age_s(now, status.applied)
        if age is not None:
            # Of a target that keeps up, the age swings between nothing
            # and the interval of the probes.
            lag = max(0.0, age - probe_interval_s)
            usual = self.target_view(target).lag_s
            self.record_lag(target, usual + LAG_WEIGHT * (lag - usual))

    def record_majority_answers(self, group, names):
        """Work out until when the primary surely led, and what is held.

        Parameters
        ----------
        group : str
            The group.
        names : list of str
            Its targets.

        Notes
        -----
        A probe that was asked at time t and answered under the primary's
        term shows that this voter had taken no later term at t. With a
        majority of such voters the primary led until the latest time for
        which that holds.
        """
        view = self.view(group)
        asked = {}
        received = {}
        for name in names:
            status = self.target_statuses.get(name)
            if status is not None and status.term == view.term:
                asked[name] = self._asked.get(name, float("-inf"))
                received[name] = status.received
        size = majorities.majority_size(view.voters)
        times = sorted((asked[n] for n in view.voters if n in asked))
        held = sorted(received[n] for n in view.voters if n in received)
        if view.voters and len(times) >= size:
            self.primary_history(group).record_led(times[-size], held[-size])

    def applied_position(self, target):
        """Return the position that a target was last known to have."""
        known = self._targets.get(target)
        return known.applied if known else positions.ORIGIN
