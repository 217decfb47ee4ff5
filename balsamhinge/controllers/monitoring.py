"""Watches the groups whose targets this instance cares for."""

import asyncio

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import homes
from balsamhinge.policy import majorities
from balsamhinge.policy import promotion
from balsamhinge.policy import views

__all__ = ["MonitoringController"]

LEAST_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.25
# Intervals after which a silent target is suspected, and an answer is old.
SUSPECT_INTERVALS = 4
HEARD_INTERVALS = 6
PLANNED_STEP_S = 1.0
SIGHT_TIMEOUT_S = 0.2
RECONCILE_S = 60.0
PURPOSE = "probe"

log = logbook.Logger(__name__)


class MonitoringController:
    """Probes targets, repairs followers and calls for promotions.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._heard = {}
        self._led = {}
        self._tasks = {}
        self._reconciler = None

    def start(self):
        """Start on the running loop."""
        self._reconciler = asyncio.ensure_future(self._reconcile_forever())

    def stop(self):
        """Stop at once."""
        if self._reconciler is not None:
            self._reconciler.cancel()
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()
        self._tasks.clear()

    @property
    def probe_interval_s(self):
        """Return the seconds between two probes of a target.

        Many watched targets share the budget of probes, so that control
        costs the same on an instance whatever it watches.
        """
        probed = sum(len(tasks) - 1 for tasks in self._tasks.values())
        budget = self._core.options.probes_per_second
        return max(LEAST_INTERVAL_S, probed / budget)

    @property
    def suspicion_timeout_s(self):
        """Return the seconds of silence that call for a promotion."""
        return SUSPECT_INTERVALS * self.probe_interval_s

    @property
    def max_status_age_s(self):
        """Return for how many seconds an answer tells the present."""
        return HEARD_INTERVALS * self.probe_interval_s

    def primary_silence_s(self, group):
        """Return for how long no primary was heard to lead a group."""
        return clock.now() - self._led.get(group, float("-inf"))

    async def _reconcile_forever(self):
        while True:
            self._reconcile()
            waits = [
                asyncio.ensure_future(change.wait(RECONCILE_S))
                for change in (
                    self._core.configuration.changes,
                    self._core.members.changes,
                )
            ]
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for wait in waits:
                    wait.cancel()

    def _reconcile(self):
        plan = self._core.configuration.plan
        wanted = {}
        for group in plan.groups.values():
            targets = [plan.targets[name] for name in group.targets]
            if any(self._core.members.is_owner(t) for t in targets):
                wanted[group.name] = targets
        for name in set(self._tasks) - set(wanted):
            for task in self._tasks.pop(name):
                task.cancel()
        for name, targets in wanted.items():
            self._start_group(name, targets)
        self._core.groups.remove_unlisted(plan)

    def _start_group(self, group, targets):
        running = self._tasks.get(group)
        names = [target.name for target in targets]
        if running and running[0].get_name() == ",".join(names):
            return
        for task in running or []:
            task.cancel()
        loops = [self._consider_forever(group, names)]
        loops += [self._probe_forever(group, name) for name in names]
        tasks = [asyncio.ensure_future(loop) for loop in loops]
        tasks[0].set_name(",".join(names))
        self._tasks[group] = tasks

    async def _probe_forever(self, group, name):
        while True:
            started = clock.now()
            await self._probe(group, name)
            spent = clock.now() - started
            await clock.pause(self.probe_interval_s - spent)

    async def _probe(self, group, name):
        target = self._core.configuration.plan.targets.get(name)
        if target is None:
            return
        asked = clock.now()
        try:
            status = await self._core.control.call(
                target, PURPOSE, "status", timeout_s=PROBE_TIMEOUT_S
            )
        except exceptions.TargetError:
            return
        self._heard[name] = clock.now()
        view = self._core.groups.view(group)
        if status.role == "primary" and status.term >= view.term:
            self._led[group] = clock.now()
        self._core.groups.record_status(
            group, target, status, asked, clock.now(), self.probe_interval_s
        )
        names = self._core.configuration.plan.groups[group].targets
        self._core.groups.record_majority_answers(group, names)
        await self._repair(group, target, status)

    async def _repair(self, group, target, status):
        """Bring a target that missed a promotion to the group's term."""
        view = self._core.groups.view(group)
        if not view.primary or status.role == "retired":
            return
        if status.name == view.primary or status.term > view.term:
            return
        if status.role == "replica" and status.term == view.term:
            return
        if self._is_silent(view.primary):
            return
        call = self._core.control.call
        me = self._core.members.me.name
        try:
            if status.term < view.term:
                await call(
                    target,
                    PURPOSE,
                    "fence",
                    view.term,
                    me,
                    timeout_s=PROBE_TIMEOUT_S,
                )
            await call(
                target,
                PURPOSE,
                "follow",
                view.term,
                view.primary,
                timeout_s=PROBE_TIMEOUT_S,
            )
        except exceptions.TargetError as exc:
            event(log.debug, "repair_failed", target=target.name, error=exc)

    def _is_silent(self, target):
        last = self._heard.get(target, float("-inf"))
        return clock.now() - last > self.suspicion_timeout_s

    def _recent(self, names):
        """Return the statuses heard lately."""
        earliest = clock.now() - self.max_status_age_s
        roles = self._core.groups.target_statuses
        return [
            roles[name]
            for name in names
            if self._heard.get(name, float("-inf")) > earliest
        ]

    async def _consider_forever(self, group, names):
        since = {}
        await clock.pause(self.max_status_age_s)
        while True:
            await clock.pause(self.probe_interval_s / 2)
            statuses = self._recent(names)
            self._learn_leader(group, statuses)
            await self._retire_leaving(group, names)
            wish = self._wish(group, statuses)
            if wish is None:
                since.clear()
                continue
            # A rising term shows another proposer at work, which gets its
            # time before this one tries again.
            highest = max(status.term for status in statuses)
            began = since.setdefault((wish, highest), clock.now())
            place = self._place(group)
            wait_s = promotion.stagger_s(place, self._core.rng)
            if wish != "suspected":
                wait_s += place * PLANNED_STEP_S
            if clock.now() - began >= wait_s:
                since.clear()
                await self._act(group, wish)

    def _learn_leader(self, group, statuses):
        leader = promotion.find_leader(statuses)
        if leader is None:
            return
        view = views.GroupView(
            group, leader.term, leader.primary, leader.voters
        )
        if self._core.groups.merge_view(view):
            self._core.dissemination.publish_views([view])

    def _wish(self, group, statuses):
        """Return what the group lacks: None if nothing."""
        view = self._core.groups.view(group)
        voters = promotion.agreed_voters(statuses, view.voters)
        heard = {status.name for status in statuses}
        if not majorities.has_majority(voters, heard):
            return None
        if (
            not view.primary
            or self.primary_silence_s(group) > self.suspicion_timeout_s
        ):
            return "suspected"
        if max(status.term for status in statuses) > view.term:
            return "suspected"
        return self._planned_wish(group, view)

    def _planned_wish(self, group, view):
        staying = self._core.staying_targets(group)
        if view.primary not in staying:
            return "switchover"
        if majorities.next_voters(view.voters, staying) != view.voters:
            return "voters"
        return None

    def _watchers(self, group):
        """Return the first home of each of a group's targets, by name."""
        plan = self._core.configuration.plan
        watchers = {}
        if group not in plan.groups:
            return watchers
        for name in plan.groups[group].targets:
            for member in self._core.members.owners(plan.targets[name])[:1]:
                watchers[member.name] = member
        return watchers

    def _place(self, group):
        """Return this instance's place among the group's watchers."""
        order = homes.rank(self._watchers(group).values(), group)
        me = self._core.members.me.name
        ranked = [member.name for member in order]
        return ranked.index(me) if me in ranked else len(ranked)

    async def _act(self, group, wish):
        if wish == "suspected" and await self._seen_by_others(group):
            return
        await self._core.promotions.promote(group, wish)

    async def _seen_by_others(self, group):
        """Return whether another watcher hears the primary."""
        asked = self._watchers(group)
        asked.pop(self._core.members.me.name, None)
        answers = await asyncio.gather(
            *(self._ask_sight(member, group) for member in asked.values())
        )
        view = self._core.groups.view(group)
        return any(
            sight is not None
            and sight.term >= view.term
            and sight.silent_s < self.suspicion_timeout_s / 2
            and view.primary
            for sight in answers
        )

    async def _ask_sight(self, member, group):
        try:
            return await self._core.links.peers.sight(
                member, group, SIGHT_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            return None

    async def _retire_leaving(self, group, names):
        """Fence for good the targets that left the voters."""
        view = self._core.groups.view(group)
        plan = self._core.configuration.plan
        for name in names:
            status = self._core.groups.target_statuses.get(name)
            leaving = self._core.is_leaving(name) and name not in view.voters
            if not leaving or status is None or not view.voters:
                continue
            if status.role == "retired" or self._is_silent(name):
                continue
            try:
                await self._core.control.call(
                    plan.targets[name],
                    PURPOSE,
                    "retire",
                    view.term,
                    timeout_s=PROBE_TIMEOUT_S,
                )
            except exceptions.TargetError:
                continue
            event(log.info, "target_retired", group=group, target=name)
