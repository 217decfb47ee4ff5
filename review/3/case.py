"""A machine is stopped as planned while sessions are busy."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment  # noqa: E402

ZONES = ["north", "central", "south"]
# Sessions that read, and sessions that write, one statement after the other.
READERS, WRITERS = 6, 6
# Work of a statement on the fixtures' route.
WORK_S = 0.015
# Longer than the half of grace_s that an open transaction has to end.
RUN_S = 7.0


def prepare(record):
    """Return a deployment of three instances and three targets."""
    routes = [
        deployment.route("ranks", "bounded_staleness", timeout_ms=2000),
        deployment.route("fixtures", "read_your_writes"),
    ]
    deployed = deployment.Deployment(record, ZONES, [1, 1, 1], routes)
    deployed.service.work_s = WORK_S
    return deployed


async def go_on(caller, until):
    """Send one statement after the other until the connection ends."""
    text = "READ item"
    if caller.database == "fixtures":
        text = f"WRITE item{caller.number} data"
    while asyncio.get_running_loop().time() < until:
        _id, lines = await caller.query(text)
        if not lines or not lines[-1].startswith("READY"):
            return


async def scenario(deployed, trouble):
    """Stop an instance; return the breaches of LOST."""
    record, service = deployed.record, deployed.service
    stopped = deployed.instances[0]
    callers = [
        deployment.Caller(record, stopped, database)
        for database in ["ranks"] * READERS + ["fixtures"] * WRITERS
    ]
    for caller in callers:
        await caller.open()
    until = asyncio.get_running_loop().time() + RUN_S
    running = [asyncio.ensure_future(go_on(c, until)) for c in callers]
    await asyncio.sleep(0.5)
    stopped_at = record.now()
    if trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.gather(*running)
    for caller in callers:
        caller.close()
    await asyncio.sleep(0.5)
    committed = {query_id for _at, _target, query_id, _e in service.commits}
    breaches = []
    for caller in callers:
        at, query_id, text, lines = caller.answers[-1]
        if lines and lines[-1].startswith("READY"):
            continue
        if query_id in service.received:
            sent_s = caller.sent_at[query_id] - stopped_at
            breaches.append(
                f"LOST: {text!r} of caller {caller.number} was sent "
                f"{sent_s:.3f} s after the SIGTERM and passed on to "
                f"{service.received[query_id][1]}; the connection ended "
                f"{at - caller.sent_at[query_id]:.3f} s later without an "
                "answer"
                + (" to a committed write" if query_id in committed else "")
            )
    return breaches


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.run_case(FOLDER, prepare, scenario, trouble)
