"""A machine is cut off, returns, and is cut off again."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import deployment  # noqa: E402

ZONES = ["north", "central", "south"]
# Instances that can be cut off; three of them are, without the holder of the
# promotion duty.
CUTTABLE = (1, 4, 7, 8)
CUT_OFF = 3
# The machines are cut off for the longest time on the days of the site. If all
# of them are still recorded in the store after it, they are cut off again.
FIRST_CUTS = 3
FIRST_CUT_S = 12.0
CALM_S = 6.0
LAST_CUT_S = 5.0


def prepare(record):
    """Return a deployment of nine instances and three targets."""
    routes = [deployment.route("posts", "primary")]
    return deployment.Deployment(
        record, ZONES, [3, 3, 3], routes, cuttable=CUTTABLE
    )


async def go_on(caller, texts, until):
    """Send one statement after the other."""
    await caller.open()
    number = 0
    while asyncio.get_running_loop().time() < until:
        number += 1
        _id, lines = await caller.query(texts.format(number=number))
        if not lines:
            break
        await asyncio.sleep(0.005)
    caller.close()


async def cut_off(deployed, instances, seconds):
    """Cut instances off for a while."""
    for instance in instances:
        deployed.cut(instance)
    await asyncio.sleep(seconds)
    for instance in instances:
        deployed.heal(instance)


def is_recorded(deployed, instance):
    """Return whether the store holds the record of an instance."""
    return f"member.{instance.name}" in deployed.store.names("leaders")


async def scenario(deployed, trouble):
    """Replace the primary during the second cut; return breaches of STALE."""
    record, service = deployed.record, deployed.service
    holder = deployed.store.get("leaders", "duty")["holder"]
    away = [
        deployed.instances[number]
        for number in CUTTABLE
        if deployed.instances[number].name != holder
    ][:CUT_OFF]
    old = service.primary
    successor = deployed.target_starts("i-svc3", old.zone)
    await successor.start()
    deployed.store.put("servers", successor.name, successor.entry())
    if trouble and not os.environ.get("ONLY_LAST_CUT"):
        for _attempt in range(FIRST_CUTS):
            await cut_off(deployed, away, FIRST_CUT_S)
            await asyncio.sleep(CALM_S)
            if not all(is_recorded(deployed, one) for one in away):
                break
    else:
        await asyncio.sleep(CALM_S)
    # The last cut is of a machine that has lost its record in the store, if
    # there is one.
    away.sort(key=lambda one: is_recorded(deployed, one))
    record.note("members", are=deployed.store.names("leaders"))
    near = [one for one in deployed.instances if one not in away]
    readers = [deployment.Caller(record, one, "posts") for one in away]
    writers = [deployment.Caller(record, one, "posts") for one in near]
    until = asyncio.get_running_loop().time() + 6.0
    running = [
        asyncio.ensure_future(go_on(caller, "READ item", until))
        for caller in readers
    ] + [
        asyncio.ensure_future(
            go_on(caller, f"WRITE item{caller.number} {{number}}", until)
        )
        for caller in writers
    ]
    await asyncio.sleep(1.0)
    if trouble:
        running.append(
            asyncio.ensure_future(cut_off(deployed, away[:1], LAST_CUT_S))
        )
    old.state = "draining"
    deployed.store.put("servers", old.name, old.entry())
    await asyncio.gather(*running)
    return find_breaches(service, readers, writers)


def find_breaches(service, readers, writers):
    """Return the reads that lacked an acknowledged commit."""
    kept = set(entry[:2] for entry in service.primary.log)
    position_of = {
        query_id: entry[:2]
        for _at, _target, query_id, entry in service.commits
    }
    acknowledged = sorted(
        (at, position_of[query_id])
        for caller in writers
        for at, query_id, _text, lines in caller.answers
        if deployment.succeeded(lines) and position_of[query_id] in kept
    )
    target_of = {
        query_id: connection.target.name
        for _at, connection, query_id, _text, _by in service.runs
    }
    breaches = []
    for caller in readers:
        for _at, query_id, _text, lines in caller.answers:
            if not deployment.succeeded(lines):
                continue
            sent_at = caller.sent_at[query_id]
            earlier = [
                (at, position)
                for at, position in acknowledged
                if at < sent_at and position > service.positions[query_id]
            ]
            if earlier:
                at, position = earlier[0]
                breaches.append(
                    f"STALE: a read at {caller.instance.name}, sent at "
                    f"{sent_at:.3f} s, ran at {target_of[query_id]} on a log "
                    f"without {deployment.show(position)}, which was "
                    f"acknowledged {1000 * (sent_at - at):.0f} ms before"
                )
    return breaches


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.run_case(FOLDER, prepare, scenario, trouble)
