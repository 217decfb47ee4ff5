"""Tests of instances whose registration ends while they are alive."""

import asyncio
import itertools

from balsamhinge.controllers import storedrecords
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from balsamhinge.policy import registrations
from tests.support import fleet
from tests.support import virtual

__all__ = ["DeregisteredInstanceTest", "NewHolderTest"]

GROUP = "ladder-1"
POLL_S = 0.005
# Instances of a large fleet in each data centre.
LARGE_FLEET_INSTANCES = 20
# One in this many instances of a large fleet has a writing caller.
WRITING_SHARE = 6
# Duration of an outage of the store.
OUTAGE_S = 3.2
# Delay with which the store executes a call.
LATE_S = 3.0
# Time in which an instance that is back registers again.
REGISTER_AGAIN_S = 2.0


def is_registered(world, name):
    """Return whether the store holds the record of an instance."""
    held = world.records.kinds[interfaces.LEADERS]
    return storedrecords.member_key(name) in held


def cut_off(world, names):
    """Cut instances off from the store and from all other instances."""
    names = set(names)
    world.records.knobs.cut |= names
    others = set(world.fleets) - names
    world.cuts |= {frozenset((a, b)) for a in names for b in others}


def deregister(world, name):
    """Delete the record of an instance."""
    world.records.drop(interfaces.LEADERS, storedrecords.member_key(name))


class _LeaseObserver:
    """Collects the instances that use a primary after its replacement."""

    def __init__(self, world):
        self._world = world
        self.outdated = set()

    async def run(self, seconds):
        """Look at all instances for some seconds."""
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            for name, one in self._world.fleets.items():
                leadership = one.leaders.valid_leadership(GROUP)
                primary = self._world.group.primary.name
                if leadership is not None and leadership.target != primary:
                    self.outdated.add(name)
            await asyncio.sleep(POLL_S)


