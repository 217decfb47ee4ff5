"""Gossip messages that the instances of a fleet exchange."""

import attrs

from balsamhinge.policy import configurationlease
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from balsamhinge.policy import positions
from balsamhinge.policy import routes
from balsamhinge.policy import routingdeltas

__all__ = [
    "GossipMessage",
    "MemberRecord",
    "MemberRemoval",
    "MessageTimestamp",
    "PositionSample",
    "Survey",
]


@attrs.frozen
class PositionSample:
    """A log position that a group's primary reported.

    Parameters
    ----------
    epoch : int
        Epoch of the leadership under which the primary was asked.
    position : LogPosition
        Position that the primary reported.
    age_s : float
        Seconds since the primary was asked.
    """

    epoch: int
    position: positions.LogPosition
    age_s: float


@attrs.frozen
class MessageTimestamp:
    """Time at which a process wrote a gossip message, by its own clock.

    Parameters
    ----------
    process : int
        Identifier of the process. A restarted instance may run on another
        machine, whose clock cannot be compared.
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
class MemberRemoval:
    """A registration that has ended.

    Parameters
    ----------
    name : str
        Name of the instance.
    revision : int
        Revision of its deleted record.
    """

    name: str
    revision: int


@attrs.frozen
class Survey:
    """What randomly drawn instances answered about the duty's holder.

    Parameters
    ----------
    asked, answered : int
        Instances that were contacted, and that replied.
    hear_holder : int
        Instances, other than the holder, that have received a message of it
        recently.
    """

    asked: int
    answered: int
    hear_holder: int

    @property
    def has_majority(self):
        """Whether the surveying instance and those that replied are most."""
        return 2 * (self.answered + 1) > self.asked + 1

    @property
    def is_holder_heard(self):
        """Whether more instances hear the holder than do not."""
        return 2 * self.hear_holder > self.answered + 1


@attrs.frozen
class GossipMessage:
    """State that one instance reports to another.

    All ages in seconds count from the writing of the message.

    Parameters
    ----------
    sender : str
        Name of the instance.
    as_of : int
        Store revision up to which the sender knows all leaderships.
    age_s : float
        Age of that store read in seconds.
    leaderships : list of Leadership
        Leaderships that the receiver may lack.
    members : list of MemberRecord
        Registered instances that the receiver may lack.
    removals : list of MemberRemoval
        Ended registrations that the receiver may still count.
    left : dict of str to int
        By group, the revision of the announced primary change for which
        the sender has released the old primary.
    samples : dict of str to PositionSample
        Latest position sample of each group's primary.
    heard_s : dict of str to float
        By primary, seconds since it last answered the sender.
    silent_s : dict of str to float
        By primary, seconds for which it has failed to answer the sender.
    table_version : int
        Version of the configuration in force.
    table_change : RoutingDelta or None
        Delta from the receiver's version to `table_version`, if small.
    targets_as_of : int
        Store revision up to which the sender knows the targets.
    targets : list of ServingTarget or None
        All targets, if the receiver may lack an update of them.
    directory_age_s : float
        Age in seconds of what the sender knows of routes and targets.
    promise_s : float
        Seconds for which the sender begins no primary change.
    stamp : MessageTimestamp or None
        Time at which the sender wrote this message.
    echo : MessageTimestamp or None
        Timestamp of the latest message that the sender has from the
        receiver; this message and its promise were written after that.
    all_promise_s : float
        Seconds for which neither the sender nor any other instance that
        it knows begins a primary change.
    members_key : int
        Hash of the names of the instances that the sender knows.
    leaving : bool
        Whether the sender is about to stop.
    holder : str
        Latest known holder of the promotion duty.
    holder_revision : int
        Store revision of the duty record.
    receiver_listed_in : int
        Incarnation of the store in which the sender has last read the
        receiver's registration; -1 for none.
    store_incarnation : int
        Latest incarnation of the store that the sender knows of.
    restored_s : float
        Seconds since the sender has learned of that incarnation.
    holder_silent_s : float
        Seconds since the sender has received a message of `holder`.
    members_age_s : float
        Age in seconds of the complete read of the store that found the
        instances of `members_key`.
    receiver_found_age_s : float
        Age in seconds of the latest read of the store that the sender knows
        to have found the receiver's registration.
    acknowledged, acknowledged_at_least : dict of str to LogPosition
        By group with synchronous replicas, between which positions the
        latest acknowledged commit that the sender knows of lies, see
        `LatestAcknowledged`.
    awaited : dict of str to str
        By group whose change of a primary waits for targets, as acknowledged
        commits may be in their logs alone, their names.
    unsettled : dict of str to list of str
        By group with synchronous replicas, targets that have left the list
        or started again recently, as far as the sender has seen it.
    may_succeed : bool
        Whether the sender could act on the promotion duty, as far as it
        knows.
    relinquished : int
        Store revision of the duty record under which the sender never acts
        again; 0 for none.
    configuration_proof : ConfigurationProof or None
        How long ago the sender's configuration is known to have been
        current; None if the sender has no valid lease or needs none.
    """

    sender: str
    as_of: int = 0
    age_s: float = 1e9
    leaderships: list[leases.Leadership] = attrs.Factory(list)
    members: list[MemberRecord] = attrs.Factory(list)
    removals: list[MemberRemoval] = attrs.Factory(list)
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
    receiver_listed_in: int = -1
    store_incarnation: int = 0
    restored_s: float = 0.0
    holder_silent_s: float = 1e9
    members_age_s: float = 1e9
    receiver_found_age_s: float = 1e9
    configuration_proof: configurationlease.ConfigurationProof | None = None
    acknowledged: dict[str, positions.LogPosition] = attrs.Factory(dict)
    acknowledged_at_least: dict[str, positions.LogPosition] = attrs.Factory(
        dict
    )
    awaited: dict[str, str] = attrs.Factory(dict)
    unsettled: dict[str, list[str]] = attrs.Factory(dict)
    may_succeed: bool = True
    relinquished: int = 0
