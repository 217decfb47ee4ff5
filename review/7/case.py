"""The same while the replica that receives is drained, as planned."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from second import world as worlds  # noqa: E402

ZONES = ["bkk-a", "bkk-b", "bkk-c"]
# From the start of the instances: primaries can be changed after 9 s.
TROUBLE_AT_S = 14.0
CRASH_AFTER_S = 2.5
LAG_FOR_S = 6.5
CRASH_FOR_S = 7.0
WRITERS = 6
READERS = 24
# From the end of the start; the rest of `drain_ms` is over before.
DRAIN_AT_S = 13.0
SERVES_FOR_S = 9.0


async def scenario(world, trouble):
    """Play the case; return the acknowledged commits that are lost."""
    service, record = world.service, world.record
    acknowledged = {}
    lost = []
    ended = asyncio.Event()

    async def write(number):
        client = None
        while not ended.is_set():
            try:
                if client is None:
                    client = world.client(number % 3, "posts")
                    if not await client.open():
                        raise OSError("refused")
                text = f"WRITE w{number} d{random.getrandbits(32):x}"
                request = client.next_id()
                lines = await client.query(text, request)
                if worlds.succeeded(lines):
                    acknowledged[request] = text
                if not lines:
                    raise OSError("closed")
                await asyncio.sleep(random.uniform(0.05, 0.15))
            except (OSError, TimeoutError):
                if client is not None:
                    client.close()
                client = None
                await asyncio.sleep(0.1)

    async def read(number):
        client = None
        while not ended.is_set():
            try:
                if client is None:
                    client = world.client(number % 3, "ranks")
                    if not await client.open():
                        raise OSError("refused")
                lines = await client.query(
                    f"READ w{random.randrange(WRITERS)}", client.next_id()
                )
                if not lines:
                    raise OSError("closed")
                await asyncio.sleep(random.uniform(0.2, 0.6))
            except (OSError, TimeoutError):
                if client is not None:
                    client.close()
                client = None
                await asyncio.sleep(0.1)

    def check(leader):
        held = {request for _position, request, _writes in leader.log}
        for request, text in acknowledged.items():
            if request not in held:
                lost.append(
                    f"LOST: {request} {text!r} was acknowledged and is not "
                    f"in the log of {leader.name}, which is promoted"
                )

    service.on_promotion = check
    tasks = [asyncio.ensure_future(write(n)) for n in range(WRITERS)]
    tasks += [asyncio.ensure_future(read(n)) for n in range(READERS)]

    async def release(backend):
        """Drain a replica; its log goes to a new one at its address."""
        backend.state = "draining"
        service.report(backend)
        record.say("draining:", backend.name)
        await asyncio.sleep(SERVES_FOR_S)
        service.end(backend)
        record.say("ends:", backend.name)
        await service.add(
            "i-huvo11a4", backend.zone, backend.port, backend.log
        )

    await asyncio.sleep(DRAIN_AT_S - record.now())
    first, synced, behind = service.backends
    tasks.append(asyncio.ensure_future(release(synced)))
    await asyncio.sleep(TROUBLE_AT_S - record.now())
    if not acknowledged:
        return None
    if trouble:
        record.say("receives nothing:", behind.name)
        behind.deaf = True
        await asyncio.sleep(CRASH_AFTER_S)
        record.say(
            "crash of",
            first.name,
            "logs",
            [(b.name, b.received) for b in service.backends],
        )
        first.crash()
        await asyncio.sleep(LAG_FOR_S - CRASH_AFTER_S)
        behind.deaf = False
        record.say("receives again:", behind.name)
        service.replicate(service.primary)
        await asyncio.sleep(CRASH_AFTER_S + CRASH_FOR_S - LAG_FOR_S)
        if first is not service.primary:
            first.role = "replica"
        await first.start()
        service.report(first)
        service.replicate(service.primary)
        record.say("back:", first.name)
    await asyncio.sleep(5)
    ended.set()
    for task in tasks:
        task.cancel()
    record.say("acknowledged", len(acknowledged), "commits")
    return lost


worlds.run(scenario, FOLDER, ZONES, sync_replicas=1, max_conns=38)
