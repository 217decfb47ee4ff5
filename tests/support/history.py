"""Callers that write and read, and a checker of what they were told."""

import asyncio
import random

import attrs

from balsamhinge.filters import attempts
from balsamhinge.policy import messages

__all__ = ["Caller", "Checker", "Event"]

INSERT = "INSERT INTO results VALUES ($1, $2, $3)"
SELECT = "SELECT id FROM results WHERE player = $1"
SELECT_ALL = "SELECT id FROM results"
LONGEST_PAUSE_S = 0.1
# Part of the reads that come without a session.
LATEST_SHARE = 0.3
TRIES = 3


@attrs.define
class Event:
    """One request of a caller and what became of it.

    Parameters
    ----------
    caller, result : str
        Who, and the identifier of the result.
    outcome : str
        "done", "not_run" or "unknown".
    """

    caller: str
    result: str
    outcome: str


class Checker:
    """Compares what callers were told with what the group holds."""

    def __init__(self):
        self.writes = []
        self.wrong = []
        self.cut = 0
        self.accepted = set()

    def record_write(self, caller, result, outcome):
        """Record the outcome of a write."""
        self.writes.append(Event(caller, result, outcome))
        if outcome == "done":
            self.accepted.add(result)

    def record_read(self, caller, seen, expected):
        """Check that a read shows what it has to."""
        for result in sorted(expected - seen):
            self.wrong.append(f"{caller} does not see {result}")

    def outcomes(self, outcome):
        """Return how many writes had an outcome."""
        return sum(1 for one in self.writes if one.outcome == outcome)

    def check_contents(self, held):
        """Compare with the identifiers that the group finally holds."""
        for one in self.writes:
            count = held.count(one.result)
            if one.outcome == "done" and count == 0:
                self.wrong.append(f"accepted {one.result} is lost")
            if one.outcome == "not_run" and count:
                self.wrong.append(f"{one.result} was run though not run")
            if count > 1:
                self.wrong.append(f"{one.result} was run {count} times")


class Caller:
    """One session that roams between instances.

    Parameters
    ----------
    name : str
        Its name, which its rows carry.
    world : World
        The system.
    checker : Checker
        Where outcomes go.
    """

    def __init__(self, name, world, checker):
        self.name = name
        self._world = world
        self._checker = checker
        self._rng = random.Random(f"{world.seed}/{name}")
        self._token = ""
        self._accepted = set()
        self._number = 0

    async def run(self, end):
        """Write and read in turn until `end` on the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await self._write()
            if self._rng.random() < LATEST_SHARE:
                await self._read_latest()
            else:
                await self._read()
            await asyncio.sleep(self._rng.uniform(0, LONGEST_PAUSE_S))

    async def _write(self):
        self._number += 1
        result = f"{self.name}-{self._number}"
        statement = messages.Statement(INSERT, [result, self.name, 1])
        answer = await self._send("submit", statement, result)
        outcome = answer.reply.outcome.value if answer else "unknown"
        if outcome == "done":
            self._accepted.add(result)
        self._checker.record_write(self.name, result, outcome)

    async def _read(self):
        statement = messages.Statement(SELECT, [self.name])
        answer = await self._send("standing", statement, "")
        if answer is None or answer.reply.outcome != "done":
            return
        seen = {row[0] for row in answer.reply.results[0].rows}
        self._checker.record_read(self.name, seen, self._accepted)

    async def _read_latest(self):
        """Read without a session: whatever was accepted has to be seen."""
        token, self._token = self._token, ""
        expected = set(self._checker.accepted)
        statement = messages.Statement(SELECT_ALL)
        answer = await self._send("standing", statement, "")
        self._token = token
        if answer is None or answer.reply.outcome != "done":
            return
        seen = {row[0] for row in answer.reply.results[0].rows}
        self._checker.record_read(self.name, seen, expected)

    async def _send(self, work_class, statement, request_id):
        """Send a request, again under its identifier after a lost answer.

        Returns
        -------
        Answer or None
            None if nobody knows.
        """
        for _attempt in range(TRIES):
            instance = self._rng.choice(sorted(self._world.cores))
            req = attempts.Request(
                "ladder",
                work_class,
                [statement],
                request_id=request_id,
                token=self._token,
            )
            try:
                answer = await self._world.call(instance, req)
            except ConnectionRefusedError:
                continue
            except ConnectionResetError:
                self._checker.cut += 1
                continue
            if answer.reply.outcome == "done":
                self._token = answer.token
            return answer
        return None
