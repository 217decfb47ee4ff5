"""Hands work from CherryPy's threads to the one loop."""

import asyncio
import concurrent.futures

__all__ = ["Bridge"]

ANSWER_MARGIN_S = 5.0


class Bridge:
    """Runs coroutines on the loop and waits for them in a thread.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The one loop, on which all state lives.
    """

    def __init__(self, loop):
        self._loop = loop

    def run(self, coroutine, timeout_s):
        """Run a coroutine on the loop and return its result.

        Parameters
        ----------
        coroutine : coroutine
            What to run.
        timeout_s : float
            Seconds that it bounds itself to.

        Raises
        ------
        TimeoutError
            If it does not keep to that by a wide margin.
        """
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return fut.result(timeout_s + ANSWER_MARGIN_S)
        except concurrent.futures.TimeoutError as exc:
            fut.cancel()
            raise TimeoutError("the loop did not answer") from exc

    def call(self, function, *args):
        """Call a plain function on the loop and return its result."""

        async def run():
            return function(*args)

        return self.run(run(), 0.0)
