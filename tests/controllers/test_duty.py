"""Who may change primaries, and until when."""

import asyncio

from balsamhinge.controllers import clock
from balsamhinge.controllers import duty
from balsamhinge.controllers import leaders
from balsamhinge import links
from tests.support import virtual

__all__ = ["EntitlementTest", "SuccessionTest"]

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
            while not new.duty.may_promote():
                await asyncio.sleep(STEP_S)
            ends_at = changed_at + duty.ENTITLED_S
            await asyncio.sleep(ends_at - clock.now())
            self.assertFalse(new.duty.may_promote())

        self.run_fleet(scenario)


class SuccessionTest(virtual.FleetTestCase):
    """The duty moves once, to one that the others reach."""

    def takings(self, world):
        """Return who has held the duty, in order."""
        return [
            change.record.value["holder"]
            for _revision, kind, change in world.records._history
            if kind == links.LEADERS and change.record.name == leaders.DUTY_KEY
        ]

    def cut_off(self, world, name):
        """Cut an instance off from all others, but not from the store."""
        for other in world.fleets:
            if other != name:
                world.cuts.add(frozenset((name, other)))

    # Guards against a cut-off instance that takes the duty again and again
    # from one whom all others reach, so that no primary is changed.
    def test_one_that_is_cut_off_leaves_the_duty_alone(self):
        async def scenario(world):
            holder = world.holder().me.name
            name = next(one for one in world.fleets if one != holder)
            self.cut_off(world, name)
            await asyncio.sleep(duty.MINORITY_S - 0.5)
            self.assertEqual([holder], self.takings(world))

        self.run_fleet(scenario)

    # Guards against a duty that passes through several hands because each
    # one takes the one before it for silent.
    def test_the_duty_of_a_dead_holder_moves_once(self):
        async def scenario(world):
            await world.kill(world.holder().me.name)
            await asyncio.sleep(5.0)
            self.assertEqual(2, len(self.takings(world)))

        self.run_fleet(scenario, instances=7)

    def test_the_last_instance_left_takes_the_duty(self):
        async def scenario(world):
            holder = world.holder().me.name
            last = next(one for one in world.fleets if one != holder)
            for name in list(world.fleets):
                if name != last:
                    await world.kill(name)
            await asyncio.sleep(duty.MINORITY_S + 2.0)
            self.assertEqual(last, world.holder().me.name)

        self.run_fleet(scenario)
