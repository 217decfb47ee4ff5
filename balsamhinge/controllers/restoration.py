"""Writes the records again that a restored store has lost."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import duty
from balsamhinge.controllers import failover
from balsamhinge.controllers import storedrecords
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import failoverrules
from balsamhinge.policy import leases
from balsamhinge.policy import revisions

__all__ = ["RestorationController"]

RETRY_DELAY_S = 0.25
# Time after a restore of the store in which an instance may still promote a
# target, entitled by the store's earlier incarnation.
LAST_PROMOTION_S = duty.ENTITLEMENT_S + failover.PROMOTE_CALL_TIMEOUT_S

log = logbook.Logger(__name__)


class RestorationController:
    """Completes the records of primaries after a restore of the store.

    A store that is restored from an older copy may have lost changes of
    primaries. Until the holder of the promotion duty has written every
    group's record again, in the new incarnation of the store, no read of
    the store extends a lease.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    async def restore(self):
        """Write all outdated records again, if what is known suffices.

        The holder of the duty calls this until no record is outdated.
        """
        try:
            await self._restore()
        except (
            exceptions.StoreUnavailable,
            exceptions.StoreConflict,
        ) as exc:
            event(log.warning, "records_not_restored", error=exc)
            await clock.pause(RETRY_DELAY_S)

    async def _restore(self):
        """Write all outdated records again, or wait for the others."""
        fleet = self._fleet
        started_at = clock.now()
        unheard = await self._collect_changes()
        wait_s = self._wait_s()
        if unheard and wait_s > 0:
            event(
                log.notice,
                "restoration_waits",
                unheard=",".join(unheard),
                wait_s=wait_s,
            )
            await clock.pause(min(wait_s, RETRY_DELAY_S))
            return
        contradicted = await self._find_contradicted() if unheard else set()
        groups = list(fleet.leaders.outdated_groups)
        await asyncio.gather(
            *(self._write(group, group in contradicted) for group in groups)
        )
        await fleet.leaders.read()
        fleet.spawn(fleet.gossip.exchange_all())
        event(
            log.notice,
            "records_restored",
            groups=",".join(groups),
            contradicted=",".join(sorted(contradicted)),
            unheard=",".join(unheard),
            incarnation=fleet.store_health.incarnation,
            seconds=clock.now() - started_at,
        )

    async def _collect_changes(self):
        """Merge what all other instances know of changes of primaries.

        Returns
        -------
        list of str
            Instances that may know of a change without having told it.
        """
        fleet = self._fleet
        if self._has_kept_duty():
            # All changes that can have taken effect are its own.
            return []
        members = fleet.other_members()
        replies = await asyncio.gather(
            *(fleet.gossip.exchange(member) for member in members)
        )
        unheard = [
            member.name
            for member, reply in zip(members, replies, strict=True)
            if not _tells_all_changes(reply)
        ]
        if not fleet.leaders.book.last_read.as_of:
            unheard.append(fleet.me.name)
        return [name for name in unheard if self._may_have_promoted(name)]

    def _has_kept_duty(self):
        """Return whether this instance held the duty until the restore."""
        duty_controller = self._fleet.duty
        last_holder = duty_controller.holder_before_restore
        return last_holder == self._fleet.me.name and (
            duty_controller.knows_last_holder()
        )

    def _may_have_promoted(self, name):
        """Return whether an instance may have promoted a target unnoticed.

        Before it requests a promotion, the holder of the duty waits for all
        instances, this one included, or `leases.LEASE_S`, and then writes to
        the store. The store's earlier incarnation took no more writes once
        the store had come back.
        """
        fleet = self._fleet
        last_holder = fleet.duty.holder_before_restore
        if fleet.duty.knows_last_holder() and name != last_holder:
            return False
        promised_at = (
            fleet.gossip.promises.valid_until(name) - leases.PROMISE_S
        )
        restored_at = fleet.store_health.restored_at
        return promised_at + leases.LEASE_S <= restored_at

    def _wait_s(self):
        """Return the seconds for which others may still promote unnoticed."""
        fleet = self._fleet
        until = fleet.store_health.restored_at + LAST_PROMOTION_S
        return until - fleet.dependencies.boot_time()

    async def _find_contradicted(self):
        """Return the groups in which another target leads a later term."""
        groups = list(self._fleet.leaders.outdated_groups)
        contradicted = await asyncio.gather(
            *(self._is_contradicted(group) for group in groups)
        )
        return {
            group
            for group, is_contradicted in zip(
                groups, contradicted, strict=True
            )
            if is_contradicted
        }

    async def _is_contradicted(self, group):
        """Return whether another target of a group leads a later term."""
        fleet = self._fleet
        leadership = fleet.leaders.latest(group)
        reports = await fleet.failover.successors.query_reports(
            fleet.directory.active_targets(group)
        )
        newer = failoverrules.find_newer_leader(
            reports,
            leadership.target,
            fleet.leaders.last_position(leadership).term,
        )
        if newer is None:
            return False
        event(
            log.warning,
            "record_contradicted",
            group=group,
            target=leadership.target,
            leads=newer,
            revision=revisions.describe(leadership.revision),
        )
        return True

    async def _write(self, group, contradicted):
        """Write the record of a group again, as the latest one known.

        A contradicted one is written as a change in progress, which is then
        resumed by what the targets report.
        """
        leaders = self._fleet.leaders
        leadership = leaders.latest(group)
        if contradicted:
            leadership = attrs.evolve(leadership, changing=True)
        listed = leaders.listing.records.get(storedrecords.group_key(group))
        record = await leaders.put_record(
            storedrecords.group_key(group),
            storedrecords.record_value(leadership),
            listed.revision if listed else 0,
        )
        leaders.merge_leadership(
            attrs.evolve(leadership, revision=record.revision), "own"
        )


def _tells_all_changes(reply):
    """Return whether a sender has told of each change that it knows of.

    It has not if it did not answer, has started since the restore, so that
    it does not know the changes of its earlier process, or is just changing
    a primary.
    """
    return reply is not None and reply.as_of > 0 and reply.promise_s > 0
