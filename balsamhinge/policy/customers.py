"""Customers, whose callers are identified by keys."""

import hashlib

import attrs

__all__ = ["Customer", "CustomerSettings", "digest_key"]

DEFAULT_REVOCATION_S = 5.0
# Longer keys are never valid. A caller's message may have 1 MB, which would
# take a millisecond to hash.
MAX_KEY_CHARS = 512


@attrs.frozen
class Customer:
    """Configuration of one customer.

    Parameters
    ----------
    name : str
        Name that targets are told.
    key_digests : tuple of str
        Digests of the keys that identify its callers, see `digest_key`.
    priority : int
        Priority among customers; 0 goes first.
    rate_per_s : float
        Operations a second that the customer may run, over all instances;
        infinite if there is no limit.
    burst : float
        Operations that it may run at once beyond that rate.
    """

    name: str
    key_digests: tuple[str, ...] = attrs.field(repr=False)
    priority: int = 0
    rate_per_s: float = float("inf")
    burst: float = 0.0


@attrs.frozen
class CustomerSettings:
    """Settings of a deployment for keys and rate limits.

    The defaults switch everything off that a deployment has to ask for.

    Parameters
    ----------
    strict_revocation : bool
        Whether a removed key must stop working everywhere in time, also at
        instances that are partitioned.
    revocation_s : float
        Time in seconds after which it must have stopped working.
    limit_window_s : float
        Length in seconds of the sliding window of rate limits; 0 if rates
        are not limited.
    limit_overage : float
        Share of a limit by which the operations in a window may exceed it.
    limit_slack : float
        Operations by which they may exceed it in addition.
    data_centres : tuple of str
        All data centres of the deployment; empty if unknown.
    """

    strict_revocation: bool = False
    revocation_s: float = DEFAULT_REVOCATION_S
    limit_window_s: float = 0.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    data_centres: tuple[str, ...] = ()


def digest_key(key):
    """Return the digest under which a key is kept and compared.

    Keys are secrets: neither memory dumps nor messages between instances
    are to reveal them.
    """
    encoded = key.encode("utf-8", "surrogateescape")
    return hashlib.sha256(encoded).hexdigest()
