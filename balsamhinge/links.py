"""Interfaces between an instance and what lies outside it."""

import abc

import attrs

from balsamhinge.policy import homes
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import views as group_views

__all__ = [
    "CONFIGURATION_KEY",
    "INSTANCES_KEY",
    "LEADERS",
    "ROUTES",
    "TARGETS",
    "Change",
    "Changes",
    "Exchange",
    "FleetLinks",
    "Links",
    "Listing",
    "FleetPeers",
    "PeerLink",
    "PlatformList",
    "PromotionLink",
    "Record",
    "RecordStore",
    "SessionTargetLink",
    "Sight",
    "StoreLink",
    "Stored",
    "TargetLink",
    "TargetReport",
    "TextVersion",
]

CONFIGURATION_KEY = "configuration"
INSTANCES_KEY = "lists/instances"
# Kinds of records in the platform's store.
ROUTES = "routes"
TARGETS = "targets"
LEADERS = "leaders"


@attrs.frozen
class Stored:
    """An object of the platform's store.

    Parameters
    ----------
    version : int
        Counted up by each change.
    value : bytes
        Its content.
    """

    version: int
    value: bytes


@attrs.frozen
class TextVersion:
    """The operators' text as it is kept in the store.

    Parameters
    ----------
    text : str
        The text.
    edit_id : str
        Identifies the edit, to settle whether a lost answer took effect.
    author : str
        Who edited it.
    earlier : list of str
        The edits before this one, latest first.
    """

    text: str
    edit_id: str
    author: str
    earlier: list[str] = attrs.Factory(list)

    def includes(self, edit_id):
        """Return whether an edit is this one or came before it."""
        return edit_id == self.edit_id or edit_id in self.earlier


@attrs.frozen
class PlatformList:
    """What the platform says of machines; it lags.

    Parameters
    ----------
    instances : list of Member
        The system's own.
    leaving_targets : list of str
        Targets whose machines are about to go.
    """

    instances: list[homes.Member]
    leaving_targets: list[str] = attrs.Factory(list)


@attrs.frozen
class Exchange:
    """What two instances tell each other.

    Parameters
    ----------
    sender : str
        Name of the sending instance.
    version : int
        Version of the configuration that it holds.
    text : TextVersion or None
        That configuration, where the receiver may lack it.
    list_version : int
        Version of the platform's list that it holds.
    platform_list : PlatformList or None
        That list, where the receiver may lack it.
    digests : list of int
        See `balsamhinge.policy.views.bucket_digests`; empty in a push.
    views : list of GroupView
        Views that the receiver may lack.
    retired : list of str
        Targets that are fenced for good.
    leaving, returned : list of str
        Instances that tell of their stop, or of a new start. Nobody
        repeats this of others but along the tree of a push, because a
        rumour of a stop would outlive the return.
    first, last : str
        Range of names that the receiver passes a push on to.
    scope : str
        Data centre that a push is for, or "" for all.
    """

    sender: str
    version: int = 0
    text: TextVersion | None = None
    list_version: int = 0
    platform_list: PlatformList | None = None
    digests: list[int] = attrs.Factory(list)
    views: list[group_views.GroupView] = attrs.Factory(list)
    retired: list[str] = attrs.Factory(list)
    leaving: list[str] = attrs.Factory(list)
    returned: list[str] = attrs.Factory(list)
    first: str = ""
    last: str = ""
    scope: str = ""


@attrs.frozen
class Sight:
    """Whether an instance has heard from a group's primary lately."""

    group: str
    term: int
    silent_s: float


