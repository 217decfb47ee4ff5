"""A small deployment on loopback addresses, for the scripts of the review.

The store, the promotion call, the targets and the callers are stand-ins that
follow PROTOCOL.md; the instances are the project's own program, started with
the command of the deploy file.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
STORE_PATH = "/balsamhinge/objects"
# As the pages tell: an answer of the store, work of a statement, a new
# connection, the way of a commit to a replica, a promotion.
STORE_ANSWER_S = 0.004
WORK_S = 0.005
STATUS_S = 0.0005
SLOTS = 3
HANDSHAKE_S = 0.012
REPLICATION_S = 0.02
PROMOTE_S = 0.3
# An old primary goes on until a second after it can reach the new one.
OLD_PRIMARY_S = 1.0
GRACE_S = 6
DRAIN_S = 7.0
HISTORY = 4000


class Record:
    """What was sent, answered and run; written to `record.txt`."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def note(self, event, /, **fields):
        """Write one line, and return its time."""
        at = self.now()
        pairs = " ".join(f"{key}={value!r}" for key, value in fields.items())
        self._file.write(f"{at:9.4f} {event} {pairs}\n")
        self._file.flush()
        return at

    def close(self):
        """Close the file."""
        self._file.close()


async def serve_http(handle, host="127.0.0.1"):
    """Serve HTTP/1.1; return the server and its port."""

    async def serve(reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, ValueError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                status, content = await handle(method, target, headers, body)
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, host, 0, limit=2**21)
    return server, server.sockets[0].getsockname()[1]


async def read_line(reader):
    """Return a message up to its CR LF; b"" at the end of the stream."""
    try:
        return await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return b""


