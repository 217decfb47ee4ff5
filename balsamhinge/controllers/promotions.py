"""Carries out a promotion, a switchover or a change of voters."""

import asyncio

import attrs
import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import majorities
from balsamhinge.policy import promotion
from balsamhinge.policy import views

__all__ = ["GroupRecord", "PromotionsController", "group_key"]

CALL_S = 0.4
# Less than the stagger, so that a silent store does not make the next
# proposer start as well.
STORE_S = 0.1
GRACE_S = 0.03
RECORD_RETRY_S = 1.0
RECORD_ATTEMPTS = 300
PURPOSE = "promote"

log = logbook.Logger(__name__)


@attrs.frozen
class GroupRecord:
    """What the store keeps of a group: its latest claimed term."""

    term: int
    proposer: str
    primary: str = ""
    voters: list[str] = attrs.Factory(list)


def group_key(group):
    """Return the store's key for a group's record."""
    return f"groups/{group}"


class PromotionsController:
    """Promotes a target under a new term.

    Parameters
    ----------
    core : Core
        The instance's controllers.

    Notes
    -----
    Safety rests on the targets alone: each takes a term only upward and
    from one proposer, and a majority of them must take it.
    """

    def __init__(self, core):
        self._core = core
        self._locks = {}
        self.count = 0

    async def promote(self, group, reason, preferred=""):
        """Try once to give a group a primary under a new term.

        Parameters
        ----------
        group : str
            Its name.
        reason : str
            "suspected", "switchover", "voters" or "operator".
        preferred : str
            Target to promote if its log allows it.

        Returns
        -------
        GroupView or None
            None if it did not come about; a later try may.
        """
        lock = self._locks.setdefault(group, asyncio.Lock())
        if lock.locked():
            return None
        async with lock:
            try:
                return await self._promote(group, reason, preferred)
            except (exceptions.TargetError, exceptions.NotRunError) as exc:
                event(log.warning, "promotion_failed", group=group, error=exc)
                return None

    async def _promote(self, group, reason, preferred):
        plan = self._core.configuration.plan
        view = self._core.groups.view(group)
        names = plan.groups[group].targets
        statuses = await self._ask_all(names, "status")
        voters = promotion.agreed_voters(statuses, view.voters)
        leader = promotion.find_leader(statuses)
        unknown = leader is not None and leader.term > view.term
        if unknown and reason != "operator":
            return self._learn(group, leader)
        if reason == "suspected" and leader is not None:
            return None
        if not majorities.has_majority(voters, {s.name for s in statuses}):
            return None
        following = self._next_voters(group, voters, reason)
        if reason == "voters":
            # The list changes, the primary need not.
            preferred = view.primary
        leader = await self._lead(
            group, statuses, voters, following, preferred
        )
        if reason == "switchover" and self._core.is_leaving(leader.primary):
            # The leaving primary held more than a staying target. Now all
            # follow it and nobody writes under its term, so that another
            # can take over at once.
            statuses = await self._ask_all(names, "status")
            leader = await self._lead(
                group, statuses, voters, following, preferred
            )
        return self._learn(group, leader)

    def _next_voters(self, group, voters, reason):
        if reason != "voters":
            return voters
        staying = self._core.staying_targets(group)
        return majorities.next_voters(voters, staying)

    async def _lead(self, group, statuses, voters, following, preferred):
        plan = self._core.configuration.plan
        view = self._core.groups.view(group)
        me = self._core.members.me.name
        term = promotion.next_term(statuses, view.term)
        term = await self._claim(group, term)
        event(log.info, "promotion_started", group=group, term=term)
        fenced = await self._ask_all(voters, "fence", term, me)
        if not majorities.has_majority(voters, {s.name for s in fenced}):
            raise exceptions.NotRunError("no majority took the term")
        if promotion.agreed_voters(fenced, voters) != voters:
            raise exceptions.NotRunError("the voters changed meanwhile")
        avoided = {
            name
            for name in voters
            if self._core.is_leaving(name) or name not in following
        }
        chosen = promotion.choose_candidate(fenced, voters, avoided, preferred)
        if chosen.name not in following:
            raise exceptions.NotRunError(
                f"only the leaving {chosen.name} holds {chosen.received}"
            )
        await self._core.control.call(
            plan.targets[chosen.name],
            PURPOSE,
            "promote",
            term,
            following,
            timeout_s=CALL_S,
        )
        leader = promotion.Choice(term, chosen.name, following)
        await self._follow(leader, {*voters, *following})
        self.count += 1
        event(
            log.info,
            "promoted",
            group=group,
            term=term,
            primary=chosen.name,
            voters=",".join(following),
        )
        return leader

    async def _follow(self, leader, names):
        """Make others follow, until a majority holds the first entry."""
        others = sorted(names - {leader.primary})
        # The primary itself is one of the majority.
        enough = max(1, majorities.majority_size(leader.voters) - 1)
        await self._ask_all(
            others, "follow", leader.term, leader.primary, enough=enough
        )
        plan = self._core.configuration.plan
        status = await self._core.control.call(
            plan.targets[leader.primary], PURPOSE, "status", timeout_s=CALL_S
        )
        answers = await self._ask_all(
            others,
            "wait_received",
            leader.term,
            status.received.offset,
            CALL_S / 2,
            enough=enough,
        )
        held = {s.name for s in answers if promotion.holds(s, leader.term)}
        held.add(leader.primary)
        if not majorities.has_majority(leader.voters, held):
            raise exceptions.NotRunError(
                "the first entry of the term is not confirmed yet"
            )

    async def _ask_all(self, names, method, *args, enough=0):
        """Call a method of several targets.

        Parameters
        ----------
        names : iterable of str
            The targets.
        method : str
            Of `TargetConnection`.
        *args
            Its arguments.
        enough : int
            How many answers are enough; 0 for a majority of `names`.

        Returns
        -------
        list of TargetStatus
            Of those that answered. Once enough have, the others get only
            a short grace: a silent target must not hold up the promotion
            that its silence calls for.
        """
        waiting = {
            self._core.spawn(self._ask(name, method, *args)) for name in names
        }
        enough = enough or majorities.majority_size(names)
        answers = []
        patience_s = None
        while waiting:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=patience_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            results = [task.result() for task in done]
            answers += [status for status in results if status is not None]
            if len(answers) >= enough:
                patience_s = GRACE_S
        return answers

    async def _ask(self, name, method, *args):
        target = self._core.configuration.plan.targets.get(name)
        if target is None:
            return None
        try:
            return await self._core.control.call(
                target, PURPOSE, method, *args, timeout_s=CALL_S
            )
        except exceptions.TargetError:
            return None

    async def _claim(self, group, term):
        """Record the term in the store, if that answers in time."""
        try:
            async with asyncio.timeout(STORE_S):
                return await self._claim_stored(group, term)
        except (
            TimeoutError,
            exceptions.StoreUnavailable,
            exceptions.StoreConflict,
        ):
            # The targets' own terms decide while the store is down.
            return term

    async def _claim_stored(self, group, term):
        store = self._core.links.store
        held = await store.get(group_key(group))
        version = 0
        if held is not None:
            version = held.version
            record = msgspec.json.decode(held.value, type=GroupRecord)
            term = max(term, record.term + 1)
        claim = GroupRecord(term, self._core.members.me.name)
        await store.put(group_key(group), msgspec.json.encode(claim), version)
        return term

    def _learn(self, group, leader):
        view = views.GroupView(
            group, leader.term, leader.primary, leader.voters
        )
        self._core.groups.merge_view(view)
        self._core.dissemination.publish_views([view])
        self._core.spawn(self._record(view))
        return view

    async def _record(self, view):
        """Bring the store's record up to date, however long it is down."""
        record = GroupRecord(
            view.term, self._core.members.me.name, view.primary, view.voters
        )
        for _attempt in range(RECORD_ATTEMPTS):
            try:
                if await self._record_once(record, view.group):
                    return
            except (exceptions.StoreUnavailable, exceptions.StoreConflict):
                await clock.pause(
                    RECORD_RETRY_S * self._core.rng.uniform(0.5, 1.5)
                )

    async def _record_once(self, record, group):
        store = self._core.links.store
        held = await store.get(group_key(group))
        version = 0
        if held is not None:
            version = held.version
            known = msgspec.json.decode(held.value, type=GroupRecord)
            if known.term > record.term:
                return True
            if known.term == record.term and known.primary:
                return True
        await store.put(group_key(group), msgspec.json.encode(record), version)
        return True
