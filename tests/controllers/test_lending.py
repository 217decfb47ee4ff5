"""Tests of connections that instances share without asking each other."""

import asyncio

from tests.support import virtual


class MassReturnTest(virtual.FleetTestCase):
    """Pattern: all instances lose power and come back at once."""

    def test_dead_connections_leave_room_for_new_ones(self):
        async def scenario(world):
            callers = [
                world.caller(name, "posts")
                for name in world.fleets
                for _ in range(3)
            ]
            for _round in range(5):
                writing = [caller.write("a", "1") for caller in callers]
                await asyncio.gather(*writing)
            await asyncio.sleep(2.0)
            # The target counts these for seconds after a loss of power.
            held = len(world.group.primary.connections)
            self.assertLessEqual(2 * held, world.group.primary.most)

        self.run_fleet(scenario, instances=3)

    def test_more_instances_than_connections_all_get_their_turn(self):
        async def scenario(world):
            world.configure()
            await asyncio.sleep(1.0)
            callers = [world.caller(name, "posts") for name in world.fleets]
            for _round in range(10):
                answers = await asyncio.gather(
                    *(caller.write("a", "1") for caller in callers)
                )
                refused = [answer for answer in answers if answer.problem]
                self.assertEqual([], refused)
                await asyncio.sleep(0.5)

        self.run_fleet(scenario, instances=4, connections=5)
