"""Sends a request to targets in turn until one has answered it."""

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

MAX_VIEW_CHANGE_WAIT_S = 0.05
MIN_ATTEMPT_TIMEOUT_S = 0.25
# With less time no attempt can return before the deadline.
MIN_REMAINING_S = 0.001
# Share of the remaining time that one attempt may take.
PRIMARY_ATTEMPT_SHARE = 0.5
REPLICA_ATTEMPT_SHARE = 0.125
FORWARD_MARGIN_S = 0.02
MAX_OWNERS_TRIED = 3

Consistency = routing.Consistency
Reason = messages.Reason
TransactionStep = messages.TransactionStep


@attrs.define
class Request:
    """A caller's request, and its state in the chain of filters.

    Parameters
    ----------
    service, work_class : str
        Names from the configuration.
    statements : list of Statement
        Statements to run in one transaction.
    request_id : str
        Identifier from the caller; if "", one is generated.
    token : str
        Session token, or "".
    deadline_s : float or None
        Seconds that the caller waits; None for the value of the class.
    max_age_s : float or None
        Accepted age of the data in seconds, 0 to accept none; None for
        the value of the class.
    step : TransactionStep
        What the request does to a transaction.
    transaction : str
        Identifier of the transaction, or "".
    deadline : float
        Latest time of the answer, in loop seconds.
    group : str
        Replication group of the service.
    rules : WorkClass or None
        Configured class of work.
    session : SessionToken
        Positions that the session has seen.
    consistency : Consistency
        What a read must see.
    attempts : int
        Number of attempts so far.
    """

    service: str
    work_class: str
    statements: list[messages.Statement]
    request_id: str = ""
    token: str = ""
    deadline_s: float | None = None
    max_age_s: float | None = None
    step: TransactionStep = TransactionStep.SINGLE
    transaction: str = ""
    deadline: float = 0.0
    group: str = ""
    rules: object = None
    session: tokens.SessionToken = attrs.Factory(tokens.SessionToken)
    consistency: Consistency = Consistency.LATEST
    attempts: int = 0


