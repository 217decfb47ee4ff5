"""Tests of what operators see of a fleet."""

import asyncio

import msgspec

from balsamhinge.controllers import duty
from balsamhinge import fleetstatus
from tests.support import virtual

__all__ = ["StatusTest"]


class StatusTest(virtual.FleetTestCase):
    """One instance's view."""

    def test_it_shows_members_primaries_lag_and_duty(self):
        async def scenario(world):
            caller = world.caller("north-1", "posts")
            await caller.write("a", "1")
            await asyncio.sleep(duty.READ_INTERVAL_S)
            fleet = world.fleets["south-2"]
            seen = fleetstatus.describe(fleet)
            self.assertEqual(fleet.duty.holder, seen["duty"])
            self.assertEqual(
                sorted(world.fleets),
                [row["name"] for row in seen["instances"]],
            )
            states = {row["name"]: row["state"] for row in seen["instances"]}
            self.assertEqual("this", states.pop("south-2"))
            self.assertEqual({"live"}, set(states.values()))
            roles = [row["role"] for row in seen["groups"]]
            self.assertEqual(["primary", "replica", "replica"], sorted(roles))
            self.assertEqual(
                seen, msgspec.json.decode(msgspec.json.encode(seen))
            )

        self.run_fleet(scenario)

    def test_a_dead_instance_is_silent(self):
        async def scenario(world):
            await world.kill("north-1")
            await asyncio.sleep(2 * duty.READ_INTERVAL_S)
            seen = fleetstatus.describe(world.fleets["south-2"])
            states = {row["name"]: row["state"] for row in seen["instances"]}
            self.assertEqual("silent", states["north-1"])

        self.run_fleet(scenario)
