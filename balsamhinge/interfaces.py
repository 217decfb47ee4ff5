"""Abstract interfaces to the platform, targets and other instances."""

import abc

import attrs

from balsamhinge.policy import ownership
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import views as group_views

__all__ = [
    "CONFIGURATION_KEY",
    "INSTANCES_KEY",
    "LEADERS",
    "ROUTES",
    "TARGETS",
    "AntiEntropyMessage",
    "ConfigurationVersion",
    "Dependencies",
    "FleetDependencies",
    "FleetPeerClient",
    "Listing",
    "ObjectStoreClient",
    "PeerClient",
    "PlatformInventory",
    "PrimaryObservation",
    "PromotionClient",
    "Record",
    "RecordChange",
    "RecordChanges",
    "RecordStore",
    "SessionTargetConnector",
    "StoredObject",
    "TargetConnector",
    "TargetReport",
]

CONFIGURATION_KEY = "configuration"
INSTANCES_KEY = "lists/instances"
# Record kinds of `RecordStore`.
ROUTES = "routes"
TARGETS = "targets"
LEADERS = "leaders"


@attrs.frozen
class StoredObject:
    """An object of the platform's store.

    Parameters
    ----------
    version : int
        Version number, incremented by each change.
    value : bytes
        Content of the object.
    """

    version: int
    value: bytes


@attrs.frozen
class ConfigurationVersion:
    """The operators' configuration as stored in the platform's store.

    Parameters
    ----------
    text : str
        Configuration file.
    edit_id : str
        Unique identifier of the edit. After a write without an answer it
        shows whether the write took effect.
    author : str
        Operator who made the edit.
    earlier : list of str
        Identifiers of earlier edits, latest first.
    """

    text: str
    edit_id: str
    author: str
    earlier: list[str] = attrs.Factory(list)

    def includes(self, edit_id):
        """Return whether `edit_id` is this edit or an earlier one."""
        return edit_id == self.edit_id or edit_id in self.earlier


@attrs.frozen
class PlatformInventory:
    """The platform's list of machines; it may be out of date.

    Parameters
    ----------
    instances : list of Member
        Instances of the proxy.
    leaving_targets : list of str
        Targets whose machines the platform is about to remove.
    """

    instances: list[ownership.Member]
    leaving_targets: list[str] = attrs.Factory(list)


@attrs.frozen
class AntiEntropyMessage:
    """Anti-entropy message: a pairwise exchange or a pushed update.

    A push is broadcast along a tree of instances.

    Parameters
    ----------
    sender : str
        Name of the sending instance.
    version : int
        Configuration version of the sender.
    text : ConfigurationVersion or None
        Configuration of the sender, if the receiver may lack it.
    list_version : int
        Version of the sender's copy of the platform's list.
    platform_list : PlatformInventory or None
        The sender's copy of that list, if the receiver may lack it.
    digests : list of int
        Digests of the sender's views, see
        `balsamhinge.policy.views.bucket_digests`; empty in a push.
    views : list of GroupView
        Views that the receiver may lack.
    retired : list of str
        Targets that are permanently fenced.
    leaving, returned : list of str
        Instances that announce their own stop or restart. These are
        forwarded only along the tree of a push: if every instance
        repeated them, the news of a stop would outlive the restart.
    first, last : str
        Range of instance names to which the receiver forwards a push.
    scope : str
        Data centre to which a push is restricted; "" for all.
    """

    sender: str
    version: int = 0
    text: ConfigurationVersion | None = None
    list_version: int = 0
    platform_list: PlatformInventory | None = None
    digests: list[int] = attrs.Factory(list)
    views: list[group_views.GroupView] = attrs.Factory(list)
    retired: list[str] = attrs.Factory(list)
    leaving: list[str] = attrs.Factory(list)
    returned: list[str] = attrs.Factory(list)
    first: str = ""
    last: str = ""
    scope: str = ""


@attrs.frozen
class PrimaryObservation:
    """An instance's observation of a group's primary.

    Parameters
    ----------
    group : str
        Group of the primary.
    term : int
        Term of the primary that the instance knows.
    silent_s : float
        Seconds since the primary last answered the instance.
    """

    group: str
    term: int
    silent_s: float


