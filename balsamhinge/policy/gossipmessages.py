"""What the instances of a fleet tell each other."""

import attrs

from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import routingdeltas

__all__ = [
    "GossipMessage",
    "MemberRecord",
    "MessageTimestamp",
    "PositionSample",
]


@attrs.frozen
class PositionSample:
    """A primary's position.

    Parameters
    ----------
    epoch : int
        Of the leadership under which it was taken.
    position : LogPosition
        What the primary told.
    age_s : float
        Seconds since it was asked.
    """

    epoch: int
    position: positions.LogPosition
    age_s: float


@attrs.frozen
class MessageTimestamp:
    """When a process wrote a note, by its own clock.

    Parameters
    ----------
    process : int
        Tells the processes of one instance's name apart: clocks of two
        machines have nothing in common.
    at : float
        Boot-clock seconds.
    """

    process: int
    at: float


@attrs.frozen
class MemberRecord:
    """A registered instance, with the store's revision of its record."""

    member: ownership.Member
    revision: int


@attrs.frozen
class GossipMessage:
    """One instance's news. Ages count from its writing.

    Parameters
    ----------
    sender : str
        Name of the instance.
    as_of : int
        Store revision up to which it knows all leaderships.
    age_s : float
        Age of that reading in seconds.
    leaderships : list of Leadership
        Those that the receiver may lack.
    members : list of MemberRecord
        Registered instances that the receiver may lack.
    left : dict of str to int
        By group, the revision of the announced change for which the
        sender has stopped to use the old primary.
    samples : dict of str to Sample
        Latest position of each group's primary.
    heard_s : dict of str to float
        By target that leads, seconds since it last answered the sender.
    silent_s : dict of str to float
        By target, for how long it has failed to answer the sender.
    table_version : int
        Version of the configuration in force.
    table_change : RoutingChange or None
        What leads there from the receiver's version, if it is small.
    targets_as_of : int
        The store's revision up to which the sender knows the targets.
    targets : list of ServingTarget or None
        All of them, where the receiver lacks news.
    directory_age_s : float
        Age of the sender's news of routes and targets.
    promise_s : float
        The sender begins no change of a primary for so long.
    stamp : Stamp or None
        When the sender wrote the note.
    echo : Stamp or None
        The latest one that the sender has from the receiver: it wrote
        this note, and its promise, after the receiver wrote that.
    all_promise_s : float
        For so long neither the sender nor any other instance that the
        sender knows begins a change.
    members_key : int
        Which instances the sender knows.
    leaving : bool
        Whether the sender is about to stop.
    holder : str
        Who holds the promotion duty as far as the sender knows.
    holder_revision : int
        The store's revision of that record.
    """

    sender: str
    as_of: int = 0
    age_s: float = 1e9
    leaderships: list[leases.Leadership] = attrs.Factory(list)
    members: list[MemberRecord] = attrs.Factory(list)
    left: dict[str, int] = attrs.Factory(dict)
    samples: dict[str, PositionSample] = attrs.Factory(dict)
    heard_s: dict[str, float] = attrs.Factory(dict)
    silent_s: dict[str, float] = attrs.Factory(dict)
    table_version: int = 0
    table_change: routingdeltas.RoutingDelta | None = None
    targets_as_of: int = 0
    targets: list[routes.ServingTarget] | None = None
    directory_age_s: float = 1e9
    promise_s: float = 0.0
    stamp: MessageTimestamp | None = None
    echo: MessageTimestamp | None = None
    all_promise_s: float = 0.0
    members_key: int = 0
    leaving: bool = False
    holder: str = ""
    holder_revision: int = 0
