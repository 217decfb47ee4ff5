"""Lets coroutines wait for a change of a controller's state."""

import asyncio

__all__ = ["ChangeNotifier"]


class ChangeNotifier:
    """A wake-up for everything that waits for the next change."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify_all(self):
        """Wake everything that waits."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s):
        """Wait for the next change; return whether it came in time."""
        event = self._event
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return False
        return True
