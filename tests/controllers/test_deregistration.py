"""Tests of instances whose registration ends while they are alive."""

import asyncio

from balsamhinge.controllers import storedrecords
from balsamhinge import interfaces
from balsamhinge.policy import ownership
from balsamhinge.policy import registrations
from tests.support import virtual

__all__ = ["NewHolderTest"]

POLL_S = 0.005
# Instances of a large fleet in each data centre.
LARGE_FLEET_INSTANCES = 20


def is_registered(world, name):
    """Return whether the store holds the record of an instance."""
    held = world.records.kinds[interfaces.LEADERS]
    return storedrecords.member_key(name) in held


class NewHolderTest(virtual.FleetTestCase):
    """The first instances to contact a new holder of the duty are few."""

    # Guards against a new holder that deregisters living instances, most of
    # a large fleet, because it has not heard from them yet.
    def test_a_new_holder_deregisters_no_living_instance(self):
        async def scenario(world):
            await asyncio.sleep(registrations.MEMBER_EXPIRY_S)
            holder = world.holder().me.name
            await world.kill(holder)
            await asyncio.sleep(10.0)
            self.assertNotEqual(holder, world.holder().me.name)
            alive = [n for n in world.fleets if is_registered(world, n)]
            self.assertEqual(len(world.fleets), len(alive))

        self.run_fleet(scenario, instances=LARGE_FLEET_INSTANCES)

    # Guards against the deregistration of an instance that has just
    # registered and has not contacted the holder yet.
    def test_a_new_instance_is_not_deregistered(self):
        async def scenario(world):
            member = ownership.Member("north-9", "10.0.0.9:1", "north")
            started = world.start_instance(member)
            others = set(world.fleets) - {member.name}
            world.cuts |= {frozenset((member.name, one)) for one in others}
            while not is_registered(world, member.name):
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(registrations.MEMBER_EXPIRY_S - 1.0)
            self.assertTrue(is_registered(world, member.name))
            self.assertTrue(started.registered)

        self.run_fleet(scenario)
