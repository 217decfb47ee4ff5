"""Deletes request identifiers that are too old to be retried."""

import asyncio

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.targets import connection

__all__ = ["REQUEST_ID_RETENTION_S", "RequestRetentionController"]

REQUEST_ID_RETENTION_S = 24 * 3600.0
SWEEP_INTERVAL_S = 600.0
TARGET_TIMEOUT_S = 5.0
CONNECTION_PURPOSE = "retention"

log = logbook.Logger(__name__)


class RequestRetentionController:
    """Sweeps the groups whose primary this instance owns.

    Parameters
    ----------
    core : Core
        The instance's controllers.
    """

    def __init__(self, core):
        self._core = core
        self._sweeper = None

    def start(self):
        """Start sweeping on the running loop."""
        self._sweeper = asyncio.ensure_future(self._run())

    def stop(self):
        """Cancel sweeping."""
        if self._sweeper is not None:
            self._sweeper.cancel()

    async def _run(self):
        # Jitter keeps instances that started together out of step.
        await clock.pause(self._core.rng.uniform(0, SWEEP_INTERVAL_S))
        await clock.run_forever(self.sweep, SWEEP_INTERVAL_S, self._core.rng)

    async def sweep(self):
        """Delete old request identifiers of the groups swept here."""
        plan = self._core.configuration.plan
        for group in plan.groups:
            view = self._core.groups.view(group)
            target = plan.targets.get(view.primary)
            if target is not None and self._core.members.is_owner(target):
                await self._sweep_group(view, target)

    async def _sweep_group(self, view, target):
        guard = connection.Guard(view.term, write=True)
        before = self._core.dependencies.wall_time() - REQUEST_ID_RETENTION_S
        try:
            await self._core.control.call(
                target,
                CONNECTION_PURPOSE,
                "forget_requests",
                guard,
                before,
                timeout_s=TARGET_TIMEOUT_S,
            )
            await self._core.control.close_purpose(target, CONNECTION_PURPOSE)
        except exceptions.TargetError as exc:
            event(log.warning, "sweep_failed", target=target.name, error=exc)
