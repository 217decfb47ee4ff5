"""Tests of one instance against stand-ins on loopback sockets."""

import asyncio
import socket

import testtools

from balsamhinge import ctl
from balsamhinge import exceptions
from balsamhinge.platform import daemon
from balsamhinge.platform import objects
from balsamhinge.platform import settings
from balsamhinge.policy import ownership
from balsamhinge.standins import records
from balsamhinge.standins import replicas
from tests.platform import standins
from tests.support import virtual

# A hang ends the test; no verdict depends on this time.
HANG_S = 60.0


def free_address():
    """Return an address on which nobody listens."""
    with socket.socket() as sock:
        sock.bind((standins.HOST, 0))
        return f"{standins.HOST}:{sock.getsockname()[1]}"


class Platform:
    """Three targets, the store, and one instance."""

    async def start(self):
        """Start everything."""
        self.group = replicas.ReplicaGroup("ladder", ("n", "c", "s"))
        self.records = records.Records()
        self.server = standins.ObjectServer(
            self.records, {"ladder": self.group}
        )
        await self.server.start()
        self.targets = {}
        for target in self.group.targets.values():
            served = standins.LineServer(target)
            await served.start()
            self.targets[target.name] = served
            spec = standins.entry(target, served.port)
            self.records.put("servers", target.name, spec)
        self.records.put("config", "main", standins.configuration(7, "ladder"))
        self.settings = settings.PlatformSettings(
            member=ownership.Member("one", free_address(), "n"),
            grace_s=2.0,
            callers=free_address(),
            readiness=free_address(),
            store=self.server.address,
            promotion=self.server.address,
            log_level="error",
        )
        self.daemon = daemon.PlatformDaemon(self.settings)
        self.running = asyncio.ensure_future(self.daemon.run())
        while self.daemon.fleet.leaders.valid_leadership("ladder") is None:
            await asyncio.sleep(0.01)

    async def stop(self):
        """Stop the instance as the platform does, then the rest."""
        self.daemon.request_stop()
        await self.running
        for served in self.targets.values():
            served.stop()
        self.server.stop()

    async def session(self, database):
        """Return a caller's session."""
        lines = await standins.Lines.open(self.settings.callers)
        ready = await lines.ask(f"CONNECT {database} u1")
        assert ready == ["READY I -"], ready
        return lines


