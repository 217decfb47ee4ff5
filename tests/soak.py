"""Random faults, two at a time, on a fleet of the virtual clock.

``python -m tests.soak --first 0 --seeds 100`` plays seeds and prints what
broke; the tests of CI play a few. With ``--restores`` the store also comes
back from older copies. With ``--customers`` callers have keys, which
operators replace, and limits, beyond which one customer goes. With
``--absences`` instances are cut off until they are deregistered, come back,
and are cut off again while the primary is replaced. With ``--synchronous``
a commit is acknowledged once a replica has received it, and no promotion may
lose one. With ``--refusals`` the store turns some instances away, often the
holder of the promotion duty, while primaries are replaced.
"""

import argparse
import asyncio
import itertools
import random
import sys

import attrs

from balsamhinge.controllers import clock
from balsamhinge.controllers import storedrecords
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.policy import customers
from balsamhinge.policy import leases
from balsamhinge.policy import registrations
from balsamhinge.policy import routes
from balsamhinge.policy import statements
from tests.support import fleet
from tests.support import world as virtual

__all__ = ["Outcome", "play"]

Access = statements.Access
Direct = statements.Direct
Problem = statements.Problem

PLAY_S = 25.0
HEAL_S = 14.0
ITEMS = 4
THINK_S = 0.06
# How much more often than another fault the store is restored.
RESTORE_WEIGHT = 5
# The same for the replacement of a key.
KEY_WEIGHT = 4
# The same for a long absence.
ABSENCE_WEIGHT = 3
# The same for refusals by the store, and faults of replicas in a group that
# replicates synchronously.
REFUSAL_WEIGHT = 4
REPLICA_WEIGHT = 3
# With a primary in use, some write is acknowledged within this time.
ACKNOWLEDGED_WITHIN_S = 1.0
# A target takes so long to hear of another primary.
STEP_DOWN_S = 1.0
SETTINGS = customers.CustomerSettings(
    strict_revocation=True,
    revocation_s=5.0,
    limit_window_s=5.0,
    limit_overage=0.1,
    limit_slack=20.0,
    data_centres=fleet.CENTRES,
)
# Limits in operations a second. The last customer's is far below what its
# callers ask for.
RATES = {"bode": 500.0, "dirac": 500.0, "fermi": 2.0}
# Answers after which a write may have been kept.
OPEN_PROBLEMS = {Problem.IN_DOUBT, Problem.TIMEOUT, Problem.FAILED}


@attrs.frozen
class Ask:
    """One operation of a caller, and what it was told.

    Parameters
    ----------
    session : str
        Whose.
    freshness : Freshness
        Of its route.
    request_id : str
        Of the statement that reads, or that commits.
    write : bool
        Whether it changes data.
    begun, ended : float
        Loop seconds.
    problem : Problem or None
        None for success.
    """

    session: str
    freshness: routes.Freshness
    request_id: str
    write: bool
    begun: float
    ended: float
    problem: Problem | None


@attrs.define
class Outcome:
    """What a seed came to."""

    seed: int
    asks: list = attrs.Factory(list)
    faults: list = attrs.Factory(list)
    broken: list = attrs.Factory(list)
    lost: int = 0
    promotions: int = 0


class RunLog(list):
    """A group's runs, with the commits that each of them saw."""

    def __init__(self, group):
        super().__init__()
        self._group = group
        self.entries = {}

    def append(self, run):
        """Add a run, and what its target's log held."""
        super().append(run)
        target = self._group.targets[run.target]
        self.entries[run.request_id] = frozenset(
            entry.request_id for entry in target.log[: target.applied]
        )


async def rejoin(group, target):
    """Let a target hear of the present primary again."""
    await asyncio.sleep(STEP_DOWN_S)
    primary = group.primary
    if target is primary:
        group.replicate(target)
        return
    if target.term < primary.term:
        target.role = routes.TargetRole.REPLICA
    if target.role is routes.TargetRole.REPLICA:
        target.follow(primary)


