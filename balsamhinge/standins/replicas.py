"""A stand-in for groups of targets that replicate one log."""

import asyncio
import collections
import itertools

import attrs

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import statements

__all__ = [
    "Entry",
    "ReplicaGroup",
    "ReplicaTarget",
    "ReplicaTargetLink",
    "Run",
    "TargetKnobs",
]

Answer = statements.Answer
Problem = statements.Problem
Role = routes.TargetRole
State = statements.State

RECEIVE_S = 0.001
PROMOTE_S = 0.3
STEP_DOWN_S = 1.0
ORIGIN = positions.ORIGIN


@attrs.frozen
class Entry:
    """One commit of a group's log."""

    position: positions.LogPosition
    writes: tuple
    request_id: str


@attrs.frozen
class Run:
    """A statement that a target ran.

    Parameters
    ----------
    at : float
        Loop seconds.
    target, request_id : str
        Where, and for which request.
    kind : str
        "read", "write" or "commit".
    held : LogPosition
        End of the log that it ran on.
    values : dict of str to str
        Session values of its connection.
    transaction : int
        Number of the transaction, 0 for none.
    customer : str
        Customer for which its connection was opened.
    """

    at: float
    target: str
    request_id: str
    kind: str
    held: positions.LogPosition
    values: dict
    transaction: int
    customer: str = ""


@attrs.define
class TargetKnobs:
    """What a test changes while a target runs.

    Parameters
    ----------
    work_s : float
        Seconds for each read, write and commit.
    lag_s : float
        Seconds between receiving a commit and applying it.
    dark : bool
        Whether it answers nothing, and nothing reaches it.
    deaf : bool
        Whether it receives no commits.
    cut : set of str
        Instances that it does not reach.
    lonely : bool
        Whether it does not hear of a new primary.
    lose_answers : int
        How many of the next statements run without an answer.
    full : bool
        Whether it turns all work away.
    status_full : bool
        Whether it turns status queries away.
    """

    work_s: float = 0.005
    lag_s: float = 0.02
    dark: bool = False
    deaf: bool = False
    lonely: bool = False
    cut: set = attrs.Factory(set)
    lose_answers: int = 0
    full: bool = False
    status_full: bool = False


class ReplicaTarget:
    """One target of a group."""

    def __init__(self, group, name, data_centre, slots, most):
        self.group = group
        self.name = name
        self.data_centre = data_centre
        self.knobs = TargetKnobs()
        # How often statements were refused, by problem.
        self.refused = collections.Counter()
        self.role = Role.REPLICA
        self.born_ms = 1
        self.term = 1
        self.log = []
        self.applied = 0
        self.slots = slots
        self.most = most
        self.connections = set()
        self.turned_away = 0
        self.free = asyncio.Semaphore(slots)

    @property
    def received(self):
        """Return the position of the last entry received."""
        return self.log[-1].position if self.log else ORIGIN

    @property
    def visible(self):
        """Return the position of the last entry that reads see."""
        return self.log[self.applied - 1].position if self.applied else ORIGIN

    def holds(self, position):
        """Return whether the log has the entry of a position."""
        for entry in reversed(self.log):
            if entry.position <= position:
                return entry.position == position
        return False

    def value(self, item):
        """Return what an item holds, as far as it is applied."""
        for entry in reversed(self.log[: self.applied]):
            for written, data in reversed(entry.writes):
                if written == item:
                    return data
        return "-"

    def append(self, writes, request_id):
        """Commit writes here, and send them to the replicas."""
        number = self.received.offset + 1
        position = positions.LogPosition(self.term, number)
        self.log.append(Entry(position, tuple(writes), request_id))
        self.applied = len(self.log)
        self.group.replicate(self)
        return position

    def follow(self, primary):
        """Take over the log of a primary, as far as it is reached."""
        if self.knobs.deaf or self.knobs.dark or primary.knobs.dark:
            return
        common = 0
        for mine, theirs in zip(self.log, primary.log, strict=False):
            if mine.position != theirs.position:
                break
            common += 1
        if len(self.log) > common:
            self.log = self.log[:common]
            self.applied = min(self.applied, common)
        self.log += primary.log[common:]
        self.term = primary.term
        length = len(self.log)
        loop = asyncio.get_running_loop()
        loop.call_later(self.knobs.lag_s, self._apply, length)

    def _apply(self, length):
        self.applied = max(self.applied, min(length, len(self.log)))

    def restart_empty(self):
        """Start again without the log."""
        self.log, self.applied = [], 0
        self.born_ms += 1

    def entry(self):
        """Return what the target says of itself."""
        return routes.ServingTarget(
            name=self.name,
            group=self.group.name,
            address=f"{self.name}:1",
            data_centre=self.data_centre,
            slots=self.slots,
            leaving=False,
            role=self.role,
            born_ms=self.born_ms,
        )


