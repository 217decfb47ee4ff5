"""The event loop's clock, which tests can control."""

import asyncio

__all__ = ["now", "pause", "run_forever"]


def now():
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


async def pause(seconds):
    """Sleep for `seconds`; a negative value counts as 0."""
    await asyncio.sleep(max(0.0, seconds))


async def run_forever(step, interval_s, jitter=None):
    """Call `step` repeatedly, `interval_s` after the end of each call.

    Parameters
    ----------
    step : callable
        Coroutine function without arguments.
    interval_s : float
        Seconds between the end of a call and the next one.
    jitter : random.Random, optional
        Varies the interval by up to a fifth, so that instances which
        started together do not act at the same time.
    """
    while True:
        await step()
        factor = jitter.uniform(0.8, 1.2) if jitter else 1.0
        await pause(interval_s * factor)
