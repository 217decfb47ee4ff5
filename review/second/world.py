"""Stand-ins for the platform, the backends and the clients of a case.

All of them live in the process of the case and speak what PROTOCOL.md
says, on loopback addresses. The instances under test are processes of
their own, started with the command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BORN_MS = 1700000000000


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, *words):
        """Write one line."""
        print(f"{self.now():9.4f}", *words, file=self._file, flush=True)

    def say(self, *words):
        """Write one line, also to the terminal."""
        self.add(*words)
        print(f"{self.now():9.4f}", *words, flush=True)


class Door:
    """A way to the store; what passes it may be held up.

    While it is shut, nothing that was sent arrives and no answer leaves,
    as behind a partition. Nothing is reset.
    """

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()
        # Whether each call is turned away with 503; nothing is done then.
        self.busy = False

    def shut(self):
        """Hold up all that comes."""
        self._open.clear()

    def open(self):
        """Let all pass that still waits."""
        self._open.set()

    async def passed(self):
        """Wait while the door is shut."""
        await self._open.wait()


class Store:
    """The platform's metadata store, and its promotion call."""

    def __init__(self, record):
        self._record = record
        self.revision = 10
        self.kinds = {}
        self._history = []
        self._changed = asyncio.Event()
        self.promote = None
        self._servers = []

    async def listen(self, door):
        """Serve on a free port, behind a door; return the address."""
        server = await asyncio.start_server(
            lambda r, w: self._serve(r, w, door), HOST, 0
        )
        self._servers.append(server)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind, name, spec):
        """Write an object without a condition, as the operator does."""
        held = self.kinds.setdefault(kind, {})
        if name in held and held[name]["spec"] == spec:
            return held[name]
        self.revision += 1
        created = held[name]["meta"]["created"] if name in held else 1
        made = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        held[name] = made
        self._note(kind, made, False)
        return made

    def delete(self, kind, name):
        """Remove an object."""
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            self._note(kind, gone, True)

    def _note(self, kind, made, deleted):
        self._history.append((self.revision, kind, made, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer, door):
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {
                    k.lower(): v.strip()
                    for k, _, v in (x.partition(":") for x in lines[1:] if x)
                }
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                await door.passed()
                if reader.at_eof() or writer.is_closing():
                    break
                content = json.loads(body) if body else None
                status, answer = 503, {}
                if not door.busy:
                    status, answer = await self._answer(
                        method, target, content, headers
                    )
                if door.busy:
                    # A watch that was waiting is cut off.
                    status, answer = 503, {}
                await door.passed()
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, content, headers):
        path = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(path.query))
        if path.path == "/promotion":
            holder = headers.get("balsamhinge-duty-holder")
            fence = headers.get("balsamhinge-fencing-token")
            self._record.say(
                "promotion of", content["id"], "by", holder, "fence", fence
            )
            return self.promote(content["service_name"], content["id"])
        parts = [urllib.parse.unquote(p) for p in path.path.split("/")[3:]]
        held = self.kinds.setdefault(parts[0], {})
        if method == "GET" and "watch" in query:
            return await self._watch(parts[0], query)
        if method == "GET" and len(parts) == 1:
            names = sorted(n for n in held if n > query.get("after", ""))
            return 200, {
                "items": [held[name] for name in names[:500]],
                "more": len(names) > 500,
                "as_of": self.revision,
            }
        if method == "GET":
            found = held.get(parts[1])
            return (200, found) if found else (404, {})
        if method == "POST":
            name = content["meta"]["name"]
            if name in held:
                return 409, held[name]
            self._record.add("store: create", parts[0], name, content["spec"])
            return 201, self.put(parts[0], name, content["spec"])
        found = held.get(parts[1])
        if found is None:
            return 404, {}
        asked = query.get("revision")
        if content is not None:
            asked = content["meta"].get("revision", asked)
        if asked is not None and int(asked) != found["meta"]["revision"]:
            return 409, found
        self._record.add(
            "store:", method, *parts, content["spec"] if content else ""
        )
        if method == "PUT":
            return 200, self.put(parts[0], parts[1], content["spec"])
        self.delete(parts[0], parts[1])
        return 200, {}

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": made, "deleted": deleted}
                for revision, of, made, deleted in self._history
                if of == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()


