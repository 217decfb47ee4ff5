"""An open-loop load process: arrivals come whether or not answers do."""

import asyncio
import base64
import json
import pathlib
import random
import sys
import time

import attrs
import httpx
import msgspec

from balsamhinge.policy import tokens

__all__ = ["Kind", "Record", "Spec", "main"]

CALL_MARGIN_S = 5.0


@attrs.frozen
class Kind:
    """One kind of request in the mix.

    Parameters
    ----------
    work_class : str
        Class in the operators' text.
    weight : float
        Share of the arrivals.
    sql : str
        The statement; its parameters are the session's name and, for a
        write, the session's next number.
    write, session : bool
        Whether it writes, and whether it carries the session's token.
    deadline_s : float
        Seconds that the caller waits.
    long_ms : list of int
        Least and most milliseconds of work, if it is a straggler.
    """

    work_class: str
    weight: float
    sql: str
    write: bool = False
    session: bool = True
    deadline_s: float = 2.0
    long_ms: list[int] = attrs.Factory(list)


@attrs.frozen
class Spec:
    """What one load process does.

    Parameters
    ----------
    urls : list of str
        Instances.
    token, service : str
        Caller token, and service that is asked.
    kinds : list of Kind
        The mix.
    phases : list of list of float
        Pairs of seconds and arrivals a second.
    start : float
        Wall time in seconds at which to start.
    sessions : int
        How many callers there are.
    retries : int
        How often a caller tries again what was not run.
    seed : int
        Seed of arrivals and choices.
    name : str
        Prefix of the sessions' names.
    closed : bool
        Whether each session waits for its answer before it asks again;
        the rates are then not used.
    """

    urls: list[str]
    token: str
    service: str
    kinds: list[Kind]
    phases: list[list[float]]
    start: float
    sessions: int
    retries: int
    seed: int
    name: str
    closed: bool = False


@attrs.frozen
class Record:
    """One request and what became of it.

    Parameters
    ----------
    at : float
        Seconds from the start to its arrival.
    seconds : float
        From its arrival to the last answer.
    work_class, outcome, reason, served_by, session : str
        What it was, and what it was told.
    stale, long : bool
        Whether it missed a write of its own session, and whether it was
        a straggler.
    tries : int
        Requests that were sent.
    position : int
        Offset that the request's session token asked for, 0 for none.
    """

    at: float
    seconds: float
    work_class: str
    outcome: str
    reason: str
    served_by: str
    session: str
    stale: bool
    long: bool
    tries: int
    position: int


@attrs.define
class Session:
    """One caller's session."""

    name: str
    token: str = ""
    written: int = 0
    acknowledged: int = 0
    busy: bool = False


