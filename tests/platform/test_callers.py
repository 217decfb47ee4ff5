"""Tests of the callers' port of an instance that is stopping."""

import asyncio
import socket
from unittest import mock

import testtools

from balsamhinge.controllers import clock
from balsamhinge import metrics
from balsamhinge.platform import callers
from balsamhinge.platform import wire
from balsamhinge.policy import shutdown
from balsamhinge.sessions import connections
from balsamhinge.sessions import dispatch
from tests.platform import standins
from tests.platform import test_daemon
from tests.support import virtual

POLL_S = 0.01
# Long enough for a statement to be under way at any moment of a stop.
WORK_S = 0.05
# More than the sockets' buffers hold.
ANSWER = bytes(32 * 1024 * 1024)


class Caller:
    """A caller that counts its requests and their complete answers."""

    def __init__(self, client, name):
        self._client = client
        self._name = name
        self._count = 0
        self.unanswered = []
        self.problems = []

    async def request(self, text):
        """Send a query; return the lines of its answer."""
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        try:
            lines = await self._client.request(f"QUERY {request_id} {text}")
        except ConnectionError:
            lines = []
        if not lines or not lines[-1].startswith("READY"):
            self.unanswered.append(request_id)
        elif lines[0].startswith("ERROR"):
            self.problems.append(lines[0].split()[1])
        return lines

    async def request_until_refused(self, text):
        """Send queries one after the other until one does not succeed."""
        while not self.unanswered and not self.problems:
            await self.request(text)

    async def is_closed(self):
        """Wait for the end of the stream; return whether nothing came."""
        return await self._client.reader.read() == b""


class CallersTestCase(testtools.TestCase):
    """Starts one instance and its platform for one coroutine."""

    def run_platform(self, scenario):
        async def run():
            platform = test_daemon.Platform()
            await platform.start()
            try:
                async with asyncio.timeout(test_daemon.HANG_TIMEOUT_S):
                    await scenario(platform)
            finally:
                await platform.stop()

        ended = virtual.EndedLoops()
        with ended.applicationbound():
            asyncio.run(run())
        self.assertEqual([], ended.lines)

    def connections(self, platform):
        """Return the instance's connections from callers."""
        return platform.daemon._callers.connections

    async def open_callers(self, platform, databases):
        return [
            Caller(await platform.session(database), f"{database}{number}")
            for number, database in enumerate(databases)
        ]

    def assert_answered(self, platform, opened):
        """Check that each request that a target received was answered."""
        received = {
            line.split(" ", 2)[1]
            for server in platform.targets.values()
            for line in server.received
            if line.startswith(wire.QUERY)
        }
        for caller in opened:
            self.assertEqual(set(), received & set(caller.unanswered))

    def allow_time_for_answers(self):
        """Leave answers more time than a test on a busy machine may need."""
        for name in ("ANSWERS_SHARE", "CONNECTIONS_SHARE"):
            self.patch(shutdown, name, test_daemon.HANG_TIMEOUT_S)

    async def wait_shutdown(self, platform, has_begun):
        """Wait until a stage of the shutdown has begun."""
        while True:
            schedule = platform.daemon.fleet.shutdown
            if schedule is not None and has_begun(schedule):
                return schedule
            await asyncio.sleep(POLL_S)


