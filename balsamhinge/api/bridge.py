"""Calls from CherryPy's threads into the event loop."""

import asyncio
import concurrent.futures

__all__ = ["Bridge"]

ANSWER_MARGIN_S = 5.0


class Bridge:
    """Runs coroutines on the event loop from other threads.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop on which all state of the instance is accessed.
    """

    def __init__(self, loop):
        self._loop = loop

    def run(self, coroutine, timeout_s):
        """Run a coroutine on the loop and wait for its result.

        Parameters
        ----------
        coroutine : coroutine
            Coroutine to run.
        timeout_s : float
            Seconds within which the coroutine is expected to end.

        Raises
        ------
        TimeoutError
            If the coroutine exceeds `timeout_s` by `ANSWER_MARGIN_S`.
        """
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return fut.result(timeout_s + ANSWER_MARGIN_S)
        except concurrent.futures.TimeoutError as exc:
            fut.cancel()
            raise TimeoutError("the loop did not answer") from exc

    def call(self, function, *args):
        """Call a function on the loop and wait for its result."""

        async def run():
            return function(*args)

        return self.run(run(), 0.0)
