"""Chooses the next primary of a group by what its targets report."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import acknowledgements
from balsamhinge.policy import failoverrules
from balsamhinge.policy import positions
from balsamhinge.policy import routes

__all__ = ["PrimaryChoice", "SuccessorChooser"]

# A reachable target answers a status query within this time.
STATUS_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.04
# Time for a replica to receive the log of the old primary: longer than the
# usual replication lag, short against the callers' deadlines.
CATCH_UP_TIMEOUT_S = 1.0
# Time for which the return of a target that is no longer listed is awaited
# if it alone may hold acknowledged commits. A change of a primary is to be
# over within 15 s.
MAX_RETURN_WAIT_S = 15.0

log = logbook.Logger(__name__)


@attrs.frozen
class _Survey:
    """What the targets of a group report at one moment.

    Parameters
    ----------
    old : ServingTarget or None
        Entry of the old primary; None if it is not listed.
    leaving : frozenset of str
        Names of the targets asked that are about to stop.
    incomplete : set of str
        Targets that lack what another one may still hold.
    reports : dict of str to TargetReport
        Reports of the targets that answered, by name.
    evidence : AcknowledgementEvidence or None
        What is known of acknowledged commits; None for a group without
        synchronous replicas.
    """

    old: routes.ServingTarget | None
    leaving: frozenset[str]
    incomplete: set
    reports: dict
    evidence: acknowledgements.AcknowledgementEvidence | None


@attrs.frozen
class PrimaryChoice:
    """The target that becomes the primary of a group.

    Parameters
    ----------
    target : str or None
        Its name; None if no target qualifies.
    term : int
        Latest term of the group that is known.
    already_leads : bool
        Whether it leads in a later term than the recorded primary.
    """

    target: str | None
    term: int
    already_leads: bool


class SuccessorChooser:
    """Asks the targets of a group which of them may become the primary.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        # By group, the epoch of a change and the loop seconds since when no
        # log of a listed target is known to hold all acknowledged commits.
        self._missing_since = {}
        # By group, the targets that its change of a primary waits for, as
        # acknowledged commits may be in their logs alone.
        self.awaited = {}

    def candidates(self, leadership, orderly):
        """Return the targets that may replace a group's primary.

        Parameters
        ----------
        leadership : Leadership
            The current record.
        orderly : bool
            Whether the old primary goes on until it is replaced.

        Returns
        -------
        list of ServingTarget
            The active ones. In a failover of a group with synchronous
            replicas also those that are about to stop, as one of them may
            be the only one that holds what was acknowledged.
        """
        active = [
            target
            for target in self._fleet.directory.active_targets(
                leadership.group
            )
            if target.name != leadership.target
        ]
        if orderly or not self._synchronous_replicas(leadership):
            return active
        return active + self._leaving_replicas(leadership)

    def _synchronous_replicas(self, leadership):
        limits = self._fleet.directory.table.groups.get(leadership.group)
        return limits.synchronous_replicas if limits else 0

    def _leaving_replicas(self, leadership):
        return [
            target
            for target in self._fleet.directory.targets.values()
            if target.group == leadership.group
            and target.leaving
            and target.name != leadership.target
        ]

    async def choose(self, leadership, orderly, all_released, reinstatable):
        """Choose the next primary of a group.

        Parameters
        ----------
        leadership : Leadership
            The announced change.
        orderly : bool
            Whether the old primary may go on if no target has caught up.
        all_released : bool
            Whether all instances have confirmed the release.
        reinstatable : callable
            Returns whether the old primary may be chosen in a failover.

        Returns
        -------
        PrimaryChoice

        Raises
        ------
        NotRunError
            If acknowledged commits may be missing from the logs of all
            targets that answer, and may be in another one.
        """
        choice = await self._choose(
            leadership, orderly, all_released, reinstatable
        )
        if choice.target is not None:
            self.awaited.pop(leadership.group, None)
        return choice

    async def _choose(self, leadership, orderly, all_released, reinstatable):
        started_at = clock.now()
        led_term = self._known_term(leadership)
        while True:
            survey = await self._ask(leadership, led_term, all_released)
            choice, holds_all = self._decide(
                leadership, survey, led_term, orderly, reinstatable
            )
            timed_out = clock.now() - started_at > CATCH_UP_TIMEOUT_S
            if timed_out and not holds_all:
                self._record_stall(leadership, survey.evidence)
            if choice.target is None and (holds_all or timed_out):
                return choice
            if not orderly and holds_all:
                return choice
            if orderly and choice.target is not None:
                settled = self._settle_switch(
                    leadership, survey, choice, holds_all, timed_out
                )
                if settled is not None:
                    return settled
            if timed_out:
                raise exceptions.NotRunError(
                    f"no target of {leadership.group} is known to hold all "
                    "acknowledged commits"
                )
            await clock.pause(POLL_INTERVAL_S)

    def _decide(self, leadership, survey, led_term, orderly, reinstatable):
        """Return the choice by one survey, and whether it holds all.

        See `_protect_acknowledged`. What is awaited in vain does not count.
        """
        choice = self._select(
            leadership, survey, led_term, orderly, reinstatable
        )
        choice, holds_all = self._protect_acknowledged(
            leadership, survey, choice, orderly
        )
        if holds_all or not self._has_waited(leadership, survey, choice):
            return choice, holds_all
        choice = self._select(
            leadership, survey, led_term, orderly, reinstatable, any_log=True
        )
        return choice, True

    def _record_stall(self, leadership, evidence):
        """Let callers know what a change waits for, and read meanwhile.

        Nothing is acknowledged between the release of the old primary and
        the end of the change.
        """
        fleet = self._fleet
        names = evidence.unheard or [evidence.primary]
        self.awaited[leadership.group] = ",".join(names)
        if evidence.told_by_all is not None:
            fleet.leaders.record_position(
                leadership,
                fleet.dependencies.boot_time(),
                evidence.told_by_all,
            )

    async def _ask(self, leadership, led_term, all_released):
        """Return the `_Survey` of a group."""
        targets = self.candidates(leadership, orderly=False)
        old = self._fleet.directory.targets.get(leadership.target)
        if old is not None:
            targets = [*targets, old]
        reports = await self.query_reports(targets)
        return _Survey(
            old,
            frozenset(target.name for target in targets if target.leaving),
            self._find_incomplete(leadership, reports, led_term),
            reports,
            self._collect_evidence(leadership, reports, all_released),
        )

    def _select(
        self,
        leadership,
        survey,
        led_term,
        orderly,
        reinstatable,
        any_log=False,
    ):
        """Return the `PrimaryChoice` among the targets that stay.

        An old primary that has lost acknowledged commits is chosen only with
        `any_log`.
        """
        evidence = survey.evidence
        lost_log = evidence is not None and evidence.has_primary_lost_log
        reports = survey.reports
        term = max((r.term for r in reports.values()), default=0)
        excluded = survey.leaving | survey.incomplete
        old_report = reports.get(leadership.target)
        eligible = (
            old_report is not None
            and not orderly
            and not survey.old.leaving
            and reinstatable()
            and (any_log or not lost_log)
        )
        if not eligible:
            excluded |= {leadership.target}
        chosen = failoverrules.choose_successor(reports, excluded)
        if (
            eligible
            and old_report.term == term
            and old_report.role is routes.TargetRole.PRIMARY
        ):
            chosen = leadership.target
        return PrimaryChoice(
            chosen,
            max(term, led_term),
            chosen != leadership.target
            and failoverrules.leads_later_term(reports, chosen, led_term),
        )

    def _settle_switch(self, leadership, survey, choice, holds_all, timed_out):
        """Return the outcome of a switchover, or None to wait.

        Parameters
        ----------
        leadership : Leadership
            The announced change.
        survey : _Survey
            What the targets report.
        choice : PrimaryChoice
            The successor.
        holds_all : bool
            Whether it is known to hold all acknowledged commits.
        timed_out : bool
            Whether the time for it to catch up is over.

        Returns
        -------
        PrimaryChoice or None
            The successor if it has caught up; else the old primary once the
            time is over, unless that is about to stop.
        """
        old_report = survey.reports.get(leadership.target)
        # Other instances gossip the position of an old primary that this
        # instance cannot reach.
        old_position = (
            old_report.received
            if old_report
            else self._fleet.leaders.last_position(leadership)
        )
        received = survey.reports[choice.target].received
        caught_up = holds_all and positions.covers(received, old_position)
        if not caught_up and not timed_out:
            return None
        event(
            log.notice,
            "successor_chosen",
            group=leadership.group,
            target=choice.target,
            received=received,
            old_received=old_position,
            caught_up=caught_up,
            holds_all=holds_all,
        )
        if survey.old is None or survey.old.leaving:
            if holds_all:
                return choice
            if old_report is None:
                return None
        elif caught_up:
            return choice
        # Losing acknowledged writes is worse than leaving some callers
        # without a reachable primary.
        return attrs.evolve(choice, target=leadership.target)

    def _protect_acknowledged(self, leadership, survey, choice, orderly):
        """Keep a target without acknowledged commits from being promoted.

        Returns
        -------
        choice : PrimaryChoice
            The choice, or the target that holds more and is about to stop.
        holds_all : bool
            Whether the group has no synchronous replicas, no promotion is
            requested, or the log of the chosen target is known to hold all
            acknowledged commits.
        """
        evidence = survey.evidence
        stays = choice.target == leadership.target and (
            not leadership.successor
        )
        if evidence is None or stays or choice.already_leads:
            return choice, True
        names = [choice.target]
        if not orderly:
            excluded = survey.incomplete | {leadership.target}
            names.append(
                failoverrules.choose_successor(survey.reports, excluded)
            )
        for name in names:
            if name is not None and evidence.holds_all(name):
                return attrs.evolve(choice, target=name), True
        return choice, False

    def _collect_evidence(self, leadership, reports, all_released):
        """Return the `AcknowledgementEvidence` of a group, or None."""
        fleet, group = self._fleet, leadership.group
        synchronous_replicas = self._synchronous_replicas(leadership)
        if not synchronous_replicas:
            return None
        unsettled = self._unsettled(group).union(
            *(
                message.unsettled.get(group, ())
                for message in fleet.gossip.last_messages.values()
            )
        )
        return acknowledgements.AcknowledgementEvidence(
            synchronous_replicas=synchronous_replicas,
            primary=leadership.target,
            last_position=fleet.leaders.last_position(leadership),
            replicas=(self._listed(group) | unsettled) - {leadership.target},
            unsettled=unsettled,
            reports=reports,
            told=fleet.acknowledged.latest(group),
            told_by_all=fleet.acknowledged.upper_bound(group)
            if all_released
            else None,
        )

    def _unsettled(self, group):
        return self._fleet.directory.unsettled_targets(
            group, MAX_RETURN_WAIT_S
        )

    def told_unsettled(self):
        """Return the targets of which this instance tells others.

        An instance that has just joined does not know of a target that left
        before.

        Returns
        -------
        dict of str to list of str
            By group with synchronous replicas, the names of targets that
            have left the list or started again recently.
        """
        return {
            group: sorted(names)
            for group in self._fleet.acknowledged.synchronous_groups
            if (names := self._unsettled(group))
        }

    def _listed(self, group):
        """Return the names of a group's listed targets."""
        return frozenset(
            target.name
            for target in self._fleet.directory.targets.values()
            if target.group == group
        )

    def _has_waited(self, leadership, survey, choice):
        """Return whether a change goes on although commits may be lost.

        It does once the targets that may hold them are no longer listed and
        have not come back in time. A listed one is awaited for any time.
        """
        group, now, evidence = leadership.group, clock.now(), survey.evidence
        epoch, since = self._missing_since.get(group, (None, now))
        if epoch != leadership.epoch:
            since = now
            self._missing_since[group] = leadership.epoch, now
        bound = evidence.upper_bound()
        is_over = (
            choice.target is not None
            and self._listed(group) <= survey.reports.keys()
            and now - since > MAX_RETURN_WAIT_S
        )
        if is_over or since == now:
            event(
                log.error if is_over else log.warning,
                "commits_given_up" if is_over else "commits_awaited",
                group=group,
                target=choice.target,
                acknowledged=evidence.told.at_most,
                bound=bound,
                unheard=",".join(evidence.unheard),
                waited_s=now - since,
            )
        return is_over

    def _known_term(self, leadership):
        """Return the latest term in which a primary is known to have led."""
        fleet = self._fleet
        return max(
            fleet.leaders.last_position(leadership).term,
            fleet.health.of(leadership.target).applied.term,
        )

    def _find_incomplete(self, leadership, reports, term):
        """Return targets that lack what another one may still hold.

        A target that was cut off when its group got a new primary has none
        of the commits since. Where no target that is listed can hold them,
        any may become the primary.

        Parameters
        ----------
        leadership : Leadership
            The current record.
        reports : dict of str to TargetReport
            Reports of the targets that answered, by name.
        term : int
            Latest term in which the primary is known to have led.

        Returns
        -------
        set of str
        """
        incomplete = failoverrules.find_incomplete(reports, term)
        listed = self._listed(leadership.group)
        if not incomplete or listed <= incomplete:
            return set()
        event(
            log.warning,
            "targets_incomplete",
            group=leadership.group,
            targets=",".join(sorted(incomplete)),
            term=term,
            unheard=",".join(sorted(listed - reports.keys())),
        )
        return incomplete

    async def query_reports(self, targets):
        """Query the status of targets concurrently.

        Returns
        -------
        dict of str to TargetReport
            Reports of the targets that answered, by name.
        """

        async def query(target):
            try:
                return await self._fleet.status(
                    target, STATUS_TIMEOUT_S, admitted=True
                )
            except exceptions.BalsamhingeError as exc:
                event(
                    log.info,
                    "target_status_failed",
                    target=target.name,
                    error=exc,
                )
                return None

        reports = await asyncio.gather(*(query(t) for t in targets))
        return {
            target.name: report
            for target, report in zip(targets, reports, strict=True)
            if report is not None
        }
