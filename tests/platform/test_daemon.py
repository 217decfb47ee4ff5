"""Tests of one instance against test doubles on loopback sockets."""

import asyncio
import time

import logbook
import testtools

from balsamhinge.controllers import clock
from balsamhinge import ctl
from balsamhinge import exceptions
from balsamhinge import logs
from balsamhinge.platform import daemon
from balsamhinge.platform import objects
from balsamhinge.platform import settings
from balsamhinge.policy import ownership
from balsamhinge.policy import shutdown
from balsamhinge.standins import records
from balsamhinge.standins import replicas
from tests.platform import oddvalues
from tests.platform import standins
from tests.support import real
from tests.support import virtual

# Ends a test that hangs; no assertion depends on this time.
HANG_TIMEOUT_S = 60.0


def configuration(version):
    """Return a configuration that limits no statement of a busy machine."""
    timeout_ms = round(HANG_TIMEOUT_S * 1000)
    return standins.configuration(version, "ladder", timeout_ms=timeout_ms)


class Platform:
    """Three targets, the object store and one instance.

    Parameters
    ----------
    prepare : callable
        Called with this platform before the instance starts.
    """

    def __init__(self, prepare=lambda platform: None):
        self._prepare = prepare

    async def start(self):
        """Start the targets, the store and the instance."""
        self.group = replicas.ReplicaGroup("ladder", ("n", "c", "s"))
        self.records = records.Records()
        self.server = standins.ObjectServer(
            self.records, {"ladder": self.group}
        )
        await self.server.start()
        self.targets = {}
        for target in self.group.targets.values():
            line_server = standins.LineServer(target)
            await line_server.start()
            self.targets[target.name] = line_server
            spec = standins.entry(target, line_server.port)
            self.records.put("servers", target.name, spec)
        self.records.put("config", "main", configuration(7))
        stream_port, *ports = real.free_ports(4)
        address, callers, readiness = (
            f"{standins.HOST}:{port}" for port in ports
        )
        self.settings = settings.PlatformSettings(
            member=ownership.Member("one", address, "n"),
            grace_s=2.0,
            stream_port=stream_port,
            callers=callers,
            readiness=readiness,
            store=self.server.address,
            promotion=self.server.address,
            log_level="error",
        )
        self._prepare(self)
        self.daemon = daemon.PlatformDaemon(self.settings)
        self.running = asyncio.ensure_future(self.daemon.run())
        while self.daemon.fleet.leaders.valid_leadership("ladder") is None:
            await asyncio.sleep(0.01)

    async def stop(self):
        """Stop the instance as the platform does, then the rest."""
        self.daemon.request_stop()
        await self.running
        for line_server in self.targets.values():
            line_server.stop()
        self.server.stop()

    async def session(self, database):
        """Open a session as a caller."""
        client = await standins.LineClient.open(self.settings.callers)
        ready = await client.request(f"CONNECT {database} u1")
        assert ready == ["READY I -"], ready
        return client


