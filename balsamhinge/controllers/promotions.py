"""Runs promotions, switchovers and voter changes of target groups."""

import asyncio
import typing

import attrs
import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedobjects
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import majorities
from balsamhinge.policy import promotion
from balsamhinge.policy import views

__all__ = ["GroupRecord", "PromotionsController", "group_key"]

TARGET_TIMEOUT_S = 0.4
# Shorter than the delay between two proposers, so that the next one does
# not start while this one waits for an unresponsive store.
STORE_TIMEOUT_S = 0.1
LATE_ANSWER_GRACE_S = 0.03
RECORD_RETRY_INTERVAL_S = 1.0
MAX_RECORD_ATTEMPTS = 300
CONNECTION_PURPOSE = "promote"

# Messages between instances carry integers of 64 bits.
MAX_TERM = (1 << 62) - 1

log = logbook.Logger(__name__)


@attrs.frozen
class GroupRecord:
    """A group's latest claimed term, as the store keeps it.

    Parameters
    ----------
    term : int
        The claimed term.
    proposer : str
        Instance that claimed it.
    primary : str
        Target that was promoted, "" until the promotion is done.
    voters : list of str
        Voting targets under that term.
    """

    term: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM)]
    proposer: str
    primary: str = ""
    voters: list[str] = attrs.Factory(list)

    def supersedes(self, record):
        """Return whether a record must not replace this one."""
        return self.term > record.term or (
            self.term == record.term and bool(self.primary)
        )


def group_key(group):
    """Return the store key of a group's record."""
    return f"groups/{group}"


