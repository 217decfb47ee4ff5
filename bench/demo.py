"""Shows the whole path as separate processes; exit 0 if all was right."""

import asyncio
import sys
import time

from bench import cluster
from bench import shapes

__all__ = ["main"]

SERVICE = "ladder-1"
GROUP = "ladder-1"
CREATE = "CREATE TABLE IF NOT EXISTS results (id TEXT, points INTEGER)"
INSERT = "INSERT INTO results VALUES ($1, $2)"
SELECT = "SELECT id, points FROM results ORDER BY id"
LEAVE_S = 20.0


class Demo:
    """A write, a roaming read, a killed primary, a drained target."""

    def __init__(self, running):
        self._cluster = running
        self._first = running.instances[0]
        self._other = running.instances[-1]
        self._session = ""
        self._failed = False

    def _say(self, right, text):
        print(("ok    " if right else "WRONG ") + text, flush=True)
        self._failed |= not right

    async def _post(self, instance, work_class, sql, *params):
        body = {"class": work_class, "sql": sql, "params": list(params)}
        body["session"] = self._session
        _code, answer = await self._cluster.post(instance, SERVICE, body)
        self._session = answer.get("session", self._session)
        return answer

    async def run(self):
        """Play all scenes; return the exit code."""
        await self._write_and_read()
        await self._kill_primary()
        await self._drain()
        return 1 if self._failed else 0

    async def _write_and_read(self):
        await self._post(self._first, "submit", CREATE)
        answer = await self._post(self._first, "submit", INSERT, "r1", 3)
        where = f"{self._first.name} ({answer['outcome']})"
        self._say(answer["outcome"] == "done", f"result posted at {where}")
        await self._read("read back", [["r1", 3]])

    async def _read(self, what, expected):
        answer = await self._post(self._other, "standing", SELECT)
        results = answer["results"]
        rows = results[0]["rows"] if results else answer
        self._say(rows == expected, f"{what} at {self._other.name}: {rows}")

    async def _primary(self):
        status = await self._cluster.status(self._other)
        for row in status["groups"]:
            if row["group"] == GROUP and row["role"] == "primary":
                return row["target"]
        return ""

    async def _kill_primary(self):
        primary = await self._primary()
        self._cluster.kill(primary)
        started = time.monotonic()
        answer = await self._post(self._first, "submit", INSERT, "r2", 1)
        spent = time.monotonic() - started
        self._say(
            answer["outcome"] == "done",
            f"{primary} killed, next result acknowledged after {spent:.2f} s",
        )
        await self._read("read back", [["r1", 3], ["r2", 1]])

    async def _drain(self):
        group = "ladder-2"
        leaving = self._cluster.groups[group][0]
        text = self._cluster.text(leaving=[leaving])
        response = await self._cluster.client.put(
            f"{self._first.url}/operator/configuration",
            content=text,
            headers={
                "Authorization": f"Bearer {cluster.OPERATOR_TOKEN}",
                "If-Match": "1",
                "X-Author": "demo",
            },
            timeout=10.0,
        )
        self._say(response.status_code == 200, f"{leaving} asked to leave")
        end = time.monotonic() + LEAVE_S
        row = {}
        while time.monotonic() < end:
            status = await self._cluster.status(self._other)
            row = next(r for r in status["groups"] if r["target"] == leaving)
            if row["role"] == "retired":
                break
            await asyncio.sleep(0.2)
        self._say(row.get("role") == "retired", f"{leaving} has retired")
        body = {"class": "submit", "sql": CREATE}
        _code, answer = await self._cluster.post(self._other, "ladder-2", body)
        self._say(
            answer["outcome"] == "done", "ladder-2 goes on with two targets"
        )


async def play():
    """Run the demo on a cluster of its own."""
    running = cluster.Cluster(shapes.HOWRAH)
    try:
        await running.start()
        return await Demo(running).run()
    finally:
        await running.stop()


def main():
    """Run the demo; return its exit code."""
    return asyncio.run(play())


if __name__ == "__main__":
    sys.exit(main())
