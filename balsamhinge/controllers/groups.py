"""This instance's views of groups and the states of their targets."""

import asyncio

import attrs

from balsamhinge.controllers import changenotifier
from balsamhinge.policy import freshness
from balsamhinge.policy import majorities
from balsamhinge.policy import positions
from balsamhinge.policy import routing
from balsamhinge.policy import views

__all__ = ["GroupsController"]

LAG_MEAN_WEIGHT = 0.3


class GroupsController:
    """Holds the view of every group and the last status of each target.

    A view is only ever replaced by one of a higher term.
    """

    def __init__(self):
        self.changes = changenotifier.ChangeNotifier()
        self.retired = set()
        self.target_statuses = {}
        self._views = {}
        self._targets = {}
        self._histories = {}
        self._successors = {}
        # Updated with each change, because computing them from all views
        # takes milliseconds with thousands of groups.
        self.digests = views.bucket_digests([])
        self._probed_at = {}

    def merge_view(self, view):
        """Keep a view if it is newer than the one held.

        Returns
        -------
        bool
            Whether the view was newer.
        """
        if not view.term or not views.supersedes(
            view, self._views.get(view.group)
        ):
            return False
        views.toggle_in_digests(self.digests, self._views.get(view.group))
        views.toggle_in_digests(self.digests, view)
        self._views[view.group] = view
        successor = self._successors.pop(view.group, None)
        if successor is not None:
            successor.set()
        self.changes.notify_all()
        return True

    async def wait_superseded(self, group, term):
        """Wait until the view of a group has a later term than `term`."""
        while self.view(group).term <= term:
            event = self._successors.setdefault(group, asyncio.Event())
            await event.wait()

    def add_retired(self, targets):
        """Record targets that are fenced permanently."""
        if not set(targets) <= self.retired:
            self.retired |= set(targets)
            self.changes.notify_all()

    def view(self, group):
        """Return the view of a group; one of term 0 if there is none."""
        return self._views.get(group) or views.GroupView(group)

    def views(self):
        """Return all views."""
        return list(self._views.values())

    def remove_unlisted(self, plan):
        """Drop the views of groups that are not in the plan."""
        for group in sorted(set(self._views) - set(plan.groups)):
            views.toggle_in_digests(self.digests, self._views.pop(group))

    def primary_history(self, group):
        """Return the `PrimaryHistory` of a group, created if missing."""
        if group not in self._histories:
            self._histories[group] = freshness.PrimaryHistory()
        return self._histories[group]

    def target_view(self, target):
        """Return the `TargetView` of a target of the plan."""
        current = self._targets.get(target.name)
        if current is None:
            current = routing.TargetView(target.name, target.data_centre)
        return current

    def record_applied(self, target, applied, now):
        """Record the position a target has applied; ignore older ones."""
        current = self.target_view(target)
        if applied < current.applied:
            return
        updated = attrs.evolve(current, applied=applied, updated_at=now)
        self._targets[target.name] = updated

    def record_lag(self, target, lag_s):
        """Record a target's lag behind its primary in seconds."""
        current = self.target_view(target)
        self._targets[target.name] = attrs.evolve(current, lag_s=lag_s)

    def record_status(
        self, group, target, status, requested_at, now, probe_interval_s
    ):
        """Record a target's answer to a probe.

        Parameters
        ----------
        group : str
            The target's group.
        target : Target
            Target of the plan.
        status : TargetStatus
            The answer.
        requested_at, now : float
            Loop times in seconds at which the probe was sent, and now.
        probe_interval_s : float
            Seconds between two probes of the target.
        """
        self.target_statuses[target.name] = status
        self._probed_at[target.name] = requested_at
        self.record_applied(target, status.applied, now)
        if status.role == "retired":
            self.add_retired([target.name])
        view = self.view(group)
        if status.role == "primary" and status.term >= view.term:
            self.primary_history(group).record_position(
                requested_at, status.received
            )
            return
        age = self.primary_history(group).data_age_s(now, status.applied)
        if age is not None:
            # Even without any lag the age varies between 0 and the probe
            # interval, so the interval is subtracted.
            new_lag_s = max(0.0, age - probe_interval_s)
            mean_lag_s = self.target_view(target).lag_s
            self.record_lag(
                target, mean_lag_s + LAG_MEAN_WEIGHT * (new_lag_s - mean_lag_s)
            )

    def record_majority_answers(self, group, names):
        """Derive from probes what a majority of the voters confirms.

        Records until when the primary certainly led, and the position
        that a majority has received.

        Parameters
        ----------
        group : str
            Name of the group.
        names : list of str
            Names of the group's targets.

        Notes
        -----
        A probe that was sent at time t and answered under the primary's
        term shows that the voter had accepted no later term at t. The
        primary certainly led until the latest t for which a majority of
        the voters has answered such a probe, sent at t or later.
        """
        view = self.view(group)
        requested_at = {}
        received = {}
        for name in names:
            status = self.target_statuses.get(name)
            if status is not None and status.term == view.term:
                requested_at[name] = self._probed_at.get(name, float("-inf"))
                received[name] = status.received
        size = majorities.majority_size(view.voters)
        times = sorted(
            (requested_at[n] for n in view.voters if n in requested_at)
        )
        received_positions = sorted(
            received[n] for n in view.voters if n in received
        )
        if view.voters and len(times) >= size:
            self.primary_history(group).record_leading_until(
                times[-size], received_positions[-size]
            )

    def applied_position(self, target):
        """Return the last recorded applied position of a target."""
        current = self._targets.get(target)
        return current.applied if current else positions.ORIGIN
