"""Index from the digests of keys to customers."""

import functools

from balsamhinge.policy import hashing

__all__ = ["KeyIndex"]

# A fingerprint must fit into a signed integer of a message.
FINGERPRINT_BITS = 63


class KeyIndex:
    """The customers of one version of the configuration by key digest.

    It is built once for each version, so that a request looks up one digest.

    Parameters
    ----------
    table : RoutingTable
        The configuration.

    Attributes
    ----------
    conflicts : list of tuple of str
        Names of the customers that share a key, sorted, once for each key.
        Such a key identifies none of them.
    key_count : int
        Number of keys that identify a customer.
    """

    def __init__(self, table):
        self._table = table
        self._customers = {}
        shared = {}
        for customer in table.customers.values():
            for digest in customer.key_digests:
                other = self._customers.setdefault(digest, customer)
                if other is not customer:
                    names = shared.setdefault(digest, {other.name})
                    names.add(customer.name)
        for digest in shared:
            del self._customers[digest]
        self.conflicts = sorted(tuple(sorted(n)) for n in shared.values())
        self.key_count = len(self._customers)

    def find(self, digest):
        """Return the `Customer` whose key has a digest, or None."""
        return self._customers.get(digest)

    @functools.cached_property
    def fingerprint(self):
        """Hash of the version and of all that decides which key is valid.

        Two instances with the same fingerprint accept the same keys. The
        version alone does not tell: after a restore of the store an operator
        may give it out again.
        """
        keys = sorted(
            f"{digest} {customer.name}"
            for digest, customer in self._customers.items()
        )
        public = sorted(
            route.database
            for route in self._table.routes.values()
            if route.public
        )
        text = "\n".join([str(self._table.version), *keys, "", *public])
        digest = hashing.hash_bytes(text.encode("utf-8", "surrogatepass"))
        return digest >> (64 - FINGERPRINT_BITS)