class Store:
    """The platform's store: linearizable, with watches."""

    def __init__(self, record):
        self._record = record
        self._objects = collections.defaultdict(dict)
        self._events = collections.deque(maxlen=HISTORY)
        self._changed = asyncio.Event()
        self.revision = 10
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server, port = await serve_http(self._handle)
        self.address = f"127.0.0.1:{port}"
        return server

    def get(self, kind, name):
        """Return the `spec` of an object, or None."""
        found = self._objects[kind].get(name)
        return found and found["spec"]

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(self._objects[kind])

    def put(self, kind, name, spec):
        """Write an object as the operator or a target does."""
        if self.get(kind, name) == spec:
            return
        self._write(kind, name, spec)
        self._record.note("store_put", kind=kind, name=name, spec=spec)

    def remove(self, kind, name):
        """Remove an object as the platform does."""
        gone = self._objects[kind].pop(name)
        self._add_event(kind, gone, True)
        self._record.note("store_removed", kind=kind, name=name)

    def _write(self, kind, name, spec):
        earlier = self._objects[kind].get(name)
        created = earlier["meta"]["created"] if earlier else self.revision
        written = {
            "meta": {
                "name": name,
                "revision": 0,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = written
        self._add_event(kind, written, False)
        return written

    def _add_event(self, kind, written, deleted):
        self.revision += 1
        written["meta"]["revision"] = self.revision
        event = {"object": written, "deleted": deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, target, _headers, body):
        await asyncio.sleep(STORE_ANSWER_S / 2)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        words = parts.path.removeprefix(STORE_PATH + "/").split("/")
        kind = words[0]
        name = urllib.parse.unquote(words[1]) if len(words) > 1 else ""
        content = json.loads(body or b"null")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        answer = self._execute(method, kind, name, query, content)
        if method != "GET":
            self._record.note(
                "store", method=method, path=target, body=content, got=answer
            )
        await asyncio.sleep(STORE_ANSWER_S / 2)
        return answer

    async def _watch(self, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for revision, of_kind, event in self._events
                if revision > after and of_kind == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _execute(self, method, kind, name, query, content):
        objects = self._objects[kind]
        found = objects.get(name)
        if method == "GET" and not name:
            after = query.get("after", "")
            items = [objects[n] for n in sorted(objects) if n > after]
            return 200, {
                "items": items[:500],
                "more": len(items) > 500,
                "as_of": self.revision,
            }
        if method == "POST":
            name = content["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, dict(self._write(kind, name, content["spec"]))
        if found is None:
            return 404, None
        if method == "GET":
            return 200, found
        given = (
            query.get("revision")
            if method == "DELETE"
            else content["meta"].get("revision")
        )
        if given is not None and int(given) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            del objects[name]
            self._add_event(kind, dict(found, meta=dict(found["meta"])), True)
            return 200, {}
        if found["spec"] == content["spec"]:
            return 200, found
        return 200, dict(self._write(kind, name, content["spec"]))


class Link:
    """Forwards connections, or cuts them.

    While it is cut, bytes of open connections wait, as their senders would
    send them again. A connection that is opened meanwhile gets no answer at
    any time, as its first packet is lost.
    """

    def __init__(self, to):
        self._to = to
        self.passes = asyncio.Event()
        self.passes.set()

    async def start(self, host, port):
        """Listen; return the port."""
        server = await asyncio.start_server(self._serve, host, port)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        if not self.passes.is_set():
            with contextlib.suppress(OSError):
                while await reader.read(65536):
                    pass
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection(*self._to)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, there[1]), self._forward(there[0], writer)
        )

    async def _forward(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
        await self.passes.wait()
        writer.close()


class Target:
    """A backend of a service: a primary or a replica, with its log."""

    def __init__(self, service, name, zone, role):
        self.service = service
        self.name = name
        self.zone = zone
        self.role = role
        self.state = "ready"
        self.term = 1
        # Entries are (term, number, writes).
        self.log = []
        self.address = ""
        self.born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(SLOTS)
        self._writers = set()
        self._server = None
        self._connections = 0
        self._signatures = itertools.count(1)

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def entry(self):
        """Return what the target writes to the store."""
        return {
            "service_name": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": self.role,
            "seq_no": 4,
            "born": self.born,
        }

    @property
    def position(self):
        """Last position of the log, as (term, number)."""
        return self.log[-1][:2] if self.log else (1, 0)

    def has(self, position):
        """Return whether the log holds a position."""
        return self.position >= position

    def value(self, item):
        """Return the value of an item."""
        for _term, _number, writes in reversed(self.log):
            for of_item, value in writes:
                if of_item == item:
                    return value
        return "none"

    async def _serve(self, reader, writer):
        connection = None
        self._connections += 1
        self._writers.add(writer)
        try:
            while line := await read_line(reader):
                text = line.decode().removesuffix("\r\n")
                word, _, rest = text.partition(" ")
                if word == "CONNECT":
                    await asyncio.sleep(HANDSHAKE_S)
                    fields = rest.split(" ")
                    if fields[0] != self.service.name or (
                        len(fields) > 2 and fields[2] != self.name
                    ):
                        writer.write(b"ERROR WRONGNODE other\r\n")
                        break
                    if self._connections > self.service.max_connections:
                        writer.write(b"ERROR CONNLIMIT full\r\n")
                        break
                    connection = TargetConnection(self)
                    writer.write(f"READY I {show(self.position)}\r\n".encode())
                elif word == "QUERY" and connection is not None:
                    query_id, _, statement = rest.partition(" ")
                    answer = await connection.run(query_id, statement)
                    answer.append(
                        f"READY {connection.state} {show(self.position)}"
                    )
                    writer.write(("\r\n".join(answer) + "\r\n").encode())
                else:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections -= 1
            self._writers.discard(writer)
            writer.close()

    def crash(self):
        """End as a process that is killed: its port resets connections."""
        self.service.record.note("crashed", target=self.name)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def work(self, work_s):
        """Occupy a slot for a while."""
        async with self._slots:
            await asyncio.sleep(work_s)

    def sign(self):
        """Return a signature of this target."""
        return f"{self.name}.{next(self._signatures)}"

    @property
    def connections(self):
        """Number of open connections."""
        return self._connections


def show(position):
    """Return a position as text."""
    return f"{position[0]}.{position[1]}"


class TargetConnection:
    """The session of one connection at a target."""

    numbers = itertools.count(1)

    def __init__(self, target):
        self.target = target
        self.number = next(self.numbers)
        self.state = "I"
        self._plain = False
        self._term = 0
        self._writes = []
        self._values = {}
        self._prepared = {}
        # Identifiers of the statements of the open transaction.
        self.transaction = []

    async def run(self, query_id, text):
        """Run a statement; return the lines before READY."""
        if query_id != "-":
            service = self.target.service
            service.received[query_id] = (
                service.record.now(),
                self.target.name,
            )
        needed = None
        if text.startswith("WAITPOS "):
            _, position, text = text.split(" ", 2)
            needed = tuple(map(int, position.split(".")))
        word, _, rest = text.partition(" ")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            await self.target.work(self.target.service.work_s)
        elif word == "STATUS":
            await self.target.work(STATUS_S)
        if self.state == "I":
            self.transaction = []
        if needed is not None and not self.target.has(needed):
            return self._refuse("LAGGING")
        lines = self._execute(query_id, word, rest)
        if query_id != "-":
            self.target.service.note_run(self, query_id, text, lines)
        return lines

    def _refuse(self, code):
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.target.name}"]

    def _done(self, rows=()):
        return [*(f"DATA {row}" for row in rows), "COMPLETE -"]

    def _ran(self, rows=()):
        return [
            *(f"DATA {row}" for row in rows),
            f"COMPLETE {self.target.sign()}",
        ]

    def _execute(self, query_id, word, rest):
        target = self.target
        if word == "ROLLBACK":
            self._end()
            return self._done()
        if self.state == "E":
            if word == "COMMIT":
                self._end()
                return ["ERROR ABORTED failed"]
            return ["ERROR MALFORMED the transaction has failed"]
        leads = target.role == "primary"
        lost_lead = self._plain and (not leads or self._term != target.term)
        match word:
            case "STATUS":
                row = (
                    f"{target.role} {target.term} {show(target.position)} 0 0"
                    f" 0 {target.connections}"
                )
                return self._done([row])
            case "STEPDOWN":
                if leads and target.term < int(rest):
                    target.service.step_down(target)
                return self._done()
            case "RESET":
                self._values, self._prepared = {}, {}
                return self._done()
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
                return self._done()
            case "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self._prepared[name] = access, shape
                return self._done()
            case "CLOSE":
                self._prepared.pop(rest, None)
                return self._done()
            case "BEGIN":
                if rest != "READ" and not leads:
                    return self._refuse("READONLY")
                self.state, self._term = "T", target.term
                self._plain = rest != "READ"
                self.transaction = []
                return self._done()
            case "COMMIT":
                if lost_lead and self._writes:
                    return self._refuse("READONLY")
                if self._writes:
                    target.service.commit(self, query_id, self._writes)
                self._end()
                return self._ran()
        shape = ""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return self._refuse("UNKNOWN")
            word, shape = self._prepared[name]
        if lost_lead:
            return self._refuse("READONLY")
        item, _, data = rest.partition(" ")
        self.last_shape = shape
        if word == "READ":
            own = dict(self._writes)
            return self._ran([own.get(item, target.value(item))])
        if word == "WRITE":
            if not leads:
                return self._refuse("READONLY")
            if self.state == "T":
                self._writes.append((item, data))
            else:
                target.service.commit(self, query_id, [(item, data)])
            return self._ran()
        return ["ERROR MALFORMED unknown"]

    def _end(self):
        self.state = "I"
        self._plain = False
        self._writes = []


class Service:
    """A service: one primary and its replicas."""

    def __init__(self, name, record, store, zones, max_connections=23):
        self.name = name
        self.record = record
        self.store = store
        self.max_connections = max_connections
        self.work_s = WORK_S
        self.runs = []
        # (time, target) at which a statement of a caller reached a target.
        self.received = {}
        # Position of the log on which a statement ran.
        self.positions = {}
        self.commits = []
        # Times at which a promotion took effect, by target.
        self.promoted_at = {}
        self.targets = {}
        for index, zone in enumerate(zones):
            role = "primary" if index == 0 else "replica"
            self.add(f"i-{name}{index}", zone, role)

    def add(self, name, zone, role):
        """Add a target that is not started yet."""
        self.targets[name] = Target(self, name, zone, role)
        return self.targets[name]

    async def start(self):
        """Start all targets and write their entries."""
        for target in self.targets.values():
            await target.start()
            self.store.put("servers", target.name, target.entry())

    @property
    def primary(self):
        """The target that leads the latest term."""
        leading = [t for t in self.targets.values() if t.role == "primary"]
        return max(leading, key=lambda t: t.term)

    def note_run(self, connection, query_id, text, lines):
        """Record a statement of a caller that a target has run or refused."""
        at = self.record.note(
            "run",
            target=connection.target.name,
            connection=connection.number,
            state=connection.state,
            id=query_id,
            text=text,
            answer=lines,
        )
        if not lines[-1].startswith("ERROR"):
            connection.transaction.append(query_id)
        self.runs.append(
            (at, connection, query_id, text, connection.transaction[:1])
        )
        self.positions[query_id] = connection.target.position

    def commit(self, connection, query_id, writes):
        """Commit writes at a primary, and send them to its replicas."""
        target = connection.target
        entry = (target.term, target.position[1] + 1, list(writes))
        target.log.append(entry)
        at = self.record.note(
            "commit",
            target=target.name,
            position=show(entry[:2]),
            id=query_id,
            of=list(connection.transaction),
            writes=writes,
        )
        self.commits.append((at, target, query_id, entry))
        loop = asyncio.get_running_loop()
        loop.call_later(
            REPLICATION_S, self._replicate, target, len(target.log)
        )

    def _replicate(self, source, length):
        """Bring the replicas of a primary up to its log."""
        if source is not self.primary:
            # The replicas follow the new primary.
            return
        for target in self.targets.values():
            if target.role == "replica" and len(target.log) < length:
                target.log = source.log[:length]
                target.term = source.term

    async def promote(self, name):
        """Make a target lead the next term, some hundred ms later."""
        chosen = self.targets.get(name)
        if chosen is None:
            return False
        if chosen is self.primary:
            return True

        def take_effect():
            old = self.primary
            chosen.term = old.term + 1
            chosen.role = "primary"
            self.promoted_at[name] = self.record.note(
                "promoted",
                target=name,
                log=show(chosen.position),
                old=old.name,
            )
            self.store.put("servers", name, chosen.entry())
            for target in self.targets.values():
                if target.role == "replica":
                    target.log = list(chosen.log)
                    target.term = chosen.term
            loop = asyncio.get_running_loop()
            loop.call_later(OLD_PRIMARY_S, self.step_down, old)

        asyncio.get_running_loop().call_later(PROMOTE_S, take_effect)
        return True

    def step_down(self, target):
        """Make an old primary a replica; what only it holds is rolled back."""
        leader = self.primary
        if target.role != "primary" or target is leader:
            return
        kept = [entry for entry in target.log if entry in leader.log]
        lost = [entry for entry in target.log if entry not in leader.log]
        self.record.note(
            "stepped_down",
            target=target.name,
            kept=len(kept),
            rolled_back=lost,
        )
        target.role, target.term = "replica", leader.term
        target.log = list(leader.log)
        self.store.put("servers", target.name, target.entry())


class Cloud:
    """The platform's call that promotes a backend."""

    def __init__(self, record, services):
        self._record = record
        self._services = {service.name: service for service in services}
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server, port = await serve_http(self._handle)
        self.address = f"127.0.0.1:{port}"
        return server

    async def _handle(self, _method, target, headers, body):
        call = json.loads(body)
        self._record.note(
            "promotion",
            path=target,
            call=call,
            holder=headers.get("balsamhinge-duty-holder"),
            fence=headers.get("balsamhinge-fencing-token"),
        )
        service = self._services[call["service_name"]]
        done = await service.promote(call["id"])
        return (200, {}) if done else (409, {})


class Instance:
    """One instance: the program of the deploy file in its own process."""

    def __init__(self, deployment, name, zone, ip):
        self._deployment = deployment
        self.name = name
        self.zone = zone
        self.ip = ip
        ports = deployment.ports
        self.callers = f"{ip}:{ports[0]}"
        self.readiness = f"{ip}:{ports[1]}"
        # Changed by `Deployment.put_links` before the start.
        self.stream_port = ports[3]
        self.store = deployment.store.address
        self._settings = deployment.folder / f"{name}.ini"
        self.process = None

    def _render(self, ports):
        """Return the settings as the template of the deploy file gives."""
        deployment = self._deployment
        zones = ",".join(deployment.zones)
        return (
            f"[instance]\nname = {self.name}\ndata_centre = {self.zone}\n"
            f"data_centres = {zones}\ngrace_s = {GRACE_S}\n\n"
            f"[callers]\naddress = {self.callers}\n\n"
            f"[readiness]\naddress = {self.readiness}\n\n"
            f"[peers]\naddress = {self.ip}:{ports[2]}\n"
            f"stream_port = {self.stream_port}\n\n"
            f"[platform]\nstore = {self.store}\n"
            f"promotion = {deployment.cloud.address}\n\n"
            "[customers]\nstrict_revocation = \nrevocation_ms = \n"
            "limit_window_s = \nlimit_overage = \nlimit_slack = \n\n"
            "[targets]\nqueue = first_come\n\n[log]\nlevel = info\n"
        )

    async def start(self):
        """Start the process."""
        self._settings.write_text(
            self._render(self._deployment.ports), encoding="utf-8"
        )
        role = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )["roles"]["instance"]
        words = role["run"].split()
        words[-1] = str(self._settings)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["BALSAMHINGE_NODE_FILE"] = str(self._settings)
        with open(self._deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=REPOSITORY,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._deployment.record.note(
            "started", instance=self.name, process=self.process.pid
        )

    def signal(self, number):
        """Send a signal to the process."""
        self._deployment.record.note(
            "signal", instance=self.name, signal=signal.Signals(number).name
        )
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def is_ready(self):
        """Ask as the platform does; return whether the answer is 200."""
        host, _, port = self.readiness.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /balsamhinge/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False


class Caller:
    """A caller's session."""

    numbers = itertools.count(1)
    identifiers = itertools.count(1)

    def __init__(self, record, instance, database):
        self.record = record
        self.instance = instance
        self.database = database
        self.number = next(self.numbers)
        self._reader = self._writer = None
        # (time, identifier, text, lines) of each request that has ended.
        self.answers = []
        self.sent_at = {}

    async def open(self):
        """Connect; return the answer to CONNECT."""
        host, _, port = self.instance.callers.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writer.write(f"CONNECT {self.database} u1\r\n".encode())
        line = (await self._reader.readline()).decode().strip()
        self.record.note(
            "connected",
            caller=self.number,
            instance=self.instance.name,
            database=self.database,
            answer=line,
        )
        return line

    async def query(self, text):
        """Send a request; return its identifier and the lines answered."""
        query_id = f"{next(self.identifiers):016x}"
        self.sent_at[query_id] = self.record.note(
            "sent", caller=self.number, id=query_id, text=text
        )
        self._writer.write(f"QUERY {query_id} {text}\r\n".encode())
        return await self._read_answer(query_id, text)

    async def _read_answer(self, query_id, text):
        lines = []
        with contextlib.suppress(ConnectionError):
            while line := await read_line(self._reader):
                lines.append(line.decode().removesuffix("\r\n"))
                if lines[-1].startswith("READY"):
                    break
        at = self.record.note(
            "answered", caller=self.number, id=query_id, lines=lines
        )
        self.answers.append((at, query_id, text, lines))
        return query_id, lines

    async def must(self, text):
        """Send a request that has to succeed; return its identifier."""
        query_id, lines = await self.query(text)
        if not succeeded(lines):
            raise CannotRun(f"{text}: {lines}")
        return query_id

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


def succeeded(lines):
    """Return whether an answer is a success."""
    return len(lines) > 1 and lines[-2].startswith("COMPLETE")


class CannotRun(Exception):
    """The case could not be set up."""


class Deployment:
    """Instances, store, promotion call and one service."""

    def __init__(
        self, record, zones, per_zone, routes, max_connections=23, cuttable=()
    ):
        self.record = record
        # Numbers of the instances that can be cut off, and their links.
        self._cuttable = cuttable
        self.links = collections.defaultdict(list)
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review"))
        self.store = Store(record)
        self.service = Service(
            "svc", record, self.store, zones, max_connections
        )
        self.cloud = Cloud(record, [self.service])
        self._routes = routes
        self.version = 7
        self._per_zone = per_zone
        self.instances = []
        self.ports = ()

    def write_configuration(self):
        """Write the next configuration as the operator does."""
        self.version += 2
        self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": self._routes,
                "services": [
                    {
                        "name": self.service.name,
                        "max_conns": self.service.max_connections,
                        "sync_replicas": 0,
                    }
                ],
                "limits": {"tx_idle_ms": 3000},
            },
        )

    async def start(self):
        """Start everything, and wait until all instances are ready."""
        await self.store.start()
        await self.cloud.start()
        self.write_configuration()
        await self.service.start()
        addresses = [
            (zone, f"127.0.{10 + z}.{1 + number}")
            for z, zone in enumerate(self.zones)
            for number in range(self._per_zone[z])
        ]
        self.ports = free_ports(
            [ip for _zone, ip in addresses], 4 + len(self._cuttable)
        )
        for number, (zone, ip) in enumerate(addresses, 1):
            instance = Instance(self, f"front-{zone}-{number}", zone, ip)
            self.instances.append(instance)
        for number, port in zip(self._cuttable, self.ports[4:], strict=True):
            await self._put_links(self.instances[number], port)
        started_at = time.monotonic()
        for instance in self.instances:
            await instance.start()
        await self.wait_ready(self.instances, 40.0)
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(max(0.0, started_at + 12.0 - time.monotonic()))

    async def _put_links(self, instance, own):
        """Lead an instance's connections to others and the store by links.

        All instances use one port for calls between them. Here this one uses
        another, and links stand at the port where the others look for it,
        and where it looks for the others.
        """
        usual = self.ports[3]
        links = self.links[instance.name]
        store_host, _, store_port = self.store.address.rpartition(":")
        store_link = Link((store_host, int(store_port)))
        instance.store = f"127.0.0.1:{await store_link.start('127.0.0.1', 0)}"
        links.append(store_link)
        instance.stream_port = own
        inbound = Link((instance.ip, own))
        await inbound.start(instance.ip, usual)
        links.append(inbound)
        for other in self.instances:
            if other is instance:
                continue
            outbound = Link((other.ip, usual))
            await outbound.start(other.ip, own)
            links.append(outbound)

    def cut(self, instance):
        """Cut an instance off from the store and from all others."""
        self.record.note("cut", instance=instance.name)
        for link in self.links[instance.name]:
            link.passes.clear()

    def heal(self, instance):
        """End the cut of an instance."""
        self.record.note("healed", instance=instance.name)
        for link in self.links[instance.name]:
            link.passes.set()

    async def wait_ready(self, instances, timeout_s):
        """Wait until instances are ready, and registered in the store."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            ready = await asyncio.gather(*(i.is_ready() for i in instances))
            groups = [
                name
                for name in self.store.names("leaders")
                if name.startswith("group.")
            ]
            if all(ready) and groups:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the instances are not ready")

    async def stop(self):
        """End every process."""
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
        for instance in self.instances:
            if instance.process:
                await instance.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def target_starts(self, name, zone):
        """Add a replica that takes over the log of the service."""
        target = self.service.add(name, zone, "replica")
        target.log = list(self.service.primary.log)
        target.term = self.service.primary.term
        return target

    def target_leaves(self, target):
        """Let a target report `draining`, and exit some time later."""
        target.state = "draining"
        self.store.put("servers", target.name, target.entry())

        def exit_process():
            target.crash()
            del self.service.targets[target.name]
            self.store.remove("servers", target.name)

        asyncio.get_running_loop().call_later(DRAIN_S + 1.0, exit_process)


def free_ports(ips, count):
    """Return ports that are free at all of these addresses."""
    found = []
    # Below the ports that the system gives to outgoing connections.
    port = random.randrange(20000, 31000)
    while len(found) < count:
        port += 1
        try:
            for ip in ips:
                with socket.socket() as sock:
                    sock.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


def route(database, route_type, **changes):
    """Return a route of the configuration."""
    found = {
        "name": f"r-{database}",
        "database": database,
        "route_type": route_type,
        "timeout_ms": 800,
        "target_latency_ms": 250,
        "priority": 1,
        "service_name": "svc",
        "max_staleness_ms": 1500,
    }
    return found | changes


def run_case(folder, prepare, scenario, trouble):
    """Run a case, and exit with the code of its script.

    Parameters
    ----------
    folder : path
        Folder of the case.
    prepare : callable
        Returns the `Deployment` for a `Record`.
    scenario : callable
        Coroutine function of the deployment and of whether there is trouble;
        returns a list of texts, one for each breach of the rule.
    trouble : bool
        Whether the case brings about its disruption.
    """
    record = Record(pathlib.Path(folder) / "record.txt")

    async def run():
        deployment = prepare(record)
        try:
            async with asyncio.timeout(110.0):
                await deployment.start()
                return await scenario(deployment, trouble)
        finally:
            await deployment.stop()

    try:
        breaches = asyncio.run(run())
    except Exception as exc:
        # An error of the script says nothing about the rule.
        record.note("cannot_run", error=repr(exc))
        end(2, f"cannot run: {exc!r}")
    for breach in breaches:
        record.note("BROKEN", what=breach)
    record.note("result", broken=len(breaches), trouble=trouble)
    record.close()
    end(1 if breaches else 0, *breaches)


def end(code, *lines):
    """Print lines and exit; connections still open need no clean end."""
    print(*lines, sep="\n", flush=True)
    os._exit(code)