class StoreLink(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    async def get(self, key):
        """Return the `Stored` object, or None.

        Raises
        ------
        StoreUnavailable
            If the store does not answer in time.
        """

    @abc.abstractmethod
    async def put(self, key, value, if_version):
        """Replace an object if its version is `if_version` (0: absent).

        Returns
        -------
        Stored

        Raises
        ------
        StoreConflict
            If it has another version.
        StoreUnavailable
            The change may have taken effect all the same.
        """

    @abc.abstractmethod
    async def watch(self, key, after, timeout_s):
        """Return the object once its version is above `after`, or None."""


class PeerLink(abc.ABC):
    """Calls to other instances; each raises PeerUnavailable."""

    @abc.abstractmethod
    async def forward(self, member, work, timeout_s):
        """Have the home of a target do `work`; return its `Reply`."""

    @abc.abstractmethod
    async def exchange(self, member, message, timeout_s):
        """Send an `Exchange` and return the answering one."""

    @abc.abstractmethod
    async def sight(self, member, group, timeout_s):
        """Return the member's `Sight` of a group's primary."""


class TargetLink(abc.ABC):
    """Opens connections to targets."""

    @abc.abstractmethod
    async def connect(self, target, timeout_s):
        """Return a `TargetConnection` to a `Target` of the plan.

        Raises
        ------
        ConnectionUnavailable
        """


@attrs.frozen
class Links:
    """Everything outside an instance.

    Parameters
    ----------
    store : StoreLink
        The platform.
    peers : PeerLink
        Other instances.
    targets : TargetLink
        Database targets.
    wall_time : callable
        Returns seconds since the epoch.
    """

    store: StoreLink
    peers: PeerLink
    targets: TargetLink
    wall_time: object


@attrs.frozen
class Record:
    """One object of the platform's store.

    Parameters
    ----------
    name : str
        Unique within its kind.
    revision : int
        The store's counter at its last change.
    value : object
        A `RoutingTable`, a `ServingTarget`, or a dict for the product's
        own kinds; None where it cannot be read.
    """

    name: str
    revision: int
    value: object


@attrs.frozen
class Listing:
    """All records of a kind by name, as of a revision of the store."""

    records: dict[str, Record]
    as_of: int


@attrs.frozen
class Change:
    """A record that was changed, or deleted."""

    record: Record
    deleted: bool


@attrs.frozen
class Changes:
    """Changes in their order; the next watch starts from `as_of`."""

    changes: list[Change]
    as_of: int


@attrs.frozen
class TargetReport:
    """What a target says of its role and its log.

    Parameters
    ----------
    role : TargetRole
        What it takes itself for.
    term : int
        The newest term that it knows.
    received, applied : LogPosition
        Last entry received, and last one visible to reads.
    """

    role: routes.TargetRole
    term: int
    received: positions.LogPosition
    applied: positions.LogPosition


class RecordStore(abc.ABC):
    """The platform's store; each call may raise StoreUnavailable."""

    @abc.abstractmethod
    async def list(self, kind):
        """Return the `Listing` of a kind, as current as the call."""

    @abc.abstractmethod
    async def watch(self, kind, after, wait_s):
        """Return `Changes` after a revision, waiting for the first one.

        Raises
        ------
        HistoryGone
            If the store no longer knows the changes since then.
        """

    @abc.abstractmethod
    async def create(self, kind, name, value):
        """Create a record and return it; StoreConflict if it exists."""

    @abc.abstractmethod
    async def replace(self, kind, name, value, revision):
        """Replace a record of that revision and return it.

        Raises
        ------
        StoreConflict
            If it has another revision.
        RecordMissing
            If there is none.
        """

    @abc.abstractmethod
    async def delete(self, kind, name, revision):
        """Delete a record of that revision."""


class PromotionLink(abc.ABC):
    """The platform's means to change a primary."""

    @abc.abstractmethod
    async def promote(self, group, target, holder, fence, timeout_s):
        """Make a target the primary of its group.

        Parameters
        ----------
        group, target, holder : str
            The group, its new primary, and the calling instance.
        fence : int
            Number that grows whenever the holder changes.
        timeout_s : float
            Seconds to wait for the platform.

        Raises
        ------
        PlatformSilent
            The call may have been executed.
        PromotionRefused
            It was not.
        """


class SessionTargetLink(abc.ABC):
    """Opens connections to targets that run whole sessions."""

    @abc.abstractmethod
    async def connect(self, target, timeout_s):
        """Return a connection to a `ServingTarget`.

        Raises
        ------
        TargetSilent
            If it does not answer in time.
        TargetRefused
            If it answers with a refusal.
        """

    @abc.abstractmethod
    def status(self, answer):
        """Return the `TargetReport` in an answer to `Status`, or None."""


class FleetPeers(abc.ABC):
    """Calls that instances of a fleet make to each other."""

    @abc.abstractmethod
    async def exchange(self, member, note, timeout_s):
        """Send a `Note`; return the answering one.

        Raises
        ------
        PeerUnavailable
        """

    @abc.abstractmethod
    async def fetch_table(self, member, request, timeout_s):
        """Send a `TableRequest`; return the `TableReply`.

        Raises
        ------
        PeerUnavailable
        """

    @abc.abstractmethod
    async def borrow(self, member, request, timeout_s):
        """Send a `BorrowRequest`; return the `BorrowReply`.

        Raises
        ------
        PeerUnavailable
        """

    @abc.abstractmethod
    async def run(self, member, request, timeout_s):
        """Send a `RunRequest`; return the `RunReply`.

        Raises
        ------
        PeerUnavailable
            The host may have run it.
        """

    @abc.abstractmethod
    async def give_back(self, member, loan, usable, timeout_s):
        """End a loan; its connection is dropped if it is not `usable`.

        Raises
        ------
        PeerUnavailable
        """


@attrs.frozen
class FleetLinks:
    """Everything outside an instance of a fleet.

    Parameters
    ----------
    store : RecordStore
        The platform's store.
    promotion : PromotionLink
        The platform's means to change a primary.
    targets : SessionTargetLink
        Database targets.
    peers : FleetPeers
        Other instances.
    boot_time : callable
        Returns seconds that count on while the machine is suspended.
    """

    store: RecordStore
    promotion: PromotionLink
    targets: SessionTargetLink
    peers: FleetPeers
    boot_time: object
