"""Session tokens: signed log positions that a session must see."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from balsamhinge import exceptions
from balsamhinge.policy import positions

__all__ = ["SessionToken", "open_token", "seal_token"]

SIGNATURE_BYTES = 16
MAX_GROUPS = 32


class SessionToken:
    """Log positions that a session's reads must include.

    Parameters
    ----------
    seen : dict of str to LogPosition
        Positions by name of the group.
    """

    def __init__(self, seen=None):
        self.seen = dict(seen or {})

    def position(self, group):
        """Return the position that the session must see, or None."""
        return self.seen.get(group)

    def with_position(self, group, position):
        """Return a token that also covers `position` of `group`."""
        seen = dict(self.seen)
        seen[group] = max(position, seen.get(group, positions.ORIGIN))
        # The groups that were added first are dropped. Without a position
        # of a group a session reads from its primary, which is correct.
        while len(seen) > MAX_GROUPS:
            del seen[next(iter(seen))]
        return SessionToken(seen)


def seal_token(token, key):
    """Return a token as signed text.

    Parameters
    ----------
    token : SessionToken
        Token to sign.
    key : bytes
        Secret that all instances share.

    Returns
    -------
    str
    """
    body = msgspec.msgpack.encode(token.seen)
    signed = _sign(body, key) + body
    return base64.urlsafe_b64encode(signed).decode().rstrip("=")


def open_token(text, key):
    """Verify and decode a token.

    Parameters
    ----------
    text : str
        Result of `seal_token`.
    key : bytes
        Secret that all instances share.

    Returns
    -------
    SessionToken

    Raises
    ------
    InvalidToken
        If `text` is malformed or was not signed with `key`.
    """
    try:
        padded = text.encode("ascii") + b"=" * (-len(text) % 4)
        signed = base64.b64decode(padded, altchars=b"-_", validate=True)
    except (ValueError, binascii.Error) as exc:
        raise exceptions.InvalidToken("the token is not base64") from exc
    signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(body, key)):
        raise exceptions.InvalidToken("the token's signature is wrong")
    seen = msgspec.msgpack.decode(body, type=dict[str, positions.LogPosition])
    return SessionToken(seen)


def _sign(body, key):
    return hmac.digest(key, body, hashlib.sha256)[:SIGNATURE_BYTES]
