"""Bearer tokens of callers and operators."""

import hmac

__all__ = ["BearerToken"]


class BearerToken:
    """A token that requests have to present.

    Parameters
    ----------
    token : str
        The token, or "" if none is asked for.
    """

    def __init__(self, token):
        self._expected = f"Bearer {token}".encode() if token else b""

    def accepts(self, header):
        """Return whether an Authorization header holds the token."""
        if not self._expected:
            return True
        given = header.encode("latin-1", "replace")
        # The time of the comparison must not tell how much was right.
        return hmac.compare_digest(given, self._expected)
