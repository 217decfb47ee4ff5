"""Tests of leaderships whose epoch was given out a second time."""

import asyncio

import attrs

from balsamhinge.policy import leases
from balsamhinge.policy import loans
from balsamhinge.policy import positions
from balsamhinge.policy import revisions
from tests.support import virtual

__all__ = ["ReusedEpochTest"]

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
