"""Tests of retries at overloaded targets."""

from balsamhinge.policy import statements
from tests.support import virtual

__all__ = ["OverloadTest"]

# With backoff, 0.8 s allow retries after 20, 40, 80 and then every 160 ms.
# Retries every 20 ms would be 13, the limit of attempts.
MAX_ATTEMPTS = 9


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
