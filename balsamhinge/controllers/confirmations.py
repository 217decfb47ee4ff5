"""Waits until a majority of a group's voters has received a position."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.policy import majorities
from balsamhinge.targets import protocol

__all__ = ["ConfirmationsController", "NotConfirmed", "Superseded"]

MAX_POLL_S = 0.5
ANSWER_MARGIN_S = 0.5
RETRY_DELAY_S = 0.02
CONNECTION_PURPOSE = "confirm"


class Superseded(exceptions.BalsamhingeError):
    """Voters with a higher term leave the primary without a majority."""


class NotConfirmed(exceptions.BalsamhingeError):
    """No majority confirmed the position before the deadline."""


class _TermState:
    """Waiting requests and voter polls of one group under one term."""

    def __init__(self, voters):
        self.voters = voters
        self.waiters = {}
        self.superseded_by = set()
        self.pollers = {}


class ConfirmationsController:
    """Polls voters' positions, with one call for all waiting requests.

    Parameters
    ----------
    control : ControlConnections
        Connections to the voters.
    """

    def __init__(self, control):
        self._control = control
        self._terms = {}

    async def confirm(self, view, voters, position, leads, deadline):
        """Wait until a majority has `position` under the view's term.

        Parameters
        ----------
        view : GroupView
            The view whose primary answered the request.
        voters : list of Target
            The view's voters that are in the plan.
        position : LogPosition
            Latest position that is visible in the answer.
        leads : bool
            Whether the voters must also confirm that the primary still
            leads, see `balsamhinge.policy.majorities.MajorityWaiter`.
        deadline : float
            Loop time in seconds.

        Raises
        ------
        Superseded
            If too many voters have a later term for a majority.
        NotConfirmed
            If the deadline passes first.
        """
        waiter = majorities.MajorityWaiter(
            position, clock.now(), leads, {view.primary}
        )
        if majorities.has_majority(view.voters, waiter.holders):
            return
        key = (view.group, view.term)
        state = self._terms.setdefault(key, _TermState(view.voters))
        done = asyncio.get_running_loop().create_future()
        state.waiters[waiter] = done
        self._poll(key, state, view, voters)
        try:
            async with asyncio.timeout_at(deadline):
                await done
        except TimeoutError as exc:
            raise NotConfirmed("no majority confirmed in time") from exc
        finally:
            state.waiters.pop(waiter, None)

    def _poll(self, key, state, view, voters):
        for target in voters:
            running = state.pollers.get(target.name)
            if target.name == view.primary:
                continue
            if running is None or running.done():
                state.pollers[target.name] = asyncio.ensure_future(
                    self._poll_voter(key, state, target)
                )

    async def _poll_voter(self, key, state, target):
        while state.waiters:
            requested_at = clock.now()
            offset = self._lowest_offset(state, target.name)
            if offset is None:
                return
            try:
                status = await self._control.call(
                    target,
                    CONNECTION_PURPOSE,
                    "wait_received",
                    key[1],
                    offset,
                    MAX_POLL_S,
                    timeout_s=MAX_POLL_S + ANSWER_MARGIN_S,
                )
            except exceptions.CommandFailed as exc:
                if exc.sqlstate == protocol.SUPERSEDED:
                    self._record_superseded(state, target.name, str(exc))
                    return
                await clock.pause(RETRY_DELAY_S)
            except exceptions.TargetError:
                await clock.pause(RETRY_DELAY_S)
            else:
                self._record_received(
                    state, target.name, status.received, requested_at
                )

    def _record_superseded(self, state, target, message):
        # A single voter with a higher term proves nothing, as the proposer
        # of that term may have failed. Once the remaining voters are no
        # majority, no answer can be confirmed.
        state.superseded_by.add(target)
        remaining = set(state.voters) - state.superseded_by
        if majorities.has_majority(state.voters, remaining):
            return
        for done in state.waiters.values():
            if not done.done():
                done.set_exception(Superseded(message))

    def _lowest_offset(self, state, target):
        offsets = [
            waiter.position.offset
            for waiter, done in state.waiters.items()
            if target not in waiter.holders and not done.done()
        ]
        return min(offsets, default=None)

    def _record_received(self, state, target, received, requested_at):
        for waiter, done in state.waiters.items():
            waiter.count(target, received, requested_at)
            confirmed = majorities.has_majority(state.voters, waiter.holders)
            if confirmed and not done.done():
                done.set_result(None)
