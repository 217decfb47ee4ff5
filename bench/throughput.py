"""Requests a second of one instance, with callers that wait."""

import asyncio
import pathlib
import time

import attrs

from bench import cluster as cluster_module
from bench import driving
from bench import figures
from bench import load
from bench import shapes

__all__ = ["measure"]

SECONDS = 8.0
CALLERS = 8
CLOCK_TICKS = 100
READ = load.Kind("standing", 1.0, driving.READ)
WRITE = load.Kind("submit", 1.0, driving.WRITE, write=True)
SHAPE = attrs.evolve(
    shapes.HOWRAH,
    centres=["howrah"],
    instances_per_centre=1,
    groups=3,
    delay_s=0.0,
    statement_s=0.0005,
    slots=3,
)


def processor_s(pid):
    """Return the processor time of a process in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    fields = stat.split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def measure(seed):
    """Print requests a second, and what each costs the instance."""
    for kind in (READ, WRITE):
        print(await measure_kind(seed, kind), flush=True)


async def measure_kind(seed, kind):
    """Return the line of one kind of request."""
    cluster = cluster_module.Cluster(SHAPE, seed=seed)
    used = []

    async def watch(start):
        pid = cluster.processes[cluster.instances[0].name].pid
        await asyncio.sleep(max(0.0, start - time.time()))
        before = processor_s(pid)
        await asyncio.sleep(SECONDS)
        used.append(processor_s(pid) - before)

    try:
        await cluster.start()
        services = list(cluster.groups)
        await driving.prepare(cluster, services)
        found = await asyncio.gather(
            *(
                driving.drive(
                    cluster,
                    service,
                    seed,
                    watch if service == services[0] else None,
                    kinds=[kind],
                    phases=[[SECONDS, 1.0]],
                    sessions=CALLERS,
                    retries=0,
                    closed=True,
                    processes=1,
                )
                for service in services
            )
        )
    finally:
        await cluster.stop()
    records = [record for part in found for record in part]
    done = [record for record in records if record.outcome == "done"]
    return figures.line(
        "throughput",
        kind=kind.work_class,
        seed=seed,
        callers=CALLERS * len(services),
        per_second=len(done) / SECONDS,
        processor_ms_each=1000 * used[0] / len(done),
        processor_share=used[0] / SECONDS,
        p50_ms=figures.percentile_ms(done, 50),
        p99_ms=figures.percentile_ms(done, 99),
    )
