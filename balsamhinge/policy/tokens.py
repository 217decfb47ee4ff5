"""Session tokens: what a caller must see, signed by the proxy."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from balsamhinge import exceptions
from balsamhinge.policy import positions

__all__ = ["SessionToken", "open_token", "seal_token"]

SIGNATURE_BYTES = 16
MOST_GROUPS = 32


class SessionToken:
    """The positions, by group, that a session must see.

    Parameters
    ----------
    seen : dict of str to LogPosition
        By the group's name.
    """

    def __init__(self, seen=None):
        self.seen = dict(seen or {})

    def position(self, group):
        """Return what the session must see of `group`, or None."""
        return self.seen.get(group)

    def advanced(self, group, position):
        """Return a token that also covers `position` of `group`."""
        seen = dict(self.seen)
        seen[group] = max(position, seen.get(group, positions.ORIGIN))
        # The oldest groups go first; a session that lacks one reads from
        # that group's primary, which is always correct.
        while len(seen) > MOST_GROUPS:
            del seen[next(iter(seen))]
        return SessionToken(seen)


def seal_token(token, key):
    """Return a token as text with a signature.

    Parameters
    ----------
    token : SessionToken
        What to seal.
    key : bytes
        Secret that all instances share.

    Returns
    -------
    str
    """
    body = msgspec.msgpack.encode(token.seen)
    signed = sign(body, key) + body
    return base64.urlsafe_b64encode(signed).decode().rstrip("=")


def open_token(text, key):
    """Return the token that `text` holds.

    Raises
    ------
    InvalidToken
        If it was not sealed with `key`.
    """
    try:
        padded = text.encode("ascii") + b"=" * (-len(text) % 4)
        signed = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (ValueError, binascii.Error) as exc:
        raise exceptions.InvalidToken("the token is not base64") from exc
    signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, sign(body, key)):
        raise exceptions.InvalidToken("the token's signature is wrong")
    seen = msgspec.msgpack.decode(body, type=dict[str, positions.LogPosition])
    return SessionToken(seen)


def sign(body, key):
    """Return the signature of `body`."""
    return hmac.digest(key, body, hashlib.sha256)[:SIGNATURE_BYTES]
