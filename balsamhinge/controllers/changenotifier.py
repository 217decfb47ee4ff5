"""Lets coroutines wait for a change of a controller's state."""

import asyncio

__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """Wakes the coroutines that wait for the next change."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify_all(self):
        """Wake all waiting coroutines."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s):
        """Wait for the next change.

        Parameters
        ----------
        timeout_s : float
            Maximum wait in seconds.

        Returns
        -------
        bool
            Whether there was a change before the timeout.
        """
        event = self._event
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return False
        return True