class StoppingInstanceTest(CallersTestCase):
    """Callers of an instance that has received SIGTERM."""

    # Guards against a stop that closes a session whose first request is on
    # its way: the caller of a write could not repeat it.
    def test_session_that_was_just_opened_is_not_closed_as_idle(self):
        self.patch(callers, "MIN_IDLE_S", test_daemon.HANG_TIMEOUT_S)

        async def scenario(platform):
            (caller,) = await self.open_callers(platform, ["posts"])
            platform.daemon.request_stop()
            while not platform.daemon.fleet.stopping:
                await asyncio.sleep(0)
            # The drain looks for idle sessions.
            await asyncio.sleep(POLL_S)
            answer = await caller.request("WRITE a 1")
            self.assertEqual("COMPLETE s", answer[0])

        self.run_platform(scenario)

    # Guards against a process that ends under a session that was accepted
    # just before it stopped listening.
    def test_drain_looks_again_after_the_end_of_listening(self):
        async def scenario(platform):
            server = platform.daemon._callers
            server.stop_listening()
            schedule = shutdown.ShutdownSchedule.from_grace(
                clock.now(), test_daemon.HANG_TIMEOUT_S
            )
            draining = asyncio.ensure_future(server.drain(schedule))
            # The drain finds no connection.
            await asyncio.sleep(0)
            client_end, server_end = socket.socketpair()
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(
                lambda: callers.CallerConnection(server), server_end
            )
            reader, writer = await asyncio.open_connection(sock=client_end)
            client = standins.LineClient(reader, writer)
            self.assertEqual(
                ["READY I -"], await client.request("CONNECT posts u1")
            )
            await draining
            self.assertEqual(b"", await reader.read())

        self.run_platform(scenario)

    # Guards against a stop that closes a session in the middle of a
    # statement: callers whose sessions were never idle got no answer.
    def test_busy_sessions_are_refused_before_they_are_closed(self):
        self.patch(callers, "MIN_IDLE_S", test_daemon.HANG_TIMEOUT_S)
        self.allow_time_for_answers()

        async def scenario(platform):
            for target in platform.group.targets.values():
                target.knobs.work_s = WORK_S
            opened = await self.open_callers(
                platform, ["posts", "fixtures"] * 3
            )
            running = [
                asyncio.ensure_future(
                    caller.request_until_refused("WRITE a 1")
                )
                for caller in opened
            ]
            platform.daemon.request_stop()
            await asyncio.gather(*running)
            self.assert_answered(platform, opened)
            for caller in opened:
                self.assertEqual(["BUSY"], caller.problems)
                self.assertTrue(await caller.is_closed())

        self.run_platform(scenario)

    # Guards against a stop that closes an open transaction as its next
    # statement arrives: the caller was not told that nothing was kept.
    def test_late_statement_of_a_transaction_is_aborted(self):
        self.allow_time_for_answers()

        async def scenario(platform):
            opened = await self.open_callers(platform, ["posts"] * 2)
            for caller in opened:
                await caller.request("BEGIN")
                await caller.request("WRITE a 1")
            platform.daemon.request_stop()
            await self.wait_shutdown(
                platform, lambda s: s.aborts_transactions(clock.now())
            )
            answers = [
                await caller.request(text)
                for caller, text in zip(
                    opened, ("WRITE b 1", "COMMIT"), strict=True
                )
            ]
            for answer, state in zip(answers, "EI", strict=True):
                self.assertTrue(answer[0].startswith("ERROR ABORTED"), answer)
                self.assertTrue(answer[1].startswith(f"READY {state}"), answer)
            self.assertEqual([], platform.group.primary.log)

        self.run_platform(scenario)

    # Guards against a transaction that is cut off, or refused, although a
    # stop leaves it time to commit.
    def test_open_transaction_can_commit_while_new_ones_are_refused(self):
        self.patch(shutdown, "TRANSACTIONS_SHARE", test_daemon.HANG_TIMEOUT_S)
        self.allow_time_for_answers()

        async def scenario(platform):
            opened = await self.open_callers(platform, ["posts", "posts"])
            await opened[0].request("BEGIN")
            await opened[0].request("WRITE a 1")
            busy = asyncio.ensure_future(
                opened[1].request_until_refused("READ a")
            )
            platform.daemon.request_stop()
            await self.wait_shutdown(
                platform, lambda s: s.refuses_operations(clock.now())
            )
            answer = await opened[0].request("COMMIT")
            self.assertEqual("COMPLETE s", answer[0])
            await busy
            self.assertEqual(["BUSY"], opened[1].problems)
            self.assertTrue(await opened[0].is_closed())

        self.run_platform(scenario)

    # Guards against a stop that lasts for the whole grace time because the
    # caller of a failed transaction is silent.
    def test_failed_transaction_does_not_hold_up_a_stop(self):
        async def scenario(platform):
            (caller,) = await self.open_callers(platform, ["posts"])
            await caller.request("BEGIN")
            await caller.request("EXECUTE unknown a")
            server, grace_s = platform.daemon._callers, 60.0
            schedule = shutdown.ShutdownSchedule.from_grace(
                clock.now() - 0.6 * grace_s, grace_s
            )
            platform.daemon.fleet.shutdown = schedule
            server.stop_listening()
            await server.drain(schedule)
            self.assertTrue(await caller.is_closed())
            self.assertLess(clock.now(), schedule.answer_by)

        self.run_platform(scenario)

    # Guards against a stop that leaves the caller of a statement without an
    # answer because the target gives none.
    def test_statement_without_an_answer_is_given_up_before_the_end(self):
        async def scenario(platform):
            write, transaction = await self.open_callers(
                platform, ["posts"] * 2
            )
            await transaction.request("BEGIN")
            await transaction.request("READ a")
            for target in platform.group.targets.values():
                target.knobs.lose_answers = 3
            # The statements' own timeout ends after the grace time.
            running = [
                asyncio.ensure_future(caller.request("WRITE a 1"))
                for caller in (write, transaction)
            ]
            while not all(conn._task for conn in self.connections(platform)):
                await asyncio.sleep(POLL_S)
            platform.daemon.request_stop()
            answers = await asyncio.gather(*running)
            self.assertFalse(platform.running.done())
            self.assertTrue(answers[0][0].startswith("ERROR INDOUBT"), answers)
            self.assertTrue(answers[1][0].startswith("ERROR ABORTED"), answers)
            self.assertTrue(await write.is_closed())

        self.run_platform(scenario)

    # Guards against an answer that is discarded because the process ends
    # before it is sent.
    def test_process_does_not_end_before_its_answers_are_sent(self):
        self.patch(shutdown, "CONNECTIONS_SHARE", test_daemon.HANG_TIMEOUT_S)

        async def scenario(platform):
            client = await platform.session("posts")
            (conn,) = self.connections(platform)
            conn._write(ANSWER)
            remaining = []
            platform.running.add_done_callback(
                lambda _fut: remaining.append(len(self.connections(platform)))
            )
            platform.daemon.request_stop()
            await self.wait_shutdown(
                platform, lambda s: clock.now() > s.answer_by
            )
            self.assertEqual(len(ANSWER), len(await client.reader.read()))
            await platform.running
            # The callback runs in the loop's next step.
            await asyncio.sleep(0)
            self.assertEqual([0], remaining)

        self.run_platform(scenario)


