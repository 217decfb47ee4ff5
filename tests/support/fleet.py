"""A fleet on the virtual clock: instances, targets, store, callers."""

import asyncio
import collections
import itertools

import attrs
import msgspec

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import fleet
from balsamhinge import interfaces
from balsamhinge.policy import customers as customers_module
from balsamhinge.policy import hashing
from balsamhinge.policy import loans
from balsamhinge.policy import ownership
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from balsamhinge.sessions import session
from balsamhinge.standins import records
from balsamhinge.standins import replicas

__all__ = ["CENTRES", "DATABASES", "MAX_AGE_S", "Caller", "FleetWorld"]

MAX_AGE_S = 1.5
CENTRES = ("north", "central", "south")
DELAY_S = 0.001
# Steps in which a link's bandwidth is shared out.
STEP_S = 0.01
# Seconds for the whole answer to a reading of the store.
READ_S = 1.0
# Time for which the store is away before it is restored.
OUTAGE_S = 2.0
DATABASES = {
    "posts": routes.Freshness.LATEST,
    "fixtures": routes.Freshness.SESSION,
    "ranks": routes.Freshness.AGED,
}
Direct = statements.Direct
Access = statements.Access


class NarrowLinks:
    """Instances' links, whose bandwidth transfers share equally.

    Parameters
    ----------
    rate : float
        Bytes a second in each direction; 0 for links without a limit.
    """

    def __init__(self, rate):
        self._rate = rate
        self._ends = collections.Counter()

    async def carry(self, sender, receiver, message, timeout_s):
        """Carry a message, or raise TimeoutError."""
        if not self._rate:
            return
        left = len(msgspec.msgpack.encode(message))
        ends = (sender, "sends"), (receiver, "receives")
        self._ends.update(ends)
        try:
            async with asyncio.timeout(timeout_s):
                while left > 0:
                    await asyncio.sleep(STEP_S)
                    sharing = max(self._ends[end] for end in ends)
                    left -= self._rate * STEP_S / sharing
        finally:
            self._ends.subtract(ends)


class WorldPeers(interfaces.FleetPeerClient):
    """Carries calls between the instances of a world."""

    def __init__(self, world, instance):
        self._world = world
        self._instance = instance

    async def exchange(self, member, note, timeout_s):
        """See `FleetPeerClient.exchange`."""
        self._world.notes[self._instance, member.name] += 1
        receiver = await self._reach(member, timeout_s)
        await self._carry(self._instance, member.name, note, timeout_s)
        answer = receiver.gossip.handle_message(note)
        await self._carry(member.name, self._instance, answer, timeout_s)
        await asyncio.sleep(DELAY_S)
        return answer

    async def fetch_table(self, member, request, timeout_s):
        """See `FleetPeerClient.fetch_table`."""
        receiver = await self._reach(member, timeout_s)
        answer = receiver.table_sync.serve_table(request)
        await self._carry(member.name, self._instance, answer, timeout_s)
        await asyncio.sleep(DELAY_S)
        return answer

    async def _carry(self, sender, receiver, message, timeout_s):
        try:
            await self._world.narrow.carry(
                sender, receiver, message, timeout_s
            )
        except TimeoutError as exc:
            self._world.late_calls += 1
            raise exceptions.PeerUnavailable(receiver, True) from exc

    async def borrow(self, member, request, timeout_s):
        """See `FleetPeerClient.borrow`."""
        receiver = await self._reach(member, timeout_s)
        lending = receiver.connection_loans.lend(request)
        return await self._answer(member, lending, timeout_s)

    async def run(self, member, request, timeout_s):
        """See `FleetPeerClient.run`."""
        receiver = await self._reach(member, timeout_s)
        running = receiver.connection_loans.run(request)
        return await self._answer(member, running, timeout_s)

    async def give_back(self, member, ended, timeout_s):
        """See `FleetPeerClient.give_back`."""
        receiver = await self._reach(member, timeout_s)
        receiver.connection_loans.handle_end(ended)

    async def request_allowance(self, member, request, timeout_s):
        """See `FleetPeerClient.request_allowance`."""
        self._world.allowance_requests.append((self._instance, member.name))
        receiver = await self._reach(member, timeout_s)
        reply = receiver.customer_limits.serve(request)
        await asyncio.sleep(DELAY_S)
        if self._world.is_cut(self._instance, member.name):
            await asyncio.sleep(timeout_s)
            raise exceptions.PeerUnavailable(member.name, True)
        return reply

    async def _reach(self, member, timeout_s):
        await asyncio.sleep(DELAY_S)
        receiver = self._world.fleets.get(member.name)
        if receiver is None:
            raise exceptions.PeerUnavailable(member.name, True)
        if self._world.is_cut(self._instance, member.name):
            await asyncio.sleep(timeout_s)
            raise exceptions.PeerUnavailable(member.name, True)
        return receiver

    async def _answer(self, member, answering, timeout_s):
        """Return what a peer answers; it is lost if the two are cut."""
        task = asyncio.ensure_future(answering)
        done, _ = await asyncio.wait([task], timeout=timeout_s)
        gone = member.name not in self._world.fleets
        if not done or gone or self._world.is_cut(self._instance, member.name):
            task.cancel()
            raise exceptions.PeerUnavailable(member.name, True)
        await asyncio.sleep(DELAY_S)
        return task.result()