class ObjectStoreClient(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def get(self, key):
        """Return the `StoredObject` of a key, or None if absent.

        Raises
        ------
        StoreUnavailable
            If the store does not answer in time.
        """

    @abc.abstractmethod
    async def put(self, key, value, if_version):
        """Write an object if its current version is `if_version`.

        Parameters
        ----------
        key : str
            Key of the object.
        value : bytes
            New content.
        if_version : int
            Expected version; 0 if the object must not exist yet.

        Returns
        -------
        Stored

        Raises
        ------
        StoreConflict
            If the object has another version.
        StoreUnavailable
            If the store does not answer; the change may have taken effect.
        """

    @abc.abstractmethod
    async def watch(self, key, after, wait_s, timeout_s):
        """Wait for a version above `after`; return the object.

        Returns None if there is none within `wait_s` seconds. A watch
        without an answer is given up after `timeout_s` seconds.
        """


class PeerClient(abc.ABC):
    """Calls to other instances; each may raise PeerUnavailable."""

    @abc.abstractmethod
    async def forward(self, member, work, timeout_s):
        """Forward `work` to the owner of its target; return the `Reply`."""

    @abc.abstractmethod
    async def exchange(self, member, message, timeout_s):
        """Send an `AntiEntropyMessage`; return the one in answer."""

    @abc.abstractmethod
    async def observe_primary(self, member, group, timeout_s):
        """Return the member's `PrimaryObservation` of a group's primary."""


class TargetConnector(abc.ABC):
    """Opens connections to targets."""

    @abc.abstractmethod
    async def connect(self, target, timeout_s):
        """Open a `TargetConnection` to a `Target` of the plan.

        Raises
        ------
        ConnectionUnavailable
            If no connection could be opened.
        """


@attrs.frozen
class Dependencies:
    """External dependencies of a `Core`, replaceable in tests.

    Parameters
    ----------
    store : ObjectStoreClient
        The platform's object store.
    peers : PeerClient
        Calls to other instances.
    targets : TargetConnector
        Connections to database targets.
    wall_time : callable
        Returns seconds since the Unix epoch.
    """

    store: ObjectStoreClient
    peers: PeerClient
    targets: TargetConnector
    wall_time: object


@attrs.frozen
class Record:
    """A record of the platform's store.

    Parameters
    ----------
    name : str
        Name, unique within the record's kind.
    revision : int
        Revision of the record's last change, in the incarnation of the store
        that was read, see `policy.revisions`.
    value : object
        A `RoutingTable`, a `ServingTarget`, or a dict for kinds that the
        proxy defines itself; None if the record cannot be decoded.
    """

    name: str
    revision: int
    value: object


@attrs.frozen
class Listing:
    """All records of a kind by name, at store revision `as_of`."""

    records: dict[str, Record]
    as_of: int


@attrs.frozen
class RecordChange:
    """A change of a record; `deleted` if it was removed."""

    record: Record
    deleted: bool


@attrs.frozen
class RecordChanges:
    """Changes in revision order; the next watch starts from `as_of`."""

    changes: list[RecordChange]
    as_of: int


@attrs.frozen
class TargetReport:
    """Role and replication position that a target reports.

    Parameters
    ----------
    role : TargetRole
        Role that the target itself assumes.
    term : int
        Newest term known to the target.
    received, applied : LogPosition
        Last log entry received, and last one visible to reads.
    """

    role: routes.TargetRole
    term: int
    received: positions.LogPosition
    applied: positions.LogPosition


class RecordStore(abc.ABC):
    """The platform's record store; each call may raise StoreUnavailable."""

    @abc.abstractmethod
    async def list(self, kind):
        """Return the `Listing` of a kind, at least as new as the call."""

    @abc.abstractmethod
    async def watch(self, kind, after, wait_s, timeout_s):
        """Return the `RecordChanges` after a revision.

        Parameters
        ----------
        kind : str
            Kind of the records.
        after : int
            The revision.
        wait_s : float
            Seconds for which the store waits for the first change.
        timeout_s : float
            Seconds after which a watch without an answer is given up.

        Raises
        ------
        StoreUnavailable
            If there is no answer in time. A store that waits and one that
            has lost the call cannot be told apart before.
        HistoryExpired
            If the store no longer holds the changes since that revision, or
            was restored after it was told.
        """

    @abc.abstractmethod
    async def create(self, kind, name, value):
        """Create a record and return it.

        Raises
        ------
        StoreConflict
            If a record of that name exists.
        """

    @abc.abstractmethod
    async def replace(self, kind, name, value, revision):
        """Replace a record if it has `revision`; return the new record.

        Raises
        ------
        StoreConflict
            If the record has another revision. If the store was restored
            after that revision was told, the change may have been made.
        RecordNotFound
            If there is no record of that name.
        """

    @abc.abstractmethod
    async def delete(self, kind, name, revision):
        """Delete a record if it has `revision`; see `replace`."""


class PromotionClient(abc.ABC):
    """The platform's interface for promotions."""

    @abc.abstractmethod
    async def promote(self, group, target, holder, fence, timeout_s):
        """Make a target the primary of its group.

        Parameters
        ----------
        group, target, holder : str
            Group, its new primary, and the calling instance.
        fence : int
            Fencing token; it grows whenever the holder changes.
        timeout_s : float
            Seconds to wait for the platform's answer.

        Raises
        ------
        PlatformUnavailable
            If no answer came; the call may have been executed.
        PromotionRefused
            If the platform refused the call.
        """


class SessionTargetConnector(abc.ABC):
    """Opens connections to targets that serve whole sessions."""

    @abc.abstractmethod
    async def connect(self, target, timeout_s, customer=""):
        """Open a connection to a `ServingTarget`.

        Parameters
        ----------
        target : ServingTarget
            Target to connect to.
        timeout_s : float
            Seconds after which the attempt fails.
        customer : str
            Customer whose statements will run on the connection; "" for
            none.

        Raises
        ------
        TargetUnreachable
            If the target does not answer in time.
        ConnectionRejected
            If the target rejects the connection.
        """

    @abc.abstractmethod
    def status(self, answer):
        """Decode the answer to a `Status` statement.

        Returns the `TargetReport`, or None if the answer has none.
        """


class FleetPeerClient(abc.ABC):
    """Calls that instances of a fleet make to each other."""

    @abc.abstractmethod
    async def exchange(self, member, message, timeout_s):
        """Send a `GossipMessage`; return the `GossipMessage` in answer.

        Raises
        ------
        PeerUnavailable
            If the instance does not answer.
        """

    @abc.abstractmethod
    async def fetch_table(self, member, request, timeout_s):
        """Send a `TableRequest`; return the `TableReply`.

        Raises
        ------
        PeerUnavailable
            If the instance does not answer.
        """

    @abc.abstractmethod
    async def borrow(self, member, request, timeout_s):
        """Send a `BorrowRequest`; return the `BorrowReply`.

        Raises
        ------
        PeerUnavailable
            If the instance does not answer.
        """

    @abc.abstractmethod
    async def run(self, member, request, timeout_s):
        """Send a `RunRequest`; return the `RunReply`.

        Raises
        ------
        PeerUnavailable
            If no answer came; the host may have executed the statement.
        """

    @abc.abstractmethod
    async def request_allowance(self, member, request, timeout_s):
        """Send an `AllowanceRequest`; return the `AllowanceReply`.

        Raises
        ------
        PeerUnavailable
            If no answer came; the tokens may have been granted.
        """

    @abc.abstractmethod
    async def give_back(self, member, ended, timeout_s):
        """Tell a host of a `LoanEnd`.

        Raises
        ------
        PeerUnavailable
            If the instance does not answer.
        """


@attrs.frozen
class FleetDependencies:
    """External dependencies of a `FleetInstance`, replaceable in tests.

    Parameters
    ----------
    store : RecordStore
        The platform's record store.
    promotion : PromotionClient
        The platform's interface for promotions.
    targets : SessionTargetConnector
        Connections to database targets.
    peers : FleetPeerClient
        Calls to other instances.
    boot_time : callable
        Returns monotonic seconds that include the time for which the
        machine was suspended.
    """

    store: RecordStore
    promotion: PromotionClient
    targets: SessionTargetConnector
    peers: FleetPeerClient
    boot_time: object