class Backend:
    """One backend of a service."""

    def __init__(self, service, name, zone, slots, queue):
        self.service = service
        self.name = name
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.log = []
        self.applied = 0
        self.state = "ready"
        self.deaf = False
        self.up = True
        self.slots = slots
        self.queue = queue
        self.busy = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._writers = set()
        self._server = None
        self.port = 0
        self.sequence = itertools.count(1)
        self.heartbeats = itertools.count(1)

    @property
    def received(self):
        """Return the position of the end of the log, as (term, number)."""
        return self.log[-1][0] if self.log else (1, 0)

    @property
    def position(self):
        """Return the position up to which the log is applied."""
        return self.log[self.applied - 1][0] if self.applied else (1, 0)

    async def start(self):
        """Listen, on the port that it had."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.up = True

    def crash(self):
        """End at once, with all connections; the log is kept."""
        self.up = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Return what it says of itself in the store."""
        return {
            "service_name": self.service.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": self.role,
            "born": BORN_MS,
            "seq_no": next(self.heartbeats),
        }

    def holds(self, position):
        """Return whether the log has an entry."""
        return any(entry[0] == position for entry in self.log)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        session = BackendSession(self, writer)
        try:
            while line := await reader.readline():
                if not line.endswith(b"\r\n"):
                    break
                if not await session.handle(line[:-2].decode()):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def work(self, seconds):
        """Occupy a slot; return False if there is no room for it."""
        if self._waiting >= self.queue and self._free.locked():
            return False
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self.busy += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.busy -= 1
            self._free.release()
        return True


