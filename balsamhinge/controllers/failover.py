"""Changes the primaries of groups while holding the promotion duty."""

import collections

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge.controllers import successors
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.policy import failoverrules
from balsamhinge.policy import leases
from balsamhinge.policy import registrations
from balsamhinge.policy import revisions
from balsamhinge.policy import routes
from balsamhinge.policy import statements

__all__ = ["FailoverController"]

CHECK_INTERVAL_S = 0.1
# Interval of the check whether this instance has acquired the duty.
IDLE_CHECK_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.04
# Interval between requests to instances to confirm that they have released
# the old primary.
CONFIRM_INTERVAL_S = 0.06
# The platform answers within milliseconds. A call must be over before the
# next holder of the duty may make one.
PROMOTE_CALL_TIMEOUT_S = 1.0
# The platform takes 0.3 s to promote a target, and 0.6 s if it is slow.
TAKEOVER_TIMEOUT_S = 1.5
# A primary without an answer for this long is probed, so that its failure
# is detected without traffic.
PROBE_AFTER_S = 0.3
RETRY_DELAY_S = 0.25
# Interval between switchovers from a primary that is about to stop while no
# other target holds what it has acknowledged: callers use it meanwhile.
SWITCH_RETRY_DELAY_S = 0.5
EXPIRY_CHECK_INTERVAL_S = 1.0

log = logbook.Logger(__name__)


