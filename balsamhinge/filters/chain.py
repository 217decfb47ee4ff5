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
    Whenever a request resumes, every frame of its coroutine chain is
    entered again, so each filter adds only one frame.
    """
    handler = None
    for filter_ in reversed(filters):
        handler = functools.partial(filter_, proceed=handler)
    return handler
