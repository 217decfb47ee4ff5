"""Keeps a recent position of each group's primary."""

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import notes

import logbook

__all__ = ["SamplingController"]

# The holder of the duty asks a primary that nobody heard of for so long;
# the least accepted age in use is 1.5 s, and notes take up to 0.4 s.
HOLDER_AGE_S = 0.35
# Others ask only if the holder's news do not reach them.
OTHERS_AGE_S = 0.9
STEP_S = 0.1
# A target answers a question for its status within its statements' time.
STATUS_S = 0.6

log = logbook.Logger(__name__)


class SamplingController:
    """Asks primaries for their position where statements do not tell it.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._asking = set()

    async def run(self):
        """Sample for ever."""
        while True:
            await clock.pause(STEP_S)
            if self._fleet.stopping:
                continue
            limit = HOLDER_AGE_S if self._fleet.duty.held else OTHERS_AGE_S
            for group in self._fleet.directory.table.groups:
                age_s = self._fleet.leaders.sample_age_s(group)
                if age_s > limit and group not in self._asking:
                    self._asking.add(group)
                    self._fleet.spawn(self._ask(group))

    async def _ask(self, group):
        fleet = self._fleet
        try:
            leadership = fleet.leaders.valid_leadership(group)
            if leadership is None:
                return
            target = fleet.directory.targets.get(leadership.target)
            if target is None:
                return
            # All instances together have more to ask than a target of a
            # large fleet has connections.
            direct = fleet.duty.held
            await fleet.status(target, STATUS_S, leadership, direct)
        except exceptions.BalsamhingeError as exc:
            event(log.debug, "sample_failed", group=group, error=exc)
        finally:
            self._asking.discard(group)

    def latest_samples(self, now):
        """Return the latest sample of each group."""
        found = {}
        for group, (
            epoch,
            kept,
        ) in self._fleet.leaders.position_samples.items():
            if kept.latest_at > float("-inf"):
                found[group] = notes.Sample(
                    epoch, kept.latest, now - kept.latest_at
                )
        return found

    def merge_samples(self, samples, asked_at):
        """Take in another instance's samples, see `GossipController`."""
        for group, sample in samples.items():
            known = self._fleet.leaders.latest(group)
            if known is None or known.epoch != sample.epoch:
                continue
            self._fleet.leaders.record_position(
                known, asked_at - sample.age_s, sample.position
            )
