"""Failures that strike a world, one at a time or at random."""

import asyncio

from tests.support import world as world_module

__all__ = ["cut_centre_off", "strike"]


def cut_centre_off(world, centre):
    """Cut a data centre off from the others and from the platform."""
    network = world.network
    for other in (*world_module.CENTRES, "platform"):
        if other != centre:
            network.cut(centre, other)
    network.place.setdefault("platform", "platform")


async def strike(world, rng, seconds):
    """Let two failures at a time happen, and mend them again."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        mends = [await one_failure(world, rng) for _ in range(2)]
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        for mend in mends:
            await mend()
        world.network.heal()
        world.store.knobs.down = False
        await asyncio.sleep(rng.uniform(0.1, 1.5))


async def one_failure(world, rng):
    """Let one failure happen; return what mends it."""
    network = world.network
    kind = rng.choice(["target", "instance", "freeze", "cut", "store"])
    target = rng.choice(sorted(world.databases))
    instance = rng.choice([member.name for member in world.members])

    async def nothing():
        return

    async def revive_target():
        world.revive_target(target)

    async def restart():
        if instance not in world.cores:
            await world.restart_instance(instance)

    match kind:
        case "target":
            await world.kill_target(target)
            return revive_target
        case "instance":
            if instance in world.cores and len(world.cores) > 1:
                await world.kill_instance(instance)
            return restart
        case "freeze":
            network.freeze(rng.choice([target, instance]))
        case "cut":
            cut_centre_off(world, rng.choice(world_module.CENTRES))
        case "store":
            world.store.knobs.down = True
    return nothing
