"""Tests of gossip between instances."""

import asyncio

import attrs

from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from tests.support import virtual

__all__ = ["IsolationTest", "PromiseTest", "StopTest"]

ROUNDS_S = 1.0
MESSAGE_DELAY_S = 1.2


class PromiseTest(virtual.FleetTestCase):
    """A promise counts from a time before the promise can have been made."""

    def deliver_late(self, change):
        """Deliver a delayed message.

        Parameters
        ----------
        change : callable
            Returns the message to deliver in place of the original.

        Returns
        -------
        until : float or None
            Boot-clock seconds until which the sender's promise is recorded.
        before : float
            Boot-clock seconds before the message was built.
        """
        results = []

        async def scenario(world):
            one, other = world.fleets["north-1"], world.fleets["south-1"]
            await other.gossip.exchange(one.me)
            # The next exchange renews the stamp that the message echoes.
            before = one.dependencies.boot_time()
            await other.gossip.exchange(one.me)
            message = other.gossip.build_message(one.me.name)
            for name in world.fleets:
                world.cuts.add(frozenset((name, one.me.name)))
            await asyncio.sleep(MESSAGE_DELAY_S)
            one.leaders.book.promise_expiries.clear()
            one.gossip.handle_message(change(message))
            until = one.leaders.book.promise_expiries.get(other.me.name)
            results.append((until, before))

        self.run_fleet(scenario)
        return results[0]

    def test_a_promise_is_dated_from_the_echoed_stamp(self):
        until, before = self.deliver_late(lambda message: message)
        self.assertLess(until, before + leases.PROMISE_S + ROUNDS_S)
        self.assertLess(
            until, before + MESSAGE_DELAY_S + leases.PROMISE_S - 0.1
        )

    def test_the_echo_of_an_earlier_process_is_ignored(self):
        def change(message):
            echo = attrs.evolve(message.echo, process=message.echo.process + 1)
            return attrs.evolve(message, echo=echo)

        until, _before = self.deliver_late(change)
        self.assertIsNone(until)

    def test_nothing_is_promised_during_a_change(self):
        async def scenario(world):
            holder = world.holder()
            holder.failover._busy_groups.add("ladder-1")
            message = holder.gossip.build_message("other")
            self.assertEqual(0.0, message.promise_s)
            self.assertEqual(0.0, message.all_promise_s)

        self.run_fleet(scenario)


class IsolationTest(virtual.FleetTestCase):
    """In a large fleet few instances of other data centres are contacted."""

    def test_no_instance_of_a_healthy_large_fleet_is_isolated(self):
        async def scenario(world):
            # The slow store makes the lease knowledge grow old.
            world.records.knobs.latency_s = 0.8
            for _step in range(100):
                await asyncio.sleep(0.05)
                isolated = [
                    name for name, one in world.fleets.items() if one.isolated
                ]
                self.assertEqual([], isolated)

        self.run_fleet(
            scenario, instances=1 + ownership.MAX_SMALL_FLEET_INSTANCES // 3
        )


class StopTest(virtual.FleetTestCase):
    """Pattern: all instances of a large fleet restart in turn."""

    def count_told(self, **options):
        """Return the messages of a stopping instance, and who holds the duty.

        Returns
        -------
        told : set of str
            Instances that it tells of its stop.
        holder : str
            Holder of the promotion duty.
        """
        results = []

        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            stopping = world.fleets[name]
            stopping.stopping = True
            world.notes.clear()
            await stopping.gossip.announce_stop()
            told = {other for sender, other in world.notes if sender == name}
            results.append((told, holder, len(world.fleets)))

        self.run_fleet(scenario, **options)
        return results[0]

    # Guards against messages between all pairs while a large fleet restarts.
    def test_few_instances_of_a_large_fleet_are_told(self):
        told, holder, instances = self.count_told(instances=20)
        self.assertIn(holder, told)
        self.assertLess(len(told), instances // 3)

    def test_all_instances_of_a_small_fleet_are_told(self):
        told, _holder, instances = self.count_told()
        self.assertEqual(instances - 1, len(told))
