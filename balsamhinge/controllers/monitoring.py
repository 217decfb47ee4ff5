"""Monitors the groups of which this instance owns a target."""

import asyncio

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import majorities
from balsamhinge.policy import ownership
from balsamhinge.policy import promotion
from balsamhinge.policy import views

__all__ = ["MonitoringController"]

MIN_PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.25
# Both in probe intervals.
SUSPICION_INTERVALS = 4
MAX_STATUS_AGE_INTERVALS = 6
# Added per proposer rank before a switchover or a change of voters.
PLANNED_DELAY_STEP_S = 1.0
OBSERVATION_TIMEOUT_S = 0.2
RECONCILE_INTERVAL_S = 60.0
CONNECTION_PURPOSE = "probe"

log = logbook.Logger(__name__)


class MonitoringController:
    """Probes targets, repairs replicas and starts promotions.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._last_answer_at = {}
        self._primary_seen_at = {}
        self._tasks = {}
        self._reconciler = None

    def start(self):
        """Start monitoring on the running loop."""
        self._reconciler = asyncio.ensure_future(self._reconcile_forever())

    def stop(self):
        """Cancel all probes and evaluations."""
        if self._reconciler is not None:
            self._reconciler.cancel()
        for tasks in self._tasks.values():
            for task in tasks:
                task.cancel()
        self._tasks.clear()

    @property
    def probe_interval_s(self):
        """Seconds between two probes of a target.

        Grows with the number of monitored targets, so that the load of
        probing stays within `Options.probes_per_second`.
        """
        probed = sum(len(tasks) - 1 for tasks in self._tasks.values())
        budget = self._core.options.probes_per_second
        return max(MIN_PROBE_INTERVAL_S, probed / budget)

    @property
    def suspicion_timeout_s(self):
        """Seconds without a response after which a primary is replaced."""
        return SUSPICION_INTERVALS * self.probe_interval_s

    @property
    def max_status_age_s(self):
        """Seconds for which the status in a probe's answer is used."""
        return MAX_STATUS_AGE_INTERVALS * self.probe_interval_s

    def primary_silence_s(self, group):
        """Return the seconds since a primary of a group last responded."""
        return clock.now() - self._primary_seen_at.get(group, float("-inf"))

    async def _reconcile_forever(self):
        while True:
            self._reconcile()
            waits = [
                asyncio.ensure_future(change.wait(RECONCILE_INTERVAL_S))
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
        loops = [self._evaluate_forever(group, names)]
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
        requested_at = clock.now()
        try:
            status = await self._core.control.call(
                target, CONNECTION_PURPOSE, "status", timeout_s=PROBE_TIMEOUT_S
            )
        except exceptions.TargetError:
            return
        self._last_answer_at[name] = clock.now()
        view = self._core.groups.view(group)
        if status.role == "primary" and status.term >= view.term:
            self._primary_seen_at[group] = clock.now()
        self._core.groups.record_status(
            group,
            target,
            status,
            requested_at,
            clock.now(),
            self.probe_interval_s,
        )
        names = self._core.configuration.plan.groups[group].targets
        self._core.groups.record_majority_answers(group, names)
        await self._repair(group, target, status)

    async def _repair(self, group, target, status):
        """Have a target that missed a promotion follow the primary."""
        view = self._core.groups.view(group)
        if not view.primary or status.role == "retired":
            return
        if status.name == view.primary or status.term > view.term:
            return
        if status.role == "replica" and status.term == view.term:
            return
        if self._is_unresponsive(view.primary):
            return
        call = self._core.control.call
        me = self._core.members.me.name
        try:
            if status.term < view.term:
                await call(
                    target,
                    CONNECTION_PURPOSE,
                    "fence",
                    view.term,
                    me,
                    timeout_s=PROBE_TIMEOUT_S,
                )
            await call(
                target,
                CONNECTION_PURPOSE,
                "follow",
                view.term,
                view.primary,
                timeout_s=PROBE_TIMEOUT_S,
            )
        except exceptions.TargetError as exc:
            event(log.debug, "repair_failed", target=target.name, error=exc)

    def _is_unresponsive(self, target):
        last = self._last_answer_at.get(target, float("-inf"))
        return clock.now() - last > self.suspicion_timeout_s

    def _recent_statuses(self, names):
        """Return the targets' statuses that are recent enough to use."""
        earliest = clock.now() - self.max_status_age_s
        statuses = self._core.groups.target_statuses
        return [
            statuses[name]
            for name in names
            if self._last_answer_at.get(name, float("-inf")) > earliest
        ]

    async def _evaluate_forever(self, group, names):
        first_needed_at = {}
        await clock.pause(self.max_status_age_s)
        while True:
            await clock.pause(self.probe_interval_s / 2)
            statuses = self._recent_statuses(names)
            self._adopt_leader(group, statuses)
            await self._retire_leaving_targets(group, names)
            action = self._needed_action(group, statuses)
            if action is None:
                first_needed_at.clear()
                continue
            # A rising term shows that another instance is promoting. The
            # delay starts again, to let that promotion finish.
            highest = max(status.term for status in statuses)
            needed_since = first_needed_at.setdefault(
                (action, highest), clock.now()
            )
            rank = self._proposer_rank(group)
            wait_s = promotion.proposal_delay_s(rank, self._core.rng)
            if action != "suspected":
                wait_s += rank * PLANNED_DELAY_STEP_S
            if clock.now() - needed_since >= wait_s:
                first_needed_at.clear()
                await self._start_action(group, action)

    def _adopt_leader(self, group, statuses):
        leader = promotion.find_leader(statuses)
        if leader is None:
            return
        view = views.GroupView(
            group, leader.term, leader.primary, leader.voters
        )
        if self._core.groups.merge_view(view):
            self._core.dissemination.publish_views([view])

    def _needed_action(self, group, statuses):
        """Return the reason to promote in a group, or None.

        None also if fewer than a majority of the voters respond, since a
        promotion would fail.
        """
        view = self._core.groups.view(group)
        voters = promotion.latest_voters(statuses, view.voters)
        responding = {status.name for status in statuses}
        if not majorities.has_majority(voters, responding):
            return None
        if (
            not view.primary
            or self.primary_silence_s(group) > self.suspicion_timeout_s
        ):
            return "suspected"
        if max(status.term for status in statuses) > view.term:
            return "suspected"
        return self._planned_action(group, view)

    def _planned_action(self, group, view):
        staying = self._core.staying_targets(group)
        if view.primary not in staying:
            return "switchover"
        if majorities.next_voters(view.voters, staying) != view.voters:
            return "voters"
        return None

    def _monitors(self, group):
        """Return the owners of a group's targets as a dict by name."""
        plan = self._core.configuration.plan
        monitors = {}
        if group not in plan.groups:
            return monitors
        for name in plan.groups[group].targets:
            for member in self._core.members.owners(plan.targets[name])[:1]:
                monitors[member.name] = member
        return monitors

    def _proposer_rank(self, group):
        """Return this instance's rank among the group's monitors, from 0."""
        order = ownership.rank_members(self._monitors(group).values(), group)
        me = self._core.members.me.name
        ranked = [member.name for member in order]
        return ranked.index(me) if me in ranked else len(ranked)

    async def _start_action(self, group, action):
        if action == "suspected" and await self._is_primary_observed_elsewhere(
            group
        ):
            return
        await self._core.promotions.promote(group, action)

    async def _is_primary_observed_elsewhere(self, group):
        """Return whether another monitor gets answers from the primary."""
        others = self._monitors(group)
        others.pop(self._core.members.me.name, None)
        answers = await asyncio.gather(
            *(
                self._request_observation(member, group)
                for member in others.values()
            )
        )
        view = self._core.groups.view(group)
        return any(
            observation is not None
            and observation.term >= view.term
            and observation.silent_s < self.suspicion_timeout_s / 2
            and view.primary
            for observation in answers
        )

    async def _request_observation(self, member, group):
        try:
            return await self._core.dependencies.peers.observe_primary(
                member, group, OBSERVATION_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            return None

    async def _retire_leaving_targets(self, group, names):
        """Retire leaving targets that are no longer voters.

        A retired target is fenced permanently.
        """
        view = self._core.groups.view(group)
        plan = self._core.configuration.plan
        for name in names:
            status = self._core.groups.target_statuses.get(name)
            leaving = self._core.is_leaving(name) and name not in view.voters
            if not leaving or status is None or not view.voters:
                continue
            if status.role == "retired" or self._is_unresponsive(name):
                continue
            try:
                await self._core.control.call(
                    plan.targets[name],
                    CONNECTION_PURPOSE,
                    "retire",
                    view.term,
                    timeout_s=PROBE_TIMEOUT_S,
                )
            except exceptions.TargetError:
                continue
            event(log.info, "target_retired", group=group, target=name)
