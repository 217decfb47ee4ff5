"""Changes of the configuration at real processes, beside faults.

``python -m tests.platform.configurationsoak --first 0 --seeds 50`` plays
seeds and prints each request that was handled as only an outdated
configuration allows. ``--faults`` names the kinds of faults.
"""

import argparse
import asyncio
import bisect
import collections
import itertools
import math
import random
import signal
import sys

import attrs

from tests.platform import relays
from tests.platform import standins
from tests.platform import stopfleet

__all__ = ["FAULTS", "Options", "Outcome", "play"]

# Bounds of the rule CONFIG.
CONFIG_APPLY_S = 3.0
# Addition for instances in touch while the store is disturbed, but neither
# down nor slow, and has lost no answers.
OUTER_S = 12.0
STABLE_WINDOW_S = 4.0
DOWNGRADE_SLACK_S = 0.25
SLOW_DOWNGRADE_SLACK_S = 2.0

INSTANCES_PER_CENTRE = 3
# Seconds between two changes; a seed has many of them or few.
CHANGE_GAPS_S = ((0.1, 1.5), (1.0, 8.0))
TWICE_SHARE = 0.3
MAX_ADDED = 8
# Time after the end of a fault in which the bounds of all apply again.
CALM_S = STABLE_WINDOW_S + 2.5
FAULT_S = (0.3, 8.0)
SECOND_FAULT_SHARE = 0.4
# Databases that were changed so long ago are not probed any more.
PROBED_S = 12.0
PROBE_GAP_S = 0.04
STATEMENT_GAP_S = 0.2
SESSION_STATEMENTS = 40
CALL_TIMEOUT_S = 2.0
SLOW_STORE_S = (0.2, 0.9)
# Longest time until the operators write to a restored store.
OLD_COPY_S = 2.0
RELAY_DELAY_S = (0.05, 0.4)
RELAY_LOSS = 0.2
# A stall of this process is one of the store, which runs in it.
STALL_S = 1.0
STALL_CHECK_INTERVAL_S = 0.05
MAX_PRINTED = 10

STORE_FAULTS = (
    "silent",
    "down",
    "slow",
    "stalled_watches",
    "compaction",
    "restored",
)
# The store turns some instances away, and serves the others.
REFUSAL_FAULTS = ("busy", "unavailable", "resetting", "unresponsive")
# Faults beside which a configuration is in force within the longer bound.
OUTER_FAULTS = REFUSAL_FAULTS + ("compaction",)
RELAY_FAULTS = (
    "swallow",
    "swallow_requests",
    "swallow_answers",
    "reset",
    "delay",
    "loss",
    "hold",
)
# The same between other instances and an instance.
PEER_PREFIX = "peer_"
PEER_FAULTS = tuple(PEER_PREFIX + kind for kind in RELAY_FAULTS)
PROCESS_FAULTS = ("kill", "freeze", "term", "hup")
FAULTS = (
    STORE_FAULTS + REFUSAL_FAULTS + RELAY_FAULTS + PROCESS_FAULTS + PEER_FAULTS
)
# Difference between the third bytes of the IP addresses of an instance and
# of the relays in front of it.
RELAYED_OFFSET = 10


@attrs.frozen
class Options:
    """What a play consists of.

    Parameters
    ----------
    faults : tuple of str
        Kinds of faults.
    play_s : float
        Seconds in which faults begin.
    fault_s : tuple of float
        Shortest and longest fault.
    per_centre : int
        Instances of each data centre.
    """

    faults: tuple = FAULTS
    play_s: float = 30.0
    fault_s: tuple = FAULT_S
    per_centre: int = INSTANCES_PER_CENTRE


@attrs.frozen
class Change:
    """One version: when the store acknowledged it, and its added routes."""

    version: int
    at: float
    groups: dict


