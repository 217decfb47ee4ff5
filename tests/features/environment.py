"""Runs each scenario on a loop of its own, whose clock jumps."""

import asyncio
import contextlib

import async_solipsism


def before_scenario(context, _scenario):
    """Give the scenario a loop."""
    context.loop = async_solipsism.EventLoop()
    context.guards = contextlib.ExitStack()
    context.world = None
    context.answers = {}
    context.tasks = {}


def after_scenario(context, _scenario):
    """End everything that the scenario started."""
    context.guards.close()
    pending = asyncio.all_tasks(context.loop)
    for task in pending:
        task.cancel()
    context.loop.run_until_complete(
        asyncio.gather(*pending, return_exceptions=True)
    )
    if context.world is not None:
        context.world.close()
    context.loop.close()
