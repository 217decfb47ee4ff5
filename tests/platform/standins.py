"""Test doubles that speak the users' protocols on loopback sockets."""

import asyncio
import json
import urllib.parse

import attrs
import h11

from balsamhinge import exceptions
from balsamhinge.platform import objects
from balsamhinge.platform import wire
from balsamhinge.policy import revisions
from balsamhinge.policy import statements
from balsamhinge.standins import replicas

__all__ = ["LineServer", "ObjectServer", "configuration", "entry"]

HOST = "127.0.0.1"
# Time after the end of its wait in which a watch is answered.
WATCH_MARGIN_S = 1.0


def configuration(version, group, connections=23, **changes):
    """Return the users' configuration with one route of each type."""
    route_specs = []
    for database, route_type in (
        ("posts", "primary"),
        ("fixtures", "read_your_writes"),
        ("ranks", "bounded_staleness"),
    ):
        route = {
            "name": f"r-{database}",
            "database": database,
            "route_type": route_type,
            "timeout_ms": 2000,
            "target_latency_ms": 250,
            "priority": 1,
            "service_name": group,
            "max_staleness_ms": 1500,
        }
        route_specs.append(route | changes)
    return {
        "version": version,
        "routes": route_specs,
        "services": [{"name": group, "max_conns": connections}],
        "limits": {"tx_idle_ms": 3000},
    }