class DaemonTest(testtools.TestCase):
    """What callers and the platform see on their sockets."""

    def run_platform(self, scenario):
        async def run():
            platform = Platform()
            await platform.start()
            try:
                async with asyncio.timeout(HANG_S):
                    await scenario(platform)
            finally:
                await platform.stop()

        ended = virtual.EndedLoops()
        with ended.applicationbound():
            asyncio.run(run())
        self.assertEqual([], ended.lines)

    def test_a_session_from_start_to_end(self):
        async def scenario(platform):
            lines = await platform.session("posts")
            for text in (
                "QUERY 1 SET zone a",
                "QUERY 2 PREPARE s1 WRITE q2c",
                "QUERY 3 BEGIN",
            ):
                answer = await lines.ask(text)
                self.assertEqual("COMPLETE -", answer[0])
            answer = await lines.ask("QUERY 4 EXECUTE s1 1a4 xyz")
            self.assertEqual("COMPLETE s", answer[0])
            self.assertTrue(answer[1].startswith("READY T"))
            answer = await lines.ask("QUERY 5 COMMIT")
            self.assertEqual(["COMPLETE s", "READY I 1.1"], answer)
            answer = await lines.ask("QUERY 6 READ 1a4")
            self.assertEqual("DATA xyz", answer[0])
            sent = platform.targets["ladder-1"].received
            self.assertIn("QUERY 4 EXECUTE w_q2c 1a4 xyz", sent)
            self.assertIn("QUERY 5 COMMIT", sent)
            self.assertIn("QUERY 6 READ 1a4", sent)

        self.run_platform(scenario)

    def test_requests_that_come_together_are_answered_in_order(self):
        async def scenario(platform):
            lines = await platform.session("fixtures")
            lines.writer.write(
                b"QUERY 1 WRITE a 1\r\nQUERY 2 READ a\r\nQUERY 3 WRITE a 2"
                b"\r\nQUERY 4 READ a\r\n"
            )
            answers = [await lines.answer() for _ in range(4)]
            self.assertEqual("DATA 1", answers[1][0])
            self.assertEqual("DATA 2", answers[3][0])

        self.run_platform(scenario)

    def test_what_cannot_be_understood_harms_nobody_else(self):
        async def scenario(platform):
            good = await platform.session("posts")
            other = await standins.Lines.open(platform.settings.callers)
            other.writer.write(bytes(range(256)) + b"\r\n")
            answer = await other.answer()
            self.assertEqual(["ERROR MALFORMED unexpected message"], answer)
            bad = await platform.session("posts")
            answer = await bad.ask("QUERY 1 DROP everything")
            self.assertTrue(answer[0].startswith("ERROR MALFORMED"))
            self.assertEqual("READY I -", answer[1])
            endless = await platform.session("posts")
            endless.writer.write(b"x" * (1024 * 1024 + 1))
            answer = await endless.answer()
            self.assertTrue(answer[0].startswith("ERROR TOOLARGE"))
            answer = await good.ask("QUERY 1 WRITE a 1")
            self.assertEqual("COMPLETE s", answer[0])

        self.run_platform(scenario)

    def test_operators_see_the_fleet(self):
        async def scenario(platform):
            url = f"http://{platform.settings.readiness}"
            seen = await asyncio.to_thread(ctl.fetch_fleet_status, url)
            self.assertEqual("one", seen["instance"])
            self.assertEqual("one", seen["duty"])
            self.assertEqual(7, seen["configuration"])
            self.assertEqual(3, len(seen["groups"]))
            code = await asyncio.to_thread(ctl.main, ["fleet", url])
            self.assertEqual(ctl.EXIT_DONE, code)

        self.run_platform(scenario)

    def test_unknown_databases_and_entries(self):
        async def scenario(platform):
            lines = await standins.Lines.open(platform.settings.callers)
            answer = await lines.ask("CONNECT nothing u1")
            self.assertEqual(["ERROR NODATABASE nothing"], answer)
            for spec in (None, [], {"state": "odd"}, {"slots": "3"}):
                platform.records.put("servers", "other", spec)
            lines = await platform.session("posts")
            answer = await lines.ask("QUERY 1 READ a")
            self.assertEqual("COMPLETE s", answer[1])
            self.assertNotIn("other", platform.daemon.fleet.directory.targets)

        self.run_platform(scenario)

    # Guards against an entry of another writer that ends the following of
    # all entries.
    def test_an_entry_that_cannot_be_read_hides_no_other(self):
        async def scenario(platform):
            platform.records.put("servers", "other", {"state": "odd"})
            leaving = platform.group.targets["ladder-2"]
            port = platform.targets[leaving.name].port
            spec = standins.entry(leaving, port, state="draining")
            platform.records.put("servers", leaving.name, spec)
            directory = platform.daemon.fleet.directory
            while not directory.targets[leaving.name].leaving:
                await asyncio.sleep(0.01)

        self.run_platform(scenario)

    def test_readiness_and_metrics(self):
        async def scenario(platform):
            lines = await standins.Lines.open(platform.settings.readiness)
            lines.writer.write(
                b"GET /balsamhinge/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            text = (await lines.reader.read()).decode()
            self.assertIn("HTTP/1.1 200", text)
            self.assertIn("# HELP balsamhinge_", text)

        self.run_platform(scenario)


class ObjectsTest(testtools.TestCase):
    """The store's answers become the product's errors."""

    def test_each_status(self):
        async def run():
            served = records.Records()
            server = standins.ObjectServer(served, {})
            await server.start()
            store = objects.PlatformObjects(server.address)
            made = await store.create("leaders", "a", {"x": 1})
            again = await store.replace(
                "leaders", "a", {"x": 2}, made.revision
            )
            for name in "bcde":
                await store.create("leaders", name, {})
            listing = await store.list("leaders")
            self.assertEqual(list("abcde"), list(listing.records))
            changes = await store.watch("leaders", made.revision, 1.0)
            self.assertEqual(again, changes.changes[0].record)
            for call, error in (
                (
                    store.replace("leaders", "a", {}, made.revision),
                    exceptions.StoreConflict,
                ),
                (
                    store.replace("leaders", "z", {}, 1),
                    exceptions.RecordNotFound,
                ),
                (
                    store.create("leaders", "a", {}),
                    exceptions.StoreConflict,
                ),
            ):
                try:
                    await call
                except error:
                    continue
                self.fail(f"no {error}")
            for status in (429, 503, 500):
                server.refuse_next = [status]
                try:
                    await store.list("leaders")
                except exceptions.StoreUnavailable:
                    continue
                self.fail(f"status {status}")
            store.close()
            server.stop()

        asyncio.run(run())

    # Guards against an entry that leaves while later pages of the list are
    # read, and is used as if it had not.
    def test_a_change_between_two_pages_is_not_missed(self):
        async def run():
            served = records.Records()
            server = standins.ObjectServer(served, {})
            await server.start()
            store = objects.PlatformObjects(server.address)
            for name in "abcde":
                served.put("leaders", name, {})
            server.change_next = lambda: served.drop("leaders", "a")
            listing = await store.list("leaders")
            changes = await store.watch("leaders", listing.as_of, 0.2)
            store.close()
            server.stop()
            return changes.changes

        (change,) = asyncio.run(run())
        self.assertEqual("a", change.record.name)
        self.assertTrue(change.deleted)
