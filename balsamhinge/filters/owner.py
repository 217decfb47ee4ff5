"""Chain of filters for work at the instance that owns its target."""

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import confirmations
from balsamhinge import exceptions
from balsamhinge.filters import chain
from balsamhinge.filters import execution
from balsamhinge.logs import event
from balsamhinge.logs import set_request_id
from balsamhinge.policy import admission
from balsamhinge.policy import messages
from balsamhinge.policy import positions
from balsamhinge.targets import protocol

__all__ = ["OwnerChain"]

SUPERSEDED_STATES = (
    protocol.SUPERSEDED,
    protocol.STALE_TERM,
    protocol.NOT_PRIMARY,
    protocol.RETIRED,
)
DEADLINE_MARGIN_S = 0.001
LAG_CHECK_TIMEOUT_S = 0.01
log = logbook.Logger(__name__)
TransactionStep = messages.TransactionStep


class OwnerChain:
    """Chain of filters for work at the owner of its target.

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
        set_request_id(work.request_id)
        started_at = clock.now()
        deadline = started_at + work.remaining_s - DEADLINE_MARGIN_S
        self._core.in_flight += 1
        try:
            reply = await self._chain(execution.OwnerRequest(work, deadline))
        finally:
            self._core.in_flight -= 1
        event(
            log.debug,
            "work",
            target=work.target,
            outcome=reply.outcome,
            reason=reply.reason,
            seconds=clock.now() - started_at,
        )
        return reply

    async def translate_errors(self, req, proceed):
        """Translate exceptions into replies."""
        try:
            return await proceed(req)
        except exceptions.CommandFailed as exc:
            return self._rejected_by_target(req, exc)
        except exceptions.ConnectionUnavailable as exc:
            reason = messages.Reason.NO_TARGET
            return messages.Reply.not_run(reason, exc.reason)
        except exceptions.NotRunError as exc:
            reason = messages.Reason.OVERLOADED
            return messages.Reply.not_run(
                reason, exc.reason, retry_after_s=exc.retry_after_s
            )
        except exceptions.UnknownTransaction as exc:
            reason = messages.Reason.TRANSACTION
            return messages.Reply.not_run(reason, str(exc))
        except exceptions.OutcomeUnknown as exc:
            reason = messages.Reason.ANSWER_LOST
            return messages.Reply.unknown(reason, str(exc))

    def _rejected_by_target(self, req, exc):
        """Return the reply for an error that the target reported."""
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
        """Look up the target; refuse new work that it must not run."""
        work = req.work
        core = self._core
        core.groups.merge_view(work.view)
        plan = core.configuration.plan
        if work.step not in (TransactionStep.SINGLE, TransactionStep.BEGIN):
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
        """Convert the accepted age into a required log position."""
        work = req.work
        if not work.max_age_s:
            return await proceed(req)
        history = self._core.groups.primary_history(work.group)
        if not history and work.confirm:
            # This instance does not monitor the group; the confirmation
            # by a majority proves that the primary's data are the latest.
            req.work = attrs.evolve(work, max_age_s=0.0)
            return await proceed(req)
        required = history.position_for_age(clock.now(), work.max_age_s)
        if required is None:
            return messages.Reply.not_run(
                messages.Reason.TOO_OLD,
                "the primary was not heard of for longer than the age",
            )
        needed = max(work.needed, required)
        req.work = attrs.evolve(work, needed=needed)
        return await proceed(req)

    async def confirm(self, req, proceed):
        """Delay a primary's answer until a majority has confirmed it."""
        reply = await proceed(req)
        core = self._core
        # The identifier of a repeated request reveals an entry as well.
        is_repetition = reply.reason is messages.Reason.ID_REUSED
        if reply.outcome is not messages.Outcome.DONE and not is_repetition:
            return reply
        work = req.work
        if not work.confirm or work.step in (
            TransactionStep.BEGIN,
            TransactionStep.STATEMENT,
        ):
            return reply
        if self._is_confirmed(work, reply):
            return reply
        view = core.groups.view(work.group)
        if view.term != work.view.term:
            view = work.view
        plan = core.configuration.plan
        voters = [plan.targets[n] for n in view.voters if n in plan.targets]
        # For a write, the voters that hold its entry under this term prove
        # that the primary led; a read requires a new check.
        prove_leadership = not work.write
        confirming = core.confirmations.confirm(
            view, voters, reply.position, prove_leadership, req.deadline
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
        core.groups.primary_history(work.group).record_confirmed(
            reply.position
        )
        return reply

    def _is_confirmed(self, work, reply):
        """Return whether a read with an accepted age needs no confirmation.

        True if it saw confirmed entries only. Its age is checked already,
        so a primary that is cut off may serve such reads for a while.
        """
        if work.write or not work.max_age_s:
            return False
        return (
            reply.position
            <= self._core.groups.primary_history(work.group).confirmed_position
        )

    async def catch_up(self, req, proceed):
        """Wait until the target has applied the required position.

        Takes no slot of the target while it waits.
        """
        work = req.work
        groups = self._core.groups
        if work.confirm or work.step is not TransactionStep.SINGLE:
            return await proceed(req)
        last_applied = groups.applied_position(req.target.name)
        if not positions.covers(last_applied, work.needed):
            # A target that usually lags for longer than the permitted wait
            # is only asked for its current position.
            lag_s = groups.target_view(req.target).lag_s
            timeout_s = work.catch_up_s
            if lag_s > work.catch_up_s:
                timeout_s = LAG_CHECK_TIMEOUT_S
            timeout_s = min(timeout_s, req.deadline - clock.now())
            applied = await self._core.replica_progress.wait_applied(
                req.target, work.needed, timeout_s
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
        """Look up and reserve the open transaction of a statement."""
        work = req.work
        if work.step in (TransactionStep.SINGLE, TransactionStep.BEGIN):
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
        """Wait for a slot of the target, and free it after the work."""
        work = req.work
        if work.step is TransactionStep.ROLLBACK:
            return await proceed(req)
        ticket = admission.Ticket(
            customer=work.service,
            deadline=req.deadline,
            # Writes and read-your-writes reads go before aged reads.
            priority=(int(not work.urgent), 0),
            long=work.long,
        )
        await req.limiter.acquire_slot(ticket)
        try:
            reply = await proceed(req)
            ticket.completed = True
            return reply
        finally:
            req.limiter.release_slot(ticket)