def entry(target, port, **changes):
    """Return the entry that a target writes to the store."""
    spec = {
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
    return spec | changes


class LineServer:
    """Serves a target of a `ReplicaGroup` over the line protocol."""

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
            await self._handle_connection(reader, writer)
        except asyncio.CancelledError:
            # The test has ended.
            writer.close()

    async def _handle_connection(self, reader, writer):
        conn = None
        try:
            while line := await reader.readline():
                text = line.decode().removesuffix("\r\n")
                self.received.append(text)
                word, _, rest = text.partition(" ")
                if word == "CONNECT":
                    conn = await self._open(rest.split(" "), writer)
                    if conn is None:
                        break
                elif word == "QUERY":
                    await self._execute(conn, rest, writer)
                else:
                    break
                await writer.drain()
        except ConnectionError:
            # The instance has reset the connection, or it has ended.
            pass
        finally:
            if conn is not None:
                conn.abort()
            writer.close()

    async def _open(self, fields, writer):
        """Answer a CONNECT; return the connection, or None if refused."""
        if fields[2] != self.target.name:
            writer.write(b"ERROR WRONGNODE other\r\n")
            return None
        connector = replicas.ReplicaTargetLink(
            {self.target.group.name: self.target.group}, "line"
        )
        try:
            conn = await connector.connect(self.target.entry(), 0.1)
        except exceptions.ConnectionRejected as exc:
            code = wire.ERROR_CODES[exc.problem]
            writer.write(f"ERROR {code} x\r\n".encode())
            return None
        writer.write(b"READY I 1.0\r\n")
        return conn

    async def _execute(self, conn, rest, writer):
        """Answer a QUERY."""
        request_id, _, statement = rest.partition(" ")
        order = self._parse_order(request_id, statement)
        answer = await conn.send(order)
        if order.request_id == "" and answer.rows:
            # The further fields of STATUS: held term, lag, busy and
            # connections.
            answer = attrs.evolve(answer, rows=(f"{answer.rows[0]} 0 0 0 1",))
        writer.write(wire.encode_answer(answer))

    def _parse_order(self, request_id, text):
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
    """Serves `Records` over the store's protocol, and promotion calls.

    Parameters
    ----------
    records : Records
        The stored records; their values are the objects' `spec`.
    groups : dict of str to ReplicaGroup
        The groups whose primary a promotion call may change.
    """

    def __init__(self, records, groups):
        self._records = records
        self._client = records.link("http")
        self._groups = groups
        self.promotions = []
        # Status codes of the next responses, instead of executing requests.
        self.next_statuses = []
        # Bytes that take the place of stored strings, to simulate another
        # writer.
        self.raw_values = {}
        self._stopped = asyncio.Event()
        # While above 0, requests are received and never answered, not even
        # after that time.
        self.silences = 0
        # Called once after the next response, to simulate another writer.
        self.after_next_response = None
        self._server = None
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def stop(self):
        """Stop listening."""
        self._stopped.set()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await self._handle_connection(reader, writer)
        except (asyncio.CancelledError, ConnectionError):
            # The test or the instance has ended.
            writer.close()

    async def _handle_connection(self, reader, writer):
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
                was_silent = self.silences > 0
                status, content = await self._answer(request, body)
                if was_silent or self.silences:
                    await self._stopped.wait()
                    break
                incarnation = self._tell_incarnation()
                if self.after_next_response is not None:
                    self.after_next_response()
                    self.after_next_response = None
                data = self._encode_body(content)
                response = h11.Response(
                    status_code=status,
                    headers=[
                        ("Content-Length", str(len(data))),
                        (objects.INCARNATION_HEADER, incarnation),
                    ],
                )
                writer.write(machine.send(response))
                writer.write(machine.send(h11.Data(data=data)))
                writer.write(machine.send(h11.EndOfMessage()))
                machine.start_next_cycle()
            else:
                break
        writer.close()

    def _encode_body(self, content):
        data = json.dumps(content).encode()
        for text, raw in self.raw_values.items():
            data = data.replace(json.dumps(text).encode(), raw)
        return data

    def _tell_incarnation(self):
        return str(self._records.incarnation + objects.FIRST_INCARNATION)

    async def _answer(self, request, body):
        if self.next_statuses:
            return self.next_statuses.pop(0), None
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
            return 200, await self._execute(
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

    async def _execute(self, method, parts, query, content):
        kind = parts[0]
        match method:
            case "GET" if "watch" in query:
                wait_s = int(query["wait_ms"]) / 1000
                result = await self._client.watch(
                    kind, int(query["watch"]), wait_s, wait_s + WATCH_MARGIN_S
                )
                events = [
                    {"object": encode_object(c.record), "deleted": c.deleted}
                    for c in result.changes
                ]
                as_of = revisions.number_of(result.as_of)
                return {"events": events, "as_of": as_of}
            case "GET":
                result = await self._client.list(kind)
                after = query.get("after", "")
                names = sorted(n for n in result.records if n > after)
                page = [
                    encode_object(result.records[name]) for name in names[:2]
                ]
                return {
                    "items": page,
                    "more": len(names) > 2,
                    "as_of": revisions.number_of(result.as_of),
                }
            case "POST":
                name = content["meta"]["name"]
                made = await self._client.create(kind, name, content["spec"])
                return encode_object(made)
            case "PUT":
                revision = content["meta"]["revision"]
                made = await self._client.replace(
                    kind, parts[1], content["spec"], revision
                )
                return encode_object(made)
            case "DELETE":
                await self._client.delete(
                    kind, parts[1], int(query["revision"])
                )
                return {}
        raise exceptions.StoreUnavailable(method)


def encode_object(record):
    """Return a record as an object of the store's protocol."""
    meta = {
        "name": record.name,
        "revision": revisions.number_of(record.revision),
        "created": 1,
        "finalizers": [],
        "deleting": False,
    }
    return {"meta": meta, "spec": record.value, "status": None}


@attrs.frozen
class LineClient:
    """A caller's connection, which sends and receives lines."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address):
        """Connect to IP:port."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def request(self, text):
        """Send a line; return the lines of the answer."""
        self.writer.write(text.encode() + b"\r\n")
        return await self.read_answer()

    async def read_answer(self):
        """Return the lines up to the next READY, or up to the end."""
        lines = []
        while line := await self.reader.readline():
            lines.append(line.decode().removesuffix("\r\n"))
            if lines[-1].startswith("READY"):
                break
        return lines
