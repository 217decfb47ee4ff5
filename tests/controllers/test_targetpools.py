"""Tests of connections that instances share without asking each other."""

import asyncio

import testtools

from balsamhinge.controllers import clock
from balsamhinge.controllers import health
from balsamhinge.controllers import targetpools
from balsamhinge import exceptions
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from tests.support import virtual
from tests.support import world

__all__ = ["ConnectionStormTest", "FullTargetTest", "MassReturnTest"]

WAIT_S = 0.8
# A grown fleet, its callers at one target, the target's slots, and what a
# connection and a statement take of one.
INSTANCES = 74
CALLERS = 6
SLOTS = 4
HANDSHAKE_S = 0.012
STATEMENT_S = 0.015


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


class FullTarget:
    """Accepts no connection until a time."""

    def __init__(self, room_at):
        self.attempts = 0
        self._room_at = room_at

    async def connect(self, target, timeout_s):
        """See `SessionTargetLink.connect`."""
        self.attempts += 1
        await asyncio.sleep(0.002)
        if clock.now() < self._room_at:
            raise exceptions.TargetRefused(
                statements.Problem.TOO_MANY, "no room"
            )
        return Connection()


class Connection:
    """A connection that does nothing."""

    lost = False
    outstanding = 0


class FullTargetTest(testtools.TestCase):
    """Pattern: many wait for a target whose connections others hold."""

    def wait_for_room(self, room_s):
        """Return how many of ten were served, and the attempts it took."""

        async def run():
            link = FullTarget(clock.now() + room_s)
            target = routes.ServingTarget(
                "t", "g", "h:1", "n", 4, False, routes.TargetRole.PRIMARY
            )
            pool = targetpools.TargetPool(
                target, link, health.HealthController(), lambda: 10
            )
            until = clock.now() + WAIT_S
            waiting = [pool.borrow(until) for _ in range(10)]
            found = await asyncio.gather(*waiting, return_exceptions=True)
            served = sum(
                isinstance(one, targetpools.PooledConnection) for one in found
            )
            return served, link.attempts

        return world.run_virtual(run())

    def test_a_full_target_is_not_stormed(self):
        served, attempts = self.wait_for_room(10.0)
        self.assertEqual(0, served)
        # Ten at first, then after 40, 80 and each 160 ms; ten each 40 ms
        # would be 200.
        self.assertLess(attempts, 20)

    def test_all_are_served_once_there_is_room(self):
        served, attempts = self.wait_for_room(0.3)
        self.assertEqual(10, served)
        self.assertLess(attempts, 30)


class SlottedTarget:
    """Opens connections and runs statements in a few slots, in order.

    Parameters
    ----------
    slots : int
        Statements, or openings of connections, at once.
    """

    def __init__(self, slots):
        self._slots = asyncio.Semaphore(slots)

    async def connect(self, target, timeout_s):
        """See `SessionTargetLink.connect`."""
        await self.work(HANDSHAKE_S)
        return Connection()

    async def work(self, seconds):
        """Occupy a slot."""
        async with self._slots:
            await asyncio.sleep(seconds)


class ConnectionStormTest(testtools.TestCase):
    """Pattern: the callers of all instances return at once."""

    # Guards against a target that opens connections with all its slots
    # while statements wait on those that are open.
    def test_statements_run_once_each_instance_has_a_connection(self):
        async def run():
            link = SlottedTarget(SLOTS)
            target = routes.ServingTarget(
                "t", "g", "h:1", "n", 4, False, routes.TargetRole.PRIMARY
            )
            begun = clock.now()

            async def serve(pool):
                lent = await pool.borrow(begun + 60.0)
                await link.work(STATEMENT_S)
                pool.return_connection(lent)
                return clock.now() - begun

            pools = [
                targetpools.TargetPool(
                    target, link, health.HealthController(), lambda: 6
                )
                for _ in range(INSTANCES)
            ]
            took_s = await asyncio.gather(
                *(serve(pool) for pool in pools for _ in range(CALLERS))
            )
            return min(took_s)

        first_s = world.run_virtual(run())
        each_s = INSTANCES * HANDSHAKE_S / SLOTS
        self.assertLess(first_s, each_s + 2 * STATEMENT_S)
