"""What the home of a target does with work: the inner chain."""

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import confirmations
from balsamhinge import exceptions
from balsamhinge.filters import chain
from balsamhinge.filters import execution
from balsamhinge.logs import event
from balsamhinge.logs import log_request
from balsamhinge.policy import admission
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.targets import protocol

__all__ = ["HomeChain"]

SUPERSEDED_STATES = (
    protocol.SUPERSEDED,
    protocol.STALE_TERM,
    protocol.NOT_PRIMARY,
    protocol.RETIRED,
)
DEADLINE_MARGIN_S = 0.001
ASK_S = 0.01
log = logbook.Logger(__name__)
Step = messages.Step


class HomeChain:
    """The filters that work passes at the home of its target.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._chain = chain.build_chain(
            [
                self.translate_errors,
                self.find_target,
                self.bound_age,
                self.confirm,
                self.find_transaction,
                self.catch_up,
                self.admit,
                execution.Execution(core),
            ]
        )

    async def __call__(self, work):
        """Do `work` and return a `Reply`; never raises."""
        log_request(work.request_id)
        started = clock.now()
        deadline = started + work.remaining_s - DEADLINE_MARGIN_S
        self._core.in_flight += 1
        try:
            reply = await self._chain(execution.HomeRequest(work, deadline))
        finally:
            self._core.in_flight -= 1
        event(
            log.debug,
            "work",
            target=work.target,
            outcome=reply.outcome,
            reason=reply.reason,
            seconds=clock.now() - started,
        )
        return reply

    async def translate_errors(self, req, proceed):
        """Turn errors into one of the three outcomes."""
        try:
            return await proceed(req)
        except exceptions.CommandFailed as exc:
            return self._refused(req, exc)
        except exceptions.ConnectionUnavailable as exc:
            reason = messages.Reason.NO_TARGET
            return messages.Reply.not_run(reason, exc.reason)
        except exceptions.NotRunError as exc:
            reason = messages.Reason.OVERLOADED
            return messages.Reply.not_run(
                reason, exc.reason, retry_after_s=exc.retry_after_s
            )
        except exceptions.TransactionUnknown as exc:
            reason = messages.Reason.TRANSACTION
            return messages.Reply.not_run(reason, str(exc))
        except exceptions.AnswerLost as exc:
            reason = messages.Reason.ANSWER_LOST
            return messages.Reply.unknown(reason, str(exc))

    def _refused(self, req, exc):
        """Return the reply for work that the target itself refused."""
        view = self._core.groups.view(req.work.group)
        detail = f"{exc.sqlstate}: {exc.message}"
        if exc.sqlstate in SUPERSEDED_STATES:
            return messages.Reply.not_run(
                messages.Reason.SUPERSEDED, detail, term=view.term
            )
        if exc.sqlstate == protocol.BEHIND:
            return messages.Reply.not_run(messages.Reason.BEHIND, detail)
        return messages.Reply.not_run(
            messages.Reason.DATABASE, exc.message, sqlstate=exc.sqlstate
        )

    async def find_target(self, req, proceed):
        """Find the target and refuse new work that it must not get."""
        work = req.work
        core = self._core
        core.groups.merge_view(work.view)
        plan = core.configuration.plan
        if work.step not in (Step.SINGLE, Step.BEGIN):
            return await proceed(req)
        if core.stopping:
            return messages.Reply.not_run(
                messages.Reason.DRAINING, "the instance is stopping"
            )
        req.target = plan.targets.get(work.target)
        if req.target is None or core.is_leaving(work.target):
            return messages.Reply.not_run(
                messages.Reason.NO_TARGET, f"{work.target} takes no new work"
            )
        req.limiter = core.limiters.limiter(req.target)
        view = core.groups.view(work.group)
        if work.write and view.term > work.view.term:
            return messages.Reply.not_run(
                messages.Reason.SUPERSEDED,
                f"term {work.view.term} is superseded by {view.term}",
                term=view.term,
            )
        return await proceed(req)

    async def bound_age(self, req, proceed):
        """Turn an accepted age into a position that the target needs."""
        work = req.work
        if not work.max_age_s:
            return await proceed(req)
        history = self._core.groups.primary_history(work.group)
        if not history and work.confirm:
            # This instance does not watch the group; the confirmation
            # will show that the primary's data are the latest.
            req.work = attrs.evolve(work, max_age_s=0.0)
            return await proceed(req)
        bound = history.needed_for(clock.now(), work.max_age_s)
        if bound is None:
            return messages.Reply.not_run(
                messages.Reason.TOO_OLD,
                "the primary was not heard of for longer than the age",
            )
        needed = max(work.needed, bound)
        req.work = attrs.evolve(work, needed=needed)
        return await proceed(req)

    async def confirm(self, req, proceed):
        """Hold a primary's answer back until a majority confirms it."""
        reply = await proceed(req)
        core = self._core
        # A request that is found recorded tells of an entry as well.
        shows_entry = reply.reason is messages.Reason.ID_REUSED
        if reply.outcome is not messages.Outcome.DONE and not shows_entry:
            return reply
        work = req.work
        if not work.confirm or work.step in (Step.BEGIN, Step.STATEMENT):
            return reply
        if self._is_confirmed(work, reply):
            return reply
        view = core.groups.view(work.group)
        if view.term != work.view.term:
            view = work.view
        plan = core.configuration.plan
        voters = [plan.targets[n] for n in view.voters if n in plan.targets]
        # Holding one's own entry under the term already shows that the
        # primary led; a read has to ask again.
        leads = not work.write
        confirming = core.confirmations.confirm(
            view, voters, reply.position, leads, req.deadline
        )
        try:
            await execution.unless_superseded(core.groups, work, confirming)
        except (
            confirmations.Superseded,
            confirmations.NotConfirmed,
        ) as exc:
            return messages.Reply.unknown(
                messages.Reason.NOT_CONFIRMED, str(exc), term=view.term
            )
        core.groups.primary_history(work.group).record_held(reply.position)
        return reply

    def _is_confirmed(self, work, reply):
        """Return whether an aged read shows confirmed entries only.

        Its age is bounded already, so it need not be shown that the
        primary still leads; cut off, it can serve for a while.
        """
        if work.write or not work.max_age_s:
            return False
        return (
            reply.position
            <= self._core.groups.primary_history(work.group).held
        )

    async def catch_up(self, req, proceed):
        """Wait without a slot until the target has what is needed."""
        work = req.work
        groups = self._core.groups
        if work.confirm or work.step is not Step.SINGLE:
            return await proceed(req)
        known = groups.applied_position(req.target.name)
        if not positions.covers(known, work.needed):
            # A target that usually lags longer than it may wait is only
            # asked how far it is by now.
            lag_s = groups.target_view(req.target).lag_s
            patience = work.catch_up_s
            if lag_s > work.catch_up_s:
                patience = ASK_S
            patience = min(patience, req.deadline - clock.now())
            applied = await self._core.replica_progress.wait_applied(
                req.target, work.needed, patience
            )
            groups.record_applied(req.target, applied, clock.now())
            if not positions.covers(applied, work.needed):
                return self._behind(req, applied)
        reply = await proceed(req)
        groups.record_applied(req.target, reply.target_applied, clock.now())
        lag_s = groups.target_view(req.target).lag_s
        return attrs.evolve(reply, lag_s=lag_s)

    def _behind(self, req, applied):
        return messages.Reply.not_run(
            messages.Reason.BEHIND,
            f"{req.target.name} has applied {applied}",
            target_applied=applied,
            lag_s=self._core.groups.target_view(req.target).lag_s,
        )

    async def find_transaction(self, req, proceed):
        """Find the transaction that a statement belongs to."""
        work = req.work
        if work.step in (Step.SINGLE, Step.BEGIN):
            return await proceed(req)
        transactions = self._core.transactions
        transaction = transactions.acquire(work.transaction, work.service)
        req.transaction = transaction
        req.limiter = transaction.limiter
        try:
            return await proceed(req)
        finally:
            transactions.release(transaction)

    async def admit(self, req, proceed):
        """Wait for a slot of the target."""
        work = req.work
        if work.step is Step.ROLLBACK:
            return await proceed(req)
        ticket = admission.Ticket(
            service=work.service,
            urgent=work.urgent,
            long=work.long,
            deadline=req.deadline,
        )
        await req.limiter.acquire_slot(ticket)
        try:
            reply = await proceed(req)
            ticket.completed = True
            return reply
        finally:
            req.limiter.release_slot(ticket)
