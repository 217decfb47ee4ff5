"""Runs coroutines on a real loop, for tests that need sockets."""

import asyncio
import contextlib
import socket

from balsamhinge.configuration import plan

__all__ = ["free_port", "free_ports", "make_target", "run_real"]

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
    return free_ports(1)[0]


def free_ports(count):
    """Return distinct ports that nothing listens on now.

    All are held until the last one is chosen, since the system may give
    out a port again as soon as it is released.
    """
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in held:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in held]


def make_target(name, port, centre="here"):
    """Return a target of a plan."""
    state = plan.TargetState.ACTIVE
    return plan.Target(name, HOST, port, centre, 20, 3, state, 0)
