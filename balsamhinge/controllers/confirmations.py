"""Waits until a majority of a group holds what an answer shows."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.policy import majorities
from balsamhinge.targets import protocol

__all__ = ["ConfirmationsController", "NotConfirmed", "Superseded"]

POLL_S = 0.5
ANSWER_S = 0.5
RETRY_S = 0.02
PURPOSE = "confirm"


class Superseded(exceptions.BalsamhingeError):
    """A voter has taken a higher term than the primary's."""


class NotConfirmed(exceptions.BalsamhingeError):
    """No majority answered before the deadline."""


class _Term:
    """The waiters of one group under one term."""

    def __init__(self, voters):
        self.voters = voters
        self.waiters = {}
        self.superseded_by = set()
        self.pollers = {}


class ConfirmationsController:
    """Asks voters how far they are, once for all requests that wait.

    Parameters
    ----------
    control : ControlConnections
        Connections to the voters.
    """

    def __init__(self, control):
        self._control = control
        self._terms = {}

    async def confirm(self, view, voters, position, leads, deadline):
        """Wait until a majority holds `position` under the view's term.

        Parameters
        ----------
        view : GroupView
            Whose primary gave the answer.
        voters : list of Target
            Of the plan, as the view names them.
        position : LogPosition
            What the answer shows.
        leads : bool
            Whether it must be shown that the primary still leads, see
            `balsamhinge.policy.majorities.Waiter`.
        deadline : float
            Loop time in seconds.

        Raises
        ------
        Superseded
            If a voter follows a later term.
        NotConfirmed
            If the deadline passes first.
        """
        waiter = majorities.Waiter(
            position, clock.now(), leads, {view.primary}
        )
        if majorities.has_majority(view.voters, waiter.holders):
            return
        key = (view.group, view.term)
        term = self._terms.setdefault(key, _Term(view.voters))
        done = asyncio.get_running_loop().create_future()
        term.waiters[waiter] = done
        self._poll(key, term, view, voters)
        try:
            async with asyncio.timeout_at(deadline):
                await done
        except TimeoutError as exc:
            raise NotConfirmed("no majority confirmed in time") from exc
        finally:
            term.waiters.pop(waiter, None)

    def _poll(self, key, term, view, voters):
        for target in voters:
            running = term.pollers.get(target.name)
            if target.name == view.primary:
                continue
            if running is None or running.done():
                term.pollers[target.name] = asyncio.ensure_future(
                    self._poll_voter(key, term, target)
                )

    async def _poll_voter(self, key, term, target):
        while term.waiters:
            asked = clock.now()
            offset = self._lowest_offset(term, target.name)
            if offset is None:
                return
            try:
                status = await self._control.call(
                    target,
                    PURPOSE,
                    "wait_received",
                    key[1],
                    offset,
                    POLL_S,
                    timeout_s=POLL_S + ANSWER_S,
                )
            except exceptions.CommandFailed as exc:
                if exc.sqlstate == protocol.SUPERSEDED:
                    self._supersede(term, target.name, str(exc))
                    return
                await clock.pause(RETRY_S)
            except exceptions.TargetError:
                await clock.pause(RETRY_S)
            else:
                self._count(term, target.name, status.received, asked)

    def _supersede(self, term, target, message):
        # One voter with a higher term proves nothing: a proposer may have
        # failed. Without a majority left no answer can be confirmed.
        term.superseded_by.add(target)
        left = set(term.voters) - term.superseded_by
        if majorities.has_majority(term.voters, left):
            return
        for done in term.waiters.values():
            if not done.done():
                done.set_exception(Superseded(message))

    def _lowest_offset(self, term, target):
        offsets = [
            waiter.position.offset
            for waiter, done in term.waiters.items()
            if target not in waiter.holders and not done.done()
        ]
        return min(offsets, default=None)

    def _count(self, term, target, received, asked):
        for waiter, done in term.waiters.items():
            waiter.count(target, received, asked)
            held = majorities.has_majority(term.voters, waiter.holders)
            if held and not done.done():
                done.set_result(None)
