"""Finds the customer of a key, and checks each statement of a session."""

import attrs
import logbook

from balsamhinge.controllers.customers import proofs
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import customers
from balsamhinge.policy import keyindex
from balsamhinge.policy import routes
from balsamhinge.policy import routingdeltas
from balsamhinge.policy import statements
from balsamhinge.policy import workload

__all__ = ["CustomersController", "Identity"]

# Conflicting customers that one log line names.
MAX_LOGGED_CONFLICTS = 3
OUTDATED = "the configuration is not known to be current"

log = logbook.Logger(__name__)

Answer = statements.Answer
Problem = statements.Problem


@attrs.frozen
class Identity:
    """What a session keeps of the key with which it was opened.

    Parameters
    ----------
    database : str
        Name of the database that the caller chose.
    digest : str
        Digest of the key; "" if no key can be valid that the caller gave.
    customer : str
        Customer whose key it was when the session was opened, for log
        lines; "" if none is known.
    """

    database: str
    digest: str = attrs.field(default="", repr=False)
    customer: str = ""


class CustomersController:
    """Identifies callers by their keys.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.

    Attributes
    ----------
    proofs : ConfigurationProofController or None
        Keeps the lease without which no key is accepted; None where the
        settings ask for no strict revocation.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._table = routes.RoutingTable()
        self._index = keyindex.KeyIndex(self._table)
        self._is_strict = fleet.customer_settings.strict_revocation
        self.proofs = None
        fleet.directory.table_replaced = self._on_table_replaced
        if self._is_strict:
            self.proofs = proofs.ConfigurationProofController(
                fleet, lambda: self.index
            )
            fleet.directory.routes.listed = self.proofs.merge_listing

    def runners(self):
        """Return the coroutine functions that run in the background."""
        return [self.proofs.run] if self.proofs else []

    @property
    def index(self):
        """The `KeyIndex` of the configuration in force."""
        table = self._fleet.directory.table
        if self._table is not table:
            self._table = table
            self._index = keyindex.KeyIndex(table)
        return self._index

    @property
    def has_lapsed(self):
        """Whether no key may be accepted now."""
        return self.proofs is not None and not self.proofs.is_valid()

    def identify(self, database, key):
        """Return the `Identity` of a caller that opens a session.

        Parameters
        ----------
        database, key : str
            Words of the caller. The key is not kept.

        Raises
        ------
        KeyDenied
            If the database needs a key and this one is not valid.
        ConfigurationOutdated
            If this instance cannot tell whether it is.
        """
        digest = customers.digest_key(key) if is_key_like(key) else ""
        customer = self.index.find(digest)
        identity = Identity(
            database, digest, customer.name if customer else ""
        )
        checked = self.check(identity)
        if isinstance(checked, workload.Workload):
            return identity
        if checked.problem is Problem.DENIED:
            raise exceptions.KeyDenied(checked.detail)
        raise exceptions.ConfigurationOutdated(checked.detail)

    def check(self, identity, request_id=""):
        """Check a key again, for a statement that has arrived.

        Parameters
        ----------
        identity : Identity
            Identity of the session.
        request_id : str
            Identifier that the caller gave the statement, for log lines.

        Returns
        -------
        Workload or Answer
            The refusal `Answer` has the problem `Problem.DENIED`, or
            `Problem.BUSY` if this instance cannot tell whether the key is
            valid.
        """
        table = self._fleet.directory.table
        route = table.routes.get(identity.database)
        priority = route.priority if route else 0
        if not self._needs_key(table, route):
            return workload.Workload(priority=priority)
        if self.has_lapsed:
            return self._refuse(Problem.BUSY, OUTDATED, identity, request_id)
        customer = self.index.find(identity.digest)
        if customer is None:
            return self._refuse(
                Problem.DENIED, "the key is not valid", identity, request_id
            )
        return workload.Workload(customer.name, priority, customer.priority)

    def _needs_key(self, table, route):
        """Return whether callers of a database need a key.

        A deployment that asks for strict revocation has customers, so a
        configuration from which the last one was removed opens nothing.
        """
        if route is not None and route.public:
            return False
        return bool(table.customers) or self._is_strict

    def _refuse(self, problem, detail, identity, request_id):
        """Log and return a refusal."""
        event(
            log.info,
            "key_denied" if problem is Problem.DENIED else "key_not_checked",
            request_id=request_id,
            database=identity.database,
            customer=identity.customer,
            version=self._fleet.directory.table.version,
            age_s=self.configuration_age_s(),
        )
        return Answer.refusal(problem, detail)

    def configuration_age_s(self):
        """Return the age in seconds of what is known of the configuration."""
        if self.proofs is not None:
            return self.proofs.age_s()
        return self._fleet.directory.age_s()

    def is_key(self, word):
        """Return whether a word is the key of a customer.

        It must not be repeated in answers and log lines then, even if the
        caller has sent it in another place.
        """
        if not is_key_like(word):
            return False
        return self.index.find(customers.digest_key(word)) is not None

    def _on_table_replaced(self, earlier):
        """Log what another version of the configuration changes."""
        table, index = self._fleet.directory.table, self.index
        if not (table.customers or earlier.customers):
            return
        added = table.customers.keys() - earlier.customers.keys()
        removed = earlier.customers.keys() - table.customers.keys()
        differing = routingdeltas.differing_customers(earlier, table)
        event(
            log.notice,
            "customers_in_force",
            version=table.version,
            customers=len(table.customers),
            keys=index.key_count,
            added=len(added),
            removed=len(removed),
            changed=len(differing) - len(added) - len(removed),
        )
        if index.conflicts:
            shown = index.conflicts[:MAX_LOGGED_CONFLICTS]
            event(
                log.error,
                "key_shared",
                version=table.version,
                keys=len(index.conflicts),
                customers="; ".join(",".join(names) for names in shown),
            )

    def describe_proof(self, now):
        """Return the proof to send in a gossip message, or None."""
        return self.proofs.describe(now) if self.proofs else None

    def merge_proof(self, proof, asked_at, sender):
        """Merge the proof in a reply; see `merge_reply` of the proofs."""
        if self.proofs is not None:
            self.proofs.merge_reply(proof, asked_at, sender)


def is_key_like(word):
    """Return whether a word of a caller may be a key."""
    return 0 < len(word) <= customers.MAX_KEY_CHARS and " " not in word