class Keys:
    """Keys of the callers, and what was sent with them.

    Attributes
    ----------
    current : dict of str to str
        Key by customer.
    withdrawn : dict of str to float
        Loop seconds by withdrawn key.
    sent : dict of str to tuple
        By request, its customer, key, operation, and loop seconds when it
        was sent.
    """

    def __init__(self):
        self.current = {name: f"{name}-0" for name in RATES}
        self.withdrawn = {}
        self.sent = {}

    def customers(self):
        """Return the `Customer` of each name."""
        return {
            name: customers.Customer(
                name, (customers.digest_key(key),), 1, RATES[name], RATES[name]
            )
            for name, key in self.current.items()
        }

    def find_faults(self, runs):
        """Return what the runs at targets break, as texts."""
        started = {}
        for run in runs:
            if run.request_id not in self.sent:
                continue
            customer, key, operation, sent_at = self.sent[run.request_id]
            if run.customer != customer:
                yield f"{run.request_id} of {customer} ran for {run.customer}"
            withdrawn_at = self.withdrawn.get(key, float("inf"))
            if sent_at > withdrawn_at + SETTINGS.revocation_s:
                yield f"{run.request_id} ran, its key ended {withdrawn_at}"
            started.setdefault((customer, operation), run.at)
        for name, rate in RATES.items():
            starts = sorted(t for who, t in started.items() if who[0] == name)
            yield from _windows_beyond(name, rate, starts)


def _windows_beyond(name, rate, starts):
    """Yield a text for the first window with too many operations."""
    window_s = SETTINGS.limit_window_s
    bound = (rate * window_s + rate) * (1 + SETTINGS.limit_overage)
    bound += SETTINGS.limit_slack
    first = 0
    for last, at in enumerate(starts):
        while starts[first] <= at - window_s:
            first += 1
        if last - first + 1 > bound:
            yield f"{name} ran {last - first + 1} of {bound} until {at:.3f}"
            return


