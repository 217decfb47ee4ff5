"""Tests of what notes between instances are good for."""

import asyncio

import attrs

from balsamhinge.policy import homes
from balsamhinge.policy import leases
from tests.support import virtual

__all__ = ["IsolationTest", "PromiseTest"]

ROUNDS_S = 1.0
UNDER_WAY_S = 1.2


class PromiseTest(virtual.FleetTestCase):
    """A promise counts from a time at which it cannot have been made yet."""

    def receive_late(self, change):
        """Return by how much a late note's promise outlasts its age."""
        found = []

        async def scenario(world):
            one, other = world.fleets["north-1"], world.fleets["south-1"]
            await other.gossip.exchange(one.me)
            # Written after this, so that its echo is no older.
            before = one.links.boot_time()
            await other.gossip.exchange(one.me)
            note = other.gossip.build_message(one.me.name)
            for name in world.fleets:
                world.cuts.add(frozenset((name, one.me.name)))
            await asyncio.sleep(UNDER_WAY_S)
            one.leaders.book.promised_until.clear()
            one.gossip.handle_message(change(note))
            until = one.leaders.book.promised_until.get(other.me.name)
            found.append((until, before))

        self.run_fleet(scenario)
        return found[0]

    def test_it_is_dated_by_what_its_sender_had_heard(self):
        until, before = self.receive_late(lambda note: note)
        self.assertLess(until, before + leases.PROMISE_S + ROUNDS_S)
        self.assertLess(until, before + UNDER_WAY_S + leases.PROMISE_S - 0.1)

    def test_the_echo_of_an_earlier_process_dates_nothing(self):
        def change(note):
            echo = attrs.evolve(note.echo, process=note.echo.process + 1)
            return attrs.evolve(note, echo=echo)

        until, _before = self.receive_late(change)
        self.assertIsNone(until)

    def test_nothing_is_promised_in_the_midst_of_a_change(self):
        async def scenario(world):
            holder = world.holder()
            holder.failover._busy.add("ladder-1")
            note = holder.gossip.build_message("other")
            self.assertEqual(0.0, note.promise_s)
            self.assertEqual(0.0, note.all_promise_s)

        self.run_fleet(scenario)


class IsolationTest(virtual.FleetTestCase):
    """In a large fleet few other data centres' instances are asked."""

    def test_no_instance_of_a_healthy_large_fleet_is_isolated(self):
        async def scenario(world):
            # News get old, as by a store that is slow to answer.
            world.records.knobs.latency_s = 0.8
            for _step in range(100):
                await asyncio.sleep(0.05)
                isolated = [
                    name for name, one in world.fleets.items() if one.isolated
                ]
                self.assertEqual([], isolated)

        self.run_fleet(scenario, instances=1 + homes.LARGE_FLEET // 3)