@attrs.define(eq=False)
class Probe:
    """One request of a caller.

    Parameters
    ----------
    kind : str
        "opening", or "statement" for one in an open session.
    instance : str
        Name of the instance.
    incarnation : Incarnation
        Its process.
    database, request_id : str
        What was asked for.
    sent_at, ended_at : float
        Loop seconds.
    handled : str or None
        "refused" for an unknown database, "ran", or None for any other end.
    """

    kind: str
    instance: str
    incarnation: stopfleet.Incarnation
    database: str
    request_id: str
    sent_at: float
    ended_at: float = 0.0
    handled: str | None = None


@attrs.define
class Disturbance:
    """A fault; ``instance`` is empty for one of the store or of all."""

    kind: str
    instance: str
    begin: float
    end: float = math.inf

    @property
    def is_of_store(self):
        """Return whether the store is not stable meanwhile."""
        return not self.instance or self.kind in REFUSAL_FAULTS


@attrs.define
class Outcome:
    """What a seed came to."""

    seed: int
    requests: int = 0
    judged: int = 0
    versions: int = 0
    breaches: list = attrs.Factory(list)
    exits: list = attrs.Factory(list)
    plan: list = attrs.Factory(list)


def relayed_host(host):
    """Return the IP address of the relays in front of an instance."""
    first, second, third, last = host.split(".")
    return f"{first}.{second}.{int(third) + RELAYED_OFFSET}.{last}"


@attrs.frozen
class AddressTranslation:
    """Lets an instance reach the others through their relays.

    An address that is split between two chunks passes untranslated; the
    instance then reaches that one directly until it reads the next list.

    Parameters
    ----------
    hosts : list of str
        IP addresses of the other instances.
    """

    hosts: list

    def __call__(self, direction, data):
        """Return bytes between the instance and the store, translated."""
        for host in self.hosts:
            own, relayed = (
                f"{host}:".encode(),
                f"{relayed_host(host)}:".encode(),
            )
            if direction is relays.Direction.ANSWERS:
                data = data.replace(own, relayed)
            else:
                data = data.replace(relayed, own)
        return data


class RelayedFleet(stopfleet.Fleet):
    """A fleet in which each instance reaches the store through a relay.

    Parameters
    ----------
    seed, folder, per_centre
        See `Fleet`.
    has_peer_relays : bool
        Whether instances reach each other through relays too.
    """

    def __init__(self, seed, folder, per_centre, has_peer_relays):
        super().__init__(seed, folder, per_centre)
        self._seed = seed
        self._has_peer_relays = has_peer_relays
        self.relays = {}
        # Relays in front of each instance, by its name.
        self.peer_relays = {}
        self.changes = []
        # Group of each added database.
        self.added = {}

    async def start_servers(self):
        """Start the store, the relays, and the targets."""
        await self.store.start()
        hosts = {name: host for name, (_, host) in self._addresses().items()}
        for name in hosts:
            others = [hosts[other] for other in hosts if other != name]
            self.relays[name] = relays.Relay(
                self.store.address,
                random.Random(f"relay/{self._seed}/{name}"),
                AddressTranslation(others) if self._has_peer_relays else None,
            )
            await self.relays[name].start()
        await super().start_servers()
        if self._has_peer_relays:
            await self._start_peer_relays()

    async def _start_peer_relays(self):
        for instance in self.instances:
            started = self.peer_relays[instance.name] = []
            for port in instance.peer_ports:
                rng = random.Random(f"peer/{self._seed}/{instance.name}")
                relay = relays.Relay(f"{instance.host}:{port}", rng)
                await relay.start(relayed_host(instance.host), port)
                started.append(relay)

    def store_address(self, name):
        """See `Fleet.store_address`."""
        return self.relays[name].address

    def change_configuration(self):
        """Write the next configuration, with the added routes."""
        self.extra_routes = [
            standins.configuration(0, group)["routes"][2]
            | {"name": f"r-{database}", "database": database}
            for database, group in self.added.items()
        ]
        super().change_configuration()
        now = asyncio.get_running_loop().time()
        self.changes.append(Change(self.version, now, dict(self.added)))

    async def stop(self):
        """End every process, relay and task."""
        await super().stop()
        for relay in itertools.chain(
            self.relays.values(), *self.peer_relays.values()
        ):
            await relay.stop()


