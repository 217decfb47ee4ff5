"""Data classes of the parsed configuration."""

import datetime
import enum

import attrs

__all__ = ["Group", "Plan", "Service", "Target", "TargetState", "WorkClass"]


class TargetState(enum.StrEnum):
    """State that operators request for a target."""

    ACTIVE = "active"
    LEAVING = "leaving"


@attrs.frozen
class Target:
    """One database target.

    Parameters
    ----------
    name, host, data_centre : str
        Name, IP address and data centre.
    port : int
        TCP port.
    connections, slots : int
        Maximum number of connections of all instances together, and
        maximum number of concurrent statements.
    state : TargetState
        State that operators request.
    line : int
        Line of its section in the configuration.
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
    """A database group: targets that replicate one log."""

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
        Names of the services that this service needs.
    shutdown : datetime.date or None
        Last day of service.
    line : int
        Line of its section in the configuration.
    """

    name: str
    group: str
    depends_on: tuple[str, ...]
    shutdown: datetime.date | None
    line: int


@attrs.frozen
class WorkClass:
    """A class of requests with common properties.

    Parameters
    ----------
    name : str
        Name that requests state.
    write : bool
        Whether its requests change data.
    repeatable : bool
        Whether its requests are idempotent.
    long : bool
        Whether its requests run for a long time.
    deadline_s : float
        Deadline in seconds for requests that state none.
    max_age_s : float
        Maximum age in seconds of the data that reads accept; 0 for reads
        with session consistency or of the latest data.
    """

    name: str
    write: bool
    repeatable: bool
    long: bool
    deadline_s: float
    max_age_s: float


@attrs.frozen
class Plan:
    """The parsed configuration, by names of its sections."""

    services: dict[str, Service] = attrs.Factory(dict)
    classes: dict[str, WorkClass] = attrs.Factory(dict)
    groups: dict[str, Group] = attrs.Factory(dict)
    targets: dict[str, Target] = attrs.Factory(dict)

    def is_leaving(self, target):
        """Return whether a target is leaving or no longer configured."""
        configured = self.targets.get(target)
        return configured is None or configured.state is TargetState.LEAVING

    def staying_targets(self, group):
        """Return the names of a group's targets that are not leaving."""
        members = self.groups[group].targets
        return [name for name in members if not self.is_leaving(name)]
