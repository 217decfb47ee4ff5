"""Tests of retries at overloaded targets."""

import attrs

from balsamhinge.controllers import clock
from balsamhinge.policy import customers
from balsamhinge.policy import statements
from tests.support import virtual

__all__ = ["LeavingPrimaryTest", "OverloadTest", "PredictedWaitTest"]

# With backoff, 0.8 s allow retries after 20, 40, 80 and then every 160 ms.
# Retries every 20 ms would be 13, the limit of attempts.
MAX_ATTEMPTS = 9
# A target that has said that it stops may be used for this long.
LEAVING_USE_S = 7.0


class OverloadTest(virtual.FleetTestCase):
    """An overloaded primary that rejects most statements."""

    def test_rejected_writes_are_retried_with_backoff(self):
        async def scenario(world):
            primary = world.group.primary
            primary.knobs.full = True
            caller = world.caller("north-1", "posts")
            answer = await caller.write("a", "1")
            self.assertIs(statements.Problem.BUSY, answer.problem)
            self.assertLessEqual(primary.turned_away, MAX_ATTEMPTS)
            self.assertGreater(primary.turned_away, 3)

        self.run_fleet(scenario)


class PredictedWaitTest(virtual.FleetTestCase):
    """Hosts that report a wait beyond the deadline."""

    # Guards against callers that wait for an answer that cannot come in time.
    def test_write_and_read_are_refused_at_once(self):
        async def scenario(world):
            instance = world.fleets["north-1"]
            caller = world.caller("north-1", "posts")
            started_at = clock.now()
            for name in instance.directory.targets:
                instance.target_pools.reports.record(name, [30.0], started_at)
            for answer in (
                await caller.write("a", "1"),
                await caller.read("a"),
            ):
                self.assertIs(statements.Problem.BUSY, answer.problem)
            self.assertLess(clock.now() - started_at, 0.05)
            await clock.pause(0.5)
            self.assertIsNone((await caller.write("a", "1")).problem)

        self.run_fleet(scenario)

    # Guards against customers of a high priority that are refused because
    # those of a low one would wait too long.
    def test_wait_of_the_last_customers_refuses_no_others(self):
        async def scenario(world):
            instance = world.fleets["north-1"]
            first, last = (
                customers.Customer(
                    name, (customers.digest_key(name),), priority=priority
                )
                for name, priority in (("first", 0), ("last", 3))
            )
            instance.directory.table = attrs.evolve(
                instance.directory.table,
                customers={"first": first, "last": last},
            )
            for name in instance.directory.targets:
                instance.target_pools.reports.record(name, [30.0], clock.now())
            caller = world.caller("north-1", "posts", "first")
            self.assertIsNone((await caller.write("a", "1")).problem)

        self.run_fleet(scenario)


class LeavingPrimaryTest(virtual.FleetTestCase):
    """A primary that has said that it stops."""

    # Guards against statements that reach a primary after the time for which
    # it may be used, as no other target can replace it.
    def test_a_leaving_primary_without_successor_is_not_used_on(self):
        async def scenario(world):
            old = world.group.primary
            left_at = clock.now()
            for target in world.group.targets.values():
                world.leave(target)
            await self.write_for(world, 12.0)
            runs = [
                run.at - left_at
                for run in world.group.runs
                if run.target == old.name
            ]
            self.assertGreater(max(runs), LEAVING_USE_S - 2.0)
            self.assertLess(max(runs), LEAVING_USE_S)
            # Another process of the target is back under its name.
            world.list_targets()
            count = len(world.acknowledged)
            await self.write_for(world, 2.0)
            self.assertGreater(len(world.acknowledged), count)

        self.run_fleet(scenario)
