"""Service at the crest of a swing, and how it ends."""

import attrs

from bench import cluster as cluster_module
from bench import driving
from bench import figures
from bench import load
from bench import shapes

__all__ = ["measure"]

STATEMENT_S = 0.04
CALM_S = 5.0
CREST_S = 10.0
AFTER_S = 8.0
CALM_RATE = 25.0
CREST_RATE = 250.0
SESSIONS = 900
RETRIES = 3
SERVICE = "festival-1"
KINDS = [
    load.Kind("submit", 0.15, driving.WRITE, write=True),
    load.Kind("standing", 0.25, driving.READ),
    load.Kind("public", 0.6, driving.READ, session=False),
]


def in_time(records):
    """Return the records that were done before their deadlines."""
    limits = {kind.work_class: kind.deadline_s for kind in KINDS}
    return [
        r
        for r in records
        if r.outcome == "done" and r.seconds <= limits[r.work_class]
    ]


def recovery_s(records):
    """Return the seconds after the crest until service is calm again."""
    end = CALM_S + CREST_S
    late = [
        r.at
        for r in records
        if r.at >= end and (r.outcome != "done" or r.seconds > 0.5)
    ]
    return max(late, default=end) - end


async def measure_policy(seed, baseline):
    """Return the line of one policy."""
    shape = attrs.evolve(shapes.BANGKOK, statement_s=STATEMENT_S)
    cluster = cluster_module.Cluster(shape, baseline, seed)
    try:
        await cluster.start()
        await driving.prepare(cluster, [SERVICE])
        records = await driving.drive(
            cluster,
            SERVICE,
            seed,
            kinds=KINDS,
            phases=[
                [CALM_S, CALM_RATE],
                [CREST_S, CREST_RATE],
                [AFTER_S, CALM_RATE],
            ],
            sessions=SESSIONS,
            retries=RETRIES,
        )
        peak = await driving.peak_connections(cluster, SERVICE)
    finally:
        await cluster.stop()
    crest = [r for r in records if CALM_S <= r.at < CALM_S + CREST_S]
    writes = [r for r in crest if r.work_class == "submit"]
    aged = [r for r in crest if r.work_class == "public"]
    refused = [r for r in crest if r.outcome == "not_run"]
    targets = len(shape.centres)
    capacity = targets * shape.slots / STATEMENT_S * CREST_S
    most = min(capacity, len(crest))
    return figures.line(
        "crest",
        policy="baseline" if baseline else "balsamhinge",
        seed=seed,
        offered=len(crest),
        in_time=len(in_time(crest)),
        of_possible=len(in_time(crest)) / most,
        writes_in_time=figures.share(in_time(writes), writes),
        aged_in_time=figures.share(in_time(aged), aged),
        refused=len(refused),
        unknown=sum(r.outcome == "unknown" for r in crest),
        tries=sum(r.tries for r in crest) / len(crest),
        p50_ms=figures.percentile_ms(in_time(crest), 50),
        recovery_s=recovery_s(records),
        peak_connections=peak,
        connection_limit=shape.connections,
    )


async def measure(seed):
    """Print the figures of both policies."""
    for baseline in (True, False):
        print(await measure_policy(seed, baseline), flush=True)
