"""Runs each scenario on a loop of its own, whose clock jumps."""

import contextlib

import async_solipsism

from tests.support import world


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
    if context.world is not None:
        context.world.close()
    world.end_loop(context.loop)
