"""Finds a target and a connection for a statement."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import placement
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from balsamhinge.sessions import connections

__all__ = ["NOT_RUN", "DispatchRequest", "Dispatcher"]

Answer = statements.Answer
Problem = statements.Problem
State = statements.State

# Answers of a target that ran nothing.
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
# Pause before a primary that turned work away is asked again: about one
# statement's time, doubled each time up to what leaves a caller of 0.8 s
# four more attempts. All instances that ask an overloaded target again at
# once only add to its work.
AGAIN_S = 0.02
MOST_AGAIN_S = 0.16
# A read whose answer takes longer is asked of another target as well:
# nine of ten of the users' reads take less than 60 ms.
SECOND_S = 0.12
# Accepted ages are reckoned a little shorter, for clocks that differ.
AGE_MARGIN_S = 0.05
# Most targets that one read is tried at.
MOST_ATTEMPTS = 6

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class DispatchRequest:
    """One request for a target.

    Parameters
    ----------
    request_id : str
        The caller's identifier.
    route : Route
        What operators say of its database.
    at_primary : bool
        Whether only the primary will do.
    seen : LogPosition
        What the session has committed.
    until : float
        Loop seconds after which nobody waits.
    begun : float
        Loop seconds when it came.
    failures : list of str
        Targets that were tried, and what came of it.
    pauses : int
        How often it has waited before it was tried again.
    overloaded : bool
        Whether a target that may serve it cannot do so in time.
    """

    request_id: str
    route: object
    at_primary: bool
    seen: positions.LogPosition
    until: float
    begun: float = attrs.Factory(clock.now)
    failures: list = attrs.Factory(list)
    pauses: int = 0
    overloaded: bool = False

    @property
    def waited_s(self):
        """Return for how long it has been waiting."""
        return clock.now() - self.begun

    def note(self, target, exc):
        """Record a failed attempt."""
        self.failures.append(f"{target}: {exc}")
        if isinstance(exc, exceptions.Overloaded):
            self.overloaded = True


class Dispatcher:
    """Finds places for the statements of one session.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    def refusal(self, ask):
        """Return the refusal of a statement that was not run."""
        event(
            log.info,
            "refused",
            request_id=ask.request_id,
            database=ask.route.database,
            group=ask.route.group,
            problem=Problem.BUSY.value,
            waited_s=ask.waited_s,
            failures="; ".join(ask.failures[-3:]),
        )
        detail = ask.failures[-1] if ask.failures else "no target"
        return Answer.refusal(Problem.BUSY, detail)

    async def again(self, ask):
        """Pause before another attempt; return whether one is worthwhile."""
        if ask.overloaded:
            # Its caller has time left to ask elsewhere.
            return False
        pause_s = min(MOST_AGAIN_S, AGAIN_S * 2**ask.pauses)
        ask.pauses += 1
        pause_s *= self._fleet.rng.uniform(0.75, 1.25)
        if clock.now() + pause_s >= ask.until:
            return False
        if len(ask.failures) > 2 * MOST_ATTEMPTS:
            return False
        await clock.pause(pause_s)
        return True

    async def primary(self, ask):
        """Return a `LocalConnection` at the primary, or a refusal."""
        found = await self._wait_primary(ask)
        return self.refusal(ask) if found is None else found

    async def _wait_primary(self, ask):
        """Return a `LocalConnection` at the primary, or None in time."""
        while True:
            # Where nobody else is reached, no other primary will be known
            # in time, and a caller is better served elsewhere.
            isolated = self._fleet.isolated
            until = clock.now() if isolated else ask.until
            found = await self._fleet.leaders.wait_leader(
                ask.route.group, until
            )
            if isolated and found is not None:
                silent_s = self._fleet.health.of(found.target).unresponsive_s(
                    clock.now()
                )
                found = found if not silent_s else None
            if found is None:
                known = self._fleet.leaders.known(ask.route.group)
                ask.note(
                    known.target if known else "?",
                    "no primary may be used",
                )
                return None
            try:
                return await self._enter(found, ask)
            except exceptions.NotRunError as exc:
                ask.note(found.target, exc)
                if not await self.again(ask):
                    return None

    async def _enter(self, leadership, ask):
        target = self._fleet.directory.targets.get(leadership.target)
        if target is None:
            raise exceptions.NotRunError("the primary is not listed")
        return await self._fleet.connection_loans.acquire(
            target, ask.until, leadership=leadership
        )

    def needed(self, ask):
        """Return what a target must hold for a read, or None.

        None stands for a position that nobody knows now: only the
        primary will do, under its lease.
        """
        route = ask.route
        if ask.at_primary or route.freshness is routes.Freshness.LATEST:
            return None
        position = self._fleet.leaders.needed(
            route.group, route.max_age_s - AGE_MARGIN_S
        )
        if position is None:
            return None
        return max(position, ask.seen)

    async def read(self, ask, attempt, keep=False):
        """Run a read at a target that may serve it.

        Parameters
        ----------
        ask : Ask
            What is read.
        attempt : callable
            Coroutine function of a `LocalConnection` and the position that its
            target must hold; returns the target's `Answer`.
        keep : bool
            Whether to return the `LocalConnection` instead of the answer.

        Returns
        -------
        Answer or LocalConnection
        """
        tried = set()
        running_tasks = set()
        try:
            while True:
                task = await self._start(ask, attempt, keep, tried)
                if task is None and not running_tasks:
                    if not await self.again(ask):
                        return self.refusal(ask)
                    tried.clear()
                    continue
                if task is not None:
                    running_tasks.add(task)
                found = await self._first(running_tasks, ask, keep)
                if found is not None:
                    return found
                if clock.now() >= ask.until:
                    return self.refusal(ask)
        finally:
            for task in running_tasks:
                task.add_done_callback(release_late)

    async def _first(self, tasks, ask, keep):
        """Return the first good result, or None to try one more."""
        patience = SECOND_S if not keep else max(0, ask.until - clock.now())
        done, _rest = await asyncio.wait(
            tasks,
            timeout=min(patience, max(0.0, ask.until - clock.now())),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            tasks.discard(task)
            if (found := task.result()) is not None:
                return found
        return None

    async def _start(self, ask, attempt, keep, tried):
        """Start an attempt at the best target not yet tried, or None."""
        needed = self.needed(ask)
        fleet = self._fleet
        if needed is None:
            known = fleet.leaders.known(ask.route.group)
            name = known.target if known else ""
            if name in tried:
                return None
            conn = await self._wait_primary(ask)
            if conn is None:
                return None
            tried.add(conn.target.name)
            return fleet.spawn(self._one(ask, attempt, conn, None, keep))
        loads = [
            load
            for load in fleet.loads(ask.route.group)
            if load.name not in tried
        ]
        if not loads or len(tried) >= MOST_ATTEMPTS:
            return None
        best = placement.rank_targets(
            loads, needed, fleet.me.data_centre, fleet.rng
        )[0]
        if placement.is_behind(best, needed):
            return None
        tried.add(best.name)
        return fleet.spawn(self._at(ask, attempt, best.name, needed, keep))

    async def _at(self, ask, attempt, name, needed, keep):
        target = self._fleet.directory.targets.get(name)
        if target is None:
            return None
        try:
            conn = await self._fleet.connection_loans.acquire(
                target, ask.until, patient=False
            )
        except exceptions.NotRunError as exc:
            ask.note(name, exc)
            return None
        return await self._one(ask, attempt, conn, needed, keep)

    async def _one(self, ask, attempt, conn, needed, keep):
        """Return a good answer of one target, or None."""
        name = conn.target.name
        try:
            answer = await attempt(conn, needed)
        except (exceptions.NotRunError, exceptions.TargetError) as exc:
            conn.release(usable=False)
            ask.note(name, exc)
            return None
        wanted = State.OPEN if keep else State.IDLE
        if answer.problem is None and answer.state is wanted:
            if keep:
                return conn
            conn.release()
            return answer
        conn.release(usable=answer.state is State.IDLE)
        ask.note(name, answer.problem.value if answer.problem else "state")
        if answer.problem is Problem.UNKNOWN_NAME:
            conn.clear_prepared()
        return None


def release_late(task):
    """Give back what an attempt got that nobody waits for any more."""
    if task.cancelled() or task.exception() is not None:
        return
    found = task.result()
    if isinstance(
        found, connections.LocalConnection | connections.RemoteConnection
    ):
        found.release(usable=False)
