"""Counts what each customer was given and refused at this instance."""

import collections
import enum

__all__ = ["ADMITTED", "WAITS", "WAIT_S", "CustomerUsage", "Reason"]

# Further keys of the counts of a customer, beside the reasons.
ADMITTED = "admitted"
WAITS = "waits"
WAIT_S = "wait_s"


class Reason(enum.StrEnum):
    """Why an operation was refused.

    Attributes
    ----------
    KEY, LIMIT, STALE_CONFIGURATION
        By the key, by the limit of the customer, and without a valid
        configuration lease.
    OVERLOADED, UNAVAILABLE
        The queue of a target was too long, and no target could be used.
    """

    KEY = "key"
    LIMIT = "limit"
    STALE_CONFIGURATION = "stale_configuration"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"


class CustomerUsage:
    """Counts of all customers since the start of the instance.

    The name "" stands for callers whose customer is unknown, for public
    routes and for customers that the configuration no longer has.

    Attributes
    ----------
    totals : dict of str to Counter
        Counts by customer: operations under `ADMITTED` and each `Reason`,
        waits in queues of targets under `WAITS` and their seconds under
        `WAIT_S`.
    """

    def __init__(self):
        self.totals = collections.defaultdict(collections.Counter)
        self._increments = collections.defaultdict(collections.Counter)
        # Customers to which the names were last limited.
        self._retained = None

    def record_admitted(self, customer):
        """Count an operation that is within the limit of its customer."""
        self._add(customer, ADMITTED, 1)

    def record_refused(self, customer, reason):
        """Count an operation that was refused for a `Reason`."""
        self._add(customer, reason.value, 1)

    def record_wait(self, customer, wait_s):
        """Count a wait of `wait_s` seconds in the queue of a target."""
        self._add(customer, WAITS, 1)
        self._add(customer, WAIT_S, wait_s)

    def _add(self, customer, key, value):
        self.totals[customer][key] += value
        self._increments[customer][key] += value

    def take_increments(self):
        """Return the counts by customer since the last call."""
        increments, self._increments = (
            self._increments,
            collections.defaultdict(collections.Counter),
        )
        return increments

    def retain_only(self, customers):
        """Count what is known of other customers than these under "".

        Parameters
        ----------
        customers : dict of str to Customer
            Customers of the configuration in force. It is walked only if it
            is another dict than that of the last call.
        """
        if customers is self._retained:
            return
        self._retained = customers
        for counts in (self.totals, self._increments):
            for name in counts.keys() - customers.keys() - {""}:
                counts[""].update(counts.pop(name))
