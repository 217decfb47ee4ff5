"""A primary is replaced as planned while transactions are open."""

import asyncio
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
ZONES = ["north", "central", "south"]


def prepare(record):
    """Return a deployment of six instances and three targets."""
    routes = [deployment.route("posts", "primary")]
    return deployment.Deployment(record, ZONES, [2, 2, 2], routes)


async def run_transaction(caller, started, number):
    """Write in a transaction, pause, and commit."""
    await caller.open()
    await caller.must("BEGIN")
    write_id = await caller.must(f"WRITE item{number} data{number}")
    await started.wait()
    await asyncio.sleep(FIRST_COMMIT_S + COMMIT_STEP_S * number)
    commit_id, lines = await caller.query("COMMIT")
    caller.close()
    return number, write_id, commit_id, lines


async def scenario(deployed, trouble):
    """Replace the primary; return the breaches of ONE."""
    record, service = deployed.record, deployed.service
    old = service.primary
    successor = deployed.target_starts("i-svc3", old.zone)
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
            )
        )
        for number in range(TRANSACTIONS)
    ]
    await asyncio.sleep(0.3)
    if trouble:
        # The release of the primary: it reports `draining` and goes on to
        # serve for drain_ms.
        old.state = "draining"
        deployed.store.put("servers", old.name, old.entry())
    started.set()
    results = await asyncio.gather(*running)
    await asyncio.sleep(2.5)
    effects = list(service.promoted_at.values())
    committed = {
        query_id: at
        for at, at_target, query_id, _entry in service.commits
        if at_target is old
    }
    held = {
        item
        for _t, _n, writes in service.primary.log
        for item, _value in writes
    }
    breaches = []
    for number, _write_id, commit_id, lines in results:
        acknowledged = deployment.succeeded(lines)
        at = committed.get(commit_id)
        record.note(
            "transaction",
            number=number,
            acknowledged=acknowledged,
            committed_at=at,
            kept=f"item{number}" in held,
        )
        if acknowledged and at is not None and effects and at > effects[0]:
            breaches.append(
                f"ONE: transaction {number} was committed at the old primary "
                f"{1000 * (at - effects[0]):.0f} ms after the promote had "
                "taken effect, and acknowledged; it is "
                + ("kept" if f"item{number}" in held else "lost")
            )
    return breaches


if __name__ == "__main__":
    deployment.run_case(FOLDER, prepare, scenario)
