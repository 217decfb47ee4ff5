"""From the last acknowledgement before a failure to the first after."""

import asyncio
import signal
import statistics
import time

from bench import cluster as cluster_module
from bench import driving
from bench import figures
from bench import shapes

__all__ = ["measure"]

WRITERS = 6
WARM_S = 1.0
LIMIT_S = 15.0
AFTER_S = 0.5
PAUSE_S = 0.01
FREEZES = 10
CLUSTERS_FOR_KILLS = 3


class Writers:
    """Callers that write one result after the other."""

    def __init__(self, cluster, service):
        self._cluster = cluster
        self._service = service
        self._stopped = False
        self._tasks = []
        self.acknowledged = []
        self.accepted = []

    def start(self, name):
        """Start to write."""
        self._tasks = [
            asyncio.ensure_future(self._write(f"{name}-{number}", number))
            for number in range(WRITERS)
        ]

    async def stop(self):
        """Wait for the last answers."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _write(self, name, number):
        instances = self._cluster.instances
        instance = instances[number % len(instances)]
        count = 0
        while not self._stopped:
            count += 1
            body = {
                "class": "submit",
                "sql": driving.WRITE,
                "params": [name, count],
                "deadline_ms": 10000,
            }
            _code, answer = await self._cluster.post(
                instance, self._service, body
            )
            if answer["outcome"] == "done":
                self.acknowledged.append(time.monotonic())
                self.accepted.append((name, count))
            await asyncio.sleep(PAUSE_S)

    def gap_s(self, struck):
        """Return the gap around a failure, or None while it lasts."""
        before = [at for at in self.acknowledged if at <= struck]
        after = [at for at in self.acknowledged if at > struck + 0.05]
        if not before or not after:
            return None
        times = sorted(at for at in self.acknowledged if at >= before[-1])
        return max(b - a for a, b in zip(times, times[1:], strict=False))


async def primary_of(cluster, group):
    """Return a group's primary, as the first instance sees it."""
    status = await cluster.status(cluster.instances[0])
    return next(
        row["target"]
        for row in status["groups"]
        if row["group"] == group and row["role"] == "primary"
    )


async def strike(cluster, group, name, hit, mend):
    """Return the gap of one failure, and how many results were lost."""
    writers = Writers(cluster, group)
    writers.start(name)
    await asyncio.sleep(WARM_S)
    primary = await primary_of(cluster, group)
    struck = time.monotonic()
    hit(primary)
    while writers.gap_s(struck) is None:
        if time.monotonic() > struck + LIMIT_S:
            break
        await asyncio.sleep(0.05)
    await asyncio.sleep(AFTER_S)
    mend(primary)
    await writers.stop()
    lost = await count_lost(cluster, group, writers.accepted)
    return writers.gap_s(struck) or LIMIT_S, lost


async def count_lost(cluster, group, accepted):
    """Return how many accepted results the group does not hold once."""
    body = {"class": "standing", "sql": "SELECT session, n FROM marks"}
    body["deadline_ms"] = 10000
    _code, answer = await cluster.post(cluster.instances[-1], group, body)
    held = [tuple(row) for row in answer["results"][0]["rows"]]
    counts = {}
    for row in held:
        counts[row] = counts.get(row, 0) + 1
    return sum(counts.get(row, 0) != 1 for row in accepted)


async def start_cluster(seed):
    """Return a running Howrah with its tables."""
    cluster = cluster_module.Cluster(shapes.HOWRAH, seed=seed)
    await cluster.start()
    await driving.prepare(cluster, list(cluster.groups))
    return cluster


def report(kind, store, gaps, lost):
    """Print one line."""
    print(
        figures.line(
            "failover_gap",
            failure=kind,
            store=store,
            times=len(gaps),
            median_s=statistics.median(gaps),
            worst_s=max(gaps),
            lost_or_doubled=lost,
        ),
        flush=True,
    )


async def measure_kills(seed, store):
    """Kill the primaries of several clusters' groups."""
    gaps, lost = [], 0
    for turn in range(CLUSTERS_FOR_KILLS):
        cluster = await start_cluster(seed + turn)
        try:
            if store == "down":
                cluster.signal("platform", signal.SIGSTOP)
            for group in cluster.groups:
                gap, missing = await strike(
                    cluster,
                    group,
                    f"kill{turn}",
                    cluster.kill,
                    lambda _primary: None,
                )
                gaps.append(gap)
                lost += missing
        finally:
            await cluster.stop()
    report("kill", store, gaps, lost)


async def measure_freezes(seed, store):
    """Freeze the primary again and again, and let it wake."""
    gaps, lost = [], 0
    cluster = await start_cluster(seed)
    try:
        if store == "down":
            cluster.signal("platform", signal.SIGSTOP)
        for turn in range(FREEZES):
            group = list(cluster.groups)[turn % len(cluster.groups)]
            gap, missing = await strike(
                cluster,
                group,
                f"freeze{turn}",
                lambda name: cluster.signal(name, signal.SIGSTOP),
                lambda name: cluster.signal(name, signal.SIGCONT),
            )
            gaps.append(gap)
            lost += missing
    finally:
        await cluster.stop()
    report("freeze", store, gaps, lost)


async def measure(seed):
    """Print the figures of each failure."""
    for store in ("up", "down"):
        await measure_kills(seed, store)
        await measure_freezes(seed, store)
