"""Tests of a group whose commits replicas receive before they count."""

import asyncio

from balsamhinge import interfaces
from balsamhinge.policy import statements
from tests.support import virtual

__all__ = ["FAILOVER_S", "LAG_S", "SynchronousFleetTestCase"]

# Time in which one replica alone receives what is acknowledged.
LAG_S = 2.5
# Longer than a failover in which all targets answer.
FAILOVER_S = 5.0
POLL_INTERVAL_S = 0.01


class SynchronousFleetTestCase(virtual.FleetTestCase):
    """Starts a fleet before a group that replicates synchronously."""

    def run_synchronous(self, scenario, synchronous_replicas=1, **options):
        """Run a scenario on a group that replicates synchronously."""
        self.run_fleet(
            scenario, synchronous_replicas=synchronous_replicas, **options
        )

    async def lag(self, world, seconds=LAG_S):
        """Acknowledge commits that one of two replicas receives.

        Returns
        -------
        primary, synced, behind : ReplicaTarget
            The primary, the replica that has received them, and the other
            one.
        """
        self.check_promotions(world)
        primary, synced, behind = world.group.targets.values()
        # Both replicas hold commits of this term.
        await self.write_for(world, 0.5)
        behind.knobs.deaf = True
        if seconds:
            count = len(world.acknowledged)
            await self.write_for(world, seconds)
            self.assertGreater(len(world.acknowledged), count)
        return primary, synced, behind

    async def write_once(self, world, name):
        """Have a commit acknowledged by one instance."""
        answer = await world.caller(name, "posts").write("item", name)
        self.assertIsNone(answer.problem)

    def check_promotions(self, world):
        """Check each target that the platform is asked to promote."""
        ask_promotion = world.group.ask_promotion

        def check(name):
            log = world.group.targets[name].log
            held = {entry.request_id for entry in log}
            for _at, request_id, _position in world.acknowledged:
                if request_id not in held:
                    self.lost.add(request_id)
            ask_promotion(name)

        self.lost = set()
        world.group.ask_promotion = check

    def assert_none_lost(self, world):
        """Check that no promotion has lost an acknowledged commit."""
        self.assertEqual(set(), self.lost)
        self.assert_nothing_lost(world)

    async def wait_promotion(self, world, target, seconds):
        """Wait until a target leads; return the seconds that it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while world.group.primary is not target:
            elapsed_s = loop.time() - started_at
            self.assertLess(elapsed_s, seconds, world.group.primary.name)
            await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started_at

    def unlist(self, world, target):
        """Have the platform drop the entry of a target."""
        world.records.drop(interfaces.TARGETS, target.name)

    async def commit_transaction(self, world, name):
        """Have a transaction of several statements acknowledged."""
        caller = world.caller(name, "posts")
        prepared = statements.Prepare("p", statements.Access.WRITE, "shape")
        for statement in (
            prepared,
            statements.Begin(),
            statements.Direct(statements.Access.WRITE, "item a"),
            statements.Execute("p", "item b"),
        ):
            answer = await caller.ask(statement)
            self.assertIsNone(answer.problem)
        answer = await caller.ask(statements.Commit())
        self.assertIsNone(answer.problem)
        world.acknowledged.append(
            (
                asyncio.get_running_loop().time(),
                caller.last_id,
                answer.position,
            )
        )
