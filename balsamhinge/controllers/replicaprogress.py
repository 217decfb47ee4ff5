"""Waits until a target's reads see a position, without using a slot."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.policy import positions

__all__ = ["ReplicaProgressController"]

# The first answer comes at once; later ones once the target has got on.
FIRST_POLL_S = 0.0
POLL_S = 0.25
ANSWER_S = 0.5
RETRY_S = 0.02
PURPOSE = "progress"


class _Progress:
    """Who waits for one target."""

    def __init__(self):
        self.applied = positions.ORIGIN
        self.waiters = {}
        self.poller = None


class ReplicaProgressController:
    """Asks a target how far it is, once for all requests that wait.

    Parameters
    ----------
    control : ControlConnections
        Connections to targets.
    """

    def __init__(self, control):
        self._control = control
        self._targets = {}

    async def wait_applied(self, target, needed, patience_s):
        """Wait until a target has applied `needed`.

        Parameters
        ----------
        target : Target
            Of the plan.
        needed : LogPosition
            What a read must see.
        patience_s : float
            Seconds to wait.

        Returns
        -------
        LogPosition
            How far the target is, which may be less than needed.
        """
        known = self._targets.setdefault(target.name, _Progress())
        done = asyncio.get_running_loop().create_future()
        known.waiters[done] = needed
        if known.poller is None or known.poller.done():
            known.poller = asyncio.ensure_future(self._poll(target, known))
        try:
            async with asyncio.timeout(max(0.0, patience_s)):
                await done
        except TimeoutError:
            pass
        finally:
            known.waiters.pop(done, None)
        return known.applied

    async def _poll(self, target, known):
        poll_s = FIRST_POLL_S
        while known.waiters:
            offset = min(needed.offset for needed in known.waiters.values())
            try:
                status = await self._control.call(
                    target,
                    PURPOSE,
                    "wait_applied",
                    offset,
                    poll_s,
                    timeout_s=poll_s + ANSWER_S,
                )
            except exceptions.TargetError:
                await clock.pause(RETRY_S)
                continue
            poll_s = POLL_S
            known.applied = status.applied
            for done, needed in list(known.waiters.items()):
                if positions.covers(status.applied, needed):
                    known.waiters.pop(done)
                    if not done.done():
                        done.set_result(None)