class RequestErrorTest(CallersTestCase):
    """Requests whose connection or session fails."""

    # Guards against a request that is never answered, or answered with a
    # promise that does not hold, because of an error that nobody expected.
    def test_unexpected_error_is_answered(self):
        async def fail(*_args, **_options):
            raise LookupError("a fault")

        async def cancel(*_args, **_options):
            raise asyncio.CancelledError

        sending = connections.LocalConnection, "execute"
        reading = dispatch.Dispatcher, "read"
        acquiring = dispatch.Dispatcher, "acquire_primary"
        cases = (
            ((), "READ a", reading, fail, "FAILED"),
            ((), "READ a", reading, cancel, "FAILED"),
            ((), "WRITE a 1", sending, fail, "INDOUBT"),
            ((), "WRITE a 1", acquiring, fail, "BUSY"),
            (("BEGIN", "WRITE a 1"), "COMMIT", sending, fail, "INDOUBT"),
            (("BEGIN", "READ a"), "COMMIT", sending, fail, "ABORTED"),
            (("BEGIN", "WRITE a 1"), "READ a", sending, fail, "ABORTED"),
        )

        async def scenario(platform):
            for before, text, (owner, name), error, code in cases:
                (caller,) = await self.open_callers(platform, ["posts"])
                for earlier in before:
                    await caller.request(earlier)
                with mock.patch.object(owner, name, error):
                    await caller.request(text)
                self.assertEqual([code], caller.problems, text)
                self.assertTrue(await caller.is_closed())

        self.run_platform(scenario)

    # Guards against a connection that is never used again, and a session that
    # goes on in an unknown state, after an unexpected error.
    def test_error_ends_the_session_and_frees_its_connection(self):
        used = []

        async def fail(conn, *_args):
            used.append(conn)
            raise LookupError("a fault")

        async def scenario(platform):
            client = await platform.session("posts")
            with mock.patch.object(
                connections.LocalConnection, "execute", fail
            ):
                client.writer.write(b"QUERY 1 WRITE a 1\r\nQUERY 2 BEGIN\r\n")
                answers = [await client.read_answer() for _ in range(2)]
            codes = [answer[0].split()[1] for answer in answers]
            self.assertEqual(["INDOUBT", "BUSY"], codes)
            self.assertEqual([True], [conn.released for conn in used])

        self.run_platform(scenario)

    # Guards against a promise that nothing is kept of a write that has run.
    def test_error_after_a_write_leaves_it_in_doubt(self):
        def fail(*_args):
            raise LookupError("a fault")

        async def scenario(platform):
            (caller,) = await self.open_callers(platform, ["posts"])
            with mock.patch.object(metrics, "observe_statement", fail):
                lines = await caller.request("WRITE a 1")
            self.assertEqual(["ERROR INDOUBT internal error"], lines)
            self.assertEqual(1, len(platform.group.primary.log))

        self.run_platform(scenario)

    # Guards against a running request whose answer is dropped since a later
    # message of its caller cannot be read.
    def test_request_before_a_message_that_is_too_long_is_answered(self):
        async def scenario(platform):
            client = await platform.session("posts")
            client.writer.write(b"QUERY 1 WRITE a 1\r\n")
            await client.writer.drain()
            client.writer.write(b"x" * (wire.MAX_LINE_BYTES + 1))
            self.assertEqual("COMPLETE s", (await client.read_answer())[0])
            refused = await client.read_answer()
            self.assertTrue(refused[0].startswith("ERROR TOOLARGE"))

        self.run_platform(scenario)

    # Guards against a request whose answer is dropped since its caller sends
    # nothing more.
    def test_request_before_the_end_of_the_stream_is_answered(self):
        async def scenario(platform):
            client = await platform.session("posts")
            client.writer.write(b"QUERY 1 WRITE a 1\r\nQUERY 2 READ a\r\n")
            client.writer.write_eof()
            self.assertEqual("COMPLETE s", (await client.read_answer())[0])
            self.assertEqual("DATA 1", (await client.read_answer())[0])
            self.assertEqual(b"", await client.reader.read())

        self.run_platform(scenario)
