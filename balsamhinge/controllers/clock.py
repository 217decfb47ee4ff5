"""The loop's clock, which tests pause and advance."""

import asyncio

__all__ = ["now", "pause", "run_forever"]


def now():
    """Return the running loop's time in seconds."""
    return asyncio.get_running_loop().time()


async def pause(seconds):
    """Wait for `seconds` on the loop's clock."""
    await asyncio.sleep(max(0.0, seconds))


async def run_forever(step, interval_s, jitter=None):
    """Call `step` again and again, `interval_s` after each end.

    Parameters
    ----------
    step : callable
        Coroutine function without arguments.
    interval_s : float
        Seconds between an end and the next start.
    jitter : random.Random, optional
        Varies the interval by up to a fifth, so that instances which
        started together do not act together.
    """
    while True:
        await step()
        spread = jitter.uniform(0.8, 1.2) if jitter else 1.0
        await pause(interval_s * spread)
