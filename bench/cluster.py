"""Starts a whole system as separate processes on loopback."""

import asyncio
import os
import pathlib
import signal
import socket
import ssl
import subprocess
import sys
import tempfile

import attrs
import httpx

from bench import shapes

__all__ = ["Cluster", "TlsFiles"]

HOST = "127.0.0.1"
START_S = 30.0
POLL_S = 0.1
STOP_S = 20.0
SECRET = "not a secret, for trials only"
CALLER_TOKEN = "caller token for trials"
OPERATOR_TOKEN = "operator token for trials"


def free_ports(count):
    """Return ports that nothing listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@attrs.frozen
class TlsFiles:
    """Paths of PEM files that every instance uses."""

    certificate: str
    key: str
    authority: str


@attrs.define
class Instance:
    """An entry instance's places."""

    name: str
    centre: str
    peer_port: int
    port: int
    scheme: str

    @property
    def url(self):
        """Return where callers reach it."""
        return f"{self.scheme}://{HOST}:{self.port}"

    @property
    def word(self):
        """Return it as settings name it."""
        return f"{self.name}@{HOST}:{self.peer_port}@{self.centre}"


class Cluster:
    """All processes of one shape.

    Parameters
    ----------
    shape : Shape
        Sizes and delays.
    baseline : bool
        Whether instances run the simplest policy.
    seed : int
        Seed of the instances' random choices.
    tls : TlsFiles, optional
        For callers and between instances; without it there is no TLS.
    """

    def __init__(self, shape, baseline=False, seed=0, tls=None):
        self.shape = shape
        self.tls = tls
        self.baseline = baseline
        self.seed = seed
        self.processes = {}
        self._directory = tempfile.TemporaryDirectory(prefix="bh-cluster-")
        self.folder = pathlib.Path(self._directory.name)
        self._place()
        self.client = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {CALLER_TOKEN}"},
            trust_env=False,
            verify=self._verification(),
            limits=httpx.Limits(max_connections=None),
        )

    def _verification(self):
        if self.tls is None:
            return False
        return ssl.create_default_context(cafile=self.tls.authority)

    def _tls_settings(self):
        if self.tls is None:
            return "tls = off"
        files = attrs.asdict(self.tls).items()
        return "\n".join(["tls = on", *(f"{k} = {v}" for k, v in files)])

    def _place(self):
        shape = self.shape
        scheme = "https" if self.tls else "http"
        centres = shape.centres
        count = len(centres) * shape.instances_per_centre
        ports = iter(free_ports(1 + 2 * count + shape.groups * len(centres)))
        self.platform_port = next(ports)
        self.instances = [
            Instance(f"{centre}-{n}", centre, next(ports), next(ports), scheme)
            for n in range(1, shape.instances_per_centre + 1)
            for centre in centres
        ]
        self.groups = {}
        self.target_ports = {}
        for number in range(1, shape.groups + 1):
            group = f"{shape.prefix}-{number}"
            # Groups lead in different data centres.
            turn = (number - 1) % len(centres)
            order = centres[turn:] + centres[:turn]
            names = [f"{group}-{centre}" for centre in order]
            self.groups[group] = names
            for name in names:
                self.target_ports[name] = next(ports)

    async def start(self):
        """Start everything and wait until it is ready."""
        self._spawn_platform()
        for group in self.groups:
            for name in self.groups[group]:
                self.spawn_target(group, name)
        await self._wait_listening(self.platform_port)
        await self.put_text(self.text())
        for instance in self.instances:
            self.spawn_instance(instance)
        for instance in self.instances:
            await self.wait_ready(instance)
        await self._wait_primaries()

    def _run(self, name, *words):
        log = open(self.folder / f"{name}.log", "ab")
        environment = dict(os.environ, PYTHONUNBUFFERED="1")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *words],
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()

    def _spawn_platform(self):
        words = []
        for instance in self.instances:
            words += ["--instance", instance.word]
        self._run(
            "platform",
            "balsamhinge.standins",
            "platform",
            f"{HOST}:{self.platform_port}",
            *words,
        )

    def spawn_target(self, group, name):
        """Start one target."""
        words = []
        for other in self.groups[group]:
            port = self.target_ports[other]
            words += ["--place", f"{other}={HOST}:{port}"]
        shape = self.shape
        self._run(
            name,
            "balsamhinge.standins",
            "target",
            name,
            "--primary",
            self.groups[group][0],
            "--connections",
            str(shape.connections),
            "--apply-lag-s",
            str(shape.apply_lag_s),
            "--receive-lag-s",
            str(shape.delay_s),
            "--statement-s",
            str(shape.statement_s),
            *words,
        )

    def spawn_instance(self, instance):
        """Start one entry instance."""
        path = self.folder / f"{instance.name}.ini"
        path.write_text(self._settings(instance), encoding="utf-8")
        self._run(instance.name, "balsamhinge.daemon", str(path))

    def _settings(self, instance):
        seeds = ", ".join(one.word for one in self.instances)
        baseline = "yes" if self.baseline else "no"
        tls = self._tls_settings()
        callers_tls = tls.partition("\nauthority")[0]
        return f"""
[instance]
name = {instance.name}
data_centre = {instance.centre}
seeds = {seeds}
stop_patience_s = 10
seed = {self.seed}
[callers]
address = {HOST}:{instance.port}
token = {CALLER_TOKEN}
{callers_tls}
[operators]
token = {OPERATOR_TOKEN}
[peers]
address = {HOST}:{instance.peer_port}
secret = {SECRET}
{tls}
[platform]
url = http://{HOST}:{self.platform_port}
[targets]
user = balsamhinge
tls = off
[sessions]
key = {SECRET}
[policy]
baseline = {baseline}
probes_per_second = {self.shape.probes_per_second}
shares = {len(self.instances)}
[log]
level = info
"""

    def text(self, leaving=()):
        """Return the operators' text."""
        parts = [shapes.CLASSES]
        for number, (group, names) in enumerate(self.groups.items(), 1):
            parts.append(
                f"[service {self.shape.service}-{number}]\n"
                f"group = {group}\nshutdown = 2028-06-30\n"
            )
            parts.append(f"[group {group}]\ntargets = {', '.join(names)}\n")
            for name in names:
                centre = name.removeprefix(f"{group}-")
                state = "leaving" if name in leaving else "active"
                parts.append(
                    f"[target {name}]\n"
                    f"address = {HOST}:{self.target_ports[name]}\n"
                    f"data_centre = {centre}\n"
                    f"connections = {self.shape.connections}\n"
                    f"slots = {self.shape.slots}\nstate = {state}\n"
                )
        return "\n".join(parts)

    async def put_text(self, text):
        """Put a first text into the platform's store."""
        body = {"text": text, "edit_id": "first", "author": "bench"}
        url = f"http://{HOST}:{self.platform_port}/objects/configuration"
        response = await self.client.put(
            url, json=body, headers={"If-Match": "0"}
        )
        response.raise_for_status()

    async def _wait_listening(self, port):
        async with asyncio.timeout(START_S):
            while True:
                try:
                    _reader, writer = await asyncio.open_connection(HOST, port)
                    writer.close()
                    return
                except OSError:
                    await asyncio.sleep(POLL_S)

    async def wait_ready(self, instance):
        """Wait until an instance is ready."""
        async with asyncio.timeout(START_S):
            while True:
                try:
                    response = await self.client.get(
                        f"{instance.url}/readyz", timeout=1.0
                    )
                    if response.status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await asyncio.sleep(POLL_S)

    async def _wait_primaries(self):
        async with asyncio.timeout(START_S):
            for instance in self.instances:
                while not await self._knows_primaries(instance):
                    await asyncio.sleep(POLL_S)

    async def _knows_primaries(self, instance):
        status = await self.status(instance)
        led = {
            row["group"]
            for row in status["groups"]
            if row["role"] == "primary" and row["term"]
        }
        return led == set(self.groups)

    async def status(self, instance):
        """Return an instance's status page."""
        response = await self.client.get(
            f"{instance.url}/operator/status",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=5.0,
        )
        response.raise_for_status()
        return response.json()

    async def post(self, instance, service, body, path="statements"):
        """Send a caller's request; return its status and answer."""
        response = await self.client.post(
            f"{instance.url}/v1/services/{service}/{path}",
            json=body,
            timeout=60.0,
        )
        return response.status_code, response.json()

    def signal(self, name, number):
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """End a process without warning."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait(STOP_S)

    async def stop(self):
        """End every process that this cluster started."""
        await self.client.aclose()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_S)
        self._directory.cleanup()
