"""A chain of filters, each of which may end a request or pass it on."""

import functools

__all__ = ["build_chain"]


def build_chain(filters):
    """Return a coroutine function that passes a request through filters.

    Parameters
    ----------
    filters : list of callable
        Coroutine functions of (request, proceed); `proceed` takes the
        request and runs the rest of the chain. The last filter ends the
        request itself.

    Returns
    -------
    callable
        Coroutine function of the request.

    Notes
    -----
    Each wake-up of a request resumes every frame of its chain, so there
    is just one frame for each filter.
    """
    handler = None
    for one in reversed(filters):
        handler = functools.partial(one, proceed=handler)
    return handler
