"""Who may change primaries, and until when."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge.controllers import duty
from balsamhinge.controllers import leaders
from balsamhinge import links
from tests.support import virtual

__all__ = ["EntitlementTest"]

ANSWER_S = 0.9
STEP_S = 0.002


class EntitlementTest(virtual.FleetTestCase):
    """A holder calls the platform only while no other one may."""

    def test_a_late_answer_entitles_no_longer(self):
        """What entitles is dated from the asking, not from the answer."""

        async def scenario(world):
            old = world.holder()
            world.records.knobs.answer_change_s = ANSWER_S
            old.stopping = True
            stored = world.records.kinds[links.LEADERS]
            while stored[leaders.DUTY_KEY].value["holder"] == old.me.name:
                await asyncio.sleep(STEP_S)
            changed_at = clock.now()
            new = world.fleets[stored[leaders.DUTY_KEY].value["holder"]]
            # From here on its right rests on that one change.
            world.records.knobs.cut.add(new.me.name)
            while not new.duty.entitled():
                await asyncio.sleep(STEP_S)
            ends_at = changed_at + duty.ENTITLED_S
            await asyncio.sleep(ends_at - clock.now())
            self.assertFalse(new.duty.entitled())

        self.run_fleet(scenario)
