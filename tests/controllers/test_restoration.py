"""Tests of a store that comes back from an older copy."""

import asyncio

from balsamhinge.policy import leases
from tests.support import virtual

__all__ = ["LeasesTest"]

# Changes of the configuration that the copy lacks.
LOST_CHANGES = 12
# Time after the return in which a lease from before it may still hold.
LEASE_END_S = leases.EXTENDED_LEASE_S + 0.5


class LeasesTest(virtual.FleetTestCase):
    """Primaries stay in use across a restore of the store."""

    def assert_serving(self, world):
        """Check that every instance may use the primary."""
        for one in world.fleets.values():
            found = one.leaders.valid_leadership(world.group.name)
            self.assertIsNotNone(found, one.me.name)

    # Guards against reads of a restored store that count as outdated because
    # its revisions are lower than before: all leases ran out and stayed so.
    def test_leases_are_renewed_after_a_restore(self):
        async def scenario(world):
            copy = world.records.copy()
            for _ in range(LOST_CHANGES):
                world.configure()
            await asyncio.sleep(1.0)
            await world.restore_store(copy)
            await asyncio.sleep(LEASE_END_S)
            self.assert_serving(world)

        self.run_fleet(scenario)
