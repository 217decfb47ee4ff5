"""Steps that set a system up, break it and let time pass."""

import asyncio
import random

from behave import given
from behave import step
from behave import when

from tests.support import failures
from tests.support import guards
from tests.support import history
from tests.support import world as world_module

CALLER_PAUSE_S = 0.01
SETTLE_S = 3.0


def run(context, coroutine):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(coroutine)


@given("the {guard} is switched off")
def switch_off(context, guard):
    context.guards.enter_context(guards.without(guard))


@given("a system with {instances:d} instances in each data centre")
def start_system(context, instances):
    start_seeded(context, instances, 0)


@given(
    "a system with {instances:d} instances in each data centre, seed {seed:d}"
)
def start_seeded(context, instances, seed):
    context.world = world_module.World(instances=instances, seed=seed)
    run(context, context.world.start())


@step("{seconds:g} seconds pass")
def pass_time(context, seconds):
    run(context, asyncio.sleep(seconds))


@given("replicas apply {seconds:g} seconds late")
@when("replicas apply {seconds:g} seconds late")
def set_apply_lag(context, seconds):
    for held in context.world.databases.values():
        held.knobs.apply_lag_s = seconds


@when("{count:d} callers post results and read them for {seconds:g} seconds")
def start_callers(context, count, seconds):
    context.checker = history.Checker()
    end = context.loop.time() + seconds
    callers = [
        history.Caller(f"caller{n}", context.world, context.checker)
        for n in range(count)
    ]
    context.callers = [
        asyncio.ensure_future(caller.run(end), loop=context.loop)
        for caller in callers
    ]


@when("the callers end")
def end_callers(context):
    run(context, asyncio.gather(*context.callers))


def primary_of(context):
    """Return the primary's name."""
    return context.world.primary().name


def place_of(context, name):
    """Return the data centre of a target or an instance."""
    return context.world.network.place[name]


@when("the primary is killed")
def kill_primary(context):
    context.killed = primary_of(context)
    run(context, context.world.kill_target(context.killed))


@when("the killed target returns")
def revive(context):
    context.world.revive_target(context.killed)


@when("the primary is frozen")
def freeze_primary(context):
    context.killed = primary_of(context)
    context.world.network.freeze(context.killed)


@when("the primary is cut off alone")
def cut_primary(context):
    network = context.world.network
    context.killed = primary_of(context)
    for name in network.place:
        if name != context.killed:
            network.cut(context.killed, name)


@when("the primary's data centre is cut off")
def cut_centre(context):
    centre = place_of(context, primary_of(context))
    failures.cut_centre_off(context.world, centre)
    context.cut_centre = centre


@when("the network heals")
def heal(context):
    context.world.network.heal()


@when("the platform's store goes down")
def store_down(context):
    context.world.store.knobs.down = True


@when("the platform's store returns")
def store_up(context):
    context.world.store.knobs.down = False


@when("the next {count:d} answers of the store are lost")
def lose_store_answers(context, count):
    context.world.store.knobs.lose_answers = count


@when("the instance {name} is killed")
def kill_instance(context, name):
    run(context, context.world.kill_instance(name))


@when("the instance {name} is frozen")
def freeze_instance(context, name):
    context.world.network.freeze(name)


@when("the instance {name} wakes")
def wake_instance(context, name):
    context.world.network.thaw(name)


@when("the instance {name} starts again with nothing")
def restart_instance(context, name):
    run(context, context.world.restart_instance(name))


@when("every instance proposes itself for the promotion at once")
def promote_everywhere(context):
    async def promote():
        await asyncio.gather(
            *(
                core.promotions.promote("ladder-1", "operator")
                for core in context.world.cores.values()
            )
        )

    run(context, promote())


@when("failures strike at random for {seconds:g} seconds")
def strike(context, seconds):
    rng = random.Random(f"failures/{context.world.seed}")
    run(context, failures.strike(context.world, rng, seconds))
    run(context, asyncio.sleep(SETTLE_S))
