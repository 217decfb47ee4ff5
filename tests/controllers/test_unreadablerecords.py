"""Tests of records that another writer has left in the store."""

import asyncio

import hypothesis
from hypothesis import strategies
import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge.controllers import duty
from balsamhinge.controllers import failover
from balsamhinge.controllers import storedrecords
from balsamhinge import interfaces
from balsamhinge import logs
from tests.platform import oddvalues
from tests.support import virtual

__all__ = ["DecodedRecordsTest", "UnreadableRecordsTest"]

POLL_INTERVAL_S = 0.01
# The holder changes the primary of the group, which waits for all instances.
REPAIR_S = 8.0
ODD_VALUES = (None, 7, "x", [], {}, [[]], {"target": 10**400})
LEADERSHIP = {
    "target": "ladder-1-1",
    "epoch": 3,
    "changing": False,
    "orderly": False,
    "successor": "",
    "incarnation": 0,
}
MEMBER = {"address": "10.0.0.1:1", "data_centre": "n", "incarnation": 0}
DUTY = {"holder": "north-1", "incarnation": 0}
CHALLENGE = {"fence": 3, "challenger": "north-2", "incarnation": 0}
VALUES = {
    "group.ladder": LEADERSHIP,
    "member.north-1": MEMBER,
    "duty": DUTY,
    "duty-challenge": CHALLENGE,
}


def make_record(name, value, revision=9):
    """Return a record of the kind that instances keep."""
    return interfaces.Record(name, revision, value)


class DecodedRecordsTest(virtual.FleetTestCase):
    """Decoding of the records of one read."""

    def test_valid_records_have_no_errors(self):
        decoded = storedrecords.decode_records(
            make_record(name, value) for name, value in VALUES.items()
        )
        self.assertEqual({}, decoded.errors)
        self.assertEqual("ladder-1-1", decoded.leaderships[0].target)
        self.assertEqual(["north-1"], list(decoded.members))
        self.assertEqual("north-1", decoded.duty.holder)
        self.assertEqual(3, decoded.challenge.fence)

    # Guards against a record of another writer that ends the loop that reads
    # it, or is used.
    def test_an_odd_field_makes_its_record_unreadable(self):
        odd_words = (None, 7, [], {}, "", "a b", "a\n", "\ud800", "x" * 9999)
        # The first two cannot be looked up.
        odd_addresses = ("a..b:1", f"{'x' * 64}:1", "10.0.0.1", "10.0.0.1:0")
        odd_numbers = (None, True, "3", 1.5, -1, 2**64, 10**400, float("nan"))
        for name, field, odds in (
            ("group.ladder", "target", odd_words),
            ("group.ladder", "epoch", odd_numbers),
            ("group.ladder", "changing", (None, 0, "true", [])),
            ("group.ladder", "orderly", (None, 1, "", {})),
            ("group.ladder", "successor", (None, 1, [], "x" * 9999)),
            ("group.ladder", "incarnation", ("0", True, -1, 1, 10**30)),
            ("member.north-1", "address", odd_words),
            ("member.north-1", "address", odd_addresses),
            ("member.north-1", "data_centre", odd_words),
            ("duty", "holder", odd_words),
            ("duty-challenge", "fence", odd_numbers),
            ("duty-challenge", "challenger", odd_words),
        ):
            for odd in odds:
                value = VALUES[name] | {field: odd}
                self.check_unreadable(name, value)
        for name in VALUES:
            for value in ODD_VALUES:
                self.check_unreadable(name, value)

    def check_unreadable(self, name, value):
        """Check that a record is unreadable, and that others are not."""
        others = [make_record(*item) for item in VALUES.items()]
        found = [make_record(name, value, 10)]
        found += [each for each in others if each.name != name]
        decoded = storedrecords.decode_records(found)
        self.assertEqual([name], list(decoded.errors), value)
        self.assertLess(len(decoded.errors[name]), 200)
        (leadership,) = decoded.leaderships
        unreadable = name == "group.ladder"
        self.assertEqual(unreadable, leadership.changing)
        self.assertEqual(10 if unreadable else 9, leadership.revision)
        self.assertEqual(
            "" if name == "duty" else "north-1", decoded.duty.holder
        )

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from([*VALUES, "group.", "member.", "other"])
        | strategies.text(max_size=6).map("group.{}".format),
        strategies.sampled_from(
            ["", *LEADERSHIP, "address", "data_centre", "holder", "fence"]
        ),
        oddvalues.json_values(),
    )
    def test_any_value_in_any_field(self, name, field, odd):
        good = VALUES.get(name, LEADERSHIP)
        value = good | {field: odd} if field else odd
        decoded = storedrecords.decode_records(
            [
                make_record(name, value),
                make_record("member.good", MEMBER),
                make_record("group.good", LEADERSHIP),
            ]
        )
        self.assertIn("good", decoded.members)
        self.assertEqual("good", decoded.leaderships[-1].group)
        # All of it can be told to other instances.
        msgspec.msgpack.encode(decoded)


