"""How long short work waits behind long work."""

from bench import cluster as cluster_module
from bench import driving
from bench import figures
from bench import load
from bench import shapes

__all__ = ["measure"]

SECONDS = 20.0
RATE = 100.0
SESSIONS = 300
SERVICE = "ladder-1"
LONG_SHARE = 0.02
# 50 to 200 times the 5 ms of a short statement.
LONG_MS = [250, 1000]
SHORT = [
    load.Kind("submit", 0.2, driving.WRITE, write=True),
    load.Kind("standing", 0.4, driving.READ),
    load.Kind("public", 0.4, driving.READ, session=False),
]
LONG = load.Kind(
    "ranking",
    LONG_SHARE,
    driving.READ,
    session=False,
    deadline_s=30.0,
    long_ms=LONG_MS,
)


async def run_once(cluster, seed, with_long):
    """Return the records of one run."""
    kinds = [*SHORT, LONG] if with_long else SHORT
    return await driving.drive(
        cluster,
        SERVICE,
        seed,
        kinds=kinds,
        phases=[[SECONDS, RATE]],
        sessions=SESSIONS,
        retries=0,
    )


async def measure_policy(seed, baseline):
    """Return the line of one policy."""
    cluster = cluster_module.Cluster(shapes.HOWRAH, baseline, seed)
    try:
        await cluster.start()
        await driving.prepare(cluster, [SERVICE])
        alone = await run_once(cluster, seed, False)
        mixed = await run_once(cluster, seed + 1, True)
    finally:
        await cluster.stop()
    short = [r for r in mixed if not r.long]
    long = [r for r in mixed if r.long]
    done = [r for r in short if r.outcome == "done"]
    alone_ms = figures.percentile_ms(alone, 99)
    mixed_ms = figures.percentile_ms(short, 99)
    return figures.line(
        "short_behind_long",
        policy="baseline" if baseline else "balsamhinge",
        seed=seed,
        short_p99_alone_ms=alone_ms,
        short_p99_mixed_ms=mixed_ms,
        ratio=mixed_ms / alone_ms,
        short_done=figures.share(done, short),
        long_done=figures.share(
            [r for r in long if r.outcome == "done"], long
        ),
        long_p50_ms=figures.percentile_ms(long, 50),
    )


async def measure(seed):
    """Print the figures of both policies."""
    for baseline in (True, False):
        print(await measure_policy(seed, baseline), flush=True)
