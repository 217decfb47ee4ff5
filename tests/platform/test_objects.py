"""Tests of the store's client: restores, and entries of other writers."""

import asyncio

import hypothesis
from hypothesis import strategies
import logbook
import testtools

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.platform import envelopes
from balsamhinge.platform import fields
from balsamhinge.platform import objects
from balsamhinge.platform import recorddecoding
from balsamhinge.policy import revisions
from balsamhinge.policy import routes
from balsamhinge.standins import records
from balsamhinge.standins import replicas
from tests.platform import oddvalues
from tests.platform import standins

__all__ = ["OddEntriesTest", "RecordDecoderTest", "RestoreTest"]

KIND = "leaders"
PORT = 8080


def good_entry():
    """Return the valid entry of a target."""
    group = replicas.ReplicaGroup("ladder", ("n",))
    return standins.entry(group.targets["ladder-1"], PORT)


class StoreTest(testtools.TestCase):
    """A store's client and its server."""

    def run_store(self, scenario):
        """Run `scenario(store, backing, server)` on loopback sockets."""

        async def run():
            backing = records.Records()
            server = standins.ObjectServer(backing, {})
            await server.start()
            store = objects.PlatformObjects(server.address)
            try:
                await scenario(store, backing, server)
            finally:
                store.close()
                server.stop()

        asyncio.run(run())

    async def assert_raises(self, error, call):
        """Check that awaiting a call raises an error."""
        try:
            await call
        except error:
            return
        self.fail(f"no {error.__name__}")


class RestoreTest(StoreTest):
    """Revisions that the store has given out again."""

    # Guards against changes that are never seen: the store has given out the
    # revision again that a watch starts from, and does not answer 410.
    def test_a_watch_from_before_a_restore_expires(self):
        async def scenario(store, backing, _server):
            copy = backing.copy()
            backing.put(KIND, "a", {"x": 1})
            listing = await store.list(KIND)
            backing.restore(copy)
            backing.put(KIND, "b", {"x": 2})
            backing.put(KIND, "c", {"x": 3})
            self.assertLess(
                revisions.number_of(listing.as_of), backing.revision
            )
            await self.assert_raises(
                exceptions.HistoryExpired,
                store.watch(KIND, listing.as_of, 0.2, 1.2),
            )

        self.run_store(scenario)

    # Guards against a configuration that is decoded, and whose invalid
    # entries are logged, at each of the reads that prove it to be current.
    def test_an_unchanged_configuration_is_decoded_once(self):
        async def scenario(store, backing, _server):
            spec = standins.configuration(7, "ladder")
            spec["routes"].append({})
            backing.put("config", "main", spec)
            with logbook.TestHandler() as handler:
                first, second = [
                    await store.list(interfaces.ROUTES) for _ in "ab"
                ]
                self.assertEqual(1, len(handler.records))
                self.assertIs(first.records["main"], second.records["main"])
                backing.restore(backing.copy())
                third = await store.list(interfaces.ROUTES)
                self.assertEqual(2, len(handler.records))
            self.assertEqual(
                1, revisions.incarnation_of(third.records["main"].revision)
            )

        self.run_store(scenario)

    # Guards against a conditional change that replaces another record: its
    # revision was given out a second time.
    def test_a_condition_from_before_a_restore_conflicts(self):
        async def scenario(store, backing, _server):
            copy = backing.copy()
            mine = await store.create(KIND, "a", {"x": 1})
            backing.restore(copy)
            other = backing.put(KIND, "a", {"x": 2})
            self.assertEqual(
                revisions.number_of(mine.revision), other.revision
            )
            await store.list(KIND)
            for call in (
                store.replace(KIND, "a", {"x": 3}, mine.revision),
                store.delete(KIND, "a", mine.revision),
            ):
                await self.assert_raises(exceptions.StoreConflict, call)
            self.assertEqual({"x": 2}, backing.kinds[KIND]["a"].value)

        self.run_store(scenario)

    # The same where the answer to the change is the first one that tells of
    # the restore: the change may have been made, but not as it was meant.
    def test_a_change_that_meets_a_restored_store_conflicts(self):
        async def scenario(store, backing, _server):
            mine = await store.create(KIND, "a", {"x": 1})
            backing.restore(backing.copy())
            await self.assert_raises(
                exceptions.StoreConflict,
                store.replace(KIND, "a", {"x": 2}, mine.revision),
            )

        self.run_store(scenario)

    # Guards against a list whose pages are from before and after a restore.
    def test_a_list_across_a_restore_fails(self):
        async def scenario(store, backing, server):
            for name in "abcde":
                backing.put(KIND, name, {})
            copy = backing.copy()
            server.after_next_response = lambda: backing.restore(copy)
            await self.assert_raises(
                exceptions.StoreUnavailable, store.list(KIND)
            )

        self.run_store(scenario)