class Judge:
    """Judges probes by the rule CONFIG.

    Parameters
    ----------
    fleet : RelayedFleet
        The fleet after the play.
    disturbances : list of Disturbance
        All faults.
    """

    def __init__(self, fleet, disturbances):
        self._changes = fleet.changes
        self._times = [change.at for change in fleet.changes]
        self._received_at = fleet.received_at
        self._disturbances = disturbances
        # Time and index of the versions that each process is known to have.
        self._seen = collections.defaultdict(list)

    def is_in_touch(self, probe):
        """Return whether no fault has touched the instance or the store."""
        return self.apply_bound_s(probe) == CONFIG_APPLY_S

    def apply_bound_s(self, probe):
        """Return the time within which versions have to be in force.

        Returns
        -------
        float
            Seconds; infinite for an instance that is not in touch.
        """
        starts_at = probe.incarnation.started_at
        if probe.sent_at < starts_at + STABLE_WINDOW_S:
            return math.inf
        touching = [
            each.kind
            for each in self._disturbances
            if (each.instance in ("", probe.instance) or each.is_of_store)
            and each.begin < probe.ended_at
            and probe.sent_at < each.end + STABLE_WINDOW_S
        ]
        if not touching:
            return CONFIG_APPLY_S
        if all(kind in OUTER_FAULTS for kind in touching):
            return CONFIG_APPLY_S + OUTER_S
        return math.inf

    def _state(self, probe):
        """Return the group that ran a request; None if it was refused."""
        if probe.handled == "refused":
            return None
        _at, target = self._received_at[probe.request_id]
        return target.rpartition("-")[0]

    def judge(self, probe):
        """Return what is wrong with a probe, or an empty text.

        Probes have to be given in the order of their ends.
        """
        state = self._state(probe)
        bound_s = self.apply_bound_s(probe)
        in_touch = bound_s == CONFIG_APPLY_S
        slack_s = DOWNGRADE_SLACK_S if in_touch else SLOW_DOWNGRADE_SLACK_S
        seen = self._seen[probe.incarnation]
        known = max(
            (i for at, i in seen if at + slack_s < probe.sent_at), default=0
        )
        due = bisect.bisect(self._times, probe.sent_at - bound_s)
        due = max(0, due - 1)
        latest = bisect.bisect(self._times, probe.ended_at)
        matching = [
            index
            for index in range(latest)
            if self._changes[index].groups.get(probe.database) == state
        ]
        allowed = [i for i in matching if i >= max(known, due)]
        possible = [i for i in matching if i >= known]
        if possible and (not seen or seen[-1][1] < possible[0]):
            seen.append((probe.ended_at, possible[0]))
        if allowed:
            return ""
        number = known if not possible else due
        change = self._changes[number]
        return (
            f"{'older again' if not possible else 'late'}: {probe.kind} of "
            f"{probe.database} at {probe.instance} went to {state}, sent "
            f"{probe.sent_at - change.at:.2f} s after version "
            f"{change.version} was acknowledged"
        )


