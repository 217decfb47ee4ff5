"""Tests of a session's answers and of the statements sent to targets."""

import asyncio
import collections

from balsamhinge import exceptions
from balsamhinge.policy import statements
from balsamhinge.sessions import connections
from tests.support import virtual

Access = statements.Access
Direct = statements.Direct
Problem = statements.Problem
State = statements.State


class OverloadTest(virtual.FleetTestCase):
    """Peak load at an overloaded primary, with lagging replicas."""

    # Guards against repeated remote reads from replicas that are known to lack
    # the required position.
    def test_replicas_known_to_be_behind_are_rarely_queried(self):
        async def scenario(world):
            writer = world.caller("south-1", "posts")
            replicas = [
                target
                for target in world.group.targets.values()
                if target is not world.group.primary
            ]
            for target in replicas:
                target.knobs.lag_s = 60.0
            await writer.write("a", "1")
            # After this, the accepted age covers the write for every read.
            await asyncio.sleep(2.0)
            world.group.primary.knobs.full = True
            for target in replicas:
                target.refused.clear()
            readers = [
                world.caller(name, "ranks")
                for name in world.fleets
                for _ in range(3)
            ]
            await asyncio.gather(*(reader.read("a") for reader in readers))
            behind = sum(
                replica.refused[Problem.BEHIND] for replica in replicas
            )
            # A read takes at most 0.8 s, and each instance queries a lagging
            # replica about three times a second.
            max_behind = len(replicas) * len(world.fleets) * 5
            self.assertLessEqual(behind, max_behind)

        self.run_fleet(scenario)

    # Guards against a queue in which each write gets a connection shortly
    # before its deadline, so that all are sent and time out.
    def test_an_overloaded_primary_keeps_serving_writes(self):
        async def scenario(world):
            work_s, connections = 0.3, 2
            world.group.primary.knobs.work_s = work_s
            problems = collections.Counter()

            async def write():
                caller = world.caller("south-1", "posts")
                answer = await caller.write("a", "1")
                problems[answer.problem] += 1

            writing = []
            for _step in range(60):
                writing += [asyncio.ensure_future(write()) for _ in "ab"]
                await asyncio.sleep(0.05)
            await asyncio.gather(*writing)
            # 3 s of writes at six times the rate that the connections allow.
            capacity = 3.0 / work_s * connections
            self.assertGreaterEqual(problems[None], 0.75 * capacity)
            self.assertLess(problems[Problem.IN_DOUBT], 0.25 * capacity)

        self.run_fleet(scenario, instances=1, connections=2)


