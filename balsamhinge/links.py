"""Interfaces between an instance and what lies outside it."""

import abc

import attrs

from balsamhinge.policy import homes
from balsamhinge.policy import views as group_views

__all__ = [
    "CONFIGURATION_KEY",
    "INSTANCES_KEY",
    "Exchange",
    "Links",
    "PeerLink",
    "PlatformList",
    "Sight",
    "StoreLink",
    "Stored",
    "TargetLink",
    "TextVersion",
]

CONFIGURATION_KEY = "configuration"
INSTANCES_KEY = "lists/instances"


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