class WorldStore(records.RecordLink):
    """The store's records, which an instance reads over its own link."""

    def __init__(self, world, instance):
        super().__init__(world.records, instance)
        self._world = world
        self._name = instance

    async def list(self, kind):
        """See `RecordStore.list`."""
        return await self._carry(await super().list(kind), READ_S)

    async def watch(self, kind, after, wait_s, timeout_s):
        """See `RecordStore.watch`."""
        changes = await super().watch(kind, after, wait_s, timeout_s)
        return await self._carry(changes, READ_S)

    async def _carry(self, answer, timeout_s):
        try:
            await self._world.narrow.carry(
                "store", self._name, answer, timeout_s
            )
        except TimeoutError as exc:
            raise exceptions.StoreUnavailable("no whole answer") from exc
        return answer


class WorldPromotion(interfaces.PromotionClient):
    """The platform's promotions, and who asked for them."""

    def __init__(self, world):
        self._world = world

    async def promote(self, group, target, holder, fence, timeout_s):
        """See `PromotionClient.promote`."""
        await asyncio.sleep(DELAY_S)
        self._world.promotions.append((holder, fence, target))
        self._world.groups[group].ask_promotion(target)


class FleetWorld:
    """Three data centres with instances, and groups of three targets.

    Parameters
    ----------
    instances : int
        In each data centre.
    groups : int
        How many groups; the first one has the callers' databases.
    connections : int
        Most connections to each target.
    link_rate : float
        Bytes a second of each instance's link; 0 for no limit.
    synchronous_replicas : int
        Replicas that have received a commit when it is acknowledged.
    customers : iterable of Customer
        Customers of the first configuration; tests change the dict
        `FleetWorld.customers`, and configure.
    customer_settings : CustomerSettings
        Settings of all instances for keys and rate limits.
    target_settings : TargetSettings
        Settings of all instances for targets that have hosts.
    """

    def __init__(
        self,
        instances=2,
        groups=1,
        connections=23,
        link_rate=0.0,
        synchronous_replicas=0,
        customers=(),
        customer_settings=customers_module.CustomerSettings(),
        target_settings=loans.TargetSettings(),
    ):
        self.target_settings = target_settings
        self.customers = {one.name: one for one in customers}
        self.customer_settings = customer_settings
        self.connections = connections
        self.narrow = NarrowLinks(link_rate)
        self.late_calls = 0
        # Notes by sender and receiver.
        self.notes = collections.Counter()
        # Sender and receiver of each request for tokens of a limit.
        self.allowance_requests = []
        self.sessions = itertools.count(1)
        self.records = records.Records()
        self.groups = {}
        self.fleets = {}
        self.promotions = []
        self.cuts = set()
        self.acknowledged = []
        self.offsets = {}
        for number in range(1, groups + 1):
            name = f"ladder-{number}"
            self.groups[name] = replicas.ReplicaGroup(
                name,
                CENTRES,
                most=connections,
                synchronous_replicas=synchronous_replicas,
            )
        self.members = [
            ownership.Member(f"{centre}-{n}", f"10.{zone}.0.{n}:1", centre)
            for zone, centre in enumerate(CENTRES)
            for n in range(1, instances + 1)
        ]
        self.version = 1

    @property
    def group(self):
        """Return the first group."""
        return next(iter(self.groups.values()))

    def is_cut(self, first, second):
        """Return whether two instances do not reach each other."""
        return frozenset((first, second)) in self.cuts

    def table(self, **changes):
        """Return a configuration, with changes to all its routes."""
        found = {}
        for database, freshness in DATABASES.items():
            route = routes.Route(
                database=database,
                group=self.group.name,
                freshness=freshness,
                max_age_s=MAX_AGE_S,
                timeout_s=0.8,
                aim_s=0.25,
                priority=1,
            )
            found[database] = attrs.evolve(route, **changes)
        limits = {
            name: routes.GroupLimits(
                name, self.connections, group.synchronous_replicas
            )
            for name, group in self.groups.items()
        }
        return routes.RoutingTable(
            self.version, found, limits, 3.0, dict(self.customers)
        )

    def configure(self, more=0, **changes):
        """Write the next version of the configuration.

        Parameters
        ----------
        more : int
            Databases beside those that callers use.
        """
        table = self.table(**changes)
        pattern = table.routes["ranks"]
        for number in range(more):
            name = f"{hashing.hash_text(str(number)):x}"[:7]
            table.routes[name] = attrs.evolve(pattern, database=name)
        self.version += 1
        self.records.put(interfaces.ROUTES, "main", table)
        return table

    def list_targets(self):
        """Write what all targets say of themselves."""
        for group in self.groups.values():
            for target in group.targets.values():
                self.records.put(
                    interfaces.TARGETS, target.name, target.entry()
                )

    async def restore_store(self, copy, away_s=OUTAGE_S):
        """Have the store fail and come back from an earlier copy.

        The operator and the targets write again what the copy lacks.
        """
        self.records.knobs.down = True
        await asyncio.sleep(away_s)
        latest = self.records.copy()
        self.records.restore(copy)
        self.records.knobs.down = False
        for kind in (interfaces.ROUTES, interfaces.TARGETS):
            held = copy.kinds.get(kind, {})
            for name, record in latest.kinds.get(kind, {}).items():
                if record != held.get(name):
                    self.records.put(kind, name, record.value)

    def leave(self, target):
        """Have a target say that it is about to stop."""
        entry = attrs.evolve(target.entry(), leaving=True)
        self.records.put(interfaces.TARGETS, target.name, entry)

    def holder(self):
        """Return the instance that holds the promotion duty."""
        found = [one for one in self.fleets.values() if one.duty.held]
        assert len(found) == 1, found
        return found[0]

    def start_instance(self, member):
        """Start one instance."""

        def boot_time():
            return clock.now() + self.offsets.get(member.name, 0.0)

        outside = interfaces.FleetDependencies(
            store=WorldStore(self, member.name),
            promotion=WorldPromotion(self),
            targets=replicas.ReplicaTargetLink(self.groups, member.name),
            peers=WorldPeers(self, member.name),
            boot_time=boot_time,
        )
        started = fleet.FleetInstance(
            member,
            outside,
            customer_settings=self.customer_settings,
            target_settings=self.target_settings,
        )
        self.fleets[member.name] = started
        started.start()
        return started

    async def kill(self, name):
        """End an instance at once."""
        ended = self.fleets.pop(name)
        await ended.halt()

    async def start(self):
        """Start everything, and wait until each primary may be used."""
        self.configure()
        self.list_targets()
        for member in self.members:
            self.start_instance(member)
        await self.wait_leaders()

    async def wait_leaders(self):
        """Wait until every instance may use each primary."""
        for one in self.fleets.values():
            for name in self.groups:
                found = await one.leaders.wait_valid_leadership(
                    name, clock.now() + 30.0
                )
                assert found is not None, (one.me.name, name)

    async def stop(self):
        """End everything."""
        for name in list(self.fleets):
            await self.kill(name)

    def caller(self, instance, database, key=""):
        """Return a caller with a session at an instance."""
        return Caller(self, self.fleets[instance], database, key)

    def cut_zone(self, centre):
        """Cut a data centre off from the others and from the store."""
        inside = {m.name for m in self.members if m.data_centre == centre}
        outside = {m.name for m in self.members} - inside
        self.records.knobs.cut |= inside
        self.cuts |= {frozenset((a, b)) for a in inside for b in outside}
        for group in self.groups.values():
            for target in group.targets.values():
                far = target.data_centre != centre
                target.knobs.cut |= inside if far else outside

    def heal(self):
        """End all cuts."""
        self.records.knobs.cut.clear()
        self.cuts.clear()
        for group in self.groups.values():
            for target in group.targets.values():
                target.knobs.cut.clear()


class Caller:
    """Asks one session, and keeps what was acknowledged."""

    def __init__(self, world, instance, database, key=""):
        self._world = world
        identity = instance.customers.identify(database, key)
        self.session = session.Session(instance, database, identity)
        number = next(world.sessions)
        self.name = f"{instance.me.name}/{database}/{number}"
        self.last_id = ""
        self._count = 0

    def _id(self):
        self._count += 1
        self.last_id = f"{self.name}/{self._count}"
        return self.last_id

    async def ask(self, statement):
        """Return the answer to a statement."""
        return await self.session.answer(self._id(), statement)

    async def write(self, item, data):
        """Write an item in a statement of its own."""
        request_id = self._id()
        order = Direct(Access.WRITE, f"{item} {data}")
        answer = await self.session.answer(request_id, order)
        if answer.problem is None:
            self._world.acknowledged.append(
                (clock.now(), request_id, answer.position)
            )
        return answer

    async def read(self, item):
        """Read an item in a statement of its own."""
        return await self.ask(Direct(Access.READ, item))
