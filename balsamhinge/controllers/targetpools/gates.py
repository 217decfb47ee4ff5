"""Admission of statements to a target at its host."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import admission
from balsamhinge.policy import statements

__all__ = ["Permit", "SlotLimit", "TargetGate", "ignore_wait"]

# Statements sent beyond the slots, so that no slot idles while an answer
# travels.
AHEAD = 1
# Every permit of this number goes to the class that has waited longest, so
# that the least urgent class keeps a tenth of a busy target.
SHARED_INTERVAL = 10
# Length of reports of predicted waits, which are part of each reply.
MAX_REPORTED_PRIORITIES = 8
# Reports are rounded to 1 ms and computed at most this often.
REPORT_DIGITS = 3
REPORT_INTERVAL_S = 0.01
# Customer priority of the report: that of callers who go last.
LAST_CUSTOMER_PRIORITY = 1_000_000
# Interval between log lines about refusals.
REFUSAL_LOG_INTERVAL_S = 5.0

log = logbook.Logger(__name__)


@attrs.define
class SlotLimit:
    """Concurrency limit that stays at a target's slots.

    Parameters
    ----------
    limit : int
        Statements that may be at the target at once.
    """

    limit: int

    @classmethod
    def from_target(cls, target):
        """Return the limit of a `ServingTarget`."""
        return cls(max(1, target.slots) + AHEAD)

    def record(
        self, response_s, in_flight, completed, kind, now, rejected=False
    ):
        """Do nothing; a learned limit uses the response.

        Parameters
        ----------
        response_s : float
            Seconds for which the permit was held, from the sending of the
            statement to its end.
        in_flight : int
            Permits in use when it was sent.
        completed : bool
            Whether the target answered.
        kind : str
            Kind of statement.
        now : float
            Loop time in seconds.
        rejected : bool
            Whether the target answered BUSY.
        """


@attrs.define(eq=False)
class Permit:
    """Right of a statement to be at the target.

    Parameters
    ----------
    gate : TargetGate
        Gate that gave it.
    ticket : Ticket
        Its ticket.
    in_flight : int
        Permits in use when it was given.
    sent_at : float or None
        Loop seconds when the statement was sent.
    released : bool
        Whether it has ended.
    """

    gate: object
    ticket: object
    in_flight: int = 0
    sent_at: float | None = None
    released: bool = False

    def record_sent(self, kind=""):
        """Record that the statement is sent now.

        Opening a connection before must not count as a slow answer.

        Parameters
        ----------
        kind : str
            Kind of statement, if it was not known before.
        """
        self.sent_at = clock.now()
        if kind:
            self.ticket.kind = route_kind(self.ticket.priority[0], kind)

    def release(self, completed, refusal=None):
        """End the permit; a second call does nothing.

        Parameters
        ----------
        completed : bool
            Whether the target has answered the statement.
        refusal : Problem, optional
            Reason for which the target did not run it.
        """
        if not self.released:
            self.released = True
            self.gate.end(self, completed, refusal)


def route_kind(priority, kind):
    """Return the kind under which a duration is learned.

    Routes of different priority differ in the work of their statements; one
    mean for all makes a longer mix look like an overloaded target.
    """
    return f"{priority}/{kind}"


def ignore_wait(_customer, _wait_s):
    """Record no wait."""


class TargetGate:
    """Admission queue of one target at its host.

    Parameters
    ----------
    name : str
        Name of the target.
    limit : object
        Concurrency limit, with `limit` and `record` as `SlotLimit` has.
    record_wait : callable
        Called with customer and seconds for each permit that is given.

    Attributes
    ----------
    limit : object
        The concurrency limit.
    admitted_total : int
        Permits given so far.
    refused_total : int
        Statements refused so far because they would wait too long.
    """

    def __init__(self, name, limit, record_wait=ignore_wait):
        self.name = name
        self.limit = limit
        self.admitted_total = 0
        self._record_wait = record_wait
        self.refused_total = 0
        self._queue = admission.AdmissionQueue(self._limits())
        self._waiting = {}
        # Lowest urgency of a route that has been seen.
        self._last_priority = 0
        self._report = []
        self._report_at = float("-inf")
        self._refusal_logged_at = float("-inf")

    def __len__(self):
        return len(self._queue)

    @property
    def running(self):
        """Number of permits in use."""
        return len(self._queue.running)

    def _limits(self):
        allowed = max(1, self.limit.limit)
        ahead = min(AHEAD, allowed - 1)
        return admission.Limits(
            slots=allowed - ahead,
            ahead=ahead,
            shared_interval=SHARED_INTERVAL,
        )

    async def enter(
        self, workload, deadline, continuing=False, kind="", until=None
    ):
        """Wait for a permit and return it.

        Parameters
        ----------
        workload : Workload
            Customer and urgency of the statement.
        deadline : float
            Loop seconds when its answer is due.
        continuing : bool
            Whether the statement's connection is held already. It then goes
            before all others.
        kind : str
            Kind of statement, under which its duration is learned.
        until : float, optional
            Loop seconds by which to return; by default the deadline.

        Returns
        -------
        Permit

        Raises
        ------
        Overloaded
            If the statement cannot be answered in time; at once if that can
            be predicted.
        NotRunError
            If there was no permit at `until`.
        """
        ticket = admission.Ticket(
            customer=workload.customer,
            deadline=deadline,
            priority=(workload.priority, workload.customer_priority),
            continuing=continuing,
            kind=route_kind(workload.priority, kind),
        )
        now = clock.now()
        self._last_priority = max(
            self._last_priority,
            min(workload.priority, MAX_REPORTED_PRIORITIES - 1),
        )
        if wait_s := self._queue.offer(ticket, now):
            raise self._refuse(ticket, wait_s)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = fut
        self._start_more()
        if not fut.done():
            await self._wait(ticket, fut, until)
        permit = fut.result()
        self._record_wait(workload.customer, clock.now() - now)
        return permit

    async def _wait(self, ticket, fut, until):
        """Wait until a ticket has started, failed, or must give up."""
        latest_at = min(ticket.latest_start, ticket.deadline)
        is_cut_short = until is not None and until < latest_at
        if is_cut_short:
            latest_at = until
        try:
            await asyncio.wait(
                [fut], timeout=max(0.0, latest_at - clock.now())
            )
        except asyncio.CancelledError:
            self._leave(ticket, fut)
            raise
        if not fut.done():
            self._leave(ticket, fut)
            if is_cut_short:
                raise exceptions.NotRunError(
                    f"no permit for {self.name} in time, "
                    f"{len(self._queue)} wait"
                )
            raise self._refuse(ticket, 0.0)

    def _leave(self, ticket, fut):
        """Remove a caller that no longer waits."""
        self._waiting.pop(ticket, None)
        if fut.done() and fut.exception() is None:
            fut.result().release(completed=False)
            return
        ticket.abandoned = True
        self._queue.remove(ticket)
        self._start_more()

    def _refuse(self, ticket, wait_s):
        """Count and log a refusal, and return its exception."""
        self.refused_total += 1
        now = clock.now()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            event(
                log.info,
                "queue_refused",
                target=self.name,
                priority=ticket.priority[0],
                waiting=len(self._queue),
                running=self.running,
                limit=self.limit.limit,
                predicted_s=wait_s,
                refused_total=self.refused_total,
            )
        return exceptions.Overloaded(
            f"{len(self._queue)} wait for {self.name}, about {wait_s:.2f} s",
            wait_s,
        )

    def _start_more(self):
        """Give free permits to the next tickets."""
        now = clock.now()
        self._queue.limits = self._limits()
        while ticket := self._queue.start_next(now):
            fut = self._waiting.pop(ticket, None)
            if fut is None or fut.done():
                # Its caller has left since.
                self._queue.finish(ticket, now)
                continue
            self.admitted_total += 1
            fut.set_result(Permit(self, ticket, self.running))
        for dropped in self._queue.take_dropped():
            fut = self._waiting.pop(dropped, None)
            if fut is not None and not fut.done():
                fut.set_exception(self._refuse(dropped, 0.0))

    def end(self, permit, completed, refusal=None):
        """End a permit, see `Permit.release`."""
        now = clock.now()
        ticket = permit.ticket
        rejected = refusal is statements.Problem.BUSY
        # A target refuses sooner than it runs a statement.
        ticket.completed = completed and refusal is None
        self._queue.finish(ticket, now)
        if permit.sent_at is not None and (refusal is None or rejected):
            self.limit.record(
                response_s=now - permit.sent_at,
                in_flight=permit.in_flight,
                completed=completed,
                kind=ticket.kind,
                now=now,
                rejected=rejected,
            )
        self._start_more()

    def predicted_waits_s(self):
        """Return the predicted wait in seconds, by route priority."""
        now = clock.now()
        if now - self._report_at >= REPORT_INTERVAL_S:
            self._report_at = now
            self._report = [
                round(self._predict_s(priority), REPORT_DIGITS)
                for priority in range(self._last_priority + 1)
            ]
        return self._report

    def _predict_s(self, priority):
        ticket = admission.Ticket(
            customer="",
            deadline=float("inf"),
            priority=(priority, LAST_CUSTOMER_PRIORITY),
        )
        return self._queue.predicted_wait_s(ticket)

    def describe(self):
        """Return the gate's counters as data that JSON can represent."""
        waiting = {}
        for (
            priority,
            _own,
        ), count in self._queue.waiting_by_priority().items():
            waiting[priority] = waiting.get(priority, 0) + count
        return {
            "waiting_by_priority": waiting,
            "running": self.running,
            "limit": self.limit.limit,
            "admitted_total": self.admitted_total,
            "refused_total": self.refused_total,
            "predicted_waits_s": self.predicted_waits_s(),
        }