class OddEntriesTest(StoreTest):
    """Entries of another writer among good ones."""

    def check_targets(self, found, names):
        """Check that only the named records are targets to use."""
        usable = [name for name, value in found.items() if value is not None]
        self.assertEqual(sorted(names), sorted(usable))
        for name in names:
            self.assertIsInstance(found[name], routes.ServingTarget)

    # Guards against machines that end, or stop following the list, because
    # of one entry of another writer.
    def test_an_odd_entry_does_not_hide_the_others(self):
        async def scenario(store, backing, server):
            for label, raw in oddvalues.ODD_BYTES.items():
                server.raw_values = {"odd": raw}
                backing.put("servers", "good", good_entry())
                before = (await store.list(interfaces.TARGETS)).as_of
                # The value differs, so that each is a change.
                for name, spec in (("odd", "odd"), ("z", good_entry())):
                    backing.put("servers", name, None)
                    backing.put("servers", name, spec)
                listing = await store.list(interfaces.TARGETS)
                found = {n: r.value for n, r in listing.records.items()}
                self.check_targets(found, ["good", "z"])
                changes = await store.watch(
                    interfaces.TARGETS, before, 1.0, 2.0
                )
                self.assertEqual(backing.revision, changes.as_of, label)
                found = {
                    one.record.name: one.record.value
                    for one in changes.changes
                }
                self.check_targets(found, ["z"])

        self.run_store(scenario)

    # Guards against a list that ends with an error, or is cut short, at an
    # entry whose name or revision cannot be decoded.
    def test_odd_names_and_revisions_are_left_out(self):
        async def scenario(store, backing, server):
            # A page has two objects; the odd one is the last of the first.
            for name in ("a", "b-odd", "c", "d"):
                backing.put("servers", name, good_entry())
            for raw in (b"1e999", b"null", b"[]", b'""', b"{}", b'"\xff"'):
                server.raw_values = {"b-odd": raw}
                listing = await store.list(interfaces.TARGETS)
                found = {n: r.value for n, r in listing.records.items()}
                self.check_targets(found, ["a", "c", "d"])
            server.raw_values = {}
            for name in ("\n", "x" * 300, "&after=c", "\u2028/../?#"):
                backing.put("servers", name, {})
                listing = await store.list(interfaces.TARGETS)
                self.assertIn(name, listing.records)
                found = {n: r.value for n, r in listing.records.items()}
                self.check_targets(found, ["a", "b-odd", "c", "d"])
                backing.drop("servers", name)

        self.run_store(scenario)

    # Guards against an error that no caller of the store expects.
    def test_an_unreadable_response_means_unavailable(self):
        async def scenario(store, backing, server):
            backing.put("servers", "good", good_entry())
            odd = (b"1e999", b"-1", b"true", b"9" * 40, b'"7"', b"{}", b"")
            for number, raw in enumerate(odd):
                server._encode_body = lambda content, raw=raw: (
                    b'{"items":[],"events":[],"as_of":' + raw + b"}"
                )
                for call in (
                    store.list(interfaces.TARGETS),
                    store.watch(interfaces.TARGETS, 0, 0.1, 1.1),
                    store.create(KIND, f"n{number}", {}),
                ):
                    await self.assert_raises(exceptions.StoreUnavailable, call)

        self.run_store(scenario)

    def test_an_odd_incarnation_means_unavailable(self):
        async def scenario(store, _backing, server):
            for text in ("", "x", "-1", "1_0", "+1", "1.0", "9" * 40):
                server._tell_incarnation = lambda text=text: text
                await self.assert_raises(
                    exceptions.StoreUnavailable, store.list(KIND)
                )

        self.run_store(scenario)

    # Guards against a conflict that looks like an outage: the body of the
    # refusal holds an object that cannot be decoded.
    def test_the_body_of_a_refusal_need_not_be_readable(self):
        async def scenario(store, _backing, server):
            server._encode_body = lambda content: b"[1e999"
            server.next_statuses = [409]
            await self.assert_raises(
                exceptions.StoreConflict, store.create(KIND, "a", {})
            )

        self.run_store(scenario)

    # Guards against a log line at each poll, and against long ones.
    def test_an_odd_entry_is_logged_once_for_each_revision(self):
        async def scenario(store, backing, server):
            server.raw_values = {"odd": b"1e999"}
            backing.put("servers", "a", "odd")
            backing.put("servers", "b", {"db_role": "x" * 99999})
            backing.put("servers", "x" * 99999, good_entry())
            with logbook.TestHandler() as handler:
                for _ in range(3):
                    await store.list(interfaces.TARGETS)
                lines = [record.message for record in handler.records]
                self.assertEqual(3, len(lines), lines)
                self.assertLess(max(map(len, lines)), 300)
                backing.put("servers", "a", {})
                await store.list(interfaces.TARGETS)
                self.assertEqual(4, len(handler.records))

        self.run_store(scenario)


