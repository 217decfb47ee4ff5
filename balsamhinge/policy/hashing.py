"""The 64-bit hash used for rankings, digests and fingerprints."""

import xxhash

__all__ = ["hash_bytes", "hash_text"]


def hash_bytes(data):
    """Return a 64-bit hash of bytes that is equal on every instance."""
    return xxhash.xxh3_64_intdigest(data)


def hash_text(text):
    """Return a 64-bit hash of a text that is equal on every instance."""
    return hash_bytes(text.encode())