class PromotionsController:
    """Promotes targets, each under a new term.

    Parameters
    ----------
    core : Core
        The instance's controllers.

    Notes
    -----
    Safety depends on the targets alone: a target accepts only increasing
    terms, each from a single proposer, and a majority of the voters must
    accept the term.
    """

    def __init__(self, core):
        self._core = core
        self._locks = {}
        self.promotion_count = 0

    async def promote(self, group, reason, preferred=""):
        """Try once to promote a primary of a group under a new term.

        Parameters
        ----------
        group : str
            Name of the group.
        reason : str
            "suspected", "switchover", "voters" or "operator".
        preferred : str
            Target to promote if no other one has a longer log.

        Returns
        -------
        GroupView or None
            The group's new view. None if the promotion failed or another
            one of the group is running here; the caller may try again.
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
        statuses = await self._call_targets(names, "status")
        voters = promotion.latest_voters(statuses, view.voters)
        leader = promotion.find_leader(statuses)
        is_newer_term = leader is not None and leader.term > view.term
        if is_newer_term and reason != "operator":
            return self._adopt_leader(group, leader)
        if reason == "suspected" and leader is not None:
            return None
        if not majorities.has_majority(voters, {s.name for s in statuses}):
            return None
        new_voters = self._next_voters(group, voters, reason)
        if reason == "voters":
            # Only the voters have to change, so the primary stays if it can.
            preferred = view.primary
        leader = await self._promote_candidate(
            group, statuses, voters, new_voters, preferred
        )
        if reason == "switchover" and self._core.is_leaving(leader.primary):
            # The leaving primary had the longest log and was promoted again.
            # Now the others replicate from it and nobody writes under its
            # term, so a staying target can be promoted directly.
            statuses = await self._call_targets(names, "status")
            leader = await self._promote_candidate(
                group, statuses, voters, new_voters, preferred
            )
        return self._adopt_leader(group, leader)

    def _next_voters(self, group, voters, reason):
        if reason != "voters":
            return voters
        staying = self._core.staying_targets(group)
        return majorities.next_voters(voters, staying)

    async def _promote_candidate(
        self, group, statuses, voters, new_voters, preferred
    ):
        plan = self._core.configuration.plan
        view = self._core.groups.view(group)
        me = self._core.members.me.name
        term = promotion.next_term(statuses, view.term)
        term = await self._claim_term(group, term)
        event(log.info, "promotion_started", group=group, term=term)
        fenced = await self._call_targets(voters, "fence", term, me)
        if not majorities.has_majority(voters, {s.name for s in fenced}):
            raise exceptions.NotRunError("no majority took the term")
        if promotion.latest_voters(fenced, voters) != voters:
            raise exceptions.NotRunError("the voters changed meanwhile")
        avoided = {
            name
            for name in voters
            if self._core.is_leaving(name) or name not in new_voters
        }
        chosen = promotion.choose_candidate(fenced, voters, avoided, preferred)
        if chosen.name not in new_voters:
            raise exceptions.NotRunError(
                f"only the leaving {chosen.name} holds {chosen.received}"
            )
        await self._core.control.call(
            plan.targets[chosen.name],
            CONNECTION_PURPOSE,
            "promote",
            term,
            new_voters,
            timeout_s=TARGET_TIMEOUT_S,
        )
        leader = promotion.GroupLeader(term, chosen.name, new_voters)
        await self._redirect_replicas(leader, {*voters, *new_voters})
        self.promotion_count += 1
        event(
            log.info,
            "promoted",
            group=group,
            term=term,
            primary=chosen.name,
            voters=",".join(new_voters),
        )
        return leader

    async def _redirect_replicas(self, leader, names):
        """Have the others replicate from the new primary.

        Returns once a majority has received the first entry of the term.
        """
        others = sorted(names - {leader.primary})
        # The primary itself counts towards the majority.
        min_answers = max(1, majorities.majority_size(leader.voters) - 1)
        await self._call_targets(
            others,
            "follow",
            leader.term,
            leader.primary,
            min_answers=min_answers,
        )
        plan = self._core.configuration.plan
        status = await self._core.control.call(
            plan.targets[leader.primary],
            CONNECTION_PURPOSE,
            "status",
            timeout_s=TARGET_TIMEOUT_S,
        )
        answers = await self._call_targets(
            others,
            "wait_received",
            leader.term,
            status.received.offset,
            TARGET_TIMEOUT_S / 2,
            min_answers=min_answers,
        )
        holders = {
            s.name
            for s in answers
            if promotion.holds_first_entry(s, leader.term)
        }
        holders.add(leader.primary)
        if not majorities.has_majority(leader.voters, holders):
            raise exceptions.NotRunError(
                "the first entry of the term is not confirmed yet"
            )

    async def _call_targets(self, names, method, *args, min_answers=0):
        """Call a method of several targets concurrently.

        Parameters
        ----------
        names : iterable of str
            Names of the targets.
        method : str
            Name of a method of `TargetConnection`.
        *args
            Arguments of the method.
        min_answers : int
            Number of answers to wait for; 0 for a majority of `names`.

        Returns
        -------
        list of TargetStatus
            Answers of the targets that responded. After `min_answers`
            the others have only `LATE_ANSWER_GRACE_S` left, so that an
            unresponsive target does not delay its own replacement.
        """
        pending = {
            self._core.spawn(self._call_target(name, method, *args))
            for name in names
        }
        min_answers = min_answers or majorities.majority_size(names)
        answers = []
        grace_s = None
        while pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=grace_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            results = [task.result() for task in done]
            answers += [status for status in results if status is not None]
            if len(answers) >= min_answers:
                grace_s = LATE_ANSWER_GRACE_S
        return answers

    async def _call_target(self, name, method, *args):
        target = self._core.configuration.plan.targets.get(name)
        if target is None:
            return None
        try:
            return await self._core.control.call(
                target,
                CONNECTION_PURPOSE,
                method,
                *args,
                timeout_s=TARGET_TIMEOUT_S,
            )
        except exceptions.TargetError:
            return None

    async def _claim_term(self, group, term):
        """Record the term in the store if it responds in time.

        Returns
        -------
        int
            The term to propose, raised above the one in the store.
        """
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                return await self._claim_stored_term(group, term)
        except (
            TimeoutError,
            exceptions.StoreUnavailable,
            exceptions.StoreConflict,
        ):
            # The terms that the targets hold are sufficient for safety, so
            # an unavailable store does not block the promotion.
            return term

    async def _claim_stored_term(self, group, term):
        store = self._core.dependencies.store
        key = group_key(group)
        stored = await store.get(key)
        version = 0
        if stored is not None:
            version = stored.version
            record = storedobjects.decode(key, stored, GroupRecord)
            if record is not None:
                term = max(term, record.term + 1)
        claim = GroupRecord(term, self._core.members.me.name)
        await store.put(key, msgspec.json.encode(claim), version)
        return term

    def _adopt_leader(self, group, leader):
        view = views.GroupView(
            group, leader.term, leader.primary, leader.voters
        )
        self._core.groups.merge_view(view)
        self._core.dissemination.publish_views([view])
        self._core.spawn(self._record_view(view))
        return view

    async def _record_view(self, view):
        """Write the view to the store; retry while it is unavailable."""
        record = GroupRecord(
            view.term, self._core.members.me.name, view.primary, view.voters
        )
        for _attempt in range(MAX_RECORD_ATTEMPTS):
            try:
                if await self._record_view_once(record, view.group):
                    return
            except (exceptions.StoreUnavailable, exceptions.StoreConflict):
                await clock.pause(
                    RECORD_RETRY_INTERVAL_S * self._core.rng.uniform(0.5, 1.5)
                )

    async def _record_view_once(self, record, group):
        store = self._core.dependencies.store
        key = group_key(group)
        stored = await store.get(key)
        version = 0
        if stored is not None:
            version = stored.version
            stored_record = storedobjects.decode(key, stored, GroupRecord)
            if stored_record is not None and stored_record.supersedes(record):
                return True
        await store.put(key, msgspec.json.encode(record), version)
        return True