class ReplicaGroup:
    """Targets that share a log; the first one leads.

    Parameters
    ----------
    name : str
        Name of the group.
    data_centres : iterable of str
        One for each target.
    slots, most : int
        Statements that a target runs at once, and its most connections.
    synchronous_replicas : int
        Replicas that have received a commit when it is acknowledged.
    """

    def __init__(
        self, name, data_centres, slots=3, most=23, synchronous_replicas=0
    ):
        self.name = name
        self.synchronous_replicas = synchronous_replicas
        self.targets = {}
        self.runs = []
        # Seconds from the call until a promotion takes effect.
        self.promote_s = PROMOTE_S
        self.promotions = []
        self.transactions = itertools.count(1)
        for number, centre in enumerate(data_centres, 1):
            target = f"{name}-{number}"
            self.targets[target] = ReplicaTarget(
                self, target, centre, slots, most
            )
        self.primary.role = Role.PRIMARY

    @property
    def primary(self):
        """Return the target that leads the newest term."""
        leading = [
            target
            for target in self.targets.values()
            if target.role is Role.PRIMARY
        ]
        if not leading:
            return next(iter(self.targets.values()))
        return max(leading, key=lambda target: target.term)

    def replicate(self, primary):
        """Send a primary's log to the replicas that reach it."""
        loop = asyncio.get_running_loop()
        loop.call_later(RECEIVE_S, self._receive, primary)

    def _receive(self, primary):
        for target in self.targets.values():
            if target is not primary and target.role is Role.REPLICA:
                if target.term <= primary.term:
                    target.follow(primary)

    async def wait_received(self, position):
        """Wait until enough replicas have received a commit."""
        while self.synchronous_replicas > sum(
            target.role is Role.REPLICA and target.holds(position)
            for target in self.targets.values()
        ):
            await asyncio.sleep(RECEIVE_S)

    def ask_promotion(self, name):
        """Have a target made the primary a little later.

        Whoever asked may be gone by then.
        """
        chosen = self.targets[name]
        if chosen.knobs.dark:
            raise exceptions.PromotionRefused(name)
        if chosen is self.primary and chosen.role is Role.PRIMARY:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_s, self._promote, name)

    async def promote(self, name):
        """Make a target the primary, and wait until it leads."""
        self.ask_promotion(name)
        await asyncio.sleep(self.promote_s + RECEIVE_S)

    def _promote(self, name):
        chosen = self.targets[name]
        if chosen.knobs.dark:
            return
        self.promotions.append(name)
        newest = max(target.term for target in self.targets.values())
        chosen.term = newest + 1
        chosen.role = Role.PRIMARY
        chosen.applied = len(chosen.log)
        loop = asyncio.get_running_loop()
        for target in self.targets.values():
            if target is chosen:
                continue
            if target.role is Role.PRIMARY:
                loop.call_later(STEP_DOWN_S, self._step_down, target)
        self.replicate(chosen)

    def _step_down(self, target):
        knobs = target.knobs
        if knobs.dark or knobs.lonely or target.term >= self.primary.term:
            return
        target.role = Role.REPLICA
        target.follow(self.primary)


