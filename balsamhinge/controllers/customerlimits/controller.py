"""Rate limits of customers: what other parts of an instance call."""

from balsamhinge.controllers.customerlimits import entry
from balsamhinge.controllers.customerlimits import membership
from balsamhinge.controllers.customerlimits import owner

__all__ = ["CustomerLimitsController"]


class CustomerLimitsController:
    """Limits the operations of each customer over all instances.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._membership = membership.LimitMembership(fleet)
        self._owner = owner.LimitOwnerController(fleet, self._membership)
        self._entry = entry.LimitEntryController(
            fleet, self._membership, self._owner
        )

    @property
    def is_enabled(self):
        """Return whether the deployment asks for limits."""
        return self._membership.is_enabled

    async def admit(self, workload, deadline):
        """Count one operation against the limit of its customer.

        Parameters
        ----------
        workload : Workload or str
            Origin of the operation, or the name of its customer. Operations
            without a customer are not limited.
        deadline : float
            Loop seconds until which to wait for a token.

        Raises
        ------
        LimitExceeded
            If the operation must not run.
        """
        if not self.is_enabled:
            return
        name = getattr(workload, "customer", workload)
        if name:
            await self._entry.admit(name, deadline)

    def serve(self, request):
        """Return the `AllowanceReply` to an `AllowanceRequest`."""
        return self._owner.serve(request)

    def sweep(self):
        """Follow changes of members and customers; runs often."""
        if not self.is_enabled:
            return
        self._membership.sweep()
        self._owner.sweep()
        self._entry.sweep()

    def describe(self):
        """Return the counters of this instance as an entry, by customer.

        Returns
        -------
        dict of str to dict
            With the customer's `rate_per_s` and `burst`, the operations
            `used`, those `refused` by reason, the tokens `asked`, `granted`
            and `expired`, the `balance` in tokens, and the estimated
            `demand_per_s`. Customers that this instance has not served are
            left out.
        """
        return self._entry.describe()

    def own_customers(self):
        """Return the buckets that this instance owns, by customer.

        Returns
        -------
        dict of str to dict
            With `level` and `capacity` in tokens, `rate_per_s`, the tokens
            `granted`, and those `refused`.
        """
        return self._owner.describe()
