"""Starts load processes against a cluster and gathers their records."""

import asyncio
import json
import pathlib
import subprocess
import sys
import time

import attrs
import msgspec
import psycopg

from bench import cluster as cluster_module
from bench import load

__all__ = ["CREATE", "WRITE", "READ", "drive", "peak_connections", "prepare"]

LEAD_S = 1.5
PROCESSES = 3
CREATE = "CREATE TABLE marks (session TEXT, n INTEGER)"
INDEX = "CREATE INDEX marks_session ON marks (session, n)"
WRITE = "INSERT INTO marks VALUES ($1, $2)"
READ = "SELECT max(n) FROM marks WHERE session = $1"


async def prepare(cluster, services):
    """Create the table that the load uses."""
    first = cluster.instances[0]
    for service in services:
        for sql in (CREATE, INDEX):
            body = {"class": "submit", "sql": sql, "deadline_ms": 10000}
            _code, answer = await cluster.post(first, service, body)
            if answer["outcome"] != "done":
                raise RuntimeError(f"cannot prepare {service}: {answer}")


async def peak_connections(cluster, group):
    """Return the most connections that any target of a group had."""
    peaks = []
    for name in cluster.groups[group]:
        port = cluster.target_ports[name]
        conn = await psycopg.AsyncConnection.connect(
            f"host={cluster_module.HOST} port={port} sslmode=disable"
        )
        cursor = psycopg.AsyncRawCursor(conn)
        await cursor.execute("SELECT * FROM balsamhinge_peak()")
        peaks.append((await cursor.fetchone())[0])
        await conn.close()
    return max(peaks)


def make_spec(cluster, service, number, seed, **fields):
    """Return the `Spec` of one load process."""
    return load.Spec(
        urls=[instance.url for instance in cluster.instances],
        token=cluster_module.CALLER_TOKEN,
        service=service,
        start=time.time() + LEAD_S,
        seed=seed * 100 + number,
        name=f"s{seed}-{number}",
        **fields,
    )


async def drive(
    cluster, service, seed, meanwhile=None, processes=PROCESSES, **fields
):
    """Run a load in several processes.

    Parameters
    ----------
    cluster : Cluster
        The system under load.
    service : str
        What is asked.
    seed : int
        Seed of arrivals.
    meanwhile : callable, optional
        Coroutine function of the start's wall time, run beside the load.
    processes : int
        How many load processes share the work.
    **fields
        Further fields of `Spec`; rates and sessions are for all
        processes together.

    Returns
    -------
    list of Record
        In the order of arrival.
    """
    fields["phases"] = [
        [seconds, rate / processes] for seconds, rate in fields["phases"]
    ]
    fields["sessions"] = fields["sessions"] // processes
    paths = []
    started = []
    start = 0.0
    for number in range(processes):
        spec = make_spec(cluster, service, number, seed, **fields)
        start = start or spec.start
        spec = attrs.evolve(spec, start=start)
        path = pathlib.Path(cluster.folder / f"{service}-{number}.load")
        path.write_text(json.dumps(attrs.asdict(spec)))
        paths.append(path)
        started.append(
            subprocess.Popen([sys.executable, "-m", "bench.load", str(path)])
        )
    beside = asyncio.ensure_future(meanwhile(start)) if meanwhile else None
    for process in started:
        await asyncio.to_thread(process.wait)
    if beside is not None:
        await beside
    records = []
    for path in paths:
        found = path.with_suffix(".records").read_bytes()
        records += msgspec.json.decode(found, type=list[load.Record])
    return sorted(records, key=lambda record: record.at)
