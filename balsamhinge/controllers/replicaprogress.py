"""Waits until a target has applied a position, without using a slot."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.policy import positions

__all__ = ["ReplicaProgressController"]

# Seconds that the target may wait for the position before it answers. The
# first call returns the current position immediately.
FIRST_POLL_WAIT_S = 0.0
POLL_WAIT_S = 0.25
ANSWER_MARGIN_S = 0.5
RETRY_DELAY_S = 0.02
CONNECTION_PURPOSE = "progress"


class _TargetProgress:
    """Applied position of one target and the requests waiting for it."""

    def __init__(self):
        self.applied = positions.ORIGIN
        self.waiters = {}
        self.poller = None


class ReplicaProgressController:
    """Polls targets' applied positions, with one call for all requests.

    Parameters
    ----------
    control : ControlConnections
        Connections to targets.
    """

    def __init__(self, control):
        self._control = control
        self._targets = {}

    async def wait_applied(self, target, needed, timeout_s):
        """Wait until a target has applied `needed`.

        Parameters
        ----------
        target : Target
            Target of the plan.
        needed : LogPosition
            Position that the read must see.
        timeout_s : float
            Seconds to wait.

        Returns
        -------
        LogPosition
            Latest applied position known, less than `needed` after a
            timeout.
        """
        progress = self._targets.setdefault(target.name, _TargetProgress())
        done = asyncio.get_running_loop().create_future()
        progress.waiters[done] = needed
        if progress.poller is None or progress.poller.done():
            progress.poller = asyncio.ensure_future(
                self._poll(target, progress)
            )
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await done
        except TimeoutError:
            pass
        finally:
            progress.waiters.pop(done, None)
        return progress.applied

    async def _poll(self, target, progress):
        poll_wait_s = FIRST_POLL_WAIT_S
        while progress.waiters:
            offset = min(needed.offset for needed in progress.waiters.values())
            try:
                status = await self._control.call(
                    target,
                    CONNECTION_PURPOSE,
                    "wait_applied",
                    offset,
                    poll_wait_s,
                    timeout_s=poll_wait_s + ANSWER_MARGIN_S,
                )
            except exceptions.TargetError:
                await clock.pause(RETRY_DELAY_S)
                continue
            poll_wait_s = POLL_WAIT_S
            progress.applied = status.applied
            for done, needed in list(progress.waiters.items()):
                if positions.covers(status.applied, needed):
                    progress.waiters.pop(done)
                    if not done.done():
                        done.set_result(None)