class UnreadableRecordsTest(virtual.FleetTestCase):
    """An unreadable record costs itself alone, until it is written again."""

    async def put_and_await_repair(self, world, name, value):
        """Put a record; wait until an instance has written it again.

        Meanwhile, all instances may use the primary of the second group.
        """
        until = clock.now() + REPAIR_S
        put = world.records.put(interfaces.LEADERS, name, value)
        stored = world.records.kinds[interfaces.LEADERS]
        while stored.get(name) is put:
            self.assertLess(clock.now(), until, name)
            self.check_other_group(world)
            await asyncio.sleep(POLL_INTERVAL_S)
        for one in world.fleets.values():
            found = await one.leaders.wait_valid_leadership("ladder-1", until)
            self.assertIsNotNone(found, one.me.name)
        self.check_other_group(world)
        return put

    def check_other_group(self, world):
        """Check that all instances may use the second group's primary."""
        for one in world.fleets.values():
            other = one.leaders.valid_leadership("ladder-2")
            self.assertIsNotNone(other, one.me.name)

    # Guards against instances that end, or use no primary any more, because
    # of one record of another writer.
    def test_an_unreadable_record_of_a_group_costs_this_group(self):
        async def scenario(world):
            caller = world.caller("north-1", "posts")
            name = storedrecords.group_key("ladder-1")
            for number, value in enumerate(ODD_VALUES):
                put = await self.put_and_await_repair(world, name, value)
                for one in world.fleets.values():
                    latest = one.leaders.latest("ladder-1")
                    self.assertLess(put.revision, latest.revision)
                    primary = world.group.primary.name
                    self.assertEqual(primary, latest.target)
                answer = await caller.write("a", str(number))
                self.assertIsNone(answer.problem)
            self.assert_nothing_lost(world)

        self.run_fleet(scenario, groups=2)

    # Guards against a group that stays without a primary, because no
    # instance knows what its record held.
    def test_an_unreadable_record_that_nobody_has_read_is_replaced(self):
        async def scenario(world):
            for name in list(world.fleets):
                await world.kill(name)
            for group in world.groups:
                key = storedrecords.group_key(group)
                world.records.put(interfaces.LEADERS, key, [group])
            for member in world.members:
                world.start_instance(member)
            await world.wait_leaders()
            self.assertEqual(
                world.group.primary.name,
                world.holder().leaders.latest("ladder-1").target,
            )
            # A promotion that the record announced has taken effect by then.
            holder = world.holder()
            settled_at = (
                holder.duty.may_promote_from
                + failover.PROMOTE_CALL_TIMEOUT_S
                + failover.TAKEOVER_TIMEOUT_S
            )
            now = holder.dependencies.boot_time()
            self.assertGreaterEqual(now, settled_at)

        self.run_fleet(scenario, groups=2)

    # Guards against a change of a primary that was announced in the record
    # before it was overwritten: the old primary must not be used.
    def test_an_unreadable_record_may_have_announced_a_change(self):
        async def scenario(world):
            holder = world.holder()
            name = next(n for n in world.fleets if n != holder.me.name)
            one = world.fleets[name]
            await world.kill(holder.me.name)
            key = storedrecords.group_key("ladder-1")
            world.records.put(interfaces.LEADERS, key, 7)
            await one.leaders.read()
            self.assertIsNone(one.leaders.valid_leadership("ladder-1"))
            self.assertTrue(one.leaders.latest("ladder-1").changing)
            other = one.leaders.latest("ladder-2")
            self.assertFalse(other.changing)

        self.run_fleet(scenario, groups=2)

    # Guards against the duty that nobody acquires again, and against two
    # holders: the previous one may still be entitled.
    def test_an_unreadable_record_of_the_duty_is_replaced(self):
        async def scenario(world):
            for value in ODD_VALUES:
                before = world.holder()
                put = await self.put_and_await_repair(
                    world, storedrecords.DUTY_KEY, value
                )
                await asyncio.sleep(1.0)
                after = world.holder()
                self.assertLess(put.revision, after.duty.fence)
                if after is not before:
                    self.assertFalse(before.duty.may_promote())
                self.assertFalse(after.duty.may_promote())
                await asyncio.sleep(duty.HANDOVER_DELAY_S)
                self.assertTrue(after.duty.may_promote())

        self.run_fleet(scenario, groups=2)

    # Guards against a change of a primary that writes a record which no other
    # instance can read.
    def test_the_epoch_after_the_highest_one_is_readable(self):
        name, highest = "group.ladder", storedrecords.MAX_EPOCH
        for epoch in (1, highest - 1, highest):
            following = storedrecords.next_epoch(epoch)
            value = VALUES[name] | {"epoch": following}
            decoded = storedrecords.decode_records(
                [interfaces.Record(name, 7, value)]
            )
            self.assertEqual({}, decoded.errors)
            self.assertGreaterEqual(following, epoch)

    # Guards against an instance that the changes of primaries do not wait
    # for, though it has a lease.
    def test_an_unreadable_record_of_an_instance_is_replaced(self):
        async def scenario(world):
            (name, *_others) = world.fleets
            key = storedrecords.member_key(name)
            for value in ODD_VALUES:
                put = world.records.put(interfaces.LEADERS, key, value)
                for other in world.fleets.values():
                    if other.me.name != name:
                        await other.leaders.read()
                        self.assertIn(name, other.leaders.members)
                await world.fleets[name].leaders.read()
                stored = world.records.kinds[interfaces.LEADERS]
                until = clock.now() + REPAIR_S
                while stored[key] is put:
                    self.assertLess(clock.now(), until)
                    await asyncio.sleep(POLL_INTERVAL_S)
                self.check_other_group(world)

        self.run_fleet(scenario, groups=2)

    # Guards against records that belong to nothing: they are left alone, and
    # logged once for each revision.
    def test_other_unreadable_records_are_ignored(self):
        async def scenario(world):
            names = ("group.none", "member.none", "group.a b", "member.\n")
            for name in (*names, "other", ""):
                for value in ODD_VALUES:
                    world.records.put(interfaces.LEADERS, name, value)
            for _ in range(300):
                self.check_other_group(world)
                await asyncio.sleep(POLL_INTERVAL_S)
            for one in world.fleets.values():
                self.assertEqual(6, len(one.leaders.members))

        self.patch(logs, "_min_level_index", 0)
        with logbook.TestHandler(bubble=True) as handler:
            self.run_fleet(scenario, groups=2)
        lines = [
            record.message
            for record in handler.records
            if "event=record_unreadable" in record.message
        ]
        # Only the holder of the duty reads the records.
        self.assertEqual(4, len(lines), lines[:9])
        self.assertEqual(4, len(set(lines)), lines[:9])