class Load:
    """Sends requests at their times and records the answers."""

    def __init__(self, spec):
        self._spec = spec
        self._rng = random.Random(spec.seed)
        self._sessions = [
            Session(f"{spec.name}-{n}") for n in range(spec.sessions)
        ]
        self._client = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {spec.token}"},
            trust_env=False,
            limits=httpx.Limits(
                max_connections=None, max_keepalive_connections=200
            ),
        )
        self.records = []

    async def run(self):
        """Send every request and wait for all answers."""
        running = []
        await asyncio.sleep(max(0.0, self._spec.start - time.time()))
        started = asyncio.get_running_loop().time()
        if self._spec.closed:
            running = [self._loop(one, started) for one in self._sessions]
        else:
            async for at in self._paced(started):
                running.append(asyncio.ensure_future(self._one(at, started)))
        await asyncio.gather(*running)
        await self._client.aclose()

    async def _paced(self, started):
        loop = asyncio.get_running_loop()
        for at in self._arrivals():
            await asyncio.sleep(max(0.0, started + at - loop.time()))
            yield at

    async def _loop(self, session, started):
        loop = asyncio.get_running_loop()
        seconds = sum(phase[0] for phase in self._spec.phases)
        kind = self._spec.kinds[0]
        while (at := loop.time() - started) < seconds:
            await self._request(kind, session, at, started)

    def _arrivals(self):
        at = 0.0
        end = 0.0
        for seconds, rate in self._spec.phases:
            end += seconds
            at = max(at, end - seconds)
            while True:
                at += self._rng.expovariate(rate)
                if at >= end:
                    break
                yield at

    def _choose_session(self):
        for _attempt in range(20):
            session = self._rng.choice(self._sessions)
            if not session.busy:
                return session
        return session

    async def _one(self, at, started):
        kinds = self._spec.kinds
        weights = [kind.weight for kind in kinds]
        kind = self._rng.choices(kinds, weights)[0]
        session = self._choose_session()
        session.busy = True
        try:
            await self._request(kind, session, at, started)
        finally:
            session.busy = False

    async def _request(self, kind, session, at, started):
        loop = asyncio.get_running_loop()
        expected = session.acknowledged
        position = offset_of(session.token) if kind.session else 0
        body = self._body(kind, session)
        deadline = started + at + kind.deadline_s
        answer = {"outcome": "unknown", "reason": "http"}
        tries = 0
        while tries <= self._spec.retries and loop.time() < deadline:
            tries += 1
            left = deadline - loop.time()
            body["deadline_ms"] = max(1, int(left * 1000))
            answer, retry_after = await self._send(body, left)
            if answer["outcome"] != "not_run" or not retry_after:
                break
            await asyncio.sleep(retry_after * self._rng.uniform(0.5, 1.5))
        self._learn(kind, session, body, answer)
        spent = loop.time() - started - at
        self.records.append(
            Record(
                at,
                spent,
                kind.work_class,
                answer["outcome"],
                answer.get("reason", ""),
                answer.get("served_by", ""),
                session.name,
                self._is_stale(kind, answer, expected),
                bool(kind.long_ms),
                tries,
                position,
            )
        )

    def _body(self, kind, session):
        sql = kind.sql
        if kind.long_ms:
            sql = f"/* work:{self._rng.randint(*kind.long_ms)} */ {sql}"
        params = [session.name]
        if kind.write:
            session.written += 1
            params.append(session.written)
        body = {"class": kind.work_class, "sql": sql, "params": params}
        if kind.write:
            body["request_id"] = f"{session.name}-{session.written}"
        if kind.session:
            body["session"] = session.token
        return body

    async def _send(self, body, left):
        url = self._rng.choice(self._spec.urls)
        try:
            response = await self._client.post(
                f"{url}/v1/services/{self._spec.service}/statements",
                json=body,
                timeout=left + CALL_MARGIN_S,
            )
        except httpx.HTTPError as exc:
            return {"outcome": "unknown", "reason": type(exc).__name__}, 0.0
        retry_after = float(response.headers.get("Retry-After", 0))
        return response.json(), retry_after

    def _learn(self, kind, session, body, answer):
        if answer["outcome"] != "done" or not kind.session:
            return
        session.token = answer["session"]
        if kind.write:
            number = body["params"][1]
            session.acknowledged = max(session.acknowledged, number)

    def _is_stale(self, kind, answer, expected):
        if kind.write or not kind.session or answer["outcome"] != "done":
            return False
        seen = answer["results"][0]["rows"][0][0] or 0
        return seen < expected


def offset_of(token):
    """Return the highest offset in a session token, 0 for none."""
    if not token:
        return 0
    signed = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    seen = msgspec.msgpack.decode(signed[tokens.SIGNATURE_BYTES :])
    return max((place["offset"] for place in seen.values()), default=0)


def main(path):
    """Run the load that a file describes; write the records beside it."""
    source = pathlib.Path(path)
    spec = msgspec.convert(json.loads(source.read_text()), Spec)
    load = Load(spec)
    asyncio.run(load.run())
    records = msgspec.json.encode([attrs.asdict(r) for r in load.records])
    source.with_suffix(".records").write_bytes(records)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
