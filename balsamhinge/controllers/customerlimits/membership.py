"""Members of the fleet as owners of limits, and how current they are."""

import logbook

from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import leases
from balsamhinge.policy import limitowners
from balsamhinge.policy import ratelimits

__all__ = ["LimitMembership"]

# Age of the list of members from which a possible owner reads the store
# itself. Two such reads may fail before it must stop to grant.
MAX_MEMBERS_AGE_S = 4.0
# Least time between such reads.
READ_INTERVAL_S = 2.0

log = logbook.Logger(__name__)


class LimitMembership:
    """Follows the members, and decides whether this instance may grant.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._boot_time = fleet.dependencies.boot_time
        self._history = limitowners.OwnershipHistory(
            fleet.me.name, self._boot_time()
        )
        self._members = None
        self._owners = limitowners.LimitOwners(())
        self._read_at = float("-inf")
        self._next_read_at = float("-inf")
        self._suspended = "not started"

    @property
    def is_enabled(self):
        """Return whether the deployment asks for limits."""
        return self._fleet.customer_settings.limit_window_s > 0

    @property
    def owners(self):
        """Return the `LimitOwners` of the present members."""
        members = self._fleet.leaders.members
        if members is not self._members:
            self._members = members
            self._owners = limitowners.LimitOwners(members.values())
        return self._owners

    @property
    def history_version(self):
        """Return a number that changes with answers of `granting_from`."""
        return self._history.version

    def data_centres(self):
        """Return the names of the data centres that share each limit."""
        return (
            self._fleet.customer_settings.data_centres
            or self.owners.data_centres
        )

    def bucket_size(self, customer):
        """Return the `BucketSize` of a `Customer` in one data centre."""
        return ratelimits.BucketSize.from_customer(
            customer,
            max(1, len(self.data_centres())),
            self._fleet.customer_settings.limit_slack,
        )

    def limited_customer(self, name):
        """Return the `Customer` of a name, or None if it is unknown."""
        return self._fleet.directory.table.customers.get(name)

    def granting_from(self, customer):
        """Return the boot seconds from which tokens may be granted.

        Infinite if this instance does not own the customer's limit.
        """
        return self._history.granting_from(customer)

    def may_grant(self, now):
        """Return whether what this instance knows of members is current.

        An instance whose knowledge is older may have been replaced as an
        owner.
        """
        self._follow(now)
        reason = self._reason_against(now)
        if reason != self._suspended:
            self._suspended = reason
            event(
                log.notice,
                "limit_grants_suspended" if reason else "limit_grants_allowed",
                reason=reason,
                members_age_s=now - self._read_at,
            )
        return not reason

    def _reason_against(self, now):
        fleet = self._fleet
        if fleet.leaders.book.read_age_s(now) >= leases.EXTENDED_LEASE_S:
            return "store read too old"
        if now - self._read_at >= leases.EXTENDED_LEASE_S:
            return "list of instances too old"
        if not fleet.may_change_primaries:
            return "registered recently"
        if fleet.me.data_centre not in self.data_centres():
            return "data centre not in the settings"
        return ""

    def _follow(self, now):
        """Record the present candidates and how current they are."""
        registrations = self._fleet.leaders.registrations
        read_at = registrations.read_at
        if read_at == float("-inf"):
            return
        lapsed_at = self._read_at + leases.EXTENDED_LEASE_S
        if self._read_at > float("-inf") and read_at >= lapsed_at:
            # Other instances may have owned the limits in between.
            self._history.restart(now)
        self._read_at = max(self._read_at, read_at)
        self._history.record(
            self.owners.candidates(self._fleet.me.data_centre),
            now,
            self._fleet.may_change_primaries_from == 0,
        )

    def sweep(self):
        """Follow the members; read the store if the list is too old."""
        now = self._boot_time()
        self.may_grant(now)
        is_due = (
            self._history.is_candidate
            and now - self._read_at > MAX_MEMBERS_AGE_S
            and now >= self._next_read_at
        )
        if is_due:
            factor = self._fleet.rng.uniform(0.8, 1.2)
            self._next_read_at = now + READ_INTERVAL_S * factor
            self._fleet.spawn(self._read_store())

    async def _read_store(self):
        try:
            await self._fleet.leaders.read()
        except exceptions.StoreUnavailable as exc:
            event(log.info, "limit_members_read_failed", error=exc)
