"""Runs coroutines on a real loop, for tests that need sockets."""

import asyncio
import socket

from balsamhinge.configuration import plan

__all__ = ["free_port", "make_target", "run_real"]

LIMIT_S = 60.0
HOST = "127.0.0.1"


def run_real(coroutine):
    """Run a coroutine on a real loop; end it if it hangs."""

    async def bounded():
        async with asyncio.timeout(LIMIT_S):
            return await coroutine

    return asyncio.run(bounded())


def free_port():
    """Return a port that nothing listens on now."""
    with socket.socket() as one:
        one.bind((HOST, 0))
        return one.getsockname()[1]


def make_target(name, port, centre="here"):
    """Return a target of a plan."""
    state = plan.TargetState.ACTIVE
    return plan.Target(name, HOST, port, centre, 20, 3, state, 0)
