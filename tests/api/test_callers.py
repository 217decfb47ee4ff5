"""Tests of the HTTP interface of an embedded instance."""

import asyncio
import contextlib

import httpx
import testtools

from balsamhinge import ctl
from balsamhinge import embedded
from tests.support import real

PORT_COUNT = 6
FIRST_PORTS = range(21000, 29000, PORT_COUNT)


async def with_instance(use):
    """Call `use` with an HTTP client of an embedded instance and the loop."""
    loop = asyncio.get_running_loop()
    port = next(p for p in FIRST_PORTS if are_free(p))
    instance = embedded.Embedded(port)
    await instance.start()
    client = httpx.AsyncClient(
        base_url=f"http://{real.HOST}:{port}", trust_env=False, timeout=20.0
    )
    try:
        return await use(client, loop)
    finally:
        await client.aclose()
        await instance.stop()


def are_free(first):
    """Return whether `PORT_COUNT` ports from `first` on are free."""
    with contextlib.ExitStack() as stack:
        try:
            for port in range(first, first + PORT_COUNT):
                listener = stack.enter_context(real.socket.socket())
                listener.bind((real.HOST, port))
        except OSError:
            return False
    return True


async def post(client, path, body):
    """Send a request; return the status code and the decoded answer."""
    argument = "json" if isinstance(body, dict) else "content"
    response = await client.post(
        f"/v1/services/ladder/{path}", **{argument: body}
    )
    return response.status_code, response.json()


class CallersTest(testtools.TestCase):
    """One instance serves valid and invalid requests of every kind."""

    def test_requests(self):
        real.run_real(with_instance(self.run_requests))

    async def run_requests(self, client, loop):
        await self.write_and_read(client)
        await self.transaction(client)
        await self.bad_requests(client)
        await self.operators(client)
        await loop.run_in_executor(None, self.command_line, client)

    async def write_and_read(self, client):
        create = "CREATE TABLE results (player, points, proof)"
        body = {"class": "submit", "sql": create}
        self.assertEqual(200, (await post(client, "statements", body))[0])
        body = {
            "class": "submit",
            "request_id": "m1",
            "statements": [
                {
                    "sql": "INSERT INTO results VALUES ($1, $2, $3)",
                    "params": ["asha", n, {"$bytes": "AP8="}],
                }
                for n in (1, 2)
            ],
        }
        for _repeat in range(2):
            code, answer = await post(client, "batches", body)
            self.assertEqual((200, "done"), (code, answer["outcome"]))
            counts = [result["row_count"] for result in answer["results"]]
            self.assertEqual([1, 1], counts)
        body = {
            "class": "standing",
            "sql": "SELECT * FROM results WHERE points > $1",
            "params": [1],
            "session": answer["session"],
        }
        code, answer = await post(client, "statements", body)
        rows = answer["results"][0]["rows"]
        self.assertEqual([["asha", 2, {"$bytes": "AP8="}]], rows)

    async def transaction(self, client):
        code, opened = await post(client, "transactions", {"class": "submit"})
        self.assertEqual(200, code, opened)
        path = f"transactions/{opened['transaction']}"
        body = {"class": "submit", "sql": "DELETE FROM results"}
        code, answer = await post(client, f"{path}/statements", body)
        self.assertEqual(2, answer["results"][0]["row_count"])
        body = {"class": "submit"}
        code, answer = await post(client, f"{path}/commit", body)
        self.assertEqual((200, "done"), (code, answer["outcome"]))
        code, answer = await post(client, f"{path}/commit", body)
        self.assertEqual((200, "done"), (code, answer["outcome"]))

    async def bad_requests(self, client):
        sql = {"class": "standing", "sql": "SELECT 1"}
        cases = [
            (b"{", 400, "truncated"),
            ({"sql": "SELECT 1"}, 400, "class"),
            ({"class": "standing"}, 400, "missing"),
            (sql | {"params": 5}, 400, "$.params"),
            (sql | {"params": [{}]}, 400, "params[0]"),
            (sql | {"session": "forged"}, 400, "$.session"),
            (sql | {"deadline_ms": -1}, 400, "deadline_ms"),
            (sql | {"sql": "/* */ COMMIT"}, 400, "transactions interface"),
            (sql | {"sql": "SELEC 1"}, 422, "syntax"),
            (sql | {"class": "none"}, 404, "unknown class"),
            (b" " * (1024 * 1024 + 1), 413, "larger"),
        ]
        for body, code, part in cases:
            actual_code, answer = await post(client, "statements", body)
            self.assertEqual(code, actual_code, answer)
            self.assertEqual("not_run", answer["outcome"])
            self.assertIn(part, answer["detail"])
        response = await client.post("/v1/services/none/statements", json=sql)
        self.assertEqual(404, response.status_code)
        code, answer = await post(client, "statements", sql)
        self.assertEqual((200, "done"), (code, answer["outcome"]))

    async def operators(self, client):
        for path in ("healthz", "readyz"):
            response = await client.get(f"/{path}")
            self.assertEqual(200, response.status_code)
        response = await client.get("/metrics")
        self.assertIn('service="ladder",work_class="submit"', response.text)
        response = await client.get("/operator/status")
        roles = [row["role"] for row in response.json()["groups"]]
        self.assertEqual(["primary", "replica", "replica"], roles)

    def command_line(self, client):
        url = f"--url={client.base_url}".rstrip("/")
        cases = [
            ((url, "status"), ctl.EXIT_DONE),
            ((url, "service", "status"), ctl.EXIT_DONE),
            ((url, "--format=json", "config", "show"), ctl.EXIT_DONE),
            ((url, "config", "history"), ctl.EXIT_DONE),
            ((url, "session", "inspect", "forged"), ctl.EXIT_FAILED),
            ((url, "target", "drain", "none"), ctl.EXIT_FINDINGS),
            ((url, "promote", "none"), ctl.EXIT_FAILED),
            ((url, "promote", "ladder", "second"), ctl.EXIT_DONE),
            ((url, "target", "drain", "first"), ctl.EXIT_DONE),
            (("--url=http://127.0.0.1:9", "status"), ctl.EXIT_UNREACHABLE),
        ]
        for arguments, code in cases:
            self.assertEqual(code, ctl.main(arguments), arguments)
        rows = ctl.Client(url.partition("=")[2], "").call("GET", "status")
        roles = {row["target"]: row["role"] for row in rows["groups"]}
        self.assertEqual("primary", roles["second"])
        self.assertEqual("retired", roles["first"])