class BackendSession:
    """One connection to a backend."""

    def __init__(self, backend, writer):
        self.backend = backend
        self._writer = writer
        self._state = "I"
        self._opened = False
        self._read_only = False
        self._writes = []
        self._values = {}
        self._prepared = {}

    def _send(self, *lines):
        if self.backend.up:
            self._writer.write("".join(x + "\r\n" for x in lines).encode())

    def _ready(self):
        term, number = self.backend.position
        return f"READY {self._state} {term}.{number}"

    async def handle(self, line):
        """Handle one message; return whether to go on."""
        word, _, rest = line.partition(" ")
        backend = self.backend
        if word == "CONNECT":
            fields = rest.split(" ")
            wrong = fields[0] != backend.service.name or (
                len(fields) > 2 and fields[2] != backend.name
            )
            if wrong:
                self._send(f"ERROR WRONGNODE {backend.name}")
                return False
            if len(backend._writers) > backend.service.max_conns:
                self._send(f"ERROR CONNLIMIT {backend.name}")
                return False
            await asyncio.sleep(backend.service.connect_s)
            self._opened = True
            self._send(self._ready())
            return True
        if word != "QUERY" or not self._opened:
            return False
        request, _, text = rest.partition(" ")
        backend.service.on_statement(backend, request, text)
        code, rows, signature = await self._run(request, text)
        if not backend.up:
            return False
        if code:
            if self._state == "T":
                self._state = "E"
                self._writes = []
            self._send(f"ERROR {code} {backend.name}", self._ready())
        else:
            self._send(
                *(f"DATA {row}" for row in rows),
                f"COMPLETE {signature}",
                self._ready(),
            )
        return True

    def _sign(self, request, text):
        backend = self.backend
        signature = f"{backend.name}.{next(backend.sequence)}"
        backend.service.record.add(
            "run", backend.name, request, text, "signature", signature
        )
        return signature

    async def _run(self, request, text):
        """Run a statement; return the code, the rows and the signature."""
        backend = self.backend
        service = backend.service
        if text.startswith("WAITPOS "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            if backend.position < (int(term), int(number)):
                return "LAGGING", [], "-"
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return "MALFORMED", [], "-"
        leads = backend.role == "primary"
        match word:
            case "STATUS":
                if not await backend.work(service.status_s):
                    service.record.add("status", backend.name, "BUSY")
                    return "BUSY", [], "-"
                service.record.add(
                    "status", backend.name, backend.role, backend.received
                )
                term, number = backend.received
                return (
                    "",
                    [
                        f"{backend.role} {backend.term} {term}.{number} 0 0 "
                        f"{backend.busy} {len(backend._writers)}"
                    ],
                    "-",
                )
            case "STEPDOWN":
                if int(rest) > backend.term:
                    service.step_down(backend)
                return "", [], "-"
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
                return "", [], "-"
            case "RESET":
                self._values, self._prepared = {}, {}
                return "", [], "-"
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                self._prepared[name] = shape
                return "", [], "-"
            case "CLOSE":
                self._prepared.pop(rest, None)
                return "", [], "-"
            case "BEGIN":
                if rest != "READ" and not leads:
                    return "READONLY", [], "-"
                self._read_only = rest == "READ"
                self._state, self._writes = "T", []
                return "", [], "-"
            case "ROLLBACK":
                self._state, self._writes = "I", []
                return "", [], "-"
            case "COMMIT":
                if self._state == "E":
                    self._state, self._writes = "I", []
                    return "ABORTED", [], "-"
                return await self._commit(request, text)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return "UNKNOWN", [], "-"
            word = self._prepared[name].split(" ")[0]
        if word == "READ":
            if not await backend.work(service.read_s):
                return "BUSY", [], "-"
            return (
                "",
                [service.value(backend, rest)],
                self._sign(request, text),
            )
        if word == "WRITE":
            if not leads:
                return "READONLY", [], "-"
            item, _, data = rest.partition(" ")
            if self._state == "T":
                if not await backend.work(service.write_s):
                    return "BUSY", [], "-"
                self._writes.append((item, data))
                return "", [], self._sign(request, text)
            return await self._commit(request, text, [(item, data)])
        return "MALFORMED", [], "-"

    async def _commit(self, request, text, writes=None):
        backend = self.backend
        writes = self._writes if writes is None else writes
        if not await backend.work(backend.service.write_s):
            return "BUSY", [], "-"
        in_transaction = self._state == "T"
        if writes and backend.role != "primary":
            return "READONLY", [], "-"
        signature = self._sign(request, text)
        if writes:
            position = backend.service.append(backend, request, writes)
            backend.service.record.add(
                "committed", backend.name, position, request, writes
            )
            await backend.service.acknowledged(backend, position)
        if in_transaction:
            self._state, self._writes = "I", []
        return "", [], signature


class Service:
    """A primary and its replicas."""

    def __init__(self, record, store, name, zones, **settings):
        self.record = record
        self._store = store
        self.name = name
        self.sync_replicas = settings.get("sync_replicas", 0)
        self.max_conns = settings.get("max_conns", 23)
        self.connect_s = settings.get("connect_s", 0.012)
        self.read_s = settings.get("read_s", 0.026)
        self.write_s = settings.get("write_s", 0.005)
        self.status_s = settings.get("status_s", 0.001)
        self.lag_s = settings.get("lag_s", 0.02)
        self.promote_s = settings.get("promote_s", 0.3)
        self.heartbeat_s = settings.get("heartbeat_s", 1.2)
        slots = settings.get("slots", 3)
        queue = settings.get("queue", 24)
        self.backends = [
            Backend(self, f"i-{name}{n}", zone, slots, queue)
            for n, zone in enumerate(zones, 1)
        ]
        self.backends[0].role = "primary"
        self.promoted = asyncio.Event()
        # Called with the backend, the id and the text of each statement.
        self.on_statement = lambda backend, request, text: None
        # Called with the backend that begins to lead.
        self.on_promotion = lambda backend: None

    def of(self, name):
        """Return a backend, or None."""
        return next((b for b in self.backends if b.name == name), None)

    @property
    def primary(self):
        """Return the backend that leads the newest term."""
        leading = [b for b in self.backends if b.role == "primary"]
        return max(leading, key=lambda b: b.term, default=None)

    async def start(self):
        """Start all backends, which write to the store from now on."""
        for backend in self.backends:
            await backend.start()
            self.report(backend)
        self._tasks = [
            asyncio.ensure_future(self._beat(b)) for b in self.backends
        ]

    async def add(self, name, zone, port=0, log=()):
        """Start another replica, which gets the log; return it."""
        first = self.backends[0]
        backend = Backend(self, name, zone, first.slots, first.queue)
        backend.port = port
        backend.log = list(log)
        backend.applied = len(backend.log)
        await backend.start()
        self.backends.append(backend)
        self.report(backend)
        if self.primary is not None:
            self.replicate(self.primary)
        self._tasks.append(asyncio.ensure_future(self._beat(backend)))
        return backend

    def end(self, backend):
        """End a backend for good, as planned."""
        backend.crash()
        self.backends.remove(backend)
        self._store.delete("servers", backend.name)

    async def _beat(self, backend):
        missed = 0
        while True:
            await asyncio.sleep(self.heartbeat_s)
            missed = 0 if backend.up else missed + 1
            if backend.up and backend in self.backends:
                self.report(backend)
            elif missed == 3:
                self._store.delete("servers", backend.name)

    def report(self, backend):
        """Write a backend's entry to the store."""
        self._store.put("servers", backend.name, backend.entry())

    def value(self, backend, item):
        """Return what an item holds at a backend."""
        for _position, _request, writes in reversed(
            backend.log[: backend.applied]
        ):
            for written, data in reversed(writes):
                if written == item:
                    return data
        return "-"

    def append(self, primary, request, writes):
        """Commit writes at a primary; return the position."""
        position = (primary.term, primary.received[1] + 1)
        primary.log.append((position, request, list(writes)))
        primary.applied = len(primary.log)
        self.replicate(primary)
        return position

    def replicate(self, primary):
        """Send the log to the replicas."""
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            if backend is not primary:
                loop.call_later(0.002, self._receive, backend, primary)

    def _receive(self, backend, primary):
        reached = backend.up and primary.up and not backend.deaf
        if not reached or backend.role == "primary":
            return
        if backend.term > primary.term:
            return
        common = 0
        for mine, theirs in zip(backend.log, primary.log, strict=False):
            if mine[0] != theirs[0]:
                break
            common += 1
        backend.log = backend.log[:common] + primary.log[common:]
        backend.applied = min(backend.applied, len(backend.log))
        backend.term = primary.term
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._apply, backend, len(backend.log))

    @staticmethod
    def _apply(backend, length):
        backend.applied = max(backend.applied, min(length, len(backend.log)))

    async def acknowledged(self, primary, position):
        """Wait until a commit may be acknowledged."""
        while self.sync_replicas:
            received = sum(
                b.holds(position) for b in self.backends if b is not primary
            )
            if received >= self.sync_replicas:
                return
            await asyncio.sleep(0.002)

    def ask_promotion(self, name):
        """Answer a promotion call for a backend."""
        chosen = self.of(name)
        if chosen is None or not chosen.up:
            return 409, {}
        if chosen is self.primary:
            return 200, {}
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_s, self._promote, chosen)
        return 200, {}

    def _promote(self, chosen):
        if not chosen.up:
            return
        chosen.term = max(b.term for b in self.backends) + 1
        chosen.role = "primary"
        chosen.applied = len(chosen.log)
        self.record.say(
            "leads", chosen.name, "term", chosen.term, "log", chosen.received
        )
        self.on_promotion(chosen)
        self.report(chosen)
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            if backend is not chosen and backend.role == "primary":
                loop.call_later(1.0, self._follow, backend)
        self.replicate(chosen)

    def _follow(self, backend):
        if backend.up and backend.term < self.primary.term:
            self.step_down(backend)

    def step_down(self, backend):
        """Make an old primary a replica of the newest one."""
        if backend is self.primary:
            return
        backend.role = "replica"
        self.report(backend)
        self.replicate(self.primary)