class RetryFilter:
    """Retries a request at targets; the last filter of the entry chain.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._budget = retries.RetryBudget()
        self._rotation = 0

    async def __call__(self, req, proceed=None):
        """Try targets until one has answered or the deadline has passed."""
        self._budget.record_request()
        if req.step in (
            TransactionStep.STATEMENT,
            TransactionStep.COMMIT,
            TransactionStep.ROLLBACK,
        ):
            return await self._continue_transaction(req)
        write = req.rules.write or req.step is TransactionStep.BEGIN
        attempts = outcomes.AttemptHistory(write and req.rules.write)
        while req.deadline - clock.now() > MIN_REMAINING_S:
            candidates = self._candidates(req, write)
            reply = await self._try_candidates(req, attempts, candidates)
            if reply is not None:
                return reply
            remaining = req.deadline - clock.now()
            await self._core.groups.changes.wait(
                min(MAX_VIEW_CHANGE_WAIT_S, remaining)
            )
        return attempts.final_reply()

    async def _try_candidates(self, req, attempts, candidates):
        for index, candidate in enumerate(candidates):
            if req.deadline - clock.now() <= MIN_REMAINING_S:
                return None
            work = self._build_work(req, candidate)
            req.attempts += 1
            reply = await self._call_owner(work)
            self._record_reply(candidate.target, reply)
            attempts.record(reply)
            more = index + 1 < len(candidates)
            if reply.reason is Reason.OVERLOADED and more:
                more = self._budget.try_spend()
            match outcomes.next_step(attempts, reply, more):
                case outcomes.Finish(final):
                    return final
                case outcomes.TryNextCandidate():
                    continue
                case outcomes.RetryAfterViewChange():
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
        self._rotation += 1
        return routing.order_targets(
            [core.groups.target_view(plan.targets[n]) for n in names],
            view.primary,
            req.consistency,
            req.session.position(req.group) or positions.ORIGIN,
            core.members.me.data_centre,
            self._rotation,
        )

    def _build_work(self, req, candidate):
        core = self._core
        remaining = req.deadline - clock.now()
        timeout_s = remaining
        if not req.rules.long:
            timeout_share = (
                PRIMARY_ATTEMPT_SHARE
                if candidate.confirm
                else REPLICA_ATTEMPT_SHARE
            )
            timeout_s = max(remaining * timeout_share, MIN_ATTEMPT_TIMEOUT_S)
        accepts_age = (
            req.consistency is Consistency.AGED and not req.rules.write
        )
        return messages.WorkRequest(
            request_id=f"{req.service}/{req.request_id}",
            service=req.service,
            work_class=req.work_class,
            group=req.group,
            target=candidate.target,
            view=core.groups.view(req.group),
            write=req.rules.write,
            long=req.rules.long,
            urgent=not accepts_age,
            statements=req.statements,
            needed=req.session.position(req.group) or positions.ORIGIN,
            confirm=candidate.confirm,
            remaining_s=min(remaining, timeout_s),
            catch_up_s=candidate.catch_up_s,
            max_age_s=req.max_age_s if accepts_age else 0.0,
            step=req.step,
            transaction=req.transaction,
            repeatable=req.rules.repeatable,
        )

    async def _call_owner(self, work):
        """Send work to the first owner of its target that answers."""
        core = self._core
        target = core.configuration.plan.targets.get(work.target)
        members = core.members.owners(target) if target else []
        for member in members[:MAX_OWNERS_TRIED]:
            reply = await self._call_instance(member, work)
            # Halves the timeout for the next owner: what made this one
            # unreachable may affect its neighbour as well.
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

    async def _call_instance(self, member, work):
        """Run work at one instance, this one or another."""
        core = self._core
        if member.name == core.name:
            return await core.owner_chain(work)
        try:
            return await core.dependencies.peers.forward(
                member, work, work.remaining_s + FORWARD_MARGIN_S
            )
        except exceptions.PeerUnavailable as exc:
            core.members.mark_unreachable(member.name)
            if exc.sent and (work.write or work.transaction):
                return messages.Reply.unknown(Reason.ANSWER_LOST, str(exc))
            return messages.Reply.not_run(Reason.PEER_SILENT, str(exc))

    def _record_reply(self, target, reply):
        core = self._core
        configured_target = core.configuration.plan.targets.get(target)
        if configured_target is None:
            return
        core.groups.record_applied(
            configured_target, reply.target_applied, clock.now()
        )
        if reply.lag_s:
            core.groups.record_lag(configured_target, reply.lag_s)

    async def _continue_transaction(self, req):
        """Send a statement to the instance that holds the transaction."""
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
            reply = await self._call_instance(
                owner, self._build_work(req, candidate)
            )
        if reply.outcome is messages.Outcome.DONE:
            return reply
        if reply.reason is Reason.PEER_SILENT:
            reply = attrs.evolve(reply, reason=Reason.TRANSACTION)
        if req.step is TransactionStep.COMMIT and req.rules.write:
            return await self._resolve_commit(req, reply)
        return reply

    async def _resolve_commit(self, req, reply):
        """Determine whether a commit of unknown outcome took effect.

        Runs a marker statement under the commit's request identifier. The
        target either finds the identifier recorded, so the commit took
        effect, or records it now, so the commit can no longer do so.
        """
        if reply.outcome is not messages.Outcome.UNKNOWN and (
            reply.reason is not Reason.TRANSACTION
        ):
            return reply
        marker_request = attrs.evolve(
            req,
            step=TransactionStep.SINGLE,
            transaction="",
            statements=[],
            request_id=execution.commit_key(req.transaction),
        )
        marker = messages.Statement(execution.NEVER_COMMITTED)
        marker_request.statements = [marker]
        marker_reply = await self(marker_request)
        if marker_reply.outcome is messages.Outcome.DONE:
            return attrs.evolve(
                marker_reply,
                outcome=messages.Outcome.NOT_RUN,
                reason=Reason.TRANSACTION,
                detail="the transaction was undone",
            )
        if marker_reply.reason is Reason.ID_REUSED:
            return messages.Reply(
                messages.Outcome.DONE,
                position=marker_reply.position,
                term=marker_reply.term,
            )
        return messages.Reply.unknown(Reason.ANSWER_LOST, marker_reply.detail)
