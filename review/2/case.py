"""An instance that lends connections is killed, and starts again."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
REPOSITORY = FOLDER.parents[1]
sys.path.insert(0, str(FOLDER.parent / "common"))
sys.path.insert(0, str(REPOSITORY / "target/deps"))
sys.path.insert(0, str(REPOSITORY))
import deployment  # noqa: E402

from balsamhinge.policy import loans  # noqa: E402
from balsamhinge.policy import ownership  # noqa: E402

ZONES = ["north", "central", "south"]
# The smallest fleet in which instances share connections.
PER_ZONE = [6, 6, 5]
# The platform starts a killed process again after a short delay.
RESTART_DELAY_S = 0.3
# A host keeps five connections to a target here. Where all are in use, later
# callers are refused, which breaks nothing.
WAITING, LATER = 2, 5


def prepare(record):
    """Return a deployment of 17 instances and three targets."""
    routes = [deployment.route("posts", "primary")]
    return deployment.Deployment(record, ZONES, PER_ZONE, routes)


def choose(deployed):
    """Return a host of the primary, and two instances that borrow from it.

    Only to know which process to kill: with another one the callers' work
    would not be on it.
    """
    primary = deployed.service.primary
    members = [
        ownership.Member(one.name, "", one.zone) for one in deployed.instances
    ]
    ranked = ownership.rank_members(members, primary.name)
    local = [one for one in ranked if one.data_centre == primary.zone]
    hosts = local[: loans.HOSTS_PER_TARGET]
    holder = deployed.store.get("leaders", "duty")["holder"]
    by_name = {one.name: one for one in deployed.instances}
    for host in hosts:
        users = [
            by_name[one.name]
            for one in members
            if one not in hosts
            and ownership.rank_members(hosts, one.name)[0] == host
        ]
        if host.name != holder and len(users) > 1:
            return by_name[host.name], users[0], users[1]
    raise deployment.CannotRun("no host has two borrowers")


async def begin(deployed, instance, item):
    """Begin a transaction and write in it; return its caller."""
    caller = deployment.Caller(deployed.record, instance, "posts")
    await caller.open()
    await caller.must("BEGIN")
    await caller.query(f"WRITE {item} of-{caller.number}")
    return caller


async def scenario(deployed, trouble):
    """Kill and restart a host; return the breaches of PINNED, UNASKED."""
    record, service = deployed.record, deployed.service
    host, first, second = choose(deployed)
    record.note("roles", host=host.name, first=first.name, later=second.name)
    waiting = [
        await begin(deployed, first, f"first{number}")
        for number in range(WAITING)
    ]
    for caller in waiting:
        if not deployment.succeeded(caller.answers[-1][3]):
            raise deployment.CannotRun("a first transaction did not begin")
    if trouble:
        host.signal(signal.SIGKILL)
        await host.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await host.start()
        await deployed.wait_ready([host], 2.0)
    else:
        await asyncio.sleep(1.2)
    record.note("host_ready", host=host.name)
    callers = list(waiting)
    # The first callers go on after a pause, and commit; the later ones do not
    # want to keep what they wrote.
    for caller in waiting:
        later = [
            await begin(deployed, second, f"later{number}")
            for number in range(LATER)
        ]
        callers += later
        _id, lines = await caller.query(f"WRITE more{caller.number} x")
        if deployment.succeeded(lines):
            await caller.query("COMMIT")
        for other in later:
            await other.query("ROLLBACK")
            other.close()
        reader = deployment.Caller(record, second, "posts")
        await reader.open()
        await reader.query("READ any")
        reader.close()
        callers.append(reader)
    await asyncio.sleep(0.5)
    return find_breaches(service, callers)


def find_breaches(service, callers):
    """Return the breaches that the targets have seen."""
    caller_of = {
        query_id: caller
        for caller in callers
        for _at, query_id, _text, _lines in caller.answers
    }
    breaches = []
    for _at, connection, query_id, text, began_by in service.runs:
        caller = caller_of[query_id]
        if began_by and caller_of[began_by[0]] is not caller:
            breaches.append(
                f"PINNED: {text!r} of caller {caller.number} ran at "
                f"{connection.target.name} inside the transaction of caller "
                f"{caller_of[began_by[0]].number}"
            )
    for _at, target, query_id, entry in service.commits:
        for item, value in entry[2]:
            owner = int(value.removeprefix("of-")) if "of-" in value else 0
            if owner and owner != caller_of[query_id].number:
                breaches.append(
                    f"UNASKED: the write of {item} by caller {owner}, who "
                    f"rolled back, was committed at {target.name} by the "
                    f"COMMIT of caller {caller_of[query_id].number}"
                )
    return breaches


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.run_case(FOLDER, prepare, scenario, trouble)
