"""Share of reads that replicas serve while their lag swings."""

import asyncio
import math
import time

import psycopg

from bench import cluster as cluster_module
from bench import driving
from bench import figures
from bench import load
from bench import shapes

__all__ = ["measure"]

SECONDS = 20.0
RATE = 120.0
SESSIONS = 240
SERVICE = "festival-1"
GROUP = "festival-1"
LEAST_LAG_S = 0.02
MOST_LAG_S = 5.0
PERIOD_S = 10.0
STEP_S = 0.1
KINDS = [
    load.Kind("submit", 0.1, driving.WRITE, write=True),
    load.Kind("standing", 0.45, driving.READ),
    load.Kind("public", 0.45, driving.READ, session=False),
]


class LagSwing:
    """Swings the lag of a group's replicas, each in its own phase."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.trace = []

    async def run(self, start):
        """Swing from the start until the load ends."""
        names = self._cluster.groups[GROUP]
        conns = {}
        for name in names:
            port = self._cluster.target_ports[name]
            conns[name] = await psycopg.AsyncConnection.connect(
                f"host=127.0.0.1 port={port} user=bench sslmode=disable",
                autocommit=True,
                prepare_threshold=None,
            )
        await asyncio.sleep(max(0.0, start - time.time()))
        while time.time() < start + SECONDS:
            await self._step(names, conns, time.time() - start)
            await asyncio.sleep(STEP_S)
        for conn in conns.values():
            await conn.close()

    async def _step(self, names, conns, at):
        for number, name in enumerate(names):
            phase = 2 * math.pi * (at / PERIOD_S + number / len(names))
            swing = (1 + math.sin(phase)) / 2
            lag = LEAST_LAG_S * (MOST_LAG_S / LEAST_LAG_S) ** swing
            cursor = psycopg.AsyncRawCursor(conns[name])
            await cursor.execute(
                "SELECT * FROM balsamhinge_knob($1, $2)",
                ["apply_lag_s", lag],
            )
            await cursor.execute("SELECT * FROM balsamhinge_status()")
            columns = [column.name for column in cursor.description]
            row = dict(zip(columns, await cursor.fetchone(), strict=True))
            self.trace.append((at, name, row["role"], row["applied_offset"]))


def permitted(records, trace):
    """Return the reads that consistency lets a replica serve.

    Notes
    -----
    Aged reads always may, since no lag comes near their age. A session
    read may if some replica had applied what its token asks for by the
    time of its answer. One without a token must see the latest data.
    """
    return [
        record
        for record in records
        if record.work_class == "public" or some_replica_holds(trace, record)
    ]


def some_replica_holds(trace, record):
    """Return whether a replica had applied what a session needs."""
    if not record.position:
        return False
    end = record.at + record.seconds
    return any(
        role == "replica" and offset >= record.position and at <= end
        for at, _name, role, offset in trace
    )


async def run_once(seed, baseline):
    """Return the line of one run."""
    cluster = cluster_module.Cluster(shapes.BANGKOK, baseline, seed)
    try:
        await cluster.start()
        await driving.prepare(cluster, [SERVICE])
        swing = LagSwing(cluster)
        records = await driving.drive(
            cluster,
            SERVICE,
            seed,
            swing.run,
            kinds=KINDS,
            phases=[[SECONDS, RATE]],
            sessions=SESSIONS,
            retries=0,
        )
        primary = cluster.groups[GROUP][0]
    finally:
        await cluster.stop()
    reads = [r for r in records if r.work_class != "submit"]
    done = [r for r in reads if r.outcome == "done"]
    by_replica = [r for r in done if r.served_by != primary]
    allowed = permitted(done, swing.trace)
    return figures.line(
        "replica_reads",
        policy="baseline" if baseline else "balsamhinge",
        seed=seed,
        reads=len(reads),
        done=figures.share(done, reads),
        by_replica=figures.share(by_replica, done),
        ceiling=figures.share(allowed, done),
        of_permitted=figures.share(
            [r for r in allowed if r.served_by != primary], allowed
        ),
        stale=sum(r.stale for r in records),
        p50_ms=figures.percentile_ms(done, 50),
        p99_ms=figures.percentile_ms(done, 99),
    )


async def measure(seed):
    """Print the figures of both policies."""
    for baseline in (True, False):
        print(await run_once(seed, baseline), flush=True)
