"""A replica is lost, the other one deaf, the primary and all instances crash."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import traceback

import fleet
import standins

HERE = pathlib.Path(__file__).parent
DATABASE = "results"
HEARTBEAT_S = 1.2
# An entry is removed after three heartbeats of silence.
EXPIRY_S = 3.6
# Time between the start of the fleet and the first disruption.
LEAD_S = 14.0
# Seconds from there: a replica receives nothing for DEAF_S; the other one is
# lost for good; the primary crashes and is back after DOWN_S; all instances
# are killed, and each is started again after RESTART_DELAY_S.
DEAF_S = 6.5
LOST_AT_S = 2.0
CRASH_AT_S = 4.0
DOWN_S = 7.0
KILL_AT_S = 5.9
RESTART_DELAY_S = 0.3
END_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def configuration(service):
    """Return the operator's configuration: one route to one service."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-results",
                "database": DATABASE,
                "route_type": "primary",
                "timeout_ms": 800,
                "target_latency_ms": 150,
                "priority": 1,
                "service_name": service.name,
                "max_staleness_ms": 1500,
            }
        ],
        "services": [
            {"name": service.name, "max_conns": 38, "sync_replicas": 1}
        ],
        "limits": {"tx_idle_ms": 3000},
    }


async def heartbeats(store, service):
    """Write the entries of all running backends again and again."""
    while True:
        for backend in service.backends.values():
            if backend.running:
                store.put("servers", backend.id, backend.entry())
        await asyncio.sleep(HEARTBEAT_S)


async def expiries(store, service, record):
    """Remove the entries of backends that have been silent."""
    while True:
        for backend in service.backends.values():
            silent_s = record.now() - backend.silent_since
            if not backend.running and silent_s > EXPIRY_S:
                store.delete("servers", backend.id)
        await asyncio.sleep(0.05)


async def wait_until(condition, limit_s):
    """Wait for a condition; return whether it came true in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            while not await condition():
                await asyncio.sleep(0.1)
            return True
    return False


async def play(folder, trouble):
    """Play the case; return the exit code."""
    record = standins.Record(HERE / "record.txt")
    service = standins.Service("db-1", record)
    store = standins.Store(record, service.promote)
    await store.start("127.0.0.1")
    for number, zone in enumerate(fleet.CENTRES, 1):
        role = "primary" if number == 1 else "replica"
        backend = standins.Backend(service, f"i-{number}", zone, role)
        service.backends[backend.id] = backend
        await backend.start("127.0.0.1")
        store.put("servers", backend.id, backend.entry())
    store.put("config", "main", configuration(service))
    instances = fleet.make_instances(store.address, folder)
    tasks = [
        asyncio.ensure_future(heartbeats(store, service)),
        asyncio.ensure_future(expiries(store, service, record)),
    ]
    try:
        for instance in instances:
            await instance.start()
        return await disturb(record, service, store, instances, tasks, trouble)
    finally:
        for instance in instances:
            await instance.kill()
        for task in tasks:
            task.cancel()
        store.stop()


async def disturb(record, service, store, instances, tasks, trouble):
    """Cause the disruptions, and judge what is lost."""

    async def are_ready():
        return all([await one.is_ready() for one in instances])

    if not await wait_until(are_ready, 30.0):
        record.write("script", "the instances don't become ready")
        return NOT_RUN
    clients = [
        standins.Client(f"c{number}-", record, one.callers, DATABASE, service)
        for number, one in enumerate(instances, 1)
    ]
    tasks += [asyncio.ensure_future(one.run()) for one in clients]
    await asyncio.sleep(LEAD_S)
    answered = [
        any("COMPLETE" in a[2] for a in one.answers.values())
        for one in clients
    ]
    if not all(answered):
        record.write("script", "a client was never answered with success")
        return NOT_RUN
    began_at = record.now()

    async def wait(seconds):
        await asyncio.sleep(max(0.0, began_at + seconds - record.now()))

    primary, lost, deaf = service.backends.values()
    if trouble:
        deaf.deaf = True
        record.write(deaf.id, f"receives nothing from {deaf.position} on")
        await wait(LOST_AT_S)
        lost.crash()
        await wait(CRASH_AT_S)
        primary.crash()
        if os.environ.get("KILL", "1") != "0":
            await wait(KILL_AT_S)
            for instance in instances:
                await instance.kill()
            record.write("script", "all instances were killed")
            await asyncio.sleep(RESTART_DELAY_S)
            for instance in instances:
                await instance.start()
            record.write("script", "all instances were started again")
        await wait(DEAF_S)
        deaf.deaf = False
        await wait(CRASH_AT_S + DOWN_S)
        await primary.come_back()
        store.put("servers", primary.id, primary.entry())
    await wait(END_S)
    return judge(record, service, clients)


def judge(record, service, clients):
    """Return whether the rule LOST was broken, as an exit code."""
    for request_id in sorted(service.lost):
        record.write(
            "judge",
            f"LOST: {request_id} was acknowledged as commit "
            f"{service.numbers[request_id]} and is not in the log of the "
            "backend that was promoted",
        )
    served = [
        at
        for client in clients
        for _sent_at, at, outcome in client.answers.values()
        if outcome.startswith("COMPLETE i")
    ]
    record.write("judge", f"last success at {max(served):.1f} s")
    record.write("judge", f"{len(service.lost)} commits lost")
    return BROKEN if service.lost else HELD


def main():
    """Run the script; return its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        try:
            code = asyncio.run(play(path, trouble))
        except Exception:
            traceback.print_exc()
            code = NOT_RUN
        if os.environ.get("LOGS"):
            for log in sorted(path.glob("*.log")):
                (pathlib.Path(os.environ["LOGS"]) / log.name).write_bytes(
                    log.read_bytes()
                )
    return code


if __name__ == "__main__":
    sys.exit(main())
