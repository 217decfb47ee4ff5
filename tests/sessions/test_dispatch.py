"""Tests of how often work is offered to targets."""

from balsamhinge.policy import statements
from tests.support import virtual

__all__ = ["OverloadTest"]

# After 20, 40, 80 and then each 160 ms within 0.8 s; each 20 ms it would be
# offered 13 times, until the session gives up.
MOST_OFFERS = 9


class OverloadTest(virtual.FleetTestCase):
    """Pattern: a hot primary that turns most of its work away."""

    def test_what_was_turned_away_is_offered_ever_less_often(self):
        async def scenario(world):
            primary = world.group.primary
            primary.knobs.full = True
            caller = world.caller("north-1", "posts")
            answer = await caller.write("a", "1")
            self.assertIs(statements.Problem.BUSY, answer.problem)
            self.assertLessEqual(primary.turned_away, MOST_OFFERS)
            self.assertGreater(primary.turned_away, 3)

        self.run_fleet(scenario)
