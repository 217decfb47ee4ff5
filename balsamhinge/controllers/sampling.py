"""Samples the log positions of primaries."""

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import gossipmessages

import logbook

__all__ = ["SamplingController"]

# Age of the latest sample from which the holder of the promotion duty
# queries the primary: the smallest accepted age in use is 1.5 s, and gossip
# takes up to 0.4 s.
HOLDER_MAX_AGE_S = 0.35
# The same for other instances, which the holder's samples normally reach.
OTHERS_MAX_AGE_S = 0.9
CHECK_INTERVAL_S = 0.1
OTHERS_CHECK_INTERVAL_S = 0.25
# Timeout of a status query; a target answers it like a statement.
STATUS_TIMEOUT_S = 0.6

log = logbook.Logger(__name__)


class SamplingController:
    """Queries primaries whose position no recent statement has reported.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._querying = set()

    async def run(self):
        """Check the age of all samples until cancelled."""
        while True:
            if self._fleet.duty.held:
                interval_s, max_age_s = CHECK_INTERVAL_S, HOLDER_MAX_AGE_S
            else:
                interval_s = OTHERS_CHECK_INTERVAL_S
                max_age_s = OTHERS_MAX_AGE_S
            await clock.pause(interval_s)
            if self._fleet.stopping:
                continue
            for group in self._fleet.directory.table.groups:
                age_s = self._fleet.leaders.sample_age_s(group)
                if age_s > max_age_s and group not in self._querying:
                    self._querying.add(group)
                    self._fleet.spawn(self._query(group))

    async def _query(self, group):
        fleet = self._fleet
        try:
            leadership = fleet.leaders.valid_leadership(group)
            if leadership is None:
                return
            target = fleet.directory.targets.get(leadership.target)
            if target is None:
                return
            # Only the holder opens a connection of its own: a target of a
            # large fleet accepts fewer connections than there are instances.
            direct = fleet.duty.held
            await fleet.status(target, STATUS_TIMEOUT_S, leadership, direct)
        except exceptions.BalsamhingeError as exc:
            event(log.debug, "sample_failed", group=group, error=exc)
        finally:
            self._querying.discard(group)

    def latest_samples(self, now):
        """Return the latest `PositionSample` of each group.

        Parameters
        ----------
        now : float
            Boot-clock seconds.

        Returns
        -------
        dict of str to PositionSample
        """
        latest_by_group = {}
        for group, (
            epoch,
            kept,
        ) in self._fleet.leaders.position_samples.items():
            if kept.latest_at > float("-inf"):
                latest_by_group[group] = gossipmessages.PositionSample(
                    epoch, kept.latest, now - kept.latest_at
                )
        return latest_by_group

    def merge_samples(self, samples, asked_at):
        """Merge another instance's samples of the current epochs.

        Parameters
        ----------
        samples : dict of str to PositionSample
            Samples by group.
        asked_at : float
            Boot-clock seconds from which their ages are subtracted, see
            `GossipController.handle_reply`.
        """
        for group, sample in samples.items():
            leadership = self._fleet.leaders.latest(group)
            if leadership is None or leadership.epoch != sample.epoch:
                continue
            self._fleet.leaders.record_position(
                leadership, asked_at - sample.age_s, sample.position
            )
