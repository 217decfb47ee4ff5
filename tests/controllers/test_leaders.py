"""Tests of what an instance may do under a leadership."""

import asyncio

import attrs

from balsamhinge.controllers import leaders
from balsamhinge.policy import leases
from balsamhinge.policy import loans
from balsamhinge.policy import positions
from balsamhinge.policy import revisions
from tests.support import virtual

__all__ = ["ChangeTest", "ReusedEpochTest"]

# Incarnation of the store in which the epoch is given out again.
INCARNATION = 1


class ReusedEpochTest(virtual.FleetTestCase):
    """A restored store has lost a change that only one instance knows.

    The next change gives its epoch to another primary.
    """

    def merge_other_primary(self, world, one, **changes):
        """Have an instance learn of a later record of the same epoch."""
        known = one.leaders.latest(world.group.name)
        other = next(
            name for name in world.group.targets if name != known.target
        )
        later = attrs.evolve(
            known,
            target=other,
            revision=revisions.compose(INCARNATION, 1),
            **changes,
        )
        one.leaders.merge_leadership(later, "test")
        return known, one.leaders.latest(world.group.name)

    # Guards against commits at a primary that another one has replaced
    # under the same epoch.
    def test_another_primary_ends_work_under_the_same_epoch(self):
        async def scenario(world):
            one = next(iter(world.fleets.values()))
            known, later = self.merge_other_primary(world, one)
            self.assertTrue(one.leaders.is_valid(later))
            self.assertFalse(one.leaders.is_valid(known))
            self.assertFalse(one.leaders.may_commit(known))
            self.assertTrue(one.leaders.has_released(known))
            until = asyncio.get_running_loop().time()
            self.assertFalse(await one.leaders.wait_may_commit(known, until))

        self.run_fleet(scenario)

    # Guards against a host that runs work of one primary under the lease of
    # another.
    def test_a_host_lends_no_connection_to_another_primary(self):
        async def scenario(world):
            one = next(iter(world.fleets.values()))
            known, _later = self.merge_other_primary(world, one)
            request = loans.BorrowRequest(
                target=known.target,
                epoch=known.epoch,
                patience_s=1.0,
                patient=False,
            )
            reply = await one.connection_loans.lend(request)
            self.assertEqual(0, reply.loan)

        self.run_fleet(scenario)

    # Guards against reads of a stated age that only the primary serves for
    # good, since no position is recorded under a lower epoch.
    def test_positions_are_recorded_under_a_lower_epoch(self):
        async def scenario(world):
            one = next(iter(world.fleets.values()))
            leaders = one.leaders
            leadership = leases.Leadership("other", "other-1", 3)
            position = positions.LogPosition(1, 1)
            for epoch, incarnation in ((3, 0), (1, INCARNATION)):
                leadership = attrs.evolve(
                    leadership,
                    epoch=epoch,
                    revision=revisions.compose(incarnation, 1),
                )
                leaders.merge_leadership(leadership, "test")
                position = attrs.evolve(position, offset=position.offset + 1)
                asked_at = leaders.boot_time()
                leaders.record_position(leadership, asked_at, position)
                self.assertEqual(position, leaders.last_position(leadership))
                await asyncio.sleep(0.1)

        self.run_fleet(scenario)


class ChangeTest(virtual.FleetTestCase):
    """Records of one planned change of a primary."""

    def merge_record(self, one, known, number, **changes):
        """Have an instance learn of a further record of a group."""
        record = attrs.evolve(
            known, revision=known.revision + number, **changes
        )
        one.leaders.merge_leadership(record, "test")
        return record

    # Guards against commits at an old primary that are acknowledged and then
    # lost: the record that names the successor began the grace period anew,
    # after the instance had confirmed that it uses the old primary no more.
    def test_release_holds_for_all_records_of_a_change(self):
        async def scenario(world):
            one = next(iter(world.fleets.values()))
            known = one.leaders.latest(world.group.name)
            change = {"changing": True, "orderly": True}
            one.leaders.begin_work(known)
            announced = self.merge_record(one, known, 1, **change)
            self.assertTrue(one.leaders.may_commit(known))
            self.assertFalse(one.leaders.has_released(known))
            await asyncio.sleep(leaders.ORDERLY_GRACE_S + 0.2)
            self.assertTrue(one.leaders.has_released(known))
            successor = self.merge_record(
                one, announced, 1, successor="ladder-1-2"
            )
            self.assertFalse(one.leaders.may_commit(known))
            self.assertTrue(one.leaders.has_released(known))
            self.assertEqual(
                successor.revision, one.leaders.released[known.group]
            )

        self.run_fleet(scenario)

    # Guards against a grace period that grows with each record of a change.
    def test_further_record_does_not_extend_the_grace_period(self):
        async def scenario(world):
            one = next(iter(world.fleets.values()))
            known = one.leaders.latest(world.group.name)
            change = {"changing": True, "orderly": True}
            one.leaders.begin_work(known)
            announced = self.merge_record(one, known, 1, **change)
            await asyncio.sleep(0.6 * leaders.ORDERLY_GRACE_S)
            self.merge_record(one, announced, 1, successor="ladder-1-2")
            self.assertTrue(one.leaders.may_commit(known))
            await asyncio.sleep(0.6 * leaders.ORDERLY_GRACE_S)
            self.assertFalse(one.leaders.may_commit(known))

        self.run_fleet(scenario)

    # Guards against a later change in which open transactions get no time to
    # end because an earlier one has used it up.
    def test_next_change_has_a_grace_period_of_its_own(self):
        async def scenario(world):
            one = next(iter(world.fleets.values()))
            known = one.leaders.latest(world.group.name)
            change = {"changing": True, "orderly": True}
            announced = self.merge_record(one, known, 1, **change)
            ended = self.merge_record(one, announced, 1, changing=False)
            one.leaders.begin_work(known)
            self.merge_record(one, ended, 1, **change)
            self.assertTrue(one.leaders.may_commit(known))

        self.run_fleet(scenario)
