"""Dispatches statements: selects a target and acquires a connection."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import customerusage
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from balsamhinge.policy import targetselection
from balsamhinge.policy import workload as workload_module
from balsamhinge.sessions import connections

__all__ = ["NOT_RUN", "DispatchRequest", "Dispatcher"]

Answer = statements.Answer
Problem = statements.Problem
State = statements.State

# Problems with which a target reports that it did not run the statement.
NOT_RUN = frozenset(
    {
        Problem.BUSY,
        Problem.BEHIND,
        Problem.READ_ONLY,
        Problem.WRONG_TARGET,
        Problem.TOO_MANY,
        Problem.UNKNOWN_NAME,
    }
)
# Exponential backoff, from about the duration of one statement up to what
# leaves a caller with a timeout of 0.8 s four more attempts. Immediate
# retries of all instances would add to the load of an overloaded target.
RETRY_PAUSE_S = 0.02
MAX_RETRY_PAUSE_S = 0.16
# A read is also sent to a second target after this delay; 90 % of the
# customer's reads take less than 60 ms.
HEDGE_DELAY_S = 0.12
# Subtracted from the accepted age to allow for clock differences.
AGE_MARGIN_S = 0.05
MAX_TARGETS_PER_READ = 6
# A leaving primary is no longer used this long before the end of the time for
# which it may be: gossip may have told of it late, and statements wait for a
# connection.
LEAVING_MARGIN_S = 1.0

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class DispatchRequest:
    """A statement to dispatch, and the outcome of its attempts.

    Parameters
    ----------
    request_id : str
        Identifier from the caller.
    route : Route
        Configured route of the session's database.
    at_primary : bool
        Whether only the primary may run the statement.
    committed_position : LogPosition
        Latest position that the session has committed.
    deadline : float
        Latest time of the answer, in loop seconds.
    started_at : float
        Time of arrival, in loop seconds.
    failures : list of str
        Failed attempts, each as the target's name and the reason.
    retries : int
        Number of pauses before a retry so far.
    overloaded : bool
        Whether a target refused because it cannot answer in time.
    unavailable : bool
        Whether no primary can be expected before the deadline.
    answered : bool
        Whether the read has been answered; no further attempt may start.
    workload : Workload
        Customer and urgency of the statement.
    """

    request_id: str
    route: object
    at_primary: bool
    committed_position: positions.LogPosition
    deadline: float
    started_at: float = attrs.Factory(clock.now)
    failures: list = attrs.Factory(list)
    retries: int = 0
    overloaded: bool = False
    unavailable: bool = False
    answered: bool = False
    workload: workload_module.Workload = workload_module.Workload()

    @property
    def waited_s(self):
        """Seconds since the arrival."""
        return clock.now() - self.started_at

    def record_failure(self, target, exc):
        """Record a failed attempt; `exc` is an exception or a reason."""
        self.failures.append(f"{target}: {exc}")
        if isinstance(exc, exceptions.Overloaded):
            self.overloaded = True


class Dispatcher:
    """Selects targets and connections for the statements of a session.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def refuse(self, req):
        """Log and return the refusal of a statement that was not run."""
        event(
            log.info,
            "refused",
            request_id=req.request_id,
            database=req.route.database,
            group=req.route.group,
            customer=req.workload.customer,
            problem=Problem.BUSY.value,
            waited_s=req.waited_s,
            failures="; ".join(req.failures[-3:]),
        )
        self._fleet.customer_usage.record_refused(
            req.workload.customer,
            customerusage.Reason.OVERLOADED
            if req.overloaded
            else customerusage.Reason.UNAVAILABLE,
        )
        detail = req.failures[-1] if req.failures else "no target"
        return Answer.refusal(Problem.BUSY, detail)

    async def pause_before_retry(self, req):
        """Pause before a retry; return False at once if none is worthwhile."""
        if req.overloaded or req.unavailable:
            # An early refusal leaves the caller time to try another instance.
            return False
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2**req.retries)
        req.retries += 1
        pause_s *= self._fleet.rng.uniform(0.75, 1.25)
        # No answer takes less than half of the shortest mean response.
        answer_s = (
            min(
                (
                    load.extra_response_s
                    for load in self._fleet.loads(req.route.group)
                ),
                default=0.0,
            )
            / 2
        )
        if clock.now() + pause_s + answer_s >= req.deadline:
            return False
        if len(req.failures) > 2 * MAX_TARGETS_PER_READ:
            return False
        await clock.pause(pause_s)
        return True

    async def acquire_primary(self, req):
        """Return a connection to the primary, or the refusal `Answer`."""
        conn = await self._wait_for_primary(req)
        return self.refuse(req) if conn is None else conn

    async def _wait_for_primary(self, req):
        """Return a connection to the primary, or None at the deadline."""
        while True:
            # An isolated instance would not learn of a new primary in time,
            # so it refuses at once and the caller can try another one.
            group = req.route.group
            awaited = self._fleet.awaited_targets(group)
            if awaited and not self._fleet.leaders.valid_leadership(group):
                req.unavailable = True
                req.record_failure(
                    awaited, "awaited, as it may hold acknowledged commits"
                )
                return None
            isolated = self._fleet.isolated
            deadline = clock.now() if isolated else req.deadline
            leadership = await self._fleet.leaders.wait_valid_leadership(
                req.route.group, deadline
            )
            if isolated and leadership is not None:
                unresponsive_s = self._fleet.health.of(
                    leadership.target
                ).unresponsive_s(clock.now())
                leadership = leadership if not unresponsive_s else None
            if leadership is None:
                latest = self._fleet.leaders.latest(req.route.group)
                req.record_failure(
                    latest.target if latest else "?",
                    "no primary may be used",
                )
                return None
            loads = [
                load
                for load in self._fleet.loads(
                    req.route.group, req.workload.priority
                )
                if load.name == leadership.target
            ]
            if self._is_too_late(req, loads):
                return None
            try:
                return await self._acquire_at(leadership, req)
            except exceptions.NotRunError as exc:
                req.record_failure(leadership.target, exc)
                if not await self.pause_before_retry(req):
                    return None

    async def _acquire_at(self, leadership, req):
        target = self._fleet.directory.targets.get(leadership.target)
        if target is None:
            raise exceptions.NotRunError("the primary is not listed")
        if self._has_left(target):
            raise exceptions.NotRunError("the primary is about to end")
        return await self._fleet.connection_loans.acquire(
            target,
            req.deadline,
            leadership=leadership,
            workload=req.workload,
        )

    def _has_left(self, target):
        """Return whether a target may not be used any more, as it stops."""
        fleet = self._fleet
        leaving_s = fleet.directory.leaving_s(target.name)
        use_s = fleet.target_settings.leaving_use_s - LEAVING_MARGIN_S
        return target.leaving and leaving_s > use_s

    def required_position(self, req):
        """Return the log position that a read requires, or None.

        None means that only the primary may serve the read, under its
        lease: the route demands the latest data, or no position sample is
        recent enough.
        """
        route = req.route
        if req.at_primary or route.freshness is routes.Freshness.LATEST:
            return None
        position = self._fleet.leaders.position_for_age(
            route.group, route.max_age_s - AGE_MARGIN_S
        )
        if position is None:
            return None
        return max(position, req.committed_position)

    async def read(self, req, attempt, keep=False):
        """Run a read at a target that may serve it.

        Parameters
        ----------
        req : DispatchRequest
            The read.
        attempt : callable
            Coroutine function of a connection and the log position that
            its target must hold; returns the target's `Answer`.
        keep : bool
            Whether to return the connection, with its open transaction,
            instead of the answer.

        Returns
        -------
        Answer, LocalConnection or RemoteConnection
            A connection only with `keep`; a refusal if no target served
            the read in time.
        """
        tried = set()
        tasks = set()
        try:
            while True:
                task = await self._start_attempt(req, attempt, keep, tried)
                if task is None and not tasks:
                    if not await self.pause_before_retry(req):
                        return self.refuse(req)
                    tried.clear()
                    continue
                if task is not None:
                    tasks.add(task)
                result = await self._first_result(tasks, req, keep)
                if result is not None:
                    return result
                if clock.now() >= req.deadline:
                    return self.refuse(req)
        finally:
            req.answered = True
            for task in tasks:
                task.add_done_callback(release_late)

    async def _first_result(self, tasks, req, keep):
        """Return the first success, or None if another attempt may start.

        A kept connection is not hedged: its attempt gets the whole time.
        """
        timeout_s = (
            HEDGE_DELAY_S if not keep else max(0, req.deadline - clock.now())
        )
        done, _rest = await asyncio.wait(
            tasks,
            timeout=min(timeout_s, max(0.0, req.deadline - clock.now())),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            tasks.discard(task)
            if (outcome := task.result()) is not None:
                return outcome
        return None

    async def _start_attempt(self, req, attempt, keep, tried):
        """Start an attempt at the best untried target; return its task.

        Returns None if no untried target may serve the read.
        """
        required = self.required_position(req)
        fleet = self._fleet
        if required is None:
            latest = fleet.leaders.latest(req.route.group)
            name = latest.target if latest else ""
            if name in tried:
                return None
            conn = await self._wait_for_primary(req)
            if conn is None:
                return None
            tried.add(conn.target.name)
            return fleet.spawn(
                self._attempt_on(req, attempt, conn, None, keep)
            )
        loads = fleet.loads(req.route.group, req.workload.priority)
        if self._is_too_late(req, loads):
            return None
        loads = [load for load in loads if load.name not in tried]
        if not loads or len(tried) >= MAX_TARGETS_PER_READ:
            return None
        age_s = fleet.leaders.position_age_s(req.route.group, required)
        best = targetselection.rank_targets(
            loads, required, fleet.me.data_centre, fleet.rng, age_s
        )[0]
        if targetselection.is_known_behind(best, required, age_s):
            return None
        tried.add(best.name)
        return fleet.spawn(
            self._attempt_at(req, attempt, best.name, required, keep)
        )

    def _is_too_late(self, req, loads):
        """Return whether all queues are too long, and record it if so."""
        if req.workload.customer_priority < self._fleet.last_customer_priority:
            # Hosts report the wait of the customers that go last.
            return False
        remaining_s = req.deadline - clock.now()
        if not targetselection.cannot_answer_by(loads, remaining_s):
            return False
        wait_s = min(load.queue_wait_s for load in loads)
        reason = exceptions.Overloaded(
            f"about {wait_s:.2f} s in the queue", wait_s
        )
        req.record_failure(", ".join(load.name for load in loads), reason)
        return True

    async def _attempt_at(self, req, attempt, name, required, keep):
        target = self._fleet.directory.targets.get(name)
        if target is None:
            return None
        try:
            conn = await self._fleet.connection_loans.acquire(
                target,
                req.deadline,
                patient=False,
                workload=req.workload,
            )
        except exceptions.NotRunError as exc:
            req.record_failure(name, exc)
            return None
        if req.answered:
            conn.release()
            return None
        return await self._attempt_on(req, attempt, conn, required, keep)

    async def _attempt_on(self, req, attempt, conn, required, keep):
        """Run a read on a connection; return None if it fails."""
        name = conn.target.name
        try:
            answer = await attempt(conn, required)
        except (exceptions.NotRunError, exceptions.TargetError) as exc:
            conn.release(usable=False)
            req.record_failure(name, exc)
            return None
        if required is not None and answer.problem is None:
            self._fleet.record_read_position(
                conn.target, answer.position, None
            )
        expected_state = State.OPEN if keep else State.IDLE
        if answer.problem is None and answer.state is expected_state:
            if keep:
                return conn
            conn.release()
            return answer
        conn.release(usable=answer.state is State.IDLE)
        if answer.problem is Problem.BEHIND:
            self._fleet.record_read_position(
                conn.target, answer.position, required
            )
        req.record_failure(
            name, answer.problem.value if answer.problem else "state"
        )
        if answer.problem is Problem.UNKNOWN_NAME:
            conn.clear_prepared()
        return None


def release_late(task):
    """Close the connection of an attempt that finished after the read."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(
        outcome, connections.LocalConnection | connections.RemoteConnection
    ):
        outcome.release(usable=False)