class DaemonTest(testtools.TestCase):
    """Behaviour towards callers and the platform on the sockets."""

    def run_platform(self, scenario, prepare=lambda platform: None):
        async def run():
            platform = Platform(prepare)
            async with asyncio.timeout(HANG_TIMEOUT_S):
                await platform.start()
            try:
                async with asyncio.timeout(HANG_TIMEOUT_S):
                    await scenario(platform)
            finally:
                await platform.stop()

        ended = virtual.EndedLoops()
        with ended.applicationbound():
            asyncio.run(run())
        self.assertEqual([], ended.lines)

    def test_session_with_a_transaction(self):
        async def scenario(platform):
            client = await platform.session("posts")
            for text in (
                "QUERY 1 SET zone a",
                "QUERY 2 PREPARE s1 WRITE q2c",
                "QUERY 3 BEGIN",
            ):
                answer = await client.request(text)
                self.assertEqual("COMPLETE -", answer[0])
            answer = await client.request("QUERY 4 EXECUTE s1 1a4 xyz")
            self.assertEqual("COMPLETE s", answer[0])
            self.assertTrue(answer[1].startswith("READY T"))
            answer = await client.request("QUERY 5 COMMIT")
            self.assertEqual(["COMPLETE s", "READY I 1.1"], answer)
            answer = await client.request("QUERY 6 READ 1a4")
            self.assertEqual("DATA xyz", answer[0])
            sent = platform.targets["ladder-1"].received
            self.assertIn("QUERY 4 EXECUTE w_q2c 1a4 xyz", sent)
            self.assertIn("QUERY 5 COMMIT", sent)
            self.assertIn("QUERY 6 READ 1a4", sent)

        self.run_platform(scenario)

    # Guards against requests that are cut at a planned stop: a session was
    # accepted after all others had been closed and before the instance
    # stopped listening, and nobody waited for it.
    def test_a_session_accepted_during_a_drain_is_drained(self):
        async def scenario(platform):
            callers = platform.daemon._callers
            schedule = shutdown.ShutdownSchedule.from_grace(
                clock.now(), HANG_TIMEOUT_S
            )
            draining = asyncio.ensure_future(callers.drain(schedule))
            # The drain finds no session.
            await asyncio.sleep(0)
            client = await platform.session("posts")
            callers.stop_listening()
            await draining
            self.assertEqual(set(), callers.connections)
            self.assertEqual(b"", await client.reader.read())

        self.run_platform(scenario)

    # Guards against a stop that cuts the statements or replies of other
    # instances, or returns no connection that a session had borrowed.
    def test_stop_ends_every_component_before_the_instance_halts(self):
        steps = []

        def record(owner, name):
            function = getattr(owner, name)

            async def run(*args):
                steps.append(f"{name} begins")
                await function(*args)
                steps.append(f"{name} ends")

            self.patch(owner, name, run)

        async def scenario(platform):
            stopping = platform.daemon
            for owner, name in (
                (stopping._callers, "drain"),
                (stopping, "_drain_loans"),
                (stopping._stream_server, "drain"),
                (stopping.fleet, "halt"),
            ):
                record(owner, name)
            client = await platform.session("posts")
            await client.request("QUERY 1 BEGIN")
            stopping.request_stop()
            while "_drain_loans ends" not in steps:
                await asyncio.sleep(0.01)
            # The loans are drained beside the callers.
            self.assertNotIn("drain ends", steps)
            await client.request("QUERY 2 ROLLBACK")
            await platform.running
            # Callers, loans, streams, then the rest.
            ended = [step for step in steps if step.endswith("ends")]
            self.assertEqual(
                [
                    "_drain_loans ends",
                    "drain ends",
                    "_drain_loans ends",
                    "drain ends",
                    "halt ends",
                ],
                ended,
            )

        self.run_platform(scenario)

    # Guards against a stop that is dated from when the signal was handled
    # although the process had stood still.
    def test_a_late_stop_leaves_its_callers_the_rest_of_the_grace_time(self):
        async def scenario(platform):
            stalled_s = 0.6 * platform.settings.grace_s
            stalled_at = clock.now()
            time.sleep(stalled_s)
            platform.daemon.request_stop()
            while (schedule := platform.daemon.fleet.shutdown) is None:
                await asyncio.sleep(0.001)
            self.assertLessEqual(
                schedule.close_by, stalled_at + platform.settings.grace_s
            )
            self.assertTrue(schedule.refuses_operations(clock.now()))

        self.run_platform(scenario)

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(platform):
            client = await platform.session("fixtures")
            client.writer.write(
                b"QUERY 1 WRITE a 1\r\nQUERY 2 READ a\r\nQUERY 3 WRITE a 2"
                b"\r\nQUERY 4 READ a\r\n"
            )
            answers = [await client.read_answer() for _ in range(4)]
            self.assertEqual("DATA 1", answers[1][0])
            self.assertEqual("DATA 2", answers[3][0])

        self.run_platform(scenario)

    def test_malformed_messages_do_not_affect_other_sessions(self):
        async def scenario(platform):
            valid = await platform.session("posts")
            other = await standins.LineClient.open(platform.settings.callers)
            other.writer.write(bytes(range(256)) + b"\r\n")
            answer = await other.read_answer()
            self.assertEqual(
                ["ERROR MALFORMED a line has a bare CR or LF"], answer
            )
            malformed = await platform.session("posts")
            answer = await malformed.request("QUERY 1 DROP everything")
            self.assertTrue(answer[0].startswith("ERROR MALFORMED"))
            self.assertEqual("READY I -", answer[1])
            too_long = await platform.session("posts")
            too_long.writer.write(b"x" * (1024 * 1024 + 1))
            answer = await too_long.read_answer()
            self.assertTrue(answer[0].startswith("ERROR TOOLARGE"))
            answer = await valid.request("QUERY 1 WRITE a 1")
            self.assertEqual("COMPLETE s", answer[0])

        self.run_platform(scenario)

    def test_status_page_describes_the_fleet(self):
        async def scenario(platform):
            url = f"http://{platform.settings.readiness}"
            status = await asyncio.to_thread(ctl.fetch_fleet_status, url)
            self.assertEqual("one", status["instance"])
            self.assertEqual("one", status["duty"])
            self.assertEqual(7, status["configuration"])
            self.assertEqual(3, len(status["groups"]))
            code = await asyncio.to_thread(ctl.main, ["fleet", url])
            self.assertEqual(ctl.EXIT_DONE, code)

        self.run_platform(scenario)

    def test_unknown_databases_and_invalid_entries(self):
        async def scenario(platform):
            client = await standins.LineClient.open(platform.settings.callers)
            answer = await client.request("CONNECT nothing u1")
            self.assertEqual(["ERROR NODATABASE nothing"], answer)
            for spec in (None, [], {"state": "odd"}, {"slots": "3"}):
                platform.records.put("servers", "other", spec)
            client = await platform.session("posts")
            answer = await client.request("QUERY 1 READ a")
            self.assertEqual("COMPLETE s", answer[1])
            self.assertNotIn("other", platform.daemon.fleet.directory.targets)

        self.run_platform(scenario)

    # Guards against sessions without a valid key, against a withdrawn key that
    # goes on, and against keys that leave the instance.
    def test_keys_open_sessions_and_stay_secret(self):
        keys = "jy5r-secret", "nax7-secret"

        async def put_keys(platform, version, *valid_keys):
            spec = configuration(version)
            entry = {"name": "bode960", "api_keys": valid_keys}
            platform.records.put("config", "main", spec | {"tenants": [entry]})
            directory = platform.daemon.fleet.directory
            while directory.table.version < version:
                await asyncio.sleep(0.01)

        async def connect(platform, text):
            client = await standins.LineClient.open(platform.settings.callers)
            return client, await client.request(f"CONNECT {text}")

        async def scenario(platform):
            await put_keys(platform, 8, *keys)
            denied = ["ERROR DENIED the key is not valid"]
            for text in ("posts", "posts ", "posts u1", f"posts {keys[0]} x"):
                _client, answer = await connect(platform, text)
                self.assertEqual(denied, answer)
            _client, unknown = await connect(platform, keys[0])
            self.assertEqual(["ERROR NODATABASE -"], unknown)
            client, ready = await connect(platform, f"posts {keys[0]}")
            self.assertEqual(["READY I -"], ready)
            answer = await client.request("QUERY 1 WRITE a 1")
            self.assertEqual("COMPLETE s", answer[0])
            await put_keys(platform, 9, keys[1])
            answer = await client.request("QUERY 2 WRITE a 2")
            self.assertEqual([*denied, "READY I -"], answer)
            told = [platform.daemon._render_status().decode()]
            told.append(platform.daemon._render_metrics().decode())
            for target in platform.targets.values():
                told += target.received
            self.assertNotIn("secret", "\n".join(told))

        # Another test may have set a higher level.
        self.patch(logs, "_min_level_index", 0)
        with logbook.TestHandler(bubble=True) as handler:
            self.run_platform(scenario)
        lines = "\n".join(record.message for record in handler.records)
        self.assertIn("event=key_denied", lines)
        self.assertIn("customer=bode960", lines)
        self.assertNotIn("secret", lines)

    # Guards against an invalid entry of another writer that ends the watch
    # of all entries.
    def test_invalid_entry_does_not_affect_the_others(self):
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

    # Guards against machines that end, or stop following the list, because of
    # an entry that cannot be decoded, be it there at the start or put later.
    def test_undecodable_entries_do_not_affect_the_others(self):
        def put_odd_entries(platform, prefix):
            for number, raw in enumerate(oddvalues.ODD_BYTES.values()):
                name = f"{prefix}-{number:02}"
                platform.server.raw_values[f"raw-{number}"] = raw
                platform.records.put("servers", name, f"raw-{number}")
            # The last target of the list with a field that is odd.
            target = platform.group.targets["ladder-1"]
            for number, change in enumerate(
                ({"address": "127.0.0.1:99999"}, {"slots": 10**30})
            ):
                spec = standins.entry(target, 1, **change)
                platform.records.put("servers", f"{prefix}-z{number}", spec)

        async def scenario(platform):
            fleet = platform.daemon.fleet
            for name in ("ladder-2", "ladder-3"):
                put_odd_entries(platform, f"{name}-odd")
                port = platform.targets[name].port
                spec = standins.entry(
                    platform.group.targets[name], port, state="draining"
                )
                platform.records.put("servers", name, spec)
                while not fleet.directory.targets[name].leaving:
                    await asyncio.sleep(0.01)
            self.assertFalse(platform.running.done())
            self.assertFalse(fleet.store_health.failing)
            names = set(fleet.directory.targets)
            self.assertEqual(set(platform.group.targets), names)
            client = await platform.session("posts")
            answer = await client.request("QUERY 1 WRITE a 1")
            self.assertEqual("COMPLETE s", answer[0])

        self.patch(logs, "_min_level_index", 0)
        with logbook.TestHandler(bubble=True) as handler:
            self.run_platform(
                scenario, lambda platform: put_odd_entries(platform, "a")
            )
        lines = [record.message for record in handler.records]
        odd = [line for line in lines if "target_entry_unreadable" in line]
        self.assertEqual(3 * (len(oddvalues.ODD_BYTES) + 2), len(odd))
        # On a busy machine a call may take longer than its time-out.
        failed = [line for line in lines if "follow_failed" in line]
        self.assertEqual([], [n for n in failed if "TimeoutError" not in n])

    def test_readiness_and_metrics(self):
        async def scenario(platform):
            client = await standins.LineClient.open(
                platform.settings.readiness
            )
            client.writer.write(
                b"GET /balsamhinge/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            text = (await client.reader.read()).decode()
            self.assertIn("HTTP/1.1 200", text)
            self.assertIn("# HELP balsamhinge_", text)

        self.run_platform(scenario)


class ObjectsTest(testtools.TestCase):
    """Responses of the store are raised as exceptions."""

    def test_status_codes_become_exceptions(self):
        async def run():
            backing_records = records.Records()
            server = standins.ObjectServer(backing_records, {})
            await server.start()
            store = objects.PlatformObjects(server.address)
            created = await store.create("leaders", "a", {"x": 1})
            replaced = await store.replace(
                "leaders", "a", {"x": 2}, created.revision
            )
            for name in "bcde":
                await store.create("leaders", name, {})
            listing = await store.list("leaders")
            self.assertEqual(list("abcde"), list(listing.records))
            changes = await store.watch("leaders", created.revision, 1.0, 2.0)
            self.assertEqual(replaced, changes.changes[0].record)
            for call, error in (
                (
                    store.replace("leaders", "a", {}, created.revision),
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
                server.next_statuses = [status]
                try:
                    await store.list("leaders")
                except exceptions.StoreUnavailable:
                    continue
                self.fail(f"status {status}")
            store.close()
            server.stop()

        asyncio.run(run())

    # Guards against using an entry that was deleted while later pages of
    # the list were read.
    def test_change_between_two_pages_is_not_missed(self):
        async def run():
            backing_records = records.Records()
            server = standins.ObjectServer(backing_records, {})
            await server.start()
            store = objects.PlatformObjects(server.address)
            for name in "abcde":
                backing_records.put("leaders", name, {})
            server.after_next_response = lambda: backing_records.drop(
                "leaders", "a"
            )
            listing = await store.list("leaders")
            changes = await store.watch("leaders", listing.as_of, 0.2, 1.2)
            store.close()
            server.stop()
            return changes.changes

        (change,) = asyncio.run(run())
        self.assertEqual("a", change.record.name)
        self.assertTrue(change.deleted)