class Client:
    """A session of a client."""

    numbers = itertools.count(1)

    def __init__(self, record, address, database):
        self.record = record
        self.address = address
        self.database = database
        self.name = f"c{next(self.numbers)}"
        self._reader = self._writer = None

    async def open(self):
        """Connect; return whether the session was accepted."""
        host, _, port = self.address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        lines = await self._exchange(f"CONNECT {self.database} {self.name}")
        return bool(lines) and lines[-1].startswith("READY")

    async def _exchange(self, line, timeout_s=5.0):
        self._writer.write(line.encode() + b"\r\n")
        lines = []
        async with asyncio.timeout(timeout_s):
            while data := await self._reader.readline():
                lines.append(data.decode().removesuffix("\r\n"))
                if lines[-1].startswith("READY"):
                    return lines
        return lines

    @staticmethod
    def next_id():
        """Return the id of a new request."""
        return f"{random.getrandbits(64):016x}"

    async def query(self, text, request, timeout_s=5.0):
        """Send a statement; return the lines of the answer.

        They are empty without an answer.
        """
        self.record.add("sent", self.name, request, text)
        try:
            lines = await self._exchange(f"QUERY {request} {text}", timeout_s)
        except (ConnectionError, TimeoutError, OSError):
            lines = []
        self.record.add("answered", self.name, request, lines)
        return lines

    def close(self):
        """End the session."""
        if self._writer is not None:
            self._writer.close()