class Soak:
    """One seed's callers and faults; see `play`."""

    def __init__(
        self,
        seed,
        restores=False,
        with_customers=False,
        absences=False,
        synchronous=False,
        refusals=False,
    ):
        self.rng = random.Random(f"soak/{seed}")
        self._restores = restores
        self._absences = absences
        self._synchronous = synchronous
        self._refusals = refusals
        self.outcome = Outcome(seed)
        self._keys = Keys() if with_customers else None
        options = {"synchronous_replicas": int(synchronous)}
        if with_customers:
            options["customers"] = self._keys.customers().values()
            options["customer_settings"] = SETTINGS
        self.world = fleet.FleetWorld(instances=2, **options)
        self.world.group.runs = RunLog(self.world.group)
        if synchronous:
            self._check_promotions()
        self._count = 0
        self._playing = True

    async def play(self):
        """Play faults, heal everything, then check the history."""
        world = self.world
        await world.start()
        await asyncio.sleep(leases.EXTENDED_LEASE_S + 0.5)
        callers = [
            asyncio.ensure_future(self._call(member.name, database, customer))
            for member in world.members
            for database, customer in zip(
                fleet.DATABASES,
                RATES if self._keys else ("", "", ""),
                strict=True,
            )
        ]
        ends_at = clock.now() + PLAY_S
        faulting = [
            asyncio.ensure_future(self._fault_until(ends_at)) for _ in "ab"
        ]
        await asyncio.gather(*faulting)
        await asyncio.sleep(HEAL_S)
        self._playing = False
        await asyncio.gather(*callers)
        await self._check_service()
        self._check()
        self._check_fences()
        if self._keys:
            self._check_customers()
        self.outcome.promotions = len(world.promotions)
        await world.stop()
        return self.outcome

    # Callers.

    async def _call(self, name, database, customer):
        """Ask one operation after the other, at one instance."""
        while self._playing:
            if name not in self.world.fleets:
                await asyncio.sleep(0.2)
                continue
            caller = self._open(name, database, customer)
            if caller is None:
                await asyncio.sleep(0.2)
                continue
            try:
                await self._session(caller, database)
            except asyncio.CancelledError:
                if name in self.world.fleets:
                    raise
                # The instance was killed; nobody got an answer.

    def _open(self, name, database, customer):
        """Return a caller with a session, or None if it is refused."""
        key = self._keys.current[customer] if customer else ""
        try:
            caller = self.world.caller(name, database, key)
        except (exceptions.KeyDenied, exceptions.ConfigurationOutdated):
            return None
        if customer:
            caller.ask = self._recorded(caller, customer, key)
        return caller

    def _recorded(self, caller, customer, key):
        """Return the `ask` of a caller, which keeps what it sends."""
        ask = caller.ask
        operations = itertools.count(1)
        number = 0

        async def recorded(statement):
            nonlocal number
            if caller.session.state is statements.State.IDLE:
                number = next(operations)
            operation = caller.name, number
            sent_at = clock.now()
            try:
                return await ask(statement)
            finally:
                self._keys.sent[caller.last_id] = (
                    customer,
                    key,
                    operation,
                    sent_at,
                )

        return recorded

    async def _session(self, caller, database):
        for _operation in range(self.rng.randint(1, 6)):
            if self.rng.random() < 0.25:
                await self._transaction(caller, database)
            else:
                await self._single(caller, database)
            await asyncio.sleep(self.rng.expovariate(1 / THINK_S))

    async def _single(self, caller, database):
        item = self.rng.randrange(ITEMS)
        write = self.rng.random() < 0.4
        text = f"i{item}"
        if write:
            self._count += 1
            text += f" {self._count}"
        access = Access.WRITE if write else Access.READ
        begun = clock.now()
        answer = await caller.ask(Direct(access, text))
        self._note(caller, database, write, begun, answer)

    async def _transaction(self, caller, database):
        await caller.ask(statements.Begin())
        wrote = False
        for _statement in range(self.rng.randint(1, 3)):
            item = self.rng.randrange(ITEMS)
            self._count += 1
            order = Direct(Access.WRITE, f"i{item} {self._count}")
            answer = await caller.ask(order)
            wrote = True
            if answer.problem is not None:
                break
            await asyncio.sleep(self.rng.expovariate(1 / THINK_S))
        if answer.problem is not None or self.rng.random() < 0.2:
            await caller.ask(statements.Rollback())
            return
        begun = clock.now()
        answer = await caller.ask(statements.Commit())
        self._note(caller, database, wrote, begun, answer)
        if answer.state is not statements.State.IDLE:
            await caller.ask(statements.Rollback())

    def _note(self, caller, database, write, begun, answer):
        self.outcome.asks.append(
            Ask(
                session=caller.name,
                freshness=fleet.DATABASES[database],
                request_id=caller.last_id,
                write=write,
                begun=begun,
                ended=clock.now(),
                problem=answer.problem,
            )
        )

    # Faults.

    async def _fault_until(self, ends_at):
        kinds = [
            self._dark_target,
            self._deaf_target,
            self._cut_target,
            self._cut_zone,
            self._cut_instance,
            self._store_down,
            self._store_forgets,
            self._kill,
            self._suspend,
            self._leave,
            self._lose_answers,
        ]
        if self._keys:
            kinds += [self._replace_key] * KEY_WEIGHT
        kinds += [self._store_restored] * (RESTORE_WEIGHT * self._restores)
        kinds += [self._store_refuses] * (REFUSAL_WEIGHT * self._refusals)
        kinds += [self._leave] * (REFUSAL_WEIGHT * self._refusals)
        kinds += [self._leave_replica] * (REPLICA_WEIGHT * self._synchronous)
        kinds += [self._busy_target] * (REPLICA_WEIGHT * self._synchronous)
        kinds += [self._crash_after_lag] * (REPLICA_WEIGHT * self._synchronous)
        kinds += [self._crash_untold] * (REPLICA_WEIGHT * self._synchronous)
        kinds += [self._long_absence] * (ABSENCE_WEIGHT * self._absences)
        kinds += [self._deregister] * (ABSENCE_WEIGHT * self._absences)
        while clock.now() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            kind = self.rng.choice(kinds)
            self.outcome.faults.append(
                f"{clock.now():.3f} {kind.__name__.strip('_')}"
            )
            await kind()

    def _target(self):
        return self.rng.choice(list(self.world.group.targets.values()))

    async def _for_a_while(self, most=6.0):
        await asyncio.sleep(self.rng.uniform(0.2, most))

    async def _dark_target(self):
        target = self._target()
        target.knobs.dark = True
        await self._for_a_while()
        target.knobs.dark = False
        await rejoin(self.world.group, target)

    async def _deaf_target(self):
        target = self._target()
        target.knobs.deaf = True
        await self._for_a_while()
        target.knobs.deaf = False
        await rejoin(self.world.group, target)

    async def _cut_target(self):
        target = self._target()
        names = [member.name for member in self.world.members]
        cut = set(self.rng.sample(names, self.rng.randint(1, 5)))
        target.knobs.cut |= cut
        await self._for_a_while()
        target.knobs.cut -= cut

    async def _cut_zone(self):
        self.world.cut_zone(self.rng.choice(fleet.CENTRES))
        await self._for_a_while()
        self.world.heal()

    async def _cut_instance(self):
        name = self.rng.choice(self.world.members).name
        await self._cut_off(
            name, self.rng.random() < 0.5, self.rng.uniform(0.2, 6.0)
        )

    async def _cut_off(self, name, from_others, seconds):
        """Cut an instance off from the store, or from the others too."""
        knobs = self.world.records.knobs
        knobs.cut.add(name)
        pairs = set()
        if from_others:
            others = {member.name for member in self.world.members} - {name}
            pairs = {frozenset((name, other)) for other in others}
        self.world.cuts |= pairs
        await asyncio.sleep(seconds)
        knobs.cut.discard(name)
        self.world.cuts -= pairs

    async def _long_absence(self):
        name = self.rng.choice(self.world.members).name
        expiry_s = registrations.MEMBER_EXPIRY_S
        absent_s = self.rng.uniform(expiry_s - 1.0, expiry_s + 4.0)
        await self._cut_off(name, True, absent_s)
        await self._for_a_while(3.0)
        await self._replace_while_cut_off(name)

    async def _deregister(self):
        """Delete a record, as a call of an earlier holder does late."""
        name = self.rng.choice(self.world.members).name
        key = storedrecords.member_key(name)
        self.world.records.drop(interfaces.LEADERS, key)
        await self._for_a_while(1.0)
        await self._replace_while_cut_off(name)

    async def _replace_while_cut_off(self, name):
        cutting = self._cut_off(name, True, self.rng.uniform(0.5, 4.0))
        await asyncio.gather(cutting, self._leave())

    async def _store_down(self):
        knobs = self.world.records.knobs
        knobs.down = True
        await self._for_a_while()
        knobs.down = False

    async def _store_refuses(self):
        """Turn the holder of the duty away, or some of all instances."""
        names = [member.name for member in self.world.members]
        chosen = set(self.rng.sample(names, self.rng.randint(1, 3)))
        if self.rng.random() < 0.6:
            chosen = {one.me.name for one in self._holders()}
        knobs = self.world.records.knobs
        turned_away = self.rng.choice((knobs.refused, knobs.cut))
        turned_away |= chosen
        await self._for_a_while(9.0)
        turned_away -= chosen

    def _holders(self):
        return [one for one in self.world.fleets.values() if one.duty.held]

    async def _store_restored(self):
        copy = self.world.records.copy()
        await self._for_a_while()
        await self.world.restore_store(copy, self.rng.uniform(0.05, 3.0))

    async def _store_forgets(self):
        knobs = self.world.records.knobs
        knobs.silent_watches = True
        knobs.lose_answers = self.rng.randint(0, 2)
        await self._for_a_while(1.5)
        knobs.silent_watches = False
        self.world.records.forget_history()

    async def _kill(self):
        member = self.rng.choice(self.world.members)
        if member.name not in self.world.fleets:
            return
        await self.world.kill(member.name)
        await self._for_a_while(2.0)
        self.world.start_instance(member)

    async def _suspend(self):
        name = self.rng.choice(self.world.members).name
        offsets = self.world.offsets
        offsets[name] = offsets.get(name, 0.0) + self.rng.uniform(0.5, 6.0)

    async def _leave(self):
        target = self.world.group.primary
        self.world.leave(target)
        await self._for_a_while(4.0)
        self.world.records.put(interfaces.TARGETS, target.name, target.entry())

    async def _leave_replica(self):
        target = self._target()
        self.world.leave(target)
        await self._for_a_while()
        self.world.records.put(interfaces.TARGETS, target.name, target.entry())

    async def _busy_target(self):
        target = self._target()
        target.knobs.status_full = True
        await self._for_a_while()
        target.knobs.status_full = False

    async def _crash_after_lag(self):
        """Silence the primary while one replica alone has received all."""
        group = self.world.group
        primary = group.primary
        replicas = [one for one in group.targets.values() if one != primary]
        behind, synced = self.rng.sample(replicas, 2)
        behind.knobs.deaf = True
        leaves = self.rng.random() < 0.5
        synced.knobs.status_full = not leaves
        if leaves:
            self.world.leave(synced)
        await self._for_a_while(3.0)
        primary.knobs.dark = True
        await self._for_a_while()
        synced.knobs.status_full = False
        self.world.records.put(interfaces.TARGETS, synced.name, synced.entry())
        for target, knob in ((behind, "deaf"), (primary, "dark")):
            setattr(target.knobs, knob, False)
            await rejoin(group, target)

    async def _crash_untold(self):
        """Silence the primary as the instance that wrote last is killed.

        The one replica that has received all is busy, or is not listed.
        """
        group = self.world.group
        primary = group.primary
        replicas = [one for one in group.targets.values() if one != primary]
        behind, synced = self.rng.sample(replicas, 2)
        behind.knobs.deaf = True
        busy = self.rng.random() < 0.5
        name = await self._wait_acknowledged()
        member = self.world.fleets[name].me if name else None
        if member is not None:
            await self.world.kill(name)
        synced.knobs.status_full = busy
        primary.knobs.dark = True
        if not busy:
            synced.knobs.dark = True
            self.world.records.drop(interfaces.TARGETS, synced.name)
        await self._for_a_while(1.0)
        if member is not None and name not in self.world.fleets:
            self.world.start_instance(member)
        await self._for_a_while()
        synced.knobs.status_full = False
        self.world.records.put(interfaces.TARGETS, synced.name, synced.entry())
        for target, knob in (
            (behind, "deaf"),
            (synced, "dark"),
            (primary, "dark"),
        ):
            setattr(target.knobs, knob, False)
            await rejoin(group, target)

    async def _wait_acknowledged(self):
        """Return the instance of the next acknowledged write, or None."""
        count = len(self.outcome.asks)
        until = clock.now() + ACKNOWLEDGED_WITHIN_S
        while clock.now() < until:
            await asyncio.sleep(0.001)
            for ask in self.outcome.asks[count:]:
                name = ask.session.partition("/")[0]
                if ask.write and ask.problem is None:
                    return name if name in self.world.fleets else None
            count = len(self.outcome.asks)
        return None

    async def _replace_key(self):
        name = self.rng.choice(list(RATES))
        key = self._keys.current[name]
        self._keys.current[name] = f"{name}-{len(self._keys.withdrawn) + 1}"
        self.world.customers = self._keys.customers()
        self.world.configure()
        self._keys.withdrawn[key] = clock.now()
        await self._for_a_while(1.0)

    async def _lose_answers(self):
        self._target().knobs.lose_answers = self.rng.randint(1, 3)

    # Checks.

    async def _check_service(self):
        """Every instance writes again once all faults have ended."""
        for name in self.world.fleets:
            for _try in range(40):
                customer = "bode" if self._keys else ""
                caller = self._open(name, "posts", customer)
                if caller is not None:
                    break
                await asyncio.sleep(0.1)
            else:
                self.outcome.broken.append(f"{name} accepts no key")
                continue
            for _try in range(40):
                answer = await caller.write("last", name)
                if answer.problem is None:
                    break
                await asyncio.sleep(0.1)
            else:
                self.outcome.broken.append(f"{name} does not serve: {answer}")

    def _check(self):
        group = self.world.group
        kept = [entry.request_id for entry in group.primary.log]
        for request_id in {one for one in kept if kept.count(one) > 1}:
            self._break(f"{request_id} was kept twice")
        kept = set(kept)
        writes = [ask for ask in self.outcome.asks if ask.write]
        acknowledged = [ask for ask in writes if ask.problem is None]
        self.outcome.lost = sum(
            ask.request_id not in kept for ask in acknowledged
        )
        for ask in writes:
            refused = ask.problem and ask.problem not in OPEN_PROBLEMS
            if refused and ask.request_id in kept:
                self._break(f"{ask.request_id} was refused and kept")
        lasting = [ask for ask in acknowledged if ask.request_id in kept]
        entries = group.runs.entries
        for ask in self.outcome.asks:
            if ask.write or ask.problem is not None:
                continue
            for write in lasting:
                if not _must_see(ask, write):
                    continue
                if write.request_id not in entries[ask.request_id]:
                    self._break(
                        f"{ask.request_id} ({ask.freshness.value}) "
                        f"from {ask.begun:.3f} misses "
                        f"{write.request_id} of {write.ended:.3f}"
                    )

    def _check_promotions(self):
        """Check each promotion against what was acknowledged before it."""
        group = self.world.group
        promote = group._promote

        def check(name):
            target = group.targets[name]
            held = {entry.request_id for entry in target.log}
            missing = [
                ask.request_id
                for ask in self.outcome.asks
                if ask.write
                and ask.problem is None
                and ask.request_id not in held
            ]
            if missing and not target.knobs.dark:
                self._break(
                    f"{name} was promoted at {clock.now():.3f} without "
                    f"{len(missing)} acknowledged commits, first {missing[0]}"
                )
            promote(name)

        group._promote = check

    def _check_customers(self):
        for text in self._keys.find_faults(self.world.group.runs):
            self._break(text)

    def _check_fences(self):
        fences = [fence for _holder, fence, _target in self.world.promotions]
        if fences != sorted(fences):
            self._break(f"fences decrease: {fences}")

    def _break(self, text):
        self.outcome.broken.append(text)


