"""Tries targets and instances until a request has its answer."""

import attrs

from balsamhinge.controllers import clock
from balsamhinge.controllers import transactions
from balsamhinge import exceptions
from balsamhinge.filters import execution
from balsamhinge.policy import messages
from balsamhinge.policy import outcomes
from balsamhinge.policy import positions
from balsamhinge.policy import retries
from balsamhinge.policy import routing
from balsamhinge.policy import tokens

__all__ = ["RetryFilter", "Request"]

CHANGE_PAUSE_S = 0.05
LEAST_ATTEMPT_S = 0.25
# With less left no attempt can come back in time.
LEAST_LEFT_S = 0.001
# Part of the remaining time that one attempt may take.
ONLY_SHARE = 0.5
REPLICA_SHARE = 0.125
FORWARD_MARGIN_S = 0.02
HOMES_TRIED = 3

Consistency = routing.Consistency
Reason = messages.Reason
Step = messages.Step


@attrs.define
class Request:
    """What a caller asks.

    Parameters
    ----------
    service, work_class : str
        Names from the operators' text.
    statements : list of Statement
        To run, in one transaction.
    request_id : str
        The caller's identifier; one is made if it is "".
    token : str
        The session token, or "".
    deadline_s : float or None
        Seconds that the caller waits; None for the class's deadline.
    max_age_s : float or None
        Accepted age; None for the class's.
    step : Step
        What is done to a transaction.
    transaction : str
        Its identifier, or "".
    """

    service: str
    work_class: str
    statements: list[messages.Statement]
    request_id: str = ""
    token: str = ""
    deadline_s: float | None = None
    max_age_s: float | None = None
    step: Step = Step.SINGLE
    transaction: str = ""
    deadline: float = 0.0
    group: str = ""
    rules: object = None
    session: tokens.SessionToken = attrs.Factory(tokens.SessionToken)
    consistency: Consistency = Consistency.LATEST
    attempts: int = 0


