"""Callers that use instances while these are stopped and started."""

import asyncio
import itertools

import attrs

from tests.platform import standins
from tests.platform import stopfleet

__all__ = ["KINDS", "Callers", "Request"]

# Databases of a session by weight, as the classes of the site have them.
DATABASES = {"posts": 1.5, "ranks": 1.5, "fixtures": 7.0}
DEADLINES_S = {"posts": 1.5, "fixtures": 1.5, "ranks": 5.0}
WRITE_SHARES = {"posts": 0.35, "fixtures": 0.12, "ranks": 0.0}
CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.1
ITEMS = 200
MAX_STATEMENTS = 12
ROLLBACK_SHARE = 0.1
LEAVE_SHARE = 0.05
MAX_PIPELINED = 6
STEADY_PIPELINED = 2
# Callers of each kind in a data centre.
KINDS = {
    "idle": 8,
    "single": 3,
    "transactions": 8,
    "busy": 2,
    "pipelined": 1,
    "direct": 1,
    "steady": 1,
}


@attrs.define(eq=False)
class Request:
    """One request of a caller, and how it ended.

    Parameters
    ----------
    request_id, kind, database, text : str
        The request, and the kind of its caller.
    state : str
        State of the session when the request was sent.
    incarnation : Incarnation
        The process that accepted the session.
    sent_at, ended_at : float
        Loop seconds.
    end : str
        "answered", "closed", "reset", or by the caller: "given up" at the
        deadline, "left" at the end of the play.
    lines : list of str
        What was received of the answer.
    """

    request_id: str
    kind: str
    database: str
    text: str
    state: str
    incarnation: stopfleet.Incarnation
    sent_at: float
    ended_at: float = 0.0
    end: str = ""
    lines: list = attrs.Factory(list)


class Disconnected(Exception):
    """The session has ended."""


class CallerSession:
    """A session of a caller; records each request."""

    def __init__(self, callers, kind, database, incarnation, client):
        self._callers = callers
        self._kind = kind
        self._database = database
        self._incarnation = incarnation
        self._client = client
        self._pending = []
        self.state = "I"

    @property
    def is_ended(self):
        """Return whether the end of the connection was received."""
        return self._client.reader.at_eof()

    def send(self, text):
        """Send a request without waiting for its answer."""
        now = asyncio.get_running_loop().time()
        request = Request(
            next(self._callers.identifiers),
            self._kind,
            self._database,
            text,
            self.state,
            self._incarnation,
            now,
        )
        self._callers.requests.append(request)
        self._pending.append(request)
        line = f"QUERY {request.request_id} {text}\r\n"
        self._client.writer.write(line.encode())

    async def receive(self):
        """Return the lines of the next answer.

        Raises
        ------
        Disconnected
            If the connection ends first, or the caller gives up.
        """
        request = self._pending[0]
        deadline_s = DEADLINES_S[self._database]
        try:
            async with asyncio.timeout_at(request.sent_at + deadline_s):
                request.lines = await self._client.read_answer()
        except TimeoutError:
            self._end_all("given up")
        except ConnectionError:
            self._end_all("reset")
        if not request.lines or not request.lines[-1].startswith("READY"):
            self._end_all("closed")
        self._end(self._pending.pop(0), "answered")
        self.state = request.lines[-1].split(" ")[1]
        return request.lines

    def _end(self, request, end):
        request.end = end
        request.ended_at = asyncio.get_running_loop().time()

    def _end_all(self, end):
        for request in self._pending:
            self._end(request, end)
        self._pending = []
        self._client.writer.close()
        raise Disconnected(end)

    async def request(self, text):
        """Send a request; return the lines of its answer."""
        self.send(text)
        return await self.receive()

    def close(self):
        """Close the connection; nothing more is received."""
        for request in self._pending:
            self._end(request, "left")
        self._pending = []
        self._client.writer.close()


