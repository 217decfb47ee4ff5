"""Idle connections of a pool, by customer."""

import collections

import attrs

__all__ = ["IdleConnections", "PooledConnection"]


@attrs.define(eq=False)
class PooledConnection:
    """A connection and the state of its session at the target.

    Parameters
    ----------
    conn : object
        The connection.
    customer : str
        Customer for which it was opened; it never serves another one.
    values : dict of str to str
        Session values that are set on it.
    prepared : set of str
        Names of the statements that are prepared on it.
    idle_at : float
        Loop seconds when it was last returned.
    borrowed_at : float
        Loop seconds when it was last borrowed.
    """

    conn: object
    customer: str = ""
    values: dict = attrs.Factory(dict)
    prepared: set = attrs.Factory(set)
    idle_at: float = 0.0
    borrowed_at: float = 0.0


class IdleConnections:
    """Idle connections to one target, by customer.

    Each customer's latest connection is used first, so that those beyond
    its usual number become idle for long and are closed.
    """

    def __init__(self):
        self._of_customer = collections.defaultdict(list)

    def __len__(self):
        return sum(map(len, self._of_customer.values()))

    def __iter__(self):
        return iter(
            [pooled for own in self._of_customer.values() for pooled in own]
        )

    def add(self, pooled):
        """Add a connection that has just been returned."""
        self._of_customer[pooled.customer].append(pooled)

    def has(self, customer):
        """Return whether a customer has an idle connection."""
        return customer in self._of_customer

    def pop(self, customer):
        """Remove and return a customer's latest connection, or None."""
        own = self._of_customer.get(customer)
        if not own:
            return None
        pooled = own.pop()
        if not own:
            del self._of_customer[customer]
        return pooled

    def remove(self, pooled):
        """Remove a connection."""
        own = self._of_customer[pooled.customer]
        own.remove(pooled)
        if not own:
            del self._of_customer[pooled.customer]

    def choose_for_eviction(self, customer, open_counts):
        """Return the connection to close in favour of another customer.

        Parameters
        ----------
        customer : str
            Customer that needs a connection.
        open_counts : dict of str to int
            Number of open connections by customer.

        Returns
        -------
        PooledConnection or None
            The least recently used one of other customers. Customers with
            several open connections come first: the others would have to
            open theirs again for their next statement.
        """
        # The first of a list is the one that was returned first.
        candidates = [
            own[0]
            for other, own in self._of_customer.items()
            if other != customer
        ]
        return min(
            candidates,
            key=lambda pooled: (
                open_counts[pooled.customer] < 2,
                pooled.idle_at,
            ),
            default=None,
        )