class RetryFilter:
    """The last filter of the outer chain.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._budget = retries.RetryBudget()
        self._turn = 0

    async def __call__(self, req, proceed=None):
        """Try targets until one has answered or the time is over."""
        self._budget.record_request()
        if req.step in (Step.STATEMENT, Step.COMMIT, Step.ROLLBACK):
            return await self._continue_transaction(req)
        write = req.rules.write or req.step is Step.BEGIN
        attempts = outcomes.Attempts(write and req.rules.write)
        while req.deadline - clock.now() > LEAST_LEFT_S:
            candidates = self._candidates(req, write)
            finished = await self._try_all(req, attempts, candidates)
            if finished is not None:
                return finished
            left = req.deadline - clock.now()
            await self._core.groups.changes.wait(min(CHANGE_PAUSE_S, left))
        return attempts.conclusion()

    async def _try_all(self, req, attempts, candidates):
        for index, candidate in enumerate(candidates):
            if req.deadline - clock.now() <= LEAST_LEFT_S:
                return None
            work = self._work(req, candidate)
            req.attempts += 1
            reply = await self._call_home(work)
            self._learn(candidate.target, reply)
            attempts.record(reply)
            more = index + 1 < len(candidates)
            if reply.reason is Reason.OVERLOADED and more:
                more = self._budget.take()
            match outcomes.next_step(attempts, reply, more):
                case outcomes.Finish(final):
                    return final
                case outcomes.TryNext():
                    continue
                case outcomes.WaitForChange():
                    return None
        return None

    def _candidates(self, req, write):
        core = self._core
        plan = core.configuration.plan
        view = core.groups.view(req.group)
        if write or core.options.baseline and not req.max_age_s:
            leader = routing.Candidate(view.primary, confirm=True)
            return [leader] if view.primary else []
        names = [
            name
            for name in view.voters or plan.groups[req.group].targets
            if not core.is_leaving(name)
        ]
        self._turn += 1
        return routing.order_targets(
            [core.groups.target_view(plan.targets[n]) for n in names],
            view.primary,
            req.consistency,
            req.session.position(req.group) or positions.ORIGIN,
            core.members.me.data_centre,
            self._turn,
        )

    def _work(self, req, candidate):
        core = self._core
        remaining = req.deadline - clock.now()
        share = remaining
        if not req.rules.long:
            part = ONLY_SHARE if candidate.confirm else REPLICA_SHARE
            share = max(remaining * part, LEAST_ATTEMPT_S)
        aged = req.consistency is Consistency.AGED and not req.rules.write
        return messages.Work(
            request_id=f"{req.service}/{req.request_id}",
            service=req.service,
            work_class=req.work_class,
            group=req.group,
            target=candidate.target,
            view=core.groups.view(req.group),
            write=req.rules.write,
            long=req.rules.long,
            urgent=not aged,
            statements=req.statements,
            needed=req.session.position(req.group) or positions.ORIGIN,
            confirm=candidate.confirm,
            remaining_s=min(remaining, share),
            catch_up_s=candidate.catch_up_s,
            max_age_s=req.max_age_s if aged else 0.0,
            step=req.step,
            transaction=req.transaction,
            repeatable=req.rules.repeatable,
        )

    async def _call_home(self, work):
        """Send work to the first home of its target that answers."""
        core = self._core
        target = core.configuration.plan.targets.get(work.target)
        members = core.members.owners(target) if target else []
        for member in members[:HOMES_TRIED]:
            reply = await self._call(member, work)
            # The next home gets half the time, for whatever silences one
            # home may silence its neighbour.
            work = attrs.evolve(work, remaining_s=work.remaining_s / 2)
            if reply.reason is Reason.DRAINING:
                core.members.add_leaving([member.name])
                continue
            if reply.reason is Reason.PEER_SILENT:
                continue
            return reply
        return messages.Reply.not_run(
            Reason.NO_TARGET, f"no instance reaches {work.target}"
        )

    async def _call(self, member, work):
        """Have one instance do the work."""
        core = self._core
        if member.name == core.name:
            return await core.home(work)
        try:
            return await core.links.peers.forward(
                member, work, work.remaining_s + FORWARD_MARGIN_S
            )
        except exceptions.PeerUnavailable as exc:
            core.members.mark_unreachable(member.name)
            if exc.sent and (work.write or work.transaction):
                return messages.Reply.unknown(Reason.ANSWER_LOST, str(exc))
            return messages.Reply.not_run(Reason.PEER_SILENT, str(exc))

    def _learn(self, target, reply):
        core = self._core
        known = core.configuration.plan.targets.get(target)
        if known is None:
            return
        core.groups.record_applied(known, reply.target_applied, clock.now())
        if reply.lag_s:
            core.groups.record_lag(known, reply.lag_s)

    async def _continue_transaction(self, req):
        """Send a statement to the instance that owns the transaction."""
        owner = self._core.members.get(
            transactions.owning_instance(req.transaction)
        )
        if owner is None:
            reply = messages.Reply.not_run(
                Reason.TRANSACTION, "no such transaction"
            )
        else:
            target = self._core.groups.view(req.group).primary
            candidate = routing.Candidate(target, confirm=True)
            reply = await self._call(owner, self._work(req, candidate))
        if reply.outcome is messages.Outcome.DONE:
            return reply
        if reply.reason is Reason.PEER_SILENT:
            reply = attrs.evolve(reply, reason=Reason.TRANSACTION)
        if req.step is Step.COMMIT and req.rules.write:
            return await self._settle_commit(req, reply)
        return reply

    async def _settle_commit(self, req, reply):
        """Find out whether a commit without an answer took effect.

        Work without statements under the commit's own identifier either
        finds that identifier, or takes its place for good.
        """
        if reply.outcome is not messages.Outcome.UNKNOWN and (
            reply.reason is not Reason.TRANSACTION
        ):
            return reply
        settling = attrs.evolve(
            req,
            step=Step.SINGLE,
            transaction="",
            statements=[],
            request_id=execution.commit_key(req.transaction),
        )
        marker = messages.Statement(execution.NEVER_COMMITTED)
        settling.statements = [marker]
        settled = await self(settling)
        if settled.outcome is messages.Outcome.DONE:
            return attrs.evolve(
                settled,
                outcome=messages.Outcome.NOT_RUN,
                reason=Reason.TRANSACTION,
                detail="the transaction was undone",
            )
        if settled.reason is Reason.ID_REUSED:
            return messages.Reply(
                messages.Outcome.DONE,
                position=settled.position,
                term=settled.term,
            )
        return messages.Reply.unknown(Reason.ANSWER_LOST, settled.detail)
