"""Tests with real processes that are killed, suspended and stopped."""

import asyncio
import pathlib
import shutil
import signal
import tempfile

import testtools
import trustme

from bench import cluster as cluster_module
from bench import shapes
from tests.support import real

CREATE = "CREATE TABLE results (id TEXT)"
INSERT = "INSERT INTO results VALUES ($1)"
SELECT = "SELECT id FROM results ORDER BY id"
DEADLINE_MS = 20_000
CALLERS = 8


def write_body(result):
    """Return the body of a request that inserts a result."""
    return {
        "class": "submit",
        "sql": INSERT,
        "params": [result],
        "request_id": result,
        "deadline_ms": DEADLINE_MS,
    }


class ProcessesTest(testtools.TestCase):
    """A cluster of the Howrah shape with TLS survives several failures."""

    def test_failures_lose_no_request(self):
        real.run_real(self.run_scenario())

    async def run_scenario(self):
        self.cluster = cluster_module.Cluster(
            shapes.HOWRAH, tls=self.make_files()
        )
        try:
            await self.cluster.start()
            body = {"class": "submit", "sql": CREATE}
            for service in self.cluster.groups:
                await self.post(0, body, service)
            await self.check_suspended_primary()
            await self.check_killed_instance()
            await self.check_repeated_stop()
        finally:
            await self.cluster.stop()

    def make_files(self):
        """Create a certificate authority; return the paths of TLS files."""
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        authority = trustme.CA()
        issued = authority.issue_cert(real.HOST)
        paths = [folder / name for name in ("cert", "key", "authority")]
        issued.cert_chain_pems[0].write_to_path(paths[0])
        issued.private_key_pem.write_to_path(paths[1])
        authority.cert_pem.write_to_path(paths[2])
        return cluster_module.TlsFiles(*map(str, paths))

    async def post(self, number, body, service="ladder-1"):
        instance = self.cluster.instances[number]
        _code, answer = await self.cluster.post(instance, service, body)
        return answer

    async def results(self, service):
        body = {
            "class": "standing",
            "sql": SELECT,
            "deadline_ms": DEADLINE_MS,
        }
        answer = await self.post(-1, body, service)
        return [row[0] for row in answer["results"][0]["rows"]]

    async def check_suspended_primary(self):
        """Check that a suspended primary loses no acknowledged write.

        After it resumes, it must acknowledge no write of its own.
        """
        primary = self.cluster.groups["ladder-1"][0]
        writing = [
            asyncio.ensure_future(self.post(n % 4, write_body(f"f{n}")))
            for n in range(CALLERS)
        ]
        await asyncio.sleep(0)
        self.cluster.signal(primary, signal.SIGSTOP)
        answers = await asyncio.gather(*writing)
        self.cluster.signal(primary, signal.SIGCONT)
        outcomes = {answer["outcome"] for answer in answers}
        self.assertEqual({"done"}, outcomes, answers)
        stored = await self.results("ladder-1")
        self.assertEqual([f"f{n}" for n in range(CALLERS)], stored)

    async def check_killed_instance(self):
        """Check that a request retried after a crash is executed once."""
        writing = asyncio.ensure_future(
            self.post(0, write_body("k1"), "ladder-2")
        )
        await asyncio.sleep(0)
        self.cluster.kill(self.cluster.instances[0].name)
        await asyncio.gather(writing, return_exceptions=True)
        answer = await self.post(1, write_body("k1"), "ladder-2")
        self.assertEqual("done", answer["outcome"], answer)
        self.assertEqual(["k1"], await self.results("ladder-2"))

    async def check_repeated_stop(self):
        """Check that two SIGTERM under load abort no accepted request."""
        name = self.cluster.instances[1].name
        slow = "/* work:50 */ " + INSERT
        writing = []
        for n in range(CALLERS):
            body = write_body(f"s{n}") | {"sql": slow}
            writing.append(asyncio.ensure_future(self.post(1, body)))
        done, _pending = await asyncio.wait(
            writing, return_when=asyncio.FIRST_COMPLETED
        )
        for _signal in range(2):
            self.cluster.signal(name, signal.SIGTERM)
        answers = await asyncio.gather(*writing)
        code = await asyncio.to_thread(self.cluster.processes[name].wait)
        self.assertEqual(0, code)
        self.assertTrue(done)
        outcomes = {answer["outcome"] for answer in answers}
        self.assertLessEqual(outcomes, {"done", "not_run"}, answers)
        stored = await self.results("ladder-1")
        for n, answer in enumerate(answers):
            self.assertEqual(answer["outcome"] == "done", f"s{n}" in stored)
