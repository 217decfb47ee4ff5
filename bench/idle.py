"""What control costs an instance while no caller asks anything."""

import asyncio
import pathlib

import attrs

from bench import cluster as cluster_module
from bench import figures
from bench import shapes
from bench import throughput

__all__ = ["measure"]

SECONDS = 6.0
SETTLE_S = 2.0
# Numbers of groups, and the budget of probes: today's and the design's.
GROUPS = ((1, 90), (3, 90), (6, 90), (6, 20), (6, 8))
KILOBYTES = 1024
CONNECTIONS = (50, 500, 2000)
BODY = b"ok\n"
REQUEST = b"GET /healthz HTTP/1.1\r\nHost: here\r\n\r\n"


def memory_bytes(pid):
    """Return the resident memory of a process in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KILOBYTES
    return 0


async def measure_groups(seed, groups, probes_per_second):
    """Return the line of a system with some number of groups."""
    shape = attrs.evolve(
        shapes.HOWRAH,
        groups=groups,
        instances_per_centre=1,
        probes_per_second=probes_per_second,
    )
    cluster = cluster_module.Cluster(shape, seed=seed)
    try:
        await cluster.start()
        await asyncio.sleep(SETTLE_S)
        pids = [cluster.processes[one.name].pid for one in cluster.instances]
        before = [throughput.processor_s(pid) for pid in pids]
        await asyncio.sleep(SECONDS)
        after = [throughput.processor_s(pid) for pid in pids]
        memory = max(memory_bytes(pid) for pid in pids)
    finally:
        await cluster.stop()
    used = [b - a for a, b in zip(before, after, strict=True)]
    return figures.line(
        "idle",
        seed=seed,
        groups=groups,
        probed=3 * groups,
        probes_per_second=probes_per_second,
        processor_share=sum(used) / len(used) / SECONDS,
        memory_mb=memory / KILOBYTES**2,
    )


async def open_connections(instance, count):
    """Return connections that each asked once and now wait."""
    opened = []
    for _number in range(count):
        reader, writer = await asyncio.open_connection(
            cluster_module.HOST, instance.port
        )
        writer.write(REQUEST)
        await writer.drain()
        await reader.readuntil(BODY)
        opened.append(writer)
    return opened


async def measure_connections(seed):
    """Print the memory of an instance by its idle connections."""
    shape = attrs.evolve(shapes.HOWRAH, groups=1, instances_per_centre=1)
    cluster = cluster_module.Cluster(shape, seed=seed)
    opened = []
    try:
        await cluster.start()
        instance = cluster.instances[0]
        pid = cluster.processes[instance.name].pid
        for count in CONNECTIONS:
            wanted = count - len(opened)
            opened += await open_connections(instance, wanted)
            before = throughput.processor_s(pid)
            await asyncio.sleep(SECONDS)
            used = throughput.processor_s(pid) - before
            print(
                figures.line(
                    "idle_connections",
                    seed=seed,
                    connections=count,
                    processor_share=used / SECONDS,
                    memory_mb=memory_bytes(pid) / KILOBYTES**2,
                ),
                flush=True,
            )
    finally:
        for writer in opened:
            writer.close()
        await cluster.stop()


async def measure(seed):
    """Print the cost at several numbers of groups and connections."""
    for groups, probes_per_second in GROUPS:
        line = await measure_groups(seed, groups, probes_per_second)
        print(line, flush=True)
    await measure_connections(seed)
