"""Stand-ins that speak the users' protocols on loopback sockets."""

import asyncio
import json
import urllib.parse

import attrs
import h11

from balsamhinge import exceptions
from balsamhinge.platform import wire
from balsamhinge.policy import statements
from balsamhinge.standins import replicas

__all__ = ["LineServer", "ObjectServer", "configuration", "entry"]

HOST = "127.0.0.1"


def configuration(version, group, connections=23, **changes):
    """Return the users' configuration with one route of each type."""
    found = []
    for database, kind in (
        ("posts", "primary"),
        ("fixtures", "read_your_writes"),
        ("ranks", "bounded_staleness"),
    ):
        route = {
            "name": f"r-{database}",
            "database": database,
            "route_type": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 250,
            "priority": 1,
            "service_name": group,
            "max_staleness_ms": 1500,
        }
        found.append(route | changes)
    return {
        "version": version,
        "routes": found,
        "services": [{"name": group, "max_conns": connections}],
        "limits": {"tx_idle_ms": 3000},
    }


def entry(target, port, **changes):
    """Return what a target writes of itself."""
    found = {
        "service_name": target.group.name,
        "address": f"{HOST}:{port}",
        "zone": target.data_centre,
        "version": "v1",
        "slots": target.slots,
        "state": "ready",
        "cold_left_ms": 0,
        "db_role": target.role.value,
        "seq_no": 4,
        "born": 1000,
    }
    return found | changes


class LineServer:
    """Serves one target of a `ReplicaGroup` by the line protocol."""

    def __init__(self, target):
        self.target = target
        self.received = []
        self._server = None
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await self._converse(reader, writer)
        except asyncio.CancelledError:
            # The test has ended.
            writer.close()

    async def _converse(self, reader, writer):
        link = replicas.ReplicaTargetLink(
            {self.target.group.name: self.target.group}, "line"
        )
        conn = None
        while line := await reader.readline():
            text = line.decode().removesuffix("\r\n")
            self.received.append(text)
            word, _, rest = text.partition(" ")
            if word == "CONNECT":
                parts = rest.split(" ")
                if parts[2] != self.target.name:
                    writer.write(b"ERROR WRONGNODE other\r\n")
                    break
                try:
                    conn = await link.connect(self.target.entry(), 0.1)
                except exceptions.TargetRefused as exc:
                    code = wire.ERROR_CODES[exc.problem]
                    writer.write(f"ERROR {code} x\r\n".encode())
                    break
                writer.write(b"READY I 1.0\r\n")
            elif word == "QUERY":
                request_id, _, statement = rest.partition(" ")
                order = self._order(request_id, statement)
                answer = await conn.send(order)
                if order.request_id == "" and answer.rows:
                    # Term held, lag, busy and connections of a status.
                    answer = attrs.evolve(
                        answer, rows=(f"{answer.rows[0]} 0 0 0 1",)
                    )
                writer.write(wire.encode_answer(answer))
            else:
                break
            await writer.drain()
        if conn is not None:
            conn.abort()
        writer.close()

    def _order(self, request_id, text):
        needed = None
        if text.startswith("WAITPOS "):
            _, position, text = text.split(" ", 2)
            needed = wire.parse_position(position)
        match text.split(" "):
            case ["STATUS"]:
                statement = statements.Status()
            case ["RESET"]:
                statement = statements.Reset()
            case ["STEPDOWN", term]:
                statement = statements.StepDown(int(term))
            case _:
                statement = wire.parse_statement(text)
        identifier = "" if request_id == "-" else request_id
        return statements.Order(statement, identifier, needed)


class ObjectServer:
    """Serves `Records` by the store's protocol, and promotions.

    Parameters
    ----------
    records : Records
        What is served; its values are the objects' `spec`.
    groups : dict of str to ReplicaGroup
        What promotions change.
    """

    def __init__(self, records, groups):
        self._link = records.link("http")
        self._groups = groups
        self.promotions = []
        self.refuse_next = []
        # Called once after the next answer, as by another writer.
        self.change_next = None
        self._server = None
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await self._converse(reader, writer)
        except asyncio.CancelledError:
            # The test has ended.
            writer.close()

    async def _converse(self, reader, writer):
        machine = h11.Connection(h11.SERVER)
        request, body = None, b""
        while True:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                machine.receive_data(data)
                continue
            if isinstance(event, h11.Request):
                request, body = event, b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                status, content = await self._answer(request, body)
                if self.change_next is not None:
                    self.change_next()
                    self.change_next = None
                data = json.dumps(content).encode()
                response = h11.Response(
                    status_code=status,
                    headers=[("Content-Length", str(len(data)))],
                )
                writer.write(machine.send(response))
                writer.write(machine.send(h11.Data(data=data)))
                writer.write(machine.send(h11.EndOfMessage()))
                machine.start_next_cycle()
            else:
                break
        writer.close()

    async def _answer(self, request, body):
        if self.refuse_next:
            return self.refuse_next.pop(0), None
        path = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(path.query))
        content = json.loads(body or b"null")
        if path.path == "/promotion":
            headers = {name: value for name, value in request.headers}
            self.promotions.append(
                (content["id"], headers[b"balsamhinge-fencing-token"])
            )
            await self._groups[content["service_name"]].promote(content["id"])
            return 200, {}
        parts = path.path.split("/")[3:]
        try:
            return 200, await self._do(
                request.method.decode(), parts, query, content
            )
        except exceptions.StoreConflict:
            return 409, {}
        except exceptions.RecordNotFound:
            return 404, {}
        except exceptions.HistoryExpired:
            return 410, {}
        except exceptions.StoreUnavailable:
            return 503, {}

    async def _do(self, method, parts, query, content):
        kind = parts[0]
        match method:
            case "GET" if "watch" in query:
                found = await self._link.watch(
                    kind, int(query["watch"]), int(query["wait_ms"]) / 1000
                )
                events = [
                    {"object": item(c.record), "deleted": c.deleted}
                    for c in found.changes
                ]
                return {"events": events, "as_of": found.as_of}
            case "GET":
                found = await self._link.list(kind)
                after = query.get("after", "")
                names = sorted(n for n in found.records if n > after)
                page = [item(found.records[name]) for name in names[:2]]
                return {
                    "items": page,
                    "more": len(names) > 2,
                    "as_of": found.as_of,
                }
            case "POST":
                name = content["meta"]["name"]
                made = await self._link.create(kind, name, content["spec"])
                return item(made)
            case "PUT":
                revision = content["meta"]["revision"]
                made = await self._link.replace(
                    kind, parts[1], content["spec"], revision
                )
                return item(made)
            case "DELETE":
                await self._link.delete(kind, parts[1], int(query["revision"]))
                return {}
        raise exceptions.StoreUnavailable(method)


def item(record):
    """Return an object of the store's protocol."""
    meta = {
        "name": record.name,
        "revision": record.revision,
        "created": 1,
        "finalizers": [],
        "deleting": False,
    }
    return {"meta": meta, "spec": record.value, "status": None}


@attrs.frozen
class Lines:
    """A caller's connection that sends and receives lines."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address):
        """Connect to IP:port."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, text):
        """Send a line; return the lines up to READY or a refusal."""
        self.writer.write(text.encode() + b"\r\n")
        return await self.answer()

    async def answer(self):
        """Return the lines up to the next READY, or the end."""
        found = []
        while line := await self.reader.readline():
            found.append(line.decode().removesuffix("\r\n"))
            if found[-1].startswith("READY"):
                break
        return found