class SessionTest(virtual.FleetTestCase):
    """Sessions share connections but no session state."""

    def test_a_session_reads_its_own_write(self):
        async def scenario(world):
            caller = world.caller("south-1", "fixtures")
            for number in range(20):
                await caller.write("a", str(number))
                answer = await caller.read("a")
                self.assertEqual((str(number),), answer.rows)

        self.run_fleet(scenario)

    def test_a_latest_read_sees_what_another_instance_wrote(self):
        async def scenario(world):
            writer = world.caller("south-1", "posts")
            reader = world.caller("north-2", "posts")
            for number in range(20):
                await writer.write("a", str(number))
                answer = await reader.read("a")
                self.assertEqual((str(number),), answer.rows)

        self.run_fleet(scenario)

    def test_a_read_with_accepted_age_uses_replicas(self):
        async def scenario(world):
            caller = world.caller("south-1", "ranks")
            for _number in range(20):
                await caller.read("a")
            targets = {run.target for run in world.group.runs}
            self.assertNotIn("ladder-1-1", targets)

        self.run_fleet(scenario)

    def test_session_values_are_set_before_each_statement(self):
        async def scenario(world):
            callers = [world.caller("south-1", "posts") for _ in range(3)]
            for number, caller in enumerate(callers):
                value = str(number)
                await caller.ask(statements.Assign("zone", value))
                if number:
                    await caller.ask(statements.Assign(f"v{number}", "x"))
            for _round in range(4):
                for number, caller in enumerate(callers):
                    await caller.read("a")
                    connection_values = world.group.runs[-1].values
                    expected = {"zone": str(number)}
                    if number:
                        expected[f"v{number}"] = "x"
                    self.assertEqual(expected, connection_values)

        self.run_fleet(scenario)

    def test_prepared_names_of_two_sessions_do_not_collide(self):
        async def scenario(world):
            first = world.caller("south-1", "posts")
            second = world.caller("south-1", "posts")
            await first.ask(statements.Prepare("s", Access.WRITE, "q1"))
            await second.ask(statements.Prepare("s", Access.READ, "q2"))
            wrote = await first.ask(statements.Execute("s", "a 7"))
            read = await second.ask(statements.Execute("s", "a"))
            self.assertIsNone(wrote.problem)
            self.assertEqual(("7",), read.rows)
            await second.ask(statements.Deallocate("s"))
            unknown = await second.ask(statements.Execute("s", "a"))
            self.assertEqual(Problem.UNKNOWN_NAME, unknown.problem)

        self.run_fleet(scenario)

    def test_a_transaction_stays_on_its_connection(self):
        async def scenario(world):
            first = world.caller("south-1", "posts")
            second = world.caller("south-1", "posts")
            for caller in (first, second):
                await caller.ask(statements.Begin())
            for number in range(3):
                for caller in (first, second):
                    order = Direct(Access.WRITE, f"a{number} 1")
                    answer = await caller.ask(order)
                    self.assertEqual(State.OPEN, answer.state)
            done = await first.ask(statements.Commit())
            self.assertEqual(State.IDLE, done.state)
            self.assertEqual("s", done.signature)
            await second.ask(statements.Rollback())
            entries = world.group.primary.log
            self.assertEqual(1, len(entries))
            self.assertEqual(3, len(entries[0].writes))
            numbers = {run.transaction for run in world.group.runs}
            self.assertEqual(2, len(numbers - {0}))

        self.run_fleet(scenario)

    def test_an_empty_transaction_is_committed_by_a_target(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            done = await caller.ask(statements.Commit())
            self.assertEqual("s", done.signature)

        self.run_fleet(scenario)

    # Guards against a connection that counts as working for the primary for
    # good because its rollback was refused: later changes wait for it.
    def test_a_refused_rollback_releases_its_connection(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            await caller.write("a", "1")
            conn = caller.session._transaction.conn

            async def refuse(_conn, _order, _deadline):
                raise exceptions.NotRunError("the loan has ended")

            self.patch(connections.LocalConnection, "execute", refuse)
            await caller.ask(statements.Rollback())
            await asyncio.sleep(connections.SESSION_STATE_TIMEOUT_S)
            self.assertTrue(conn.released)

        self.run_fleet(scenario)

    # Guards against a commit that is reported in doubt, and is not repeated by
    # its caller, although it was never sent.
    def test_a_commit_that_was_not_sent_is_aborted(self):
        execute = connections.LocalConnection.execute

        async def refuse_commits(conn, order, deadline):
            if isinstance(order.statement, statements.Commit):
                raise exceptions.NotRunError("the loan has ended")
            return await execute(conn, order, deadline)

        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            await caller.write("a", "1")
            self.patch(connections.LocalConnection, "execute", refuse_commits)
            refused = await caller.ask(statements.Commit())
            self.assertEqual(Problem.ABORTED, refused.problem)
            self.assertEqual([], world.group.primary.log)

        self.run_fleet(scenario)

    def test_a_failed_transaction_accepts_only_its_end(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            failed = await caller.ask(statements.Execute("none", "a"))
            self.assertEqual(State.FAILED, failed.state)
            again = await caller.read("a")
            self.assertEqual(Problem.MALFORMED, again.problem)
            ended = await caller.ask(statements.Rollback())
            self.assertEqual(State.IDLE, ended.state)

        self.run_fleet(scenario)

    def test_a_read_without_an_answer_is_hedged_at_another_target(self):
        async def scenario(world):
            caller = world.caller("south-1", "ranks")
            for target in world.group.targets.values():
                target.knobs.lose_answers = 1
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            world.group.targets["ladder-1-1"].knobs.lose_answers = 0
            answer = await caller.read("a")
            self.assertIsNone(answer.problem)
            self.assertLess(loop.time() - started_at, 0.5)

        self.run_fleet(scenario)

    # Guards against a hedged attempt that gets its connection after the read
    # was answered, and then runs with the values that the session has by
    # then, or runs at all.
    def test_a_hedged_read_ends_with_the_answer_of_the_first_attempt(self):
        async def scenario(world):
            caller = world.caller("south-1", "ranks")
            loans = world.fleets["south-1"].connection_loans
            acquire = loans.acquire
            attempted = []

            async def acquire_late(target, *args, patient=True, **kwargs):
                if not patient:
                    attempted.append(target.name)
                    await asyncio.sleep(0.5 * (len(attempted) > 1))
                return await acquire(target, *args, patient=patient, **kwargs)

            loans.acquire = acquire_late
            for target in world.group.targets.values():
                target.knobs.work_s = 0.3
            await caller.ask(statements.Assign("zone", "1"))
            answer = await caller.read("a")
            request_id = caller.last_id
            await caller.ask(statements.Assign("zone", "2"))
            await asyncio.sleep(2.0)
            self.assertIsNone(answer.problem)
            values = [
                run.values
                for run in world.group.runs
                if run.request_id == request_id
            ]
            self.assertLess(1, len(attempted))
            self.assertEqual([{"zone": "1"}], values)

        self.run_fleet(scenario)

    def test_a_write_without_an_answer_is_in_doubt_and_not_retried(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            world.group.primary.knobs.lose_answers = 1
            answer = await caller.write("a", "1")
            self.assertEqual(Problem.IN_DOUBT, answer.problem)
            runs = [run for run in world.group.runs if run.kind == "write"]
            self.assertEqual(1, len(runs))

        self.run_fleet(scenario)

    def test_a_transaction_without_an_answer_is_aborted(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "a 1"))
            world.group.primary.knobs.lose_answers = 1
            lost = await caller.ask(Direct(Access.WRITE, "b 1"))
            self.assertEqual(Problem.ABORTED, lost.problem)
            self.assertEqual([], world.group.primary.log)

        self.run_fleet(scenario)

    def test_an_unknown_database_is_refused(self):
        async def scenario(world):
            caller = world.caller("south-1", "nothing")
            answer = await caller.read("a")
            self.assertEqual(Problem.NO_DATABASE, answer.problem)

        self.run_fleet(scenario)

    def test_an_idle_transaction_is_aborted(self):
        async def scenario(world):
            caller = world.caller("south-1", "posts")
            await caller.ask(statements.Begin())
            await caller.ask(Direct(Access.WRITE, "a 1"))
            caller.session.abort_transaction("idle")
            answer = await caller.ask(statements.Commit())
            self.assertEqual(Problem.ABORTED, answer.problem)
            self.assertEqual([], world.group.primary.log)

        self.run_fleet(scenario)