class ReplicaConnection:
    """One instance's connection to a target; orders run one by one."""

    def __init__(self, target, instance, customer=""):
        self._target = target
        self._instance = instance
        self.customer = customer
        self._queue = asyncio.Queue()
        self._runner = asyncio.ensure_future(self._run())
        self._values = {}
        self._prepared = {}
        self._transaction = 0
        self._read_only = False
        self._writes = []
        self._state = State.IDLE
        self.outstanding = 0
        self.lost = False

    def send(self, order):
        """See `LineTargetConnection.send`."""
        if self.lost:
            raise exceptions.ConnectionUnavailable("lost")
        fut = asyncio.get_running_loop().create_future()
        self.outstanding += 1
        self._queue.put_nowait((order, fut))
        return fut

    def _reached(self):
        knobs = self._target.knobs
        return not knobs.dark and self._instance not in knobs.cut

    async def _run(self):
        while True:
            order, fut = await self._queue.get()
            while not self._reached():
                await asyncio.sleep(0.05)
            answer = await self._one(order)
            if self._target.knobs.lose_answers and order.request_id:
                self._target.knobs.lose_answers -= 1
                continue
            self.outstanding -= 1
            if not fut.done():
                fut.set_result(answer)

    async def _one(self, order):
        problem = await self._do(order)
        if isinstance(problem, Answer):
            answer = problem
        elif problem is None:
            answer = Answer()
        else:
            self._target.refused[problem] += 1
            if self._state is State.OPEN:
                self._state = State.FAILED
            answer = Answer.refusal(problem, self._target.name)
        return attrs.evolve(
            answer, state=self._state, position=self._target.visible
        )

    async def _do(self, order):
        target = self._target
        match order.statement:
            case statements.Assign(name, value):
                self._values[name] = value
            case statements.Prepare(name):
                self._prepared[name] = order.statement
            case statements.Deallocate(name):
                self._prepared.pop(name, None)
            case statements.Reset():
                self._values, self._prepared = {}, {}
            case statements.Status():
                if target.knobs.status_full:
                    return Problem.BUSY
                return self._status()
            case statements.StepDown(term):
                lower = target.term < term
                if target.role is Role.PRIMARY and lower:
                    target.role = Role.REPLICA
                    target.follow(target.group.primary)
                return self._status()
            case statements.Begin(read_only):
                return self._begin(read_only, order.needed)
            case statements.Rollback():
                self._end()
            case _ if target.knobs.full:
                target.turned_away += 1
                return Problem.BUSY
            case _ if self._state is State.FAILED:
                return Problem.MALFORMED
            case statements.Commit():
                return await self._commit(order)
            case statements.Direct(access, arguments):
                return await self._item(order, access, arguments)
            case statements.Execute(name, arguments):
                prepared = self._prepared.get(name)
                if prepared is None:
                    return Problem.UNKNOWN_NAME
                return await self._item(order, prepared.access, arguments)
        return None

    def _status(self):
        target = self._target
        row = f"{target.role.value} {target.term} {target.received}"
        return Answer(rows=(row,))

    def _begin(self, read_only, needed):
        target = self._target
        if not read_only and target.role is not Role.PRIMARY:
            return Problem.READ_ONLY
        if needed and not positions.covers(target.visible, needed):
            return Problem.BEHIND
        self._state = State.OPEN
        self._read_only = read_only
        self._transaction = next(target.group.transactions)
        self._writes = []
        return None

    def _end(self):
        self._state = State.IDLE
        self._transaction = 0
        self._writes = []

    def _record(self, kind, order):
        target = self._target
        target.group.runs.append(
            Run(
                at=asyncio.get_running_loop().time(),
                target=target.name,
                request_id=order.request_id,
                kind=kind,
                held=target.visible,
                values=dict(self._values),
                transaction=self._transaction,
                customer=self.customer,
            )
        )

    async def _item(self, order, access, arguments):
        target = self._target
        write = access is statements.Access.WRITE
        needed = order.needed
        if needed and not positions.covers(target.visible, needed):
            return Problem.BEHIND
        async with target.free:
            await asyncio.sleep(target.knobs.work_s)
            plain = self._transaction and not self._read_only
            if target.role is not Role.PRIMARY and (write or plain):
                return Problem.READ_ONLY
            self._record(access.value, order)
            if not write:
                item = arguments.split(" ")[0]
                return Answer(rows=(target.value(item),), signature="s")
            item, _, data = arguments.partition(" ")
            if self._transaction:
                self._writes.append((item, data))
            else:
                position = target.append([(item, data)], order.request_id)
                await target.group.wait_received(position)
            return Answer(signature="s")

    async def _commit(self, order):
        target = self._target
        async with target.free:
            await asyncio.sleep(target.knobs.work_s)
            if self._writes and target.role is not Role.PRIMARY:
                return Problem.READ_ONLY
            self._record("commit", order)
            if self._writes:
                position = target.append(self._writes, order.request_id)
                await target.group.wait_received(position)
            self._end()
            return Answer(signature="s")

    def abort(self):
        """Drop the connection; what is open is undone."""
        self.lost = True
        self._runner.cancel()
        self._end()
        self._target.connections.discard(self)

    close = abort


class ReplicaTargetLink(interfaces.SessionTargetConnector):
    """One instance's way to the targets of some groups.

    Parameters
    ----------
    groups : dict of str to ReplicaGroup
        By name.
    instance : str
        Whose way.
    """

    def __init__(self, groups, instance):
        self._groups = groups
        self._instance = instance

    async def connect(self, target, timeout_s, customer=""):
        """See `SessionTargetConnector.connect`."""
        found = self._groups[target.group].targets[target.name]
        await asyncio.sleep(0.002)
        if found.knobs.dark or self._instance in found.knobs.cut:
            await asyncio.sleep(timeout_s)
            raise exceptions.TargetUnreachable(target.name)
        if len(found.connections) >= found.most:
            raise exceptions.ConnectionRejected(Problem.TOO_MANY, target.name)
        conn = ReplicaConnection(found, self._instance, customer)
        found.connections.add(conn)
        return conn

    def status(self, answer):
        """See `SessionTargetConnector.status`."""
        if not answer.rows:
            return None
        role, term, received = answer.rows[0].split(" ")
        number = received.split(".")
        position = positions.LogPosition(int(number[0]), int(number[1]))
        return interfaces.TargetReport(
            Role(role), int(term), position, position
        )
