"""A chain of filters, each of which may end a request or pass it on."""

__all__ = ["Chain"]


class Chain:
    """Filters around one another.

    Parameters
    ----------
    filters : list of callable
        Coroutine functions of (request, proceed); `proceed` takes the
        request and runs the rest of the chain. The last filter ends the
        request itself.
    """

    def __init__(self, filters):
        self._filters = filters

    async def __call__(self, req):
        """Pass a request through all filters and return the reply."""
        return await self._run(0, req)

    async def _run(self, index, req):
        async def proceed(passed):
            return await self._run(index + 1, passed)

        return await self._filters[index](req, proceed)
