"""Changes the primary of a group, as the holder of the duty."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import leaders as leaders_module
from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.logs import event
from balsamhinge.policy import leases
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from balsamhinge.policy import succession

__all__ = ["FailoverController"]

STEP_S = 0.1
# A target that answers at all does so within this time.
STATUS_S = 0.4
POLL_S = 0.04
# How often instances are asked whether they have left the old primary.
CONFIRM_S = 0.06
# How long a replica may take to receive what the old primary has: longer
# than a replica of today lags, short against the callers' deadlines.
CATCH_UP_S = 1.0
# The platform answers within milliseconds; what comes later must be
# over before a new holder may call.
PROMOTE_S = 1.0
# The platform takes 0.3 s to promote; a slow target twice as long.
TAKE_OVER_S = 1.5
# A primary that nobody asked for so long is asked, so that its silence
# is noticed without traffic.
PROBE_AGE_S = 0.3
RETRY_S = 0.25
# A registered instance that has been silent for so long is forgotten;
# longer than any lease.
FORGET_S = 12.0

log = logbook.Logger(__name__)


class FailoverController:
    """Watches every group's primary while this instance has the duty.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._busy = set()
        self._gone_at = {}
        self._spread_since = {}
        self._probing = set()
        self._forgotten_at = 0.0
        # Boot-clock seconds of the last promotion that was asked for here.
        self._asked_at = float("-inf")

    @property
    def is_changing(self):
        """Return whether a change is under way here."""
        return bool(self._busy)

    async def run(self):
        """Watch for ever."""
        while True:
            await clock.pause(STEP_S)
            # One that was cut off holds the duty by old news only.
            if not self._fleet.duty.is_confirmed() or self._fleet.stopping:
                continue
            for group in self._fleet.directory.table.groups:
                if group not in self._busy:
                    self._watch(group)
            self._forget_members()

    def _watch(self, group):
        known = self._fleet.leaders.latest(group)
        if known is None:
            self._begin(group, self._found(group))
            return
        if known.changing:
            self._begin(group, self._change(known, "resumed", False))
            return
        usurper = self._usurper(known)
        if usurper:
            self._begin(group, self._change(known, "usurped", False))
            return
        evidence = self._evidence(known)
        match succession.judge(evidence):
            case succession.Verdict.KEEP:
                self._probe(known)
                return
            case succession.Verdict.SWITCH:
                orderly = True
            case succession.Verdict.REPLACE:
                orderly = False
        if not self._candidates(known):
            return
        event(
            log.warning,
            "primary_judged",
            group=group,
            target=known.target,
            orderly=orderly,
            listed=evidence.listed,
            leaving=evidence.leaving,
            gone_s=evidence.gone_s,
            silent_s=evidence.silent_s,
            heard_s=evidence.heard_s,
            spread_s=evidence.spread_s,
        )
        self._begin(group, self._change(known, "judged", orderly))

    def _begin(self, group, change):
        self._busy.add(group)

        async def run():
            try:
                await change
            except (
                exceptions.StoreUnavailable,
                exceptions.StoreConflict,
                exceptions.PlatformSilent,
                exceptions.PromotionRefused,
                exceptions.NotRunError,
                exceptions.TargetError,
            ) as exc:
                event(log.warning, "change_unfinished", group=group, error=exc)
                await clock.pause(RETRY_S)
            finally:
                self._busy.discard(group)

        self._fleet.spawn(run())

    def _evidence(self, known):
        now = clock.now()
        target = self._fleet.directory.targets.get(known.target)
        if target is not None:
            self._gone_at.pop(known.target, None)
        else:
            self._gone_at.setdefault(known.target, now)
        health = self._fleet.health.of(known.target)
        heard_at = max(
            health.last_answer_at,
            self._fleet.heard_elsewhere.get(known.target, float("-inf")),
        )
        silent, hearing = self._count_silent(known)
        spread = succession.is_spread(silent, hearing)
        since = self._spread_since.setdefault(known.target, now)
        if not spread:
            self._spread_since.pop(known.target)
        return succession.Evidence(
            listed=target is not None,
            leaving=target is not None and target.leaving,
            gone_s=now - self._gone_at.get(known.target, now),
            silent_s=health.unresponsive_s(now),
            heard_s=now - heard_at,
            spread_s=now - since if spread else 0.0,
        )

    def _count_silent(self, known):
        """Return how many instances a primary is silent to, and not.

        Instances that did not ask it lately count for neither.
        """
        fleet = self._fleet
        silent = hearing = 0
        for name in fleet.gossip.live_names():
            if name == fleet.me.name:
                heard, silence = (
                    fleet.leaders_heard_s(),
                    fleet.leaders_silent_s(),
                )
            else:
                note = fleet.gossip.last_messages[name]
                heard, silence = note.heard_s, note.silent_s
            if silence.get(known.target, 0.0) > succession.SILENT_S:
                silent += 1
            elif heard.get(known.target, 1e9) < succession.HEARD_S:
                hearing += 1
        return silent, hearing

    def _candidates(self, known):
        return [
            target
            for target in self._fleet.directory.active_targets(known.group)
            if target.name != known.target
        ]

    def _usurper(self, known):
        """Return a target that leads although the record names another.

        Only one that tells a later position than the known primary: an
        old primary that comes back may still say that it leads.
        """
        seen = self._fleet.health.of(known.target).applied
        for target in self._fleet.directory.active_targets(known.group):
            if target.name == known.target:
                continue
            applied = self._fleet.health.of(target.name).applied
            leads = target.role is routes.TargetRole.PRIMARY
            if leads and applied.term > seen.term:
                return target.name
        return None

    def _probe(self, known):
        """Ask a primary that has not been heard lately."""
        target = self._fleet.directory.targets.get(known.target)
        health = self._fleet.health.of(known.target)
        if target is None or known.target in self._probing:
            return
        if clock.now() - health.last_answer_at < PROBE_AGE_S:
            return
        self._probing.add(known.target)

        async def probe():
            try:
                await self._fleet.status(target, STATUS_S, known)
            except exceptions.BalsamhingeError as exc:
                event(log.debug, "probe_failed", target=target.name, error=exc)
            finally:
                self._probing.discard(known.target)

        self._fleet.spawn(probe())

    async def _found(self, group):
        """Record who leads a group that has no record yet."""
        targets = self._fleet.directory.active_targets(group)
        reports = await self._reports(targets)
        leading = [
            (report.term, name)
            for name, report in reports.items()
            if report.role is routes.TargetRole.PRIMARY
        ]
        if not leading or not self._fleet.duty.held:
            await clock.pause(RETRY_S)
            return
        first = leases.Leadership(group, max(leading)[1], 1)
        await self._put(first, 0)

    async def _put(self, leadership, revision, tell=True):
        """Write a record, learn it and tell all instances."""
        record = await leaders_module.put_record(
            self._fleet.links.store,
            leaders_module.group_key(leadership.group),
            leaders_module.record_value(leadership),
            revision,
        )
        stored = attrs.evolve(leadership, revision=record.revision)
        self._fleet.leaders.merge_leadership(stored, "own")
        if tell:
            self._fleet.spawn(self._fleet.gossip.exchange_all())
        return stored

    async def _change(self, known, reason, orderly):
        fleet = self._fleet
        begun = clock.now()
        if not fleet.seasoned:
            await clock.pause(RETRY_S)
            return
        if not known.changing:
            announced = attrs.evolve(known, changing=True, orderly=orderly)
            known = await self._put(announced, known.revision)
        announced_at = fleet.links.boot_time()
        confirmed = await self._await_departure(known, announced_at)
        left_s = clock.now() - begun
        # Before that, an earlier holder may still ask for a promotion.
        await self._await_entitlement()
        chosen, term = await self._choose(known, orderly)
        if chosen is None:
            raise exceptions.NotRunError(
                f"no target of {known.group} can take over"
            )
        stays = chosen == known.target and not known.successor
        if not stays or reason == "usurped":
            # Whoever resumes this change must not use the old primary.
            successor = attrs.evolve(known, successor=chosen)
            known = await self._put(successor, known.revision, tell=False)
            term = await self._promote(known, chosen, term)
        done = attrs.evolve(
            known,
            target=chosen,
            epoch=known.epoch + 1,
            changing=False,
            orderly=False,
            successor="",
        )
        await self._put(done, known.revision)
        event(
            log.notice,
            "primary_changed",
            group=known.group,
            earlier=known.target,
            target=chosen,
            epoch=done.epoch,
            term=term,
            reason=reason,
            orderly=orderly,
            confirmed=confirmed,
            departure_s=left_s,
            total_s=clock.now() - begun,
        )
        if done.target != known.target:
            fleet.spawn(self._step_down(known.target, term))

    async def _await_departure(self, known, announced_at):
        """Wait until no instance uses the old primary.

        Returns
        -------
        bool
            Whether all have confirmed it; otherwise their leases lapsed.
        """
        fleet = self._fleet
        await fleet.leaders.read()
        while True:
            waiting = [
                member
                for member in fleet.other_members()
                if not self._has_left(member.name, known)
            ]
            own = fleet.leaders.released.get(known.group, 0) >= known.revision
            if not waiting and own:
                return True
            waited = fleet.links.boot_time() - announced_at
            if waited > leases.LEASE_S and own:
                event(
                    log.warning,
                    "departure_unconfirmed",
                    group=known.group,
                    instances=",".join(m.name for m in waiting),
                    waited_s=waited,
                )
                return False
            for member in waiting:
                fleet.gossip.schedule_exchange(member)
            await clock.pause(CONFIRM_S)

    def _has_left(self, name, known):
        note = self._fleet.gossip.last_messages.get(name)
        if note is None:
            return False
        return note.left.get(known.group, 0) >= known.revision

    async def _choose(self, known, orderly):
        """Return the target that is to lead, and the newest term."""
        fleet = self._fleet
        begun = clock.now()
        old = fleet.directory.targets.get(known.target)
        while True:
            targets = self._candidates(known)
            if old is not None:
                targets = [*targets, old]
            reports = await self._reports(targets)
            term = max((r.term for r in reports.values()), default=0)
            avoided = {target.name for target in targets if target.leaving}
            own = reports.get(known.target)
            returned = own is not None and self._may_return(known)
            if returned and not orderly and not old.leaving:
                chosen = succession.choose_successor(reports, avoided)
                if own.term == term and (
                    own.role is routes.TargetRole.PRIMARY
                ):
                    chosen = known.target
            else:
                avoided.add(known.target)
                chosen = succession.choose_successor(reports, avoided)
            if chosen is None or not orderly:
                return chosen, term
            # An old primary that this instance does not reach was heard by
            # others, which tell its position.
            held = own.received if own else fleet.leaders.last_position(known)
            caught_up = positions.covers(reports[chosen].received, held)
            if caught_up or clock.now() - begun > CATCH_UP_S:
                event(
                    log.notice,
                    "successor_chosen",
                    group=known.group,
                    target=chosen,
                    received=reports[chosen].received,
                    old_received=held,
                    caught_up=caught_up,
                )
                if caught_up or old is None or old.leaving:
                    return chosen, term
                # Its callers' accepted writes are worth more than the
                # callers that do not reach it.
                return known.target, term
            await clock.pause(POLL_S)

    def _may_return(self, known):
        """Return whether the old primary may be chosen again.

        Not while a promotion that may have been asked for can still take
        effect.
        """
        if not known.successor:
            return True
        asked_at = max(self._fleet.duty.may_promote_from, self._asked_at)
        over_at = asked_at + PROMOTE_S + TAKE_OVER_S
        return self._fleet.links.boot_time() >= over_at

    async def _reports(self, targets):
        """Return the reports of those targets that answer."""

        async def report(target):
            try:
                return await self._fleet.status(target, STATUS_S)
            except exceptions.BalsamhingeError as exc:
                event(
                    log.info,
                    "target_without_report",
                    target=target.name,
                    error=exc,
                )
                return None

        found = await asyncio.gather(*(report(t) for t in targets))
        return {
            target.name: one
            for target, one in zip(targets, found, strict=True)
            if one is not None
        }

    async def _await_entitlement(self):
        """Wait until this instance may call the platform."""
        duty = self._fleet.duty
        while not duty.may_promote():
            if not duty.held:
                raise exceptions.NotRunError("the duty has passed on")
            await clock.pause(POLL_S)

    async def _promote(self, known, chosen, term):
        fleet = self._fleet
        await self._await_entitlement()
        self._asked_at = fleet.links.boot_time()
        event(
            log.notice,
            "promotion_asked",
            group=known.group,
            target=chosen,
            fence=fleet.duty.fence,
        )
        # Checked once more here: nothing is awaited before the call.
        await fleet.links.promotion.promote(
            known.group, chosen, fleet.me.name, fleet.duty.fence, PROMOTE_S
        )
        until = clock.now() + TAKE_OVER_S
        target = fleet.directory.targets[chosen]
        while clock.now() < until:
            reports = await self._reports([target])
            report = reports.get(chosen)
            leads = report is not None and (
                report.role is routes.TargetRole.PRIMARY
            )
            if leads and report.term >= term:
                return report.term
            await clock.pause(POLL_S)
        raise exceptions.NotRunError(f"{chosen} does not lead yet")

    async def _step_down(self, name, term):
        target = self._fleet.directory.targets.get(name)
        if target is None:
            return
        order = statements.Order(statements.StepDown(term))
        try:
            await self._fleet.ask_target(target, order, STATUS_S)
        except exceptions.BalsamhingeError as exc:
            event(log.info, "step_down_failed", target=name, error=exc)

    def _forget_members(self):
        """Drop the record of an instance that is gone for good."""
        fleet = self._fleet
        now = clock.now()
        if now < self._forgotten_at:
            return
        self._forgotten_at = now + 1.0
        for member in fleet.other_members():
            heard = fleet.gossip.last_contact_at.get(
                member.name, fleet.started_at
            )
            if now - heard < FORGET_S:
                continue
            fleet.spawn(self._forget(member.name))

    async def _forget(self, name):
        record = self._fleet.leaders.member_records.get(name)
        if record is None:
            return
        try:
            await self._fleet.links.store.delete(
                links.LEADERS, leaders_module.member_key(name), record.revision
            )
        except exceptions.BalsamhingeError as exc:
            event(log.info, "forget_failed", instance=name, error=exc)
            return
        event(log.notice, "instance_forgotten", instance=name)