class ConfigurationSoak:
    """One seed's callers, changes and faults."""

    def __init__(self, seed, options, folder):
        self._options = options
        self._rng = random.Random(f"configurationsoak/{seed}")
        self.outcome = Outcome(seed)
        self._fleet = RelayedFleet(
            seed,
            folder,
            options.per_centre,
            has_peer_relays=any(f in PEER_FAULTS for f in options.faults),
        )
        self._probes = []
        self._disturbances = []
        self._identifiers = (f"{seed}x{n:x}" for n in itertools.count(1))
        self._names = (f"d{seed}n{n}" for n in itertools.count(1))
        # Time at which each database was last changed.
        self._changed_at = {}
        self._change_gaps_s = self._rng.choice(CHANGE_GAPS_S)
        self._started_at = 0.0
        # Processes in whose place another one was started.
        self._restarted = set()

    async def play(self):
        """Play changes and faults, then check how requests were handled."""
        fleet = self._fleet
        try:
            await fleet.start()
            self._started_at = asyncio.get_running_loop().time()
            for instance in fleet.instances:
                fleet.spawn(self._probe_forever(instance))
                fleet.spawn(self._use_sessions_forever(instance))
            fleet.spawn(self._change_forever())
            fleet.spawn(self._watch_stalls())
            await self._disturb()
        finally:
            await fleet.stop()
        self._check()
        return self.outcome

    def _now(self):
        return asyncio.get_running_loop().time()

    def _note(self, text):
        self.outcome.plan.append(
            f"{self._now() - self._started_at:.2f} {text}"
        )

    async def _watch_stalls(self):
        while True:
            before = self._now()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            if self._now() - before >= STALL_S:
                self._disturbances.append(
                    Disturbance("stall", "", before, self._now())
                )
                self._note(f"stall of {self._now() - before:.2f} s ends")

    # Changes.

    async def _change_forever(self):
        while True:
            await asyncio.sleep(self._rng.uniform(*self._change_gaps_s))
            self._change()
            if self._rng.random() < TWICE_SHARE:
                self._change()

    def _change(self):
        """Add, move or remove a route."""
        rng, fleet = self._rng, self._fleet
        kinds = ["add", "add", "move", "remove"]
        kind = rng.choice(kinds) if fleet.added else "add"
        if len(fleet.added) >= MAX_ADDED:
            kind = "remove"
        if kind == "add":
            database = next(self._names)
            fleet.added[database] = rng.choice(stopfleet.GROUPS)
        else:
            database = rng.choice(sorted(fleet.added))
            group = fleet.added.pop(database)
            if kind == "move":
                others = [name for name in stopfleet.GROUPS if name != group]
                fleet.added[database] = rng.choice(others)
        self._changed_at[database] = self._now()
        fleet.change_configuration()
        self._note(f"version {fleet.version}: {kind} {database}")

    # Callers.

    def _recent(self):
        since = self._now() - PROBED_S
        return [name for name, at in self._changed_at.items() if at > since]

    async def _probe_forever(self, instance):
        rng = random.Random(f"{self.outcome.seed}/{instance.name}/probe")
        while True:
            await asyncio.sleep(PROBE_GAP_S * rng.uniform(0.5, 1.5))
            if recent := self._recent():
                await self._use_session(instance, rng.choice(recent), 1)

    async def _use_sessions_forever(self, instance):
        rng = random.Random(f"{self.outcome.seed}/{instance.name}/session")
        using = set()
        while True:
            await asyncio.sleep(STATEMENT_GAP_S * rng.uniform(0.5, 1.5))
            using = {task for task in using if not task.done()}
            if self._fleet.added and len(using) < MAX_ADDED:
                database = rng.choice(sorted(self._fleet.added))
                using.add(
                    asyncio.ensure_future(
                        self._use_session(
                            instance, database, SESSION_STATEMENTS
                        )
                    )
                )

    async def _use_session(self, instance, database, statements):
        """Open a session and send statements until it ends."""
        client = None
        kind = "opening"
        try:
            for _number in range(statements):
                probe = Probe(
                    kind,
                    instance.name,
                    instance.current,
                    database,
                    next(self._identifiers),
                    self._now(),
                )
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    if client is None:
                        client = await standins.LineClient.open(
                            instance.callers
                        )
                        lines = await client.request(f"CONNECT {database}")
                        if not self._is_open(probe, lines):
                            return
                    lines = await client.request(
                        f"QUERY {probe.request_id} READ {database}"
                    )
                self._record(probe, lines)
                kind = "statement"
                await asyncio.sleep(STATEMENT_GAP_S)
        except (OSError, TimeoutError):
            # The instance is frozen, stopped or busy.
            pass
        finally:
            if client is not None:
                client.writer.transport.abort()

    def _is_open(self, probe, lines):
        self._record(probe, lines)
        return bool(lines) and lines[-1].startswith("READY")

    def _record(self, probe, lines):
        probe.ended_at = self._now()
        if any(line.startswith("ERROR NODATABASE") for line in lines):
            probe.handled = "refused"
        elif any(line.startswith("COMPLETE") for line in lines):
            probe.handled = "ran"
        if probe.handled is not None:
            self._probes.append(probe)

    # Faults.

    async def _disturb(self):
        ends_at = self._now() + self._options.play_s
        while self._now() < ends_at:
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            faults = [self._play_fault()]
            if self._rng.random() < SECOND_FAULT_SHARE:
                faults.append(self._play_fault())
            await asyncio.gather(*faults)
            await asyncio.sleep(CALM_S)

    async def _play_fault(self):
        rng = self._rng
        kind = rng.choice(self._options.faults)
        lasting_s = rng.uniform(*self._options.fault_s)
        await asyncio.sleep(rng.choice([0.0, rng.uniform(0.0, 2.0)]))
        if kind in STORE_FAULTS:
            chosen = [""]
        elif kind in REFUSAL_FAULTS:
            # Long enough for the longer bound to pass.
            lasting_s += OUTER_S
            chosen = self._choose_refused()
        else:
            instances = self._fleet.instances
            count = rng.choice([1, 3, len(instances)])
            chosen = rng.sample(instances, count)
        names = [each and each.name for each in chosen]
        self._note(f"{kind} {','.join(names)} for {lasting_s:.2f} s")
        begun = [Disturbance(kind, name, self._now()) for name in names]
        self._disturbances += begun
        if kind in STORE_FAULTS:
            play_kind = self._play_store_fault
        elif kind in REFUSAL_FAULTS:
            play_kind = self._play_refusal_fault
        elif kind in PROCESS_FAULTS:
            play_kind = self._play_process_fault
        else:
            play_kind = self._play_relay_fault
        await asyncio.gather(
            *(play_kind(kind, each, lasting_s) for each in chosen)
        )
        for disturbance in begun:
            disturbance.end = self._now()
        self._note(f"{kind} ends")
        self._change()

    async def _play_store_fault(self, kind, _instance, lasting_s):
        store, records = self._fleet.store, self._fleet.records
        match kind:
            case "silent":
                store.silences += 1
                await asyncio.sleep(lasting_s)
                store.silences -= 1
            case "down":
                records.knobs.down = True
                await asyncio.sleep(lasting_s)
                records.knobs.down = False
            case "slow":
                usual_s = records.knobs.latency_s
                records.knobs.latency_s = self._rng.uniform(*SLOW_STORE_S)
                await asyncio.sleep(lasting_s)
                records.knobs.latency_s = usual_s
            case "stalled_watches":
                records.silence_watches()
            case "compaction":
                records.forget_history()
            case "restored":
                copy = records.copy()
                await asyncio.sleep(lasting_s)
                records.restore(copy)
                # Instances read the older configuration meanwhile.
                await asyncio.sleep(self._rng.uniform(0.0, OLD_COPY_S))

    def _choose_refused(self):
        """Return instances that the store turns away; it serves one."""
        instances = self._fleet.instances
        served = sum(
            relay.refusal is None and not relay.is_swallowing
            for relay in self._fleet.relays.values()
        )
        count = min(self._rng.randrange(1, len(instances)), served - 1)
        return self._rng.sample(instances, count)

    async def _play_refusal_fault(self, kind, instance, lasting_s):
        relay = self._fleet.relays[instance.name]
        match kind:
            case "busy":
                relay.refusal = relays.Refusal.BUSY
            case "unavailable":
                relay.refusal = relays.Refusal.UNAVAILABLE
            case "resetting":
                relay.refusal = relays.Refusal.RESET
            case "unresponsive":
                relay.begin_swallowing()
        relay.reset()
        await asyncio.sleep(lasting_s)
        relay.refusal = None
        relay.end_swallowing()
        relay.reset()

    async def _play_relay_fault(self, kind, instance, lasting_s):
        fleet = self._fleet
        if kind in PEER_FAULTS:
            faulty = fleet.peer_relays[instance.name]
        else:
            faulty = [fleet.relays[instance.name]]
        kind = kind.removeprefix(PEER_PREFIX)
        for relay in faulty:
            match kind:
                case "swallow":
                    relay.begin_swallowing()
                case "swallow_requests":
                    relay.begin_swallowing((relays.Direction.REQUESTS,))
                case "swallow_answers":
                    relay.begin_swallowing((relays.Direction.ANSWERS,))
                case "reset":
                    relay.reset()
                case "delay":
                    relay.delay_s = self._rng.uniform(*RELAY_DELAY_S)
                case "loss":
                    relay.loss = RELAY_LOSS
                case "hold":
                    relay.passing.clear()
        if kind == "reset":
            return
        await asyncio.sleep(lasting_s)
        for relay in faulty:
            relay.end_swallowing()
            relay.passing.set()
            relay.delay_s = relay.loss = 0.0

    async def _play_process_fault(self, kind, instance, lasting_s):
        incarnation = instance.current
        match kind:
            case "hup":
                incarnation.send_signal(signal.SIGHUP)
                return
            case "freeze":
                incarnation.send_signal(signal.SIGSTOP)
                await asyncio.sleep(lasting_s)
                incarnation.send_signal(signal.SIGCONT)
                return
            case "kill":
                incarnation.send_signal(signal.SIGKILL)
            case "term":
                incarnation.send_signal(signal.SIGTERM)
        if incarnation.is_running:
            if incarnation.stopped_at is not None:
                await self._fleet.end_process(incarnation, kill=True)
            else:
                await incarnation.exited.wait()
        # A second fault may have ended the same process.
        if incarnation not in self._restarted:
            self._restarted.add(incarnation)
            await self._fleet.start_instance(instance)

    # The check.

    def _check(self):
        outcome = self.outcome
        judge = Judge(self._fleet, self._disturbances)
        outcome.requests = len(self._probes)
        outcome.versions = len(self._fleet.changes)
        for probe in sorted(self._probes, key=lambda each: each.ended_at):
            outcome.judged += judge.is_in_touch(probe)
            if breach := judge.judge(probe):
                sent_s = probe.sent_at - self._started_at
                outcome.breaches.append(f"{sent_s:.2f} {breach}")
        for incarnation in self._fleet.all_incarnations():
            code = incarnation.process.returncode
            sent = {number for _at, number in incarnation.signals}
            if code not in {0, -signal.SIGTERM, -signal.SIGKILL} or not sent:
                outcome.exits.append(f"{incarnation.instance} code={code}")