def _must_see(read, write):
    """Return whether a read must show an acknowledged write."""
    if write.ended >= read.begun:
        return False
    match read.freshness:
        case routes.Freshness.LATEST:
            return True
        case routes.Freshness.SESSION if write.session == read.session:
            return True
    return write.ended < read.begun - fleet.MAX_AGE_S


def play(seed, **options):
    """Return the `Outcome` of one seed.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    restores : bool
        Whether the store also comes back from older copies.
    with_customers : bool
        Whether callers have keys and limits.
    absences : bool
        Whether instances are deregistered while they are alive.
    synchronous : bool
        Whether a commit is acknowledged once a replica has received it.
    refusals : bool
        Whether the store turns some instances away, and primaries leave.
    """

    async def run():
        return await Soak(seed, **options).play()

    return virtual.run_virtual(run())


def main(argv=None):
    """Play seeds; return 1 if anything broke."""
    parser = argparse.ArgumentParser(
        prog="tests.soak", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--restores", action="store_true")
    parser.add_argument("--customers", action="store_true")
    parser.add_argument("--absences", action="store_true")
    parser.add_argument("--synchronous", action="store_true")
    parser.add_argument("--refusals", action="store_true")
    args = parser.parse_args(argv)
    red = 0
    for seed in range(args.first, args.first + args.seeds):
        outcome = play(
            seed,
            restores=args.restores,
            with_customers=args.customers,
            absences=args.absences,
            synchronous=args.synchronous,
            refusals=args.refusals,
        )
        served = sum(ask.problem is None for ask in outcome.asks)
        print(
            f"seed={seed} asks={len(outcome.asks)} served={served} "
            f"promotions={outcome.promotions} lost={outcome.lost} "
            f"broken={len(outcome.broken)}"
        )
        for text in outcome.broken[:5]:
            print(f"  {text}")
        if outcome.broken:
            red += 1
            print("  faults: " + "; ".join(outcome.faults))
    print(f"{args.seeds} seeds, {red} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
