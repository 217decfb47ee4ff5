"""Primaries are replaced as planned while transactions are open."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment  # noqa: E402

# Transactions pause after their write; they commit at these times after the
# primary has reported that it is about to stop.
FIRST_COMMIT_S = 0.92
COMMIT_STEP_S = 0.018
TRANSACTIONS = 18
# The backends of the service are replaced one after the other.
TURNS = 4
ZONES = ["north", "central", "south"]


def prepare(record):
    """Return a deployment of six instances and three targets."""
    routes = [deployment.route("posts", "primary")]
    return deployment.Deployment(record, ZONES, [2, 2, 2], routes)


async def run_transaction(caller, started, number, item):
    """Write in a transaction, pause, and commit."""
    await caller.open()
    await caller.must("BEGIN")
    await caller.must(f"WRITE {item} data")
    await started.wait()
    await asyncio.sleep(FIRST_COMMIT_S + COMMIT_STEP_S * number)
    commit_id, lines = await caller.query("COMMIT")
    caller.close()
    return item, commit_id, deployment.succeeded(lines)


async def replace(deployed, turn, trouble):
    """Replace the primary; return the breaches of ONE."""
    record, service = deployed.record, deployed.service
    old = service.primary
    successor = deployed.target_starts(f"i-new{turn}", old.zone)
    await successor.start()
    deployed.store.put("servers", successor.name, successor.entry())
    await asyncio.sleep(1.0)
    started = asyncio.Event()
    running = [
        asyncio.ensure_future(
            run_transaction(
                deployment.Caller(
                    record, deployed.instances[number % 6], "posts"
                ),
                started,
                number,
                f"item{turn}-{number}",
            )
        )
        for number in range(TRANSACTIONS)
    ]
    await asyncio.sleep(0.3)
    if trouble:
        deployed.target_leaves(old)
    started.set()
    results = await asyncio.gather(*running)
    await asyncio.sleep(2.5)
    return find_breaches(record, service, old, results)


def find_breaches(record, service, old, results):
    """Return the commits at the old primary after a promote."""
    effect = service.promoted_at.get(service.primary.name)
    committed = {
        query_id: at
        for at, target, query_id, _entry in service.commits
        if target is old
    }
    held = {
        item
        for _term, _number, writes in service.primary.log
        for item, _value in writes
    }
    breaches = []
    for item, commit_id, acknowledged in results:
        at = committed.get(commit_id)
        record.note(
            "transaction",
            item=item,
            acknowledged=acknowledged,
            committed_at=at,
            kept=item in held,
        )
        if service.primary is old or not acknowledged or at is None:
            continue
        if at > effect:
            breaches.append(
                f"ONE: the write of {item} was committed at the old primary "
                f"{1000 * (at - effect):.0f} ms after the promote had taken "
                "effect, and acknowledged; it is "
                + ("kept" if item in held else "lost")
            )
    return breaches


async def scenario(deployed, trouble):
    """Replace one primary after the other; return the breaches of ONE."""
    breaches = []
    for turn in range(TURNS):
        breaches += await replace(deployed, turn, trouble)
    return breaches


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.run_case(FOLDER, prepare, scenario, trouble)