def succeeded(lines):
    """Return whether an answer reports success."""
    return any(line.startswith("COMPLETE") for line in lines)


def code_of(lines):
    """Return the code of an ERROR, or an empty string."""
    for line in lines:
        if line.startswith("ERROR "):
            return line.split(" ")[1]
    return ""


class Instances:
    """The processes of the system under test."""

    def __init__(self, record, folder, zones):
        self._record = record
        self._folder = pathlib.Path(folder)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["instance"]["run"].split(" ")
        self.zones = zones
        self.names = [f"front-{z}-{n}" for n, z in enumerate(zones, 1)]
        self.hosts = [f"127.0.7.{n}" for n in range(1, len(zones) + 1)]
        self._peers, self._stream, self._front, self._ready = free_ports(
            self.hosts, 4
        )
        self.processes = {}
        self.exits = []

    def front(self, index):
        """Return the address for clients of an instance."""
        return f"{self.hosts[index]}:{self._front}"

    def start(self, index, store, promotion, grace_s=6):
        """Start an instance."""
        host, name = self.hosts[index], self.names[index]
        settings = self._folder / f"{name}.ini"
        settings.write_text(
            f"[instance]\nname = {name}\n"
            f"data_centre = {self.zones[index]}\n"
            f"data_centres = {','.join(dict.fromkeys(self.zones))}\n"
            f"grace_s = {grace_s}\n\n"
            f"[callers]\naddress = {host}:{self._front}\n\n"
            f"[readiness]\naddress = {host}:{self._ready}\n\n"
            f"[peers]\naddress = {host}:{self._peers}\n"
            f"stream_port = {self._stream}\n\n"
            f"[platform]\nstore = {store}\npromotion = {promotion}\n\n"
            "[customers]\nstrict_revocation =\nrevocation_ms =\n"
            "limit_window_s =\nlimit_overage =\nlimit_slack =\n\n"
            "[targets]\nqueue = first_come\n\n[log]\nlevel = info\n"
        )
        words = [
            str(settings) if word.endswith("node.json") else word
            for word in self._command
        ]
        words[0] = sys.executable if words[0] == "python3" else words[0]
        log = open(self._folder / f"{name}.log", "ab")
        self.processes[index] = subprocess.Popen(
            words,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "BALSAMHINGE_NODE_FILE": str(settings),
            },
        )
        self._record.say("start", name)

    async def ready(self, index):
        """Return whether an instance reports itself ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.hosts[index], self._ready
            )
        except OSError:
            return False
        writer.write(b"GET /balsamhinge/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            async with asyncio.timeout(1.0):
                line = await reader.readline()
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    async def all_ready(self, timeout_s):
        """Wait until all instances are ready; return whether they are."""
        until = time.monotonic() + timeout_s
        for index in self.processes:
            while not await self.ready(index):
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def log(self, index):
        """Return the log of an instance."""
        path = self._folder / f"{self.names[index]}.log"
        return path.read_text(errors="replace")

    def stop(self):
        """End all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def free_ports(hosts, count):
    """Return ports that are free at all of some addresses."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def configuration(version, service, **route):
    """Return a configuration with a route of each type."""
    routes = [
        {
            "name": f"r-{database}",
            "database": database,
            "path_prefix": "/",
            "route_type": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 250,
            "priority": priority,
            "service_name": service.name,
            "max_attempts": 2,
            "max_staleness_ms": staleness_ms,
        }
        | route
        for database, kind, timeout_ms, priority, staleness_ms in (
            ("posts", "primary", 800, 1, 0),
            ("ranks", "bounded_staleness", 2000, 2, 1500),
            ("fixtures", "read_your_writes", 800, 2, 2500),
        )
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service.name,
                "health_path": "/health",
                "max_conns": service.max_conns,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": service.sync_replicas,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tx_idle_ms": 3000,
        },
    }


class World:
    """A small deployment: store, one service, instances."""

    def __init__(self, folder, zones, **settings):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.store = Store(self.record)
        self.service = Service(
            self.record, self.store, "huvo11a", zones[:3], **settings
        )
        self.store.promote = lambda _service, name: self.service.ask_promotion(
            name
        )
        self._temporary = tempfile.TemporaryDirectory()
        self.instances = Instances(self.record, self._temporary.name, zones)
        self.doors = [Door() for _ in zones]
        self._count = len(zones) - settings.get("spare", 0)

    async def start(self):
        """Start everything; return whether all instances become ready."""
        await self.service.start()
        self.store.put("config", "main", configuration(7, self.service))
        self.promotion = await self.store.listen(Door())
        self.store_addresses = [
            await self.store.listen(door) for door in self.doors
        ]
        for index in range(self._count):
            self.start_instance(index)
        return await self.instances.all_ready(20.0)

    def start_instance(self, index):
        """Start an instance."""
        self.instances.start(
            index, self.store_addresses[index], self.promotion
        )

    @property
    def holder(self):
        """Return the index of the instance that holds the duty."""
        duty = self.store.kinds["leaders"]["duty"]["spec"]
        return self.instances.names.index(duty["holder"])

    def client(self, index, database):
        """Return a client of an instance."""
        return Client(self.record, self.instances.front(index), database)

    def stop(self):
        """End all processes, and keep no files but the record."""
        self.instances.stop()
        if "KEEP_LOGS" in os.environ:
            for index, name in enumerate(self.instances.names):
                path = pathlib.Path(os.environ["KEEP_LOGS"]) / f"{name}.log"
                path.write_text(self.instances.log(index))
        self._temporary.cleanup()


def run(scenario, folder, zones, limit_s=110.0, **settings):
    """Run a case and exit: 1 if the rule was broken, 0 if it held.

    Parameters
    ----------
    scenario : callable
        Coroutine function of the `World` and of whether there is trouble;
        returns what broke the rule, None if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(folder, zones, **settings)
        loop = asyncio.get_running_loop()
        # All processes are ended also if the case is stopped.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                if not await world.start():
                    world.record.say("the instances did not become ready")
                    return 2
                broken = await scenario(world, trouble)
        except TimeoutError:
            world.record.say("the case took too long")
            return 2
        except asyncio.CancelledError:
            world.record.say("the case was stopped")
            return 2
        finally:
            world.stop()
        if broken is None:
            world.record.say("RESULT: the case could not run")
            return 2
        for one in broken[:5]:
            world.record.say("BROKEN:", one)
        world.record.say(
            "RESULT:", f"broken {len(broken)} times" if broken else "held"
        )
        return 1 if broken else 0

    try:
        code = asyncio.run(main())
    except Exception as exc:
        print("the case could not run:", repr(exc), flush=True)
        code = 2
    sys.exit(code)
