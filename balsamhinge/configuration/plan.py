"""What the operators' text says, as data."""

import datetime
import enum

import attrs

__all__ = ["Group", "Plan", "Service", "Target", "TargetState", "WorkClass"]


class TargetState(enum.StrEnum):
    """What operators want of a target."""

    ACTIVE = "active"
    LEAVING = "leaving"


@attrs.frozen
class Target:
    """One database target.

    Parameters
    ----------
    name, host, data_centre : str
        Name, IP number and place.
    port : int
        TCP port.
    connections, slots : int
        Limit of connections for all instances together, and statements
        that it runs at once.
    state : TargetState
        What operators want of it.
    line : int
        Where the text names it.
    """

    name: str
    host: str
    port: int
    data_centre: str
    connections: int
    slots: int
    state: TargetState
    line: int


@attrs.frozen
class Group:
    """A database group: targets that share a log."""

    name: str
    targets: tuple[str, ...]
    line: int


@attrs.frozen
class Service:
    """A service with its shutdown date.

    Parameters
    ----------
    name, group : str
        The service and the group that holds its data.
    depends_on : tuple of str
        Services that it needs.
    shutdown : datetime.date or None
        Last day of service.
    line : int
        Where the text names it.
    """

    name: str
    group: str
    depends_on: tuple[str, ...]
    shutdown: datetime.date | None
    line: int


@attrs.frozen
class WorkClass:
    """A class of a service's work.

    Parameters
    ----------
    name : str
        Its name.
    write : bool
        Whether it changes data.
    repeatable : bool
        Whether running it twice does no harm.
    long : bool
        Whether it is a straggler.
    deadline_s : float
        Seconds that a caller waits if it states none.
    max_age_s : float
        Age of data that reads accept, 0 for none.
    """

    name: str
    write: bool
    repeatable: bool
    long: bool
    deadline_s: float
    max_age_s: float


@attrs.frozen
class Plan:
    """Everything that the operators' text says."""

    services: dict[str, Service] = attrs.Factory(dict)
    classes: dict[str, WorkClass] = attrs.Factory(dict)
    groups: dict[str, Group] = attrs.Factory(dict)
    targets: dict[str, Target] = attrs.Factory(dict)

    def is_leaving(self, target):
        """Return whether operators want a target to leave."""
        known = self.targets.get(target)
        return known is None or known.state is TargetState.LEAVING

    def staying(self, group):
        """Return the targets of a group that are to stay."""
        members = self.groups[group].targets
        return [name for name in members if not self.is_leaving(name)]