def play(seed, options=None, folder=None):
    """Play a seed; return its `Outcome`."""

    def run(logs):
        soak = ConfigurationSoak(seed, options or Options(), logs)
        return asyncio.run(soak.play())

    return stopfleet.run_with_logs(run, seed, folder)


def report(outcome):
    """Print an outcome."""
    print(
        f"seed={outcome.seed} versions={outcome.versions} "
        f"requests={outcome.requests} judged={outcome.judged} "
        f"breaches={len(outcome.breaches)} exits={len(outcome.exits)}"
    )
    for text in outcome.breaches[:MAX_PRINTED] + outcome.exits:
        print(f"  {text}")
    if outcome.breaches:
        print("  plan: " + "; ".join(outcome.plan))
    sys.stdout.flush()


def main(argv=None):
    """Play seeds; return 1 if anything broke."""
    parser = argparse.ArgumentParser(
        prog="tests.platform.configurationsoak",
        description=__doc__.splitlines()[0],
    )
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--logs", help="folder of the instances' output")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--faults", nargs="+", choices=FAULTS, default=FAULTS)
    parser.add_argument("--lasting", nargs=2, type=float, default=FAULT_S)
    parser.add_argument("--per-centre", type=int, default=INSTANCES_PER_CENTRE)
    args = parser.parse_args(argv)
    options = Options(
        tuple(args.faults),
        args.seconds,
        tuple(args.lasting),
        args.per_centre,
    )
    red = 0
    for seed in range(args.first, args.first + args.seeds):
        outcome = play(seed, options, args.logs)
        report(outcome)
        red += bool(outcome.breaches or outcome.exits)
    print(f"{args.seeds} seeds, {red} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
