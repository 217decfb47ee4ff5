"""Fakes of the network, targets and peers, in one process."""

import asyncio
import contextlib

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.standins import sessions
from balsamhinge.targets import connection

__all__ = ["MemoryConnection", "Network", "PeerFake", "StoreFake"]


class Network:
    """Who reaches whom, and how long it takes.

    Places are data centres, or names of single instances and targets.
    """

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.place = {}
        self.cuts = set()
        self.frozen = set()
        self.dead = set()
        self.lost_commits = set()
        self.connections = []
        self.changed = asyncio.Event()

    def _change(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def cut(self, one, other):
        """Separate two places, or names."""
        self.cuts.add(frozenset((one, other)))
        self._change()

    def heal(self):
        """Remove every cut and freeze."""
        self.cuts.clear()
        self.frozen.clear()
        self._change()

    def thaw(self, name):
        """Let what waits for `name` go on."""
        self.frozen.discard(name)
        self._change()

    def freeze(self, name):
        """Let everything sent to or from `name` wait."""
        self.frozen.add(name)

    def kill(self, name):
        """Make `name` refuse every connection from now on."""
        self.dead.add(name)
        for src, dst, break_connection in self.connections:
            if name in (src, dst):
                break_connection()
        self._change()

    def lose_commit_answer(self, src, dst):
        """Lose the answer to the next commit from `src` at `dst`."""
        self.lost_commits.add((src, dst))

    def blocked(self, src, dst):
        """Return whether nothing passes between two names now."""
        if src in self.frozen or dst in self.frozen:
            return True
        ends = {src, self.place.get(src)}, {dst, self.place.get(dst)}
        return any(
            frozenset((one, other)) in self.cuts
            for one in ends[0]
            for other in ends[1]
        )

    async def travel(self, src, dst):
        """Take a message from one name to another.

        Raises
        ------
        ConnectionRefusedError
            If the receiver is dead.
        """
        near = self.place.get(src) == self.place.get(dst)
        await asyncio.sleep(self.delay_s / 10 if near else self.delay_s)
        while self.blocked(src, dst):
            await self.changed.wait()
        if dst in self.dead or src in self.dead:
            raise ConnectionRefusedError(dst)

    async def answer(self, src, dst):
        """Take an answer back from `dst` to `src`."""
        await self.travel(dst, src)


class MemoryConnection(connection.TargetConnection):
    """A connection to a stand-in target in the same process."""

    def __init__(self, network, me, target):
        self._network = network
        self._me = me
        self._target = target
        self._session = sessions.DatabaseSession(target)
        self._broken = False
        self._running = None
        network.connections.append((me, target.name, self._break))

    @property
    def idle(self):
        """See `TargetConnection.idle`."""
        return not self._broken and not self._session.in_transaction

    async def pipeline(self, statements):
        """See `TargetConnection.pipeline`."""
        if self._broken:
            raise exceptions.OutcomeUnknown("the connection is broken")
        results = []
        try:
            await self._network.travel(self._me, self._target.name)
            results = await self._run(statements)
            self._lose_commit(statements)
            await self._network.answer(self._me, self._target.name)
        except OSError as exc:
            self._break()
            raise exceptions.OutcomeUnknown(str(exc)) from exc
        except asyncio.CancelledError:
            self._break()
            raise
        failure = results[-1] if results else None
        if isinstance(failure, exceptions.CommandFailed):
            raise failure
        return results

    def _lose_commit(self, statements):
        link = self._me, self._target.name
        lost = self._network.lost_commits
        if link in lost and connection.COMMIT in statements:
            lost.discard(link)
            raise ConnectionResetError(self._target.name)

    async def _run(self, statements):
        # What has arrived is run to its end, even if the sender is gone.
        self._running = asyncio.ensure_future(self._run_all(statements))
        return await asyncio.shield(self._running)

    async def _run_all(self, statements):
        results = []
        self._session.stop_watching_idle()
        for index, statement in enumerate(statements):
            try:
                result = await self._session.execute(
                    statement.sql, statement.params
                )
            except exceptions.CommandFailed as exc:
                failure = exceptions.CommandFailed(
                    index, exc.sqlstate, exc.message, results
                )
                return [*results, failure]
            results.append(result)
        self._session.watch_idle()
        return results

    def _break(self):
        if not self._broken:
            self._broken = True
            asyncio.ensure_future(self._end())

    async def _end(self):
        # The target learns of the end once the network lets it.
        await asyncio.sleep(self._network.delay_s)
        while self._network.blocked(self._me, self._target.name):
            await self._network.changed.wait()
        if self._running is not None:
            await asyncio.wait({self._running})
        self._session.close()

    async def close(self):
        """See `TargetConnection.close`."""
        self._break()


class TargetFake(interfaces.TargetConnector):
    """Opens connections to stand-in targets in the same process."""

    def __init__(self, network, me, databases):
        self._network = network
        self._me = me
        self._databases = databases

    async def connect(self, target, timeout_s):
        """See `TargetConnector.connect`."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._network.travel(self._me, target.name)
                held = self._databases[target.name]
                await asyncio.sleep(held.knobs.connect_s)
            return MemoryConnection(self._network, self._me, held)
        except (OSError, TimeoutError, exceptions.CommandFailed) as exc:
            raise exceptions.ConnectionUnavailable(str(exc)) from exc


class PeerFake(interfaces.PeerClient):
    """Calls other instances in the same process."""

    def __init__(self, network, me, cores):
        self._network = network
        self._me = me
        self._cores = cores

    async def forward(self, member, work, timeout_s):
        """See `PeerClient.forward`."""
        return await self._call(
            member, timeout_s, lambda core: core.owner_chain(work)
        )

    async def exchange(self, member, message, timeout_s):
        """See `PeerClient.exchange`."""
        return await self._call(
            member,
            timeout_s,
            lambda core: core.dissemination.handle_message(message),
        )

    async def observe_primary(self, member, group, timeout_s):
        """See `PeerClient.observe_primary`."""

        async def look(core):
            return core.observe_primary(group)

        return await self._call(member, timeout_s, look)

    async def _call(self, member, timeout_s, run):
        sent = False
        try:
            async with asyncio.timeout(timeout_s):
                await self._network.travel(self._me, member.name)
                sent = True
                core = self._cores.get(member.name)
                if core is None:
                    raise ConnectionResetError(member.name)
                running = asyncio.ensure_future(run(core))
                answer = await asyncio.shield(running)
                await self._network.answer(self._me, member.name)
                return answer
        except (OSError, TimeoutError) as exc:
            sent = sent or isinstance(exc, TimeoutError)
            raise exceptions.PeerUnavailable(member.name, sent) from exc


class StoreFake(interfaces.ObjectStoreClient):
    """Reaches the stand-in store over the fake network."""

    def __init__(self, network, me, store):
        self._network = network
        self._me = me
        self._store = store

    async def get(self, key):
        """See `ObjectStoreClient.get`."""
        return await self._call(2.0, self._store.get(key))

    async def put(self, key, value, if_version):
        """See `ObjectStoreClient.put`."""
        return await self._call(2.0, self._store.put(key, value, if_version))

    async def watch(self, key, after, wait_s, timeout_s):
        """See `ObjectStoreClient.watch`."""
        calling = self._store.watch(key, after, wait_s, timeout_s)
        return await self._call(timeout_s, calling)

    async def _call(self, timeout_s, calling):
        try:
            async with asyncio.timeout(timeout_s):
                await self._network.travel(self._me, "platform")
                answer = await calling
                await self._network.answer(self._me, "platform")
                return answer
        except (OSError, TimeoutError) as exc:
            raise exceptions.StoreUnavailable(str(exc)) from exc
        finally:
            with contextlib.suppress(RuntimeError):
                calling.close()