class Callers:
    """All callers of a play.

    Parameters
    ----------
    fleet : Fleet
        Whom they call.
    rng : Random
        Choices of the callers.
    seed : int
        Part of the requests' identifiers.
    """

    def __init__(self, fleet, rng, seed):
        self._fleet = fleet
        self._rng = rng
        self.requests = []
        self.identifiers = (
            f"{seed % 65536:04x}{number:012x}" for number in itertools.count(1)
        )
        self._playing = True

    async def run(self, kinds, factor):
        """Run `factor` times the usual callers until `stop` is called."""
        running = [
            self._run_caller(kind, centre)
            for kind in kinds
            for centre in stopfleet.CENTRES
            for _number in range(KINDS[kind] * factor)
        ]
        await asyncio.gather(*running)

    def stop(self):
        """Let each caller end with its next operation."""
        self._playing = False

    async def _run_caller(self, kind, centre):
        """Open one session after the other."""
        act = getattr(self, f"_act_{kind}")
        left = None
        while self._playing:
            instance = self._choose(kind, centre, left)
            session = await self._open(kind, instance)
            if session is None:
                left = instance
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            left = None
            try:
                await act(session)
            except Disconnected:
                left = instance
            session.close()

    def _choose(self, kind, centre, left):
        """Return the instance for a new session."""
        if kind == "direct":
            return self._rng.choice(self._fleet.instances)
        return self._fleet.choose(centre, self._rng, left)

    async def _open(self, kind, instance):
        """Return a `CallerSession`, or None if none was accepted."""
        name = self._rng.choices(list(DATABASES), DATABASES.values())[0]
        incarnation = instance.current
        database = f"{name}{self._rng.randint(1, len(stopfleet.GROUPS))}"
        client = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                client = await standins.LineClient.open(instance.callers)
                ready = await client.request(f"CONNECT {database} u1")
        except (OSError, TimeoutError):
            ready = []
        if ready and ready[-1].startswith("READY"):
            return CallerSession(self, kind, name, incarnation, client)
        if client is not None:
            client.writer.close()
        return None

    def _statement(self, session):
        """Return the text of a read or a write."""
        name = session._database
        item = f"{name[0]}{self._rng.randrange(ITEMS)}"
        if self._rng.random() < WRITE_SHARES[name]:
            return f"WRITE {item} {self._rng.getrandbits(32):08x}"
        return f"READ {item}"

    async def _pause(self, mean_s):
        await asyncio.sleep(self._rng.expovariate(1 / mean_s))

    async def _act_idle(self, session):
        """Keep a session that is idle most of the time."""
        while self._playing and not session.is_ended:
            await session.request(self._statement(session))
            await self._pause(1.5)

    async def _act_single(self, session):
        """Use a session for one operation."""
        await session.request(self._statement(session))
        await self._pause(0.05)

    async def _act_direct(self, session):
        """Use a session for one operation, also while instances stop."""
        await session.request(self._statement(session))

    async def _act_busy(self, session):
        """Send one statement after the other."""
        while self._playing and not session.is_ended:
            await session.request(self._statement(session))

    async def _act_pipelined(self, session):
        """Send several requests without waiting for answers."""
        while self._playing and not session.is_ended:
            count = self._rng.randint(2, MAX_PIPELINED)
            for _number in range(count):
                session.send(self._statement(session))
            for _number in range(count):
                await session.receive()
            await self._pause(0.2)

    async def _act_steady(self, session):
        """Have requests under way at any time."""
        for _number in range(STEADY_PIPELINED - 1):
            session.send(self._statement(session))
        while self._playing and not session.is_ended:
            session.send(self._statement(session))
            await session.receive()

    async def _act_transactions(self, session):
        """Run transactions with pauses, some of them seconds long in all."""
        while self._playing and not session.is_ended:
            await self._run_transaction(session)
            await self._pause(0.3)

    async def _run_transaction(self, session):
        begin = "BEGIN READ" if session._database == "ranks" else "BEGIN"
        await session.request(begin)
        pause_s = self._rng.choice([0.01, 0.1, 0.5])
        for _number in range(self._rng.randint(1, MAX_STATEMENTS)):
            if session.state != "T" or not self._playing:
                break
            await self._pause(pause_s)
            await session.request(self._statement(session))
        if self._rng.random() < LEAVE_SHARE:
            raise Disconnected("the caller left")
        if session.state == "T" and self._rng.random() > ROLLBACK_SHARE:
            await session.request("COMMIT")
        if session.state != "I":
            await session.request("ROLLBACK")
