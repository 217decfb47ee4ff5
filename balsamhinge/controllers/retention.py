"""Forgets the identifiers of requests that nobody repeats any more."""

import asyncio

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.targets import connection

__all__ = ["REQUEST_ID_RETENTION_S", "RequestRetentionController"]

REQUEST_ID_RETENTION_S = 24 * 3600.0
SWEEP_S = 600.0
CALL_S = 5.0
PURPOSE = "retention"

log = logbook.Logger(__name__)


class RequestRetentionController:
    """Sweeps the groups whose primary this instance cares for.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._sweeper = None

    def start(self):
        """Start on the running loop."""
        self._sweeper = asyncio.ensure_future(self._run())

    def stop(self):
        """Stop at once."""
        if self._sweeper is not None:
            self._sweeper.cancel()

    async def _run(self):
        # Instances that started together do not sweep together.
        await clock.pause(self._core.rng.uniform(0, SWEEP_S))
        await clock.run_forever(self.sweep, SWEEP_S, self._core.rng)

    async def sweep(self):
        """Forget what is old in each group that is cared for here."""
        plan = self._core.configuration.plan
        for group in plan.groups:
            view = self._core.groups.view(group)
            target = plan.targets.get(view.primary)
            if target is not None and self._core.members.is_owner(target):
                await self._sweep_group(view, target)

    async def _sweep_group(self, view, target):
        guard = connection.Guard(view.term, write=True)
        before = self._core.links.wall_time() - REQUEST_ID_RETENTION_S
        try:
            await self._core.control.call(
                target,
                PURPOSE,
                "forget_requests",
                guard,
                before,
                timeout_s=CALL_S,
            )
            await self._core.control.close_purpose(target, PURPOSE)
        except exceptions.TargetError as exc:
            event(log.warning, "sweep_failed", target=target.name, error=exc)
