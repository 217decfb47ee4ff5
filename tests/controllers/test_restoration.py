"""Tests of a store that comes back from an older copy."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge.controllers import duty
from balsamhinge.controllers import gossip
from balsamhinge.controllers import storedrecords
from balsamhinge import interfaces
from balsamhinge.policy import leases
from tests.support import virtual

__all__ = [
    "ChangesTest",
    "DutyTest",
    "LeasesTest",
    "OutdatedRecordsTest",
    "RegistrationsTest",
]

# Changes of the configuration that the copy lacks.
LOST_CHANGES = 12
# Time after the return in which a lease from before it may still hold.
LEASE_END_S = leases.EXTENDED_LEASE_S + 0.5


# Interval of the check which primary an instance may use.
POLL_INTERVAL_S = 0.002
# Time to try the store again after an outage, and to register.
REREGISTRATION_S = 0.45
# Calls to the store with which an instance finds out about a restore.
CALLS_PER_INSTANCE = 5
# Time that a gossip message takes at most.
GOSSIP_DELAY_S = 0.01
# Moment of an outage at which the holder dies.
DEATH_S = 1.0
# Time in which another instance succeeds a dead holder and completes the
# records; without a restore the leases are renewed by then.
SUCCESSION_S = 2.0
# Time in which the holder finds out that the store has been restored.
FOUND_OUT_S = 1.0


class LeasesTest(virtual.FleetTestCase):
    """Primaries stay in use across a restore of the store."""

    async def lose_changes(self, world):
        """Lose changes of the configuration in a restore of the store."""
        copy = world.records.copy()
        for _ in range(LOST_CHANGES):
            world.configure()
        await asyncio.sleep(1.0)
        await world.restore_store(copy)

    def assert_serving(self, world):
        """Check that every instance may use the primary."""
        for one in world.fleets.values():
            found = one.leaders.valid_leadership(world.group.name)
            self.assertIsNotNone(found, one.me.name)

    # Guards against reads of a restored store that count as outdated because
    # its revisions are lower than before: all leases ran out and stayed so.
    def test_leases_are_renewed_after_a_restore(self):
        async def scenario(world):
            await self.lose_changes(world)
            await asyncio.sleep(LEASE_END_S)
            self.assert_serving(world)

        self.run_fleet(scenario)

    # The same where a few instances read the store for all, and with few
    # calls: each instance reads the records once in the new incarnation.
    def test_leases_of_a_large_fleet_are_renewed_after_a_restore(self):
        async def scenario(world):
            await self.lose_changes(world)
            calls = world.records.calls
            await asyncio.sleep(REREGISTRATION_S)
            max_calls = CALLS_PER_INSTANCE * len(world.members)
            self.assertLess(world.records.calls - calls, max_calls)
            await asyncio.sleep(LEASE_END_S)
            self.assert_serving(world)

        self.run_fleet(scenario, instances=7)

    # Guards against requests that wait until the records are written again,
    # though the leases from before the restore still hold.
    def test_leases_hold_while_records_are_written_again(self):
        async def scenario(world):
            restoring = asyncio.ensure_future(self.lose_changes(world))
            until = clock.now() + LEASE_END_S
            while clock.now() < until:
                self.assert_serving(world)
                await asyncio.sleep(POLL_INTERVAL_S)
            await restoring

        self.run_fleet(scenario)


class ChangesTest(virtual.FleetTestCase):
    """A change of a primary that the copy lacks."""

    async def change_primary(self, world):
        """Have the primary replaced; the old one answers again."""
        old = world.group.primary
        old.knobs.dark = True
        while not self.is_changed(world, old):
            await asyncio.sleep(POLL_INTERVAL_S)
        old.knobs.dark = False
        await asyncio.sleep(1.0)

    def is_changed(self, world, old):
        """Return whether every instance may use another primary."""
        found = [
            one.leaders.valid_leadership(world.group.name)
            for one in world.fleets.values()
        ]
        return all(one is not None and one.target != old.name for one in found)

    async def restart_one(self, world):
        """Restart an instance that does not hold the promotion duty."""
        holder = world.holder().me
        member = next(one for one in world.members if one != holder)
        await world.kill(member.name)
        return world.start_instance(member)

    # Guards against a restored record that puts an old primary into use
    # again: at an instance that remembers nothing, reads were stale.
    def test_a_restored_record_gives_no_lease_on_an_old_primary(self):
        async def scenario(world):
            old = world.group.primary
            copy = world.records.copy()
            await self.change_primary(world)
            await world.restore_store(copy)
            started = await self.restart_one(world)
            until = clock.now() + LEASE_END_S
            while clock.now() < until:
                found = started.leaders.valid_leadership(world.group.name)
                if found is not None:
                    self.assertNotEqual(old.name, found.target)
                await asyncio.sleep(POLL_INTERVAL_S)

        self.run_fleet(scenario)

    # Guards against a change that only instances remember, until the last
    # of them ends.
    def test_a_lost_change_is_written_again(self):
        async def scenario(world):
            old = world.group.primary
            copy = world.records.copy()
            await self.change_primary(world)
            await world.restore_store(copy)
            await asyncio.sleep(LEASE_END_S)
            self.assertTrue(self.is_changed(world, old))
            for member in world.members:
                await world.kill(member.name)
            for member in world.members:
                world.start_instance(member)
            await world.wait_leaders()
            self.assertTrue(self.is_changed(world, old))

        self.run_fleet(scenario)


class OutdatedRecordsTest(virtual.FleetTestCase):
    """What instances tell each other of records that the store has lost."""

    # Guards against leases that stay lapsed while the holder waits for an
    # instance that does not answer and whose knowledge it does not need.
    def test_a_holder_that_kept_the_duty_asks_nobody(self):
        async def scenario(world):
            holder = world.holder()
            silent = next(one for one in world.fleets if one != holder.me.name)
            world.cuts.add(frozenset((silent, holder.me.name)))
            await world.restore_store(world.records.copy())
            while not holder.leaders.outdated_groups:
                await asyncio.sleep(POLL_INTERVAL_S)
            learned_at = clock.now()
            while holder.leaders.outdated_groups:
                await asyncio.sleep(POLL_INTERVAL_S)
            took_s = clock.now() - learned_at
            self.assertLess(took_s, gossip.CALL_TIMEOUT_S)

        self.run_fleet(scenario)

    def lose_record(self, world):
        """Return a copy of the store that lacks the record of a group."""
        copy = world.records.copy()
        del copy.kinds[interfaces.LEADERS][storedrecords.group_key("ladder-1")]
        return copy

    # Guards against a record that the holder does not know and nobody writes
    # again: it is earlier than the revision up to which the holder knows all.
    def test_a_lost_record_is_told_to_those_with_later_knowledge(self):
        async def scenario(world):
            copy = self.lose_record(world)
            holder = world.holder().me.name
            world.records.knobs.cut.add(holder)
            await world.restore_store(copy)
            one = next(
                one for name, one in world.fleets.items() if name != holder
            )
            while not one.leaders.outdated_groups:
                await asyncio.sleep(POLL_INTERVAL_S)
            one.gossip._peer_as_of[holder] = one.leaders.listing.as_of
            message = one.gossip.build_message(holder)
            told = [leadership.group for leadership in message.leaderships]
            self.assertEqual(["ladder-1"], told)

        self.run_fleet(scenario)

    # Guards against records that count as outdated for good at instances
    # which learn of later reads by gossip only.
    def test_a_read_of_a_peer_ends_outdated_records(self):
        async def scenario(world):
            await world.restore_store(self.lose_record(world))
            await asyncio.sleep(FOUND_OUT_S)
            for one in world.fleets.values():
                self.assertEqual([], one.leaders.outdated_groups)

        self.run_fleet(scenario, instances=7)


class DutyTest(virtual.FleetTestCase):
    """The promotion duty, whose latest record the copy lacks."""

    def stored_duty(self, world):
        """Return the store's record of the holder, or None."""
        stored = world.records.kinds[interfaces.LEADERS]
        return stored.get(storedrecords.DUTY_KEY)

    async def succeed_holder(self, world):
        """Restart the holder after another instance has succeeded it.

        Returns
        -------
        str
            Name of the earlier holder.
        """
        earlier = world.holder().me
        await world.kill(earlier.name)
        while self.stored_duty(world).value["holder"] == earlier.name:
            await asyncio.sleep(POLL_INTERVAL_S)
        world.start_instance(earlier)
        await asyncio.sleep(leases.EXTENDED_LEASE_S)
        return earlier.name

    # Guards against a duty that goes back to an earlier holder, which the
    # copy names and which may be dead or cut off.
    def test_the_holder_of_a_lost_record_keeps_the_duty(self):
        async def scenario(world):
            copy = world.records.copy()
            earlier = await self.succeed_holder(world)
            holder = world.holder().me.name
            self.assertNotEqual(earlier, holder)
            await world.restore_store(copy)
            await asyncio.sleep(FOUND_OUT_S)
            self.assertEqual(holder, self.stored_duty(world).value["holder"])
            self.assertTrue(world.holder().duty.is_confirmed())
            self.assertEqual(holder, world.holder().me.name)

        self.run_fleet(scenario)

    # Guards against a holder that goes on without a record, beside one that
    # acquires the duty as if it was free.
    def test_the_holder_writes_a_record_that_the_copy_lacks(self):
        async def scenario(world):
            holder = world.holder().me.name
            copy = world.records.copy()
            del copy.kinds[interfaces.LEADERS][storedrecords.DUTY_KEY]
            await world.restore_store(copy)
            self.assertFalse(world.fleets[holder].duty.is_confirmed())
            await asyncio.sleep(FOUND_OUT_S)
            self.assertEqual(holder, self.stored_duty(world).value["holder"])
            self.assertTrue(world.fleets[holder].duty.is_confirmed())

        self.run_fleet(scenario)

    # Guards against fencing tokens that go back with the store.
    def test_fences_grow_across_a_restore(self):
        async def scenario(world):
            copy = world.records.copy()
            await self.succeed_holder(world)
            await self.replace_primary(world)
            await world.restore_store(copy)
            await asyncio.sleep(leases.EXTENDED_LEASE_S)
            await self.replace_primary(world)
            fences = [fence for _holder, fence, _target in world.promotions]
            self.assertEqual(sorted(fences), fences)
            self.assertLess(fences[0], fences[-1])

        self.run_fleet(scenario)

    async def replace_primary(self, world):
        """Silence the primary until another one leads."""
        old = world.group.primary
        old.knobs.dark = True
        while world.group.primary is old:
            await asyncio.sleep(POLL_INTERVAL_S)
        old.knobs.dark = False

    # Guards against records that are written without the knowledge of the
    # last holder before the restore: the one that followed it in the restored
    # store is not the one that may have promoted a target.
    def test_the_last_holder_before_a_restore_is_remembered(self):
        async def scenario(world):
            holder = world.holder().me.name
            await world.restore_store(world.records.copy())
            while world.fleets[holder].duty.is_outdated or (
                not world.fleets[holder].store_health.incarnation
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
            await world.kill(holder)
            await asyncio.sleep(LEASE_END_S)
            later = world.holder()
            self.assertNotEqual(holder, later.me.name)
            self.assertEqual(holder, later.duty.holder_before_restore)

        self.run_fleet(scenario)

    # Guards against a store that nobody completes, because the holder does
    # not reach it any more.
    def test_another_instance_completes_the_records(self):
        async def scenario(world):
            holder = world.holder().me.name
            copy = world.records.copy()
            world.records.knobs.cut.add(holder)
            await world.restore_store(copy)
            await asyncio.sleep(LEASE_END_S)
            for one in world.fleets.values():
                found = one.leaders.valid_leadership(world.group.name)
                self.assertIsNotNone(found, one.me.name)

        self.run_fleet(scenario)

    # Guards against waits for what an instance can have done, dated from when
    # the new holder happens to ask the store.
    def test_the_first_to_learn_of_a_restore_dates_it_for_all(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            world.records.knobs.cut.add(name)
            await world.restore_store(world.records.copy())
            await asyncio.sleep(FOUND_OUT_S)
            restored_at = [
                one.store_health.restored_at for one in world.fleets.values()
            ]
            spread_s = max(restored_at) - min(restored_at)
            self.assertLess(spread_s, GOSSIP_DELAY_S)

        self.run_fleet(scenario)

    # Guards against leases that lapse for as long as a dead holder might
    # still promote a target, though it had promised not to.
    def test_a_holder_that_dies_during_the_outage_delays_little(self):
        async def scenario(world):
            copy = world.records.copy()
            restoring = asyncio.ensure_future(world.restore_store(copy))
            await asyncio.sleep(DEATH_S)
            await world.kill(world.holder().me.name)
            await restoring
            await asyncio.sleep(SUCCESSION_S)
            for one in world.fleets.values():
                found = one.leaders.valid_leadership(world.group.name)
                self.assertIsNotNone(found, one.me.name)

        self.run_fleet(scenario)


class RegistrationsTest(virtual.FleetTestCase):
    """Instances that have registered since the copy was made."""

    def lose_registration(self, world):
        """Return a copy that lacks a registration, and the instance's name."""
        holder = world.holder().me
        member = next(one for one in world.members if one != holder)
        copy = world.records.copy()
        del copy.kinds[interfaces.LEADERS][
            storedrecords.member_key(member.name)
        ]
        return copy, member.name

    def cut_off(self, world, name):
        """Cut an instance off from the store and from all others."""
        world.records.knobs.cut.add(name)
        for other in world.fleets:
            if other != name:
                world.cuts.add(frozenset((name, other)))

    def valid_targets(self, world):
        """Return the primaries that any instance may use now."""
        found = [
            one.leaders.valid_leadership(world.group.name)
            for one in world.fleets.values()
        ]
        return {one.target for one in found if one is not None}

    # Guards against two primaries in use at once: a change did not wait for
    # an instance whose registration the store had lost.
    def test_a_change_waits_for_an_instance_whose_record_is_lost(self):
        async def scenario(world):
            copy, name = self.lose_registration(world)
            await world.restore_store(copy)
            while world.holder().leaders.outdated_groups:
                await asyncio.sleep(POLL_INTERVAL_S)
            self.cut_off(world, name)
            world.leave(world.group.primary)
            until = clock.now() + LEASE_END_S
            while clock.now() < until:
                self.assertLessEqual(len(self.valid_targets(world)), 1)
                await asyncio.sleep(POLL_INTERVAL_S)
            self.assertEqual(1, len(world.promotions))

        self.run_fleet(scenario)

    # Guards against an instance that goes on with what others tell it, while
    # no change waits for it.
    def test_an_unregistered_instance_gets_no_lease(self):
        async def scenario(world):
            copy, name = self.lose_registration(world)
            world.records.knobs.cut.add(name)
            await world.restore_store(copy)
            # The holder reads the store once more after the leases have ended.
            until = clock.now() + LEASE_END_S + duty.READ_INTERVAL_S
            unregistered = world.fleets[name].leaders
            while clock.now() < until:
                stored = world.records.kinds[interfaces.LEADERS]
                self.assertNotIn(storedrecords.member_key(name), stored)
                if name not in world.holder().leaders.members:
                    found = unregistered.valid_leadership(world.group.name)
                    self.assertIsNone(found)
                await asyncio.sleep(POLL_INTERVAL_S)
            self.assertNotIn(name, world.holder().leaders.members)
            world.records.knobs.cut.clear()
            await asyncio.sleep(FOUND_OUT_S)
            self.assertTrue(unregistered.is_registered)
            found = unregistered.valid_leadership(world.group.name)
            self.assertIsNotNone(found)

        self.run_fleet(scenario)

    # Guards against an instance that is without a lease for up to a second,
    # until it looks for its registration the next time.
    def test_a_lost_registration_is_written_again_at_once(self):
        async def scenario(world):
            copy, name = self.lose_registration(world)
            await world.restore_store(copy)
            await asyncio.sleep(REREGISTRATION_S)
            self.assertTrue(world.fleets[name].registered)

        self.run_fleet(scenario)
