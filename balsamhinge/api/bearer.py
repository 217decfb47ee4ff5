"""Bearer token authentication of callers and operators."""

import hmac

__all__ = ["BearerToken"]


class BearerToken:
    """A bearer token that requests have to present.

    Parameters
    ----------
    token : str
        Expected token, or "" if requests need none.
    """

    def __init__(self, token):
        self._expected = f"Bearer {token}".encode() if token else b""

    def accepts(self, header):
        """Return whether an Authorization header contains the token."""
        if not self._expected:
            return True
        given = header.encode("latin-1", "replace")
        # A constant-time comparison does not reveal the matching prefix.
        return hmac.compare_digest(given, self._expected)