class DeregisteredInstanceTest(virtual.FleetTestCase):
    """A change of a primary waits for each instance that may hold a lease."""

    async def replace_primary(self, world):
        """Replace the primary as planned; return who used it afterwards."""
        old = world.group.primary
        world.leave(old)
        observer = _LeaseObserver(world)
        await observer.run(leases.LEASE_S + 3.0)
        self.assertIsNot(old, world.group.primary)
        return observer.outdated

    # Guards against stale reads by an instance that was deregistered while it
    # was cut off, and is cut off again while a primary is replaced.
    def test_an_instance_that_is_back_is_waited_for(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            cut_off(world, [name])
            await asyncio.sleep(registrations.MEMBER_EXPIRY_S + 2.0)
            self.assertFalse(is_registered(world, name))
            world.heal()
            await asyncio.sleep(REGISTER_AGAIN_S)
            self.assertTrue(is_registered(world, name))
            await world.wait_leaders()
            await asyncio.sleep(leases.EXTENDED_LEASE_S)
            cut_off(world, [name])
            self.assertEqual(set(), await self.replace_primary(world))

        self.run_fleet(scenario)

    # Guards against commits at a replaced primary by an instance whose record
    # was deleted while it held leases.
    def test_a_change_waits_for_leases_of_before_the_deletion(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            deregister(world, name)
            cut_off(world, [name])
            # The holder reads the list without the instance.
            await asyncio.sleep(0.8)
            self.assertEqual(set(), await self.replace_primary(world))

        self.run_fleet(scenario)

    # Guards against leases that rest on what others have read since the
    # registration of the reading instance has ended.
    def test_an_unlisted_instance_gets_no_leases_by_gossip(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            world.records.knobs.cut.add(name)
            deregister(world, name)
            await asyncio.sleep(leases.LEASE_S + 1.0)
            leaders = world.fleets[name].leaders
            self.assertIsNone(leaders.valid_leadership(GROUP))
            world.heal()
            await asyncio.sleep(REGISTER_AGAIN_S)
            self.assertIsNotNone(leaders.valid_leadership(GROUP))

        self.run_fleet(scenario)

    # Guards against commits at a replaced primary: the holder of the duty
    # promoted another one just after its own registration had ended, and
    # leases of others were extended without its promise.
    def test_a_deregistered_holder_completes_no_change(self):
        async def scenario(world):
            holder = world.holder()
            # Nobody may succeed it meanwhile: all others have just joined.
            for one in world.fleets.values():
                if one is not holder:
                    one._may_change_primaries_from = float("inf")
            deregister(world, holder.me.name)
            world.leave(world.group.primary)
            while not holder.registered or not is_registered(
                world, holder.me.name
            ):
                self.assertEqual([], world.promotions)
                await asyncio.sleep(POLL_S)
            registered_at = asyncio.get_running_loop().time()
            while not world.promotions:
                await asyncio.sleep(POLL_S)
            waited_s = asyncio.get_running_loop().time() - registered_at
            self.assertGreater(waited_s, leases.EXTENDED_LEASE_S - 1.0)

        self.run_fleet(scenario)

    # Guards against a change that is begun while others hold leases that were
    # extended without the promise of a new instance: its registration took
    # effect seconds after the call.
    def test_a_late_registration_postpones_changes_from_its_effect(self):
        async def scenario(world):
            create = fleet.WorldStore.create

            async def create_late(link, kind, name, value):
                asyncio.get_running_loop().call_later(
                    LATE_S, world.records.put, kind, name, value
                )
                self.patch(fleet.WorldStore, "create", create)
                world.records.knobs.cut.add(member.name)
                raise exceptions.StoreUnavailable("no answer")

            self.patch(fleet.WorldStore, "create", create_late)
            member = ownership.Member("north-9", "10.0.0.9:1", "north")
            started = world.start_instance(member)
            while not is_registered(world, member.name):
                await asyncio.sleep(POLL_S)
            created_at = started.dependencies.boot_time()
            world.heal()
            while not started.registered:
                await asyncio.sleep(POLL_S)
            while not started.may_change_primaries:
                await asyncio.sleep(POLL_S)
            waited_s = started.dependencies.boot_time() - created_at
            self.assertGreaterEqual(waited_s, leases.EXTENDED_LEASE_S)

        self.run_fleet(scenario)

    # Guards against instances that count a deregistered one for good, so that
    # none of them can pass leases on.
    def test_all_instances_learn_of_a_deregistration(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            await world.kill(name)
            await asyncio.sleep(registrations.MEMBER_EXPIRY_S + 2.0)
            self.assertFalse(is_registered(world, name))
            calls = world.records.calls
            await asyncio.sleep(4.0)
            for one in world.fleets.values():
                self.assertNotIn(name, one.leaders.members)
                now = one.dependencies.boot_time()
                self.assertLess(now - one.leaders.registrations.read_at, 3.0)
            # The holder alone reads the store.
            self.assertLess(world.records.calls - calls, 30)

        self.run_fleet(scenario)


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

    # Guards against commits at a replaced primary, and reads there, by
    # instances that a new holder has deregistered: after an outage of the
    # store, a change waited for few of those that used the old primary.
    def test_a_change_under_a_new_holder_waits_for_all(self):
        async def scenario(world):
            await asyncio.sleep(registrations.MEMBER_EXPIRY_S)
            await world.kill(world.holder().me.name)
            await asyncio.sleep(10.0)
            writing = [
                asyncio.ensure_future(self.write(world, name))
                for name in sorted(world.fleets)[::WRITING_SHARE]
            ]
            world.records.knobs.down = True
            await asyncio.sleep(OUTAGE_S)
            world.records.knobs.down = False
            world.leave(world.group.primary)
            observer = _LeaseObserver(world)
            await observer.run(leases.LEASE_S + 3.0)
            for task in writing:
                task.cancel()
            self.assertNotEqual([], world.promotions)
            self.assertEqual(set(), observer.outdated)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario, instances=LARGE_FLEET_INSTANCES)

    async def write(self, world, name):
        """Write through an instance until cancelled."""
        caller = world.caller(name, "posts")
        for number in itertools.count():
            await caller.write(name, str(number))
            await asyncio.sleep(0.05)

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