class RecordDecoderTest(testtools.TestCase):
    """Decoding of the objects in responses."""

    # Guards against any value in any place that raises an exception, or that
    # hides the good object beside it.
    @hypothesis.settings(
        derandomize=True, max_examples=500, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from(
            [interfaces.TARGETS, interfaces.ROUTES, interfaces.LEADERS]
        ),
        strategies.sampled_from(
            ["item", "meta", "spec", "name", "revision", "deleted"]
        ),
        oddvalues.json_values(),
    )
    def test_any_value_in_any_place(self, kind, place, odd):
        good = {"meta": {"name": "good", "revision": 3}, "spec": good_entry()}
        item = {"meta": {"name": "odd", "revision": 4}, "spec": good_entry()}
        match place:
            case "item":
                item = odd
            case "meta" | "spec":
                item = item | {place: odd}
            case "name" | "revision":
                item["meta"][place] = odd
        deleted = odd if place == "deleted" else False
        decoder = recorddecoding.RecordDecoder()
        listed = decoder.decode_objects(kind, 0, [item, good])
        self.assertEqual("good", listed[-1].name)
        events = [
            {"object": item, "deleted": deleted},
            {"object": good, "deleted": False},
        ]
        changes = decoder.decode_events(kind, 0, [odd, *events])
        self.assertEqual("good", changes[-1].record.name)
        if kind == interfaces.TARGETS:
            self.assertIsInstance(listed[-1].value, routes.ServingTarget)

    def test_revisions_fit_into_messages_between_instances(self):
        number = revisions.MAX_NUMBER
        largest = revisions.compose(revisions.MAX_INCARNATION, number)
        self.assertLess(largest, 2**63)
        self.assertLess(10**6, revisions.MAX_INCARNATION)
        meta = {"name": "a", "revision": number}
        self.assertEqual(
            number, envelopes.decode_object({"meta": meta}).number
        )
        self.assertRaises(
            fields.InvalidField,
            envelopes.decode_object,
            {"meta": meta | {"revision": number + 1}},
        )
