"""A whole system on the virtual clock: instances, targets, platform."""

import asyncio

import async_solipsism
import msgspec

from balsamhinge import core
from balsamhinge.filters import attempts
from balsamhinge import interfaces
from balsamhinge.policy import messages
from balsamhinge.policy import ownership
from balsamhinge.standins import database
from balsamhinge.standins import replication
from balsamhinge.standins import store
from tests.support import fakes

__all__ = ["CENTRES", "World", "end_loop", "run_virtual"]

CENTRES = ("howrah", "salt-lake", "durgapur")
DELAY_S = 0.001
TOKEN_KEY = b"test key"


def run_virtual(coroutine):
    """Run a coroutine to its end on a loop whose clock jumps."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        end_loop(loop)


def end_loop(loop):
    """Cancel everything that runs on a loop, and close it."""
    while pending := asyncio.all_tasks(loop):
        for task in pending:
            task.cancel()
        loop.run_until_complete(
            asyncio.gather(*pending, return_exceptions=True)
        )
    loop.close()


class World:
    """Three data centres with instances, and groups of three targets.

    Parameters
    ----------
    groups, instances : int
        How many; instances are per data centre.
    seed : int
        Seed of all random choices.
    baseline : bool
        See `balsamhinge.core.Options`.
    """

    def __init__(self, groups=1, instances=2, seed=0, baseline=False):
        self.network = fakes.Network(DELAY_S)
        self.store = store.ObjectStore()
        self.databases = {}
        self.replicators = {}
        self.cores = {}
        self.groups = [f"ladder-{n}" for n in range(1, groups + 1)]
        self.seed = seed
        self.baseline = baseline
        self.members = [
            ownership.Member(f"{centre}-{n}", f"{centre}-{n}:1", centre)
            for centre in CENTRES
            for n in range(1, instances + 1)
        ]
        self.states = {}
        self.calls = {}
        self.extra_text = ""

    async def start(self):
        """Start everything and wait until each group has a primary."""
        for group in self.groups:
            self._start_group(group)
        self.put_list()
        self.put_text()
        await asyncio.gather(*(self.start_instance(m) for m in self.members))
        await self.until(self._all_led)
        await self.run_write(self.members[0].name, CREATE)

    def _all_led(self):
        return all(
            core_.groups.view(group).primary
            for core_ in self.cores.values()
            for group in self.groups
        )

    def _start_group(self, group):
        names = [f"{group}-{centre}" for centre in CENTRES]
        for name, centre in zip(names, CENTRES, strict=True):
            knobs = database.Knobs(apply_lag_s=0.02)
            held = database.Database(name, names, names[0], knobs)
            self.databases[name] = held
            self.network.place[name] = centre
            self.replicators[name] = replication.Replicator(
                held, self._reader(name)
            )
            self.replicators[name].start()

    def _reader(self, me):
        async def read_log(primary, term, last, most, timeout_s):
            await self.network.travel(me, primary)
            held = self.databases[primary]
            answer = await held.read_log(term, last, most, timeout_s)
            await self.network.travel(primary, me)
            return answer

        return read_log

    def text(self):
        """Return the operators' text."""
        parts = [BASE_TEXT, self.extra_text]
        for index, group in enumerate(self.groups):
            service = "ladder" if index == 0 else f"ladder{index + 1}"
            parts.append(f"[service {service}]\ngroup = {group}\n")
            names = [n for n in self.databases if n.startswith(f"{group}-")]
            parts.append(f"[group {group}]\ntargets = {', '.join(names)}\n")
            for name in names:
                parts.append(self._target_text(name))
        return "\n".join(parts)

    def _target_text(self, name):
        port = 5000 + sorted(self.databases).index(name)
        state = self.states.get(name, "active")
        return (
            f"[target {name}]\naddress = 127.0.0.1:{port}\n"
            f"data_centre = {self.network.place[name]}\nstate = {state}\n"
        )

    def put_list(self, leaving_targets=()):
        """Put the platform's list of machines into the store."""
        held = self.store.objects.get(interfaces.INSTANCES_KEY)
        version = held.version + 1 if held else 1
        found = interfaces.PlatformInventory(
            self.members, list(leaving_targets)
        )
        stored = interfaces.StoredObject(version, msgspec.json.encode(found))
        self.store.replace(interfaces.INSTANCES_KEY, stored)

    def put_text(self):
        """Put the text into the store without an instance's help."""
        held = self.store.objects.get(interfaces.CONFIGURATION_KEY)
        version = held.version + 1 if held else 1
        edit = interfaces.ConfigurationVersion(
            self.text(), f"edit-{version}", "test"
        )
        value = msgspec.json.encode(edit)
        stored = interfaces.StoredObject(version, value)
        self.store.replace(interfaces.CONFIGURATION_KEY, stored)

    async def start_instance(self, member):
        """Start one instance with nothing."""
        name = member.name
        self.network.place[name] = member.data_centre
        self.network.dead.discard(name)
        outside = interfaces.Dependencies(
            store=fakes.StoreFake(self.network, name, self.store),
            peers=fakes.PeerFake(self.network, name, self.cores),
            targets=fakes.TargetFake(self.network, name, self.databases),
            wall_time=asyncio.get_running_loop().time,
        )
        options = core.Options(
            TOKEN_KEY, self.baseline, len(self.members), self.seed
        )
        self.cores[name] = core.Core(member, outside, options, self.members)
        await self.cores[name].start()

    async def kill_instance(self, name):
        """End an instance without warning, with all that it does."""
        self.network.kill(name)
        for call in list(self.calls.get(name, ())):
            call.cancel()
        await self.cores.pop(name).halt()

    async def stop_instance(self, name, patience_s=10.0):
        """Stop an instance gracefully; it then refuses connections."""
        await self.cores[name].stop(patience_s)
        self.network.kill(name)
        self.cores.pop(name)

    async def restart_instance(self, name):
        """Start a dead instance again with nothing."""
        member = next(m for m in self.members if m.name == name)
        await self.start_instance(member)

    def revive_target(self, name):
        """Start a dead target again with its disk."""
        self.network.dead.discard(name)

    async def kill_target(self, name):
        """End a target without warning."""
        self.network.kill(name)

    def primary(self, group="ladder-1"):
        """Return the primary of the highest term."""
        held = [d for n, d in self.databases.items() if n.startswith(group)]
        leaders = [d for d in held if d.role == "primary"]
        return max(leaders, key=lambda d: d.term, default=None)

    def replicas(self, group="ladder-1"):
        """Return the targets that follow."""
        leader = self.primary(group)
        return [
            held
            for name, held in self.databases.items()
            if name.startswith(group) and held is not leader
        ]

    async def until(self, predicate, limit_s=60.0):
        """Let time pass until `predicate` holds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while not predicate():
            if loop.time() >= end:
                raise AssertionError("the state was not reached in time")
            await asyncio.sleep(0.01)

    async def run(self, instance, work_class, sql, *params, **fields):
        """Run one statement through an instance; return its `Answer`."""
        statements = [messages.Statement(sql, list(params))] if sql else []
        service = fields.pop("service", "ladder")
        req = attempts.Request(service, work_class, statements, **fields)
        return await self.call(instance, req)

    async def call(self, instance, req):
        """Send a request to an instance.

        Raises
        ------
        ConnectionRefusedError
            If the instance is dead; nothing was sent.
        ConnectionResetError
            If it dies before it answers.
        """
        if instance not in self.cores or instance in self.network.dead:
            raise ConnectionRefusedError(instance)
        call = asyncio.ensure_future(self.cores[instance].entry(req))
        self.calls.setdefault(instance, set()).add(call)
        try:
            return await call
        except asyncio.CancelledError as exc:
            if instance in self.cores:
                raise
            raise ConnectionResetError(instance) from exc
        finally:
            self.calls[instance].discard(call)

    async def run_write(self, instance, sql, *params, **fields):
        """Run one write through an instance; return its `Answer`."""
        return await self.run(instance, "submit", sql, *params, **fields)

    async def run_read(self, instance, sql, *params, **fields):
        """Run one read through an instance; return its `Answer`."""
        return await self.run(instance, "standing", sql, *params, **fields)

    def close(self):
        """Drop the targets' data."""
        for replicator in self.replicators.values():
            replicator.stop()
        for held in self.databases.values():
            held.close()
        self.network.connections.clear()


CREATE = "CREATE TABLE results (id TEXT, player TEXT, points INTEGER)"
BASE_TEXT = """
[class submit]
kind = write
deadline_ms = 5000

[class standing]
kind = read
deadline_ms = 2000

[class public]
kind = read
deadline_ms = 2000
max_age_ms = 1000

[class ranking]
kind = read
length = long
deadline_ms = 30000
"""