class FailoverController:
    """Monitors every primary while this instance holds the promotion duty.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.successors = successors.SuccessorChooser(fleet)
        self._busy_groups = set()
        # Loop seconds, by target.
        self._unlisted_since = {}
        self._mostly_silent_since = {}
        self._probing = set()
        # Instances that a primary does not answer, by primary.
        self._unresponsive_counts = {}
        self._next_expiry_check = 0.0
        # Loop seconds since when this instance, as the holder of the duty,
        # has seen each registered instance in the list.
        self._listed_since = {}
        self._deregistering = set()
        # Boot-clock seconds of this instance's last promotion request.
        self._requested_at = float("-inf")

    @property
    def is_changing(self):
        """Return whether this instance is changing a primary."""
        return bool(self._busy_groups)

    def is_change_due(self):
        """Return whether the primary of some group is to be changed.

        A holder that cannot change it tells by this whether another instance
        has to.
        """
        self._unresponsive_counts = self._count_unresponsive()
        return any(map(self._is_due, self._fleet.directory.table.groups))

    def _is_due(self, group):
        leadership = self._fleet.leaders.latest(group)
        if leadership is None or not leadership.target:
            return True
        if leadership.changing or self._find_newer_primary(leadership):
            return True
        action = failoverrules.decide_action(
            self._collect_evidence(leadership)
        )
        if action is failoverrules.FailoverAction.KEEP:
            self._probe(leadership)
            return False
        orderly = action is failoverrules.FailoverAction.SWITCH
        return bool(self.successors.candidates(leadership, orderly))

    async def run(self):
        """Check the primaries of all groups until cancelled."""
        while True:
            held = self._fleet.duty.held
            await clock.pause(
                CHECK_INTERVAL_S if held else IDLE_CHECK_INTERVAL_S
            )
            # An isolated instance may still believe that it holds the duty.
            if not self._fleet.duty.is_confirmed() or self._fleet.stopping:
                self._listed_since = {}
                self.successors.awaited.clear()
                continue
            if self._fleet.leaders.outdated_groups:
                await self._fleet.restoration.restore()
                continue
            self._unresponsive_counts = self._count_unresponsive()
            for group in self._fleet.directory.table.groups:
                if group not in self._busy_groups:
                    self._check_group(group)
            self._expire_members()

    def _check_group(self, group):
        leadership = self._fleet.leaders.latest(group)
        if leadership is None or not leadership.target:
            self._start_change(group, self._record_first(group, leadership))
            return
        if leadership.changing:
            self._start_change(
                group, self._change(leadership, "resumed", False)
            )
            return
        newer_primary = self._find_newer_primary(leadership)
        if newer_primary:
            self._start_change(
                group, self._change(leadership, "usurped", False)
            )
            return
        evidence = self._collect_evidence(leadership)
        match failoverrules.decide_action(evidence):
            case failoverrules.FailoverAction.KEEP:
                self._probe(leadership)
                return
            case failoverrules.FailoverAction.SWITCH:
                orderly = True
            case failoverrules.FailoverAction.REPLACE:
                orderly = False
        if not self.successors.candidates(leadership, orderly):
            return
        event(
            log.warning,
            "primary_judged",
            group=group,
            target=leadership.target,
            orderly=orderly,
            listed=evidence.listed,
            leaving=evidence.leaving,
            gone_s=evidence.unlisted_s,
            silent_s=evidence.unresponsive_s,
            heard_s=evidence.last_response_age_s,
            spread_s=evidence.unresponsive_to_most_s,
        )
        self._start_change(group, self._change(leadership, "judged", orderly))

    def _start_change(self, group, change):
        self._busy_groups.add(group)

        async def run():
            try:
                await change
            except (
                exceptions.StoreUnavailable,
                exceptions.StoreConflict,
                exceptions.PlatformUnavailable,
                exceptions.PromotionRefused,
                exceptions.NotRunError,
                exceptions.TargetError,
            ) as exc:
                event(log.warning, "change_unfinished", group=group, error=exc)
                await clock.pause(RETRY_DELAY_S)
            finally:
                self._busy_groups.discard(group)

        self._fleet.spawn(run())

    def _collect_evidence(self, leadership):
        """Return the `PrimaryHealth` of a group's primary."""
        now = clock.now()
        target = self._fleet.directory.targets.get(leadership.target)
        if target is not None:
            self._unlisted_since.pop(leadership.target, None)
        else:
            self._unlisted_since.setdefault(leadership.target, now)
        health = self._fleet.health.of(leadership.target)
        heard_at = max(
            health.last_answer_at,
            self._fleet.reported_response_times.get(
                leadership.target, float("-inf")
            ),
        )
        unanswered = self._unresponsive_counts.get(leadership.target, 0)
        spread = bool(unanswered) and failoverrules.is_unresponsive_to_most(
            unanswered, self._count_answered(leadership.target)
        )
        since = self._mostly_silent_since.setdefault(leadership.target, now)
        if not spread:
            self._mostly_silent_since.pop(leadership.target)
        return failoverrules.PrimaryHealth(
            listed=target is not None,
            leaving=target is not None and target.leaving,
            unlisted_s=now - self._unlisted_since.get(leadership.target, now),
            unresponsive_s=health.unresponsive_s(now),
            last_response_age_s=now - heard_at,
            unresponsive_to_most_s=now - since if spread else 0.0,
        )

    def _primary_reports(self):
        """Yield what each live instance observes of the primaries.

        Yields
        ------
        heard_s, silent_s : dict of str to float
            See `GossipMessage`.
        """
        fleet = self._fleet
        yield fleet.primary_response_ages_s(), fleet.unresponsive_primaries_s()
        for message in fleet.gossip.live_messages():
            yield message.heard_s, message.silent_s

    def _count_unresponsive(self):
        """Count the instances that each primary does not answer.

        Returns
        -------
        Counter
            Instances by primary; primaries that answer all are left out.
        """
        counts = collections.Counter()
        for _heard_s, silent_s in self._primary_reports():
            counts.update(
                target
                for target, seconds in silent_s.items()
                if seconds > failoverrules.MAX_UNRESPONSIVE_S
            )
        return counts

    def _count_answered(self, target):
        """Count the instances that a primary has answered recently.

        Instances without a recent request to the primary are not counted.
        """
        return sum(
            silent_s.get(target, 0.0) <= failoverrules.MAX_UNRESPONSIVE_S
            and heard_s.get(target, float("inf"))
            < failoverrules.MAX_RESPONSE_AGE_S
            for heard_s, silent_s in self._primary_reports()
        )

    def _find_newer_primary(self, leadership):
        """Return another target that leads the group in a later term.

        An old primary that comes back may still report the role of a
        primary, so the term of its position must be later than that of the
        recorded primary.

        Returns
        -------
        str or None
            Name of the target.
        """
        recorded = self._fleet.health.of(leadership.target).applied
        for target in self._fleet.directory.active_targets(leadership.group):
            if target.name == leadership.target:
                continue
            applied = self._fleet.health.of(target.name).applied
            leads = target.role is routes.TargetRole.PRIMARY
            if leads and applied.term > recorded.term:
                return target.name
        return None

    def _probe(self, leadership):
        """Query a primary's status unless it has answered recently."""
        target = self._fleet.directory.targets.get(leadership.target)
        health = self._fleet.health.of(leadership.target)
        if target is None or leadership.target in self._probing:
            return
        if clock.now() - health.last_answer_at < PROBE_AFTER_S:
            return
        self._probing.add(leadership.target)

        async def probe():
            try:
                await self._fleet.status(
                    target, successors.STATUS_TIMEOUT_S, leadership
                )
            except exceptions.BalsamhingeError as exc:
                event(log.debug, "probe_failed", target=target.name, error=exc)
            finally:
                self._probing.discard(leadership.target)

        self._fleet.spawn(probe())

    async def _record_first(self, group, unreadable):
        """Record the primary of a group that is not known.

        Parameters
        ----------
        group : str
            The group.
        unreadable : Leadership or None
            What its unreadable record stands for; None if it has none.
        """
        if unreadable is not None:
            boot_time = self._fleet.dependencies.boot_time
            await self._await_releases(unreadable, boot_time())
            # The record may have announced a promotion that takes effect yet.
            await self._await_promotion_right()
            while boot_time() < self._promotions_settle_at():
                await clock.pause(POLL_INTERVAL_S)
        targets = self._fleet.directory.active_targets(group)
        reports = await self.successors.query_reports(targets)
        leading = [
            (report.term, name)
            for name, report in reports.items()
            if report.role is routes.TargetRole.PRIMARY
        ]
        if not leading or not self._fleet.duty.held:
            await clock.pause(RETRY_DELAY_S)
            return
        first = leases.Leadership(group, max(leading)[1], 1)
        await self._store_leadership(
            first, unreadable.revision if unreadable else 0
        )

    async def _store_leadership(self, leadership, revision, publish=True):
        """Write a leadership record and merge it into the local state.

        Parameters
        ----------
        leadership : Leadership
            The new record.
        revision : int
            Revision of the record that it replaces; 0 for none.
        publish : bool
            Whether to exchange gossip messages with all instances at once.

        Returns
        -------
        Leadership
            The record with its revision in the store.
        """
        record = await self._fleet.leaders.put_record(
            storedrecords.group_key(leadership.group),
            storedrecords.record_value(leadership),
            revision,
        )
        stored = attrs.evolve(leadership, revision=record.revision)
        self._fleet.leaders.merge_leadership(stored, "own")
        if publish:
            self._fleet.spawn(self._fleet.gossip.exchange_all())
        return stored

    async def _change(self, leadership, reason, orderly):
        """Change the primary of a group, or resume such a change.

        Parameters
        ----------
        leadership : Leadership
            The current record.
        reason : str
            "judged" if the primary is unhealthy or about to stop, "usurped"
            if another target leads a later term, "resumed" if the change
            has already been announced.
        orderly : bool
            Whether the old primary may finish its work first.
        """
        fleet = self._fleet
        started_at = clock.now()
        if not fleet.registered or not fleet.may_change_primaries:
            await clock.pause(RETRY_DELAY_S)
            return
        if not leadership.changing:
            announced = attrs.evolve(
                leadership, changing=True, orderly=orderly
            )
            leadership = await self._store_leadership(
                announced, leadership.revision
            )
        announced_at = fleet.dependencies.boot_time()
        confirmed = await self._await_releases(leadership, announced_at)
        release_s = clock.now() - started_at
        # Until then, the previous holder of the duty may request promotions.
        await self._await_promotion_right()
        choice = await self.successors.choose(
            leadership,
            orderly,
            confirmed,
            lambda: self._may_reinstate(leadership),
        )
        chosen, term = choice.target, choice.term
        if chosen is None:
            raise exceptions.NotRunError(
                f"no target of {leadership.group} can become the primary"
            )
        stays = chosen == leadership.target and not leadership.successor
        if not stays or reason == "usurped":
            # Recorded before the promotion, so that an instance that resumes
            # this change does not use the old primary.
            successor = attrs.evolve(leadership, successor=chosen)
            leadership = await self._store_leadership(
                successor, leadership.revision, publish=False
            )
            term = await self._promote(leadership, choice)
        completed = attrs.evolve(
            leadership,
            target=chosen,
            epoch=storedrecords.next_epoch(leadership.epoch),
            changing=False,
            orderly=False,
            successor="",
        )
        await self._store_leadership(completed, leadership.revision)
        event(
            log.notice,
            "primary_changed",
            group=leadership.group,
            earlier=leadership.target,
            target=chosen,
            epoch=completed.epoch,
            term=term,
            reason=reason,
            orderly=orderly,
            confirmed=confirmed,
            departure_s=release_s,
            total_s=clock.now() - started_at,
        )
        if completed.target != leadership.target:
            fleet.spawn(self._step_down(leadership.target, term))
        elif orderly and fleet.directory.targets[chosen].leaving:
            await clock.pause(SWITCH_RETRY_DELAY_S)

    async def _await_releases(self, leadership, announced_at):
        """Wait until no instance uses the old primary.

        Parameters
        ----------
        leadership : Leadership
            The announced change.
        announced_at : float
            Boot-clock seconds after the announcement was stored.

        Returns
        -------
        bool
            True if all instances have confirmed the release; False if the
            leases of the others have expired.

        Raises
        ------
        NotRunError
            If this instance was deregistered: others may hold leases that
            were extended without its promise.
        """
        fleet = self._fleet
        await fleet.leaders.read()
        if not fleet.registered:
            raise exceptions.NotRunError("this instance was deregistered")
        registered = fleet.leaders.registrations
        while True:
            now = fleet.dependencies.boot_time()
            waiting = [
                member
                for member in registered.awaited_members(now)
                if not self._has_released(member.name, leadership)
            ]
            own = (
                fleet.leaders.released.get(leadership.group, 0)
                >= leadership.revision
            )
            all_known = registered.are_all_awaited_known(now)
            if not waiting and own and all_known:
                return True
            elapsed_s = now - announced_at
            if elapsed_s > leases.LEASE_S and own:
                event(
                    log.warning,
                    "departure_unconfirmed",
                    group=leadership.group,
                    instances=",".join(m.name for m in waiting),
                    all_known=all_known,
                    waited_s=elapsed_s,
                )
                return False
            for member in waiting:
                fleet.gossip.schedule_exchange(member)
            await clock.pause(CONFIRM_INTERVAL_S)

    def _has_released(self, name, leadership):
        message = self._fleet.gossip.last_messages.get(name)
        if message is None:
            return False
        return message.left.get(leadership.group, 0) >= leadership.revision

    def _may_reinstate(self, leadership):
        """Return whether the old primary may be chosen again.

        It may not while an earlier promotion request for another target
        can still take effect.
        """
        if not leadership.successor:
            return True
        boot_time = self._fleet.dependencies.boot_time
        return boot_time() >= self._promotions_settle_at()

    def _promotions_settle_at(self):
        """Return when earlier requests have taken effect, in boot seconds."""
        requested_at = max(
            self._fleet.duty.may_promote_from, self._requested_at
        )
        return requested_at + PROMOTE_CALL_TIMEOUT_S + TAKEOVER_TIMEOUT_S

    async def _await_promotion_right(self):
        """Wait until this instance may request promotions.

        Raises
        ------
        NotRunError
            If another instance has acquired the duty, or may do so.
        """
        duty = self._fleet.duty
        while not duty.may_promote():
            if not duty.held or duty.is_relinquished:
                raise exceptions.NotRunError(
                    "another instance acquires the promotion duty"
                )
            await clock.pause(POLL_INTERVAL_S)

    async def _promote(self, leadership, choice):
        """Have the platform promote a target, and wait until it leads.

        A target that was the primary before may take itself for it, so it
        leads once it reports a later term, or still takes itself for the
        primary when a promotion would have taken effect.

        Parameters
        ----------
        leadership : Leadership
            The announced change.
        choice : PrimaryChoice
            The target to promote.

        Returns
        -------
        int
            The term that the target leads.

        Raises
        ------
        NotRunError
            If the target does not lead in time.
        """
        fleet = self._fleet
        chosen = choice.target
        await self._await_promotion_right()
        self._requested_at = fleet.dependencies.boot_time()
        event(
            log.notice,
            "promotion_asked",
            group=leadership.group,
            target=chosen,
            fence=revisions.describe(fleet.duty.fence),
        )
        # No await may stand between the check of the promotion right and
        # this call.
        await fleet.dependencies.promotion.promote(
            leadership.group,
            chosen,
            fleet.me.name,
            fleet.duty.fence,
            PROMOTE_CALL_TIMEOUT_S,
        )
        until = clock.now() + TAKEOVER_TIMEOUT_S
        target = fleet.directory.targets[chosen]
        settled = False
        while not settled:
            settled = clock.now() >= until
            reports = await self.successors.query_reports([target])
            report = reports.get(chosen)
            leads = report is not None and (
                report.role is routes.TargetRole.PRIMARY
            )
            least_term = choice.term
            if not choice.already_leads and not settled:
                least_term += 1
            if leads and report.term >= least_term:
                return report.term
            await clock.pause(POLL_INTERVAL_S)
        raise exceptions.NotRunError(f"{chosen} is not the primary yet")

    async def _step_down(self, name, term):
        """Tell an old primary that a later term has begun."""
        target = self._fleet.directory.targets.get(name)
        if target is None:
            return
        order = statements.Order(statements.StepDown(term))
        try:
            await self._fleet.query_target(
                target, order, successors.STATUS_TIMEOUT_S, admitted=True
            )
        except exceptions.BalsamhingeError as exc:
            event(log.info, "step_down_failed", target=name, error=exc)

    def _expire_members(self):
        """Deregister instances that are silent for `MEMBER_EXPIRY_S`.

        Instances contact the holder of the duty, so their silence counts
        from when this instance has held it and has known of them.
        """
        fleet = self._fleet
        now = clock.now()
        if now < self._next_expiry_check:
            return
        self._next_expiry_check = now + EXPIRY_CHECK_INTERVAL_S
        members = fleet.other_members()
        self._listed_since = {
            member.name: self._listed_since.get(member.name, now)
            for member in members
        }
        for member in members:
            heard_at = max(
                self._listed_since[member.name],
                fleet.gossip.last_contact_at.get(member.name, float("-inf")),
            )
            if now - heard_at < registrations.MEMBER_EXPIRY_S:
                continue
            if member.name not in self._deregistering:
                self._deregistering.add(member.name)
                fleet.spawn(self._deregister(member))

    async def _deregister(self, member):
        """Delete the record of an instance, unless it answers after all."""
        fleet = self._fleet
        try:
            if await fleet.gossip.exchange(member) is not None:
                return
            key = storedrecords.member_key(member.name)
            record = fleet.leaders.listing.records.get(key)
            if record is None or not fleet.duty.is_confirmed():
                return
            await fleet.dependencies.store.delete(
                interfaces.LEADERS, key, record.revision
            )
        except exceptions.BalsamhingeError as exc:
            event(
                log.info,
                "deregister_failed",
                instance=member.name,
                error=exc,
            )
            return
        finally:
            self._deregistering.discard(member.name)
        event(log.notice, "instance_deregistered", instance=member.name)
