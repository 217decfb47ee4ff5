"""Selection of the target of a read by load, distance and freshness."""

import attrs

from balsamhinge.policy import positions

__all__ = ["TargetLoad", "is_known_behind", "rank_targets"]

# Cost of a target in another data centre: the round trip, and charges for
# the traffic. One more outstanding statement at a local target outweighs it.
REMOTE_PENALTY_STATEMENTS = 1.0
# Only the primary's slots can serve writes, so reads avoid it unless the
# replicas have this many more outstanding statements.
PRIMARY_PENALTY_STATEMENTS = 2.0
# An older position says little of a replica, as replicas apply entries
# within tens of milliseconds.
MAX_POSITION_AGE_S = 0.3


@attrs.frozen
class TargetLoad:
    """An instance's observations of a target.

    Parameters
    ----------
    name, data_centre : str
        The target and where it runs.
    primary : bool
        Whether it is the primary.
    outstanding : int
        Statements of this instance that it has not answered yet.
    extra_response_s : float
        Recent mean response time in seconds, beyond the group's usual.
    applied : LogPosition
        Last position that it reported.
    applied_age_s : float
        Seconds since it reported the position.
    is_degraded : bool
        Whether it currently fails to answer.
    """

    name: str
    data_centre: str
    primary: bool = False
    outstanding: int = 0
    extra_response_s: float = 0.0
    applied: positions.LogPosition = positions.ORIGIN
    applied_age_s: float = float("inf")
    is_degraded: bool = False


def is_known_behind(load, needed):
    """Return whether a target is known to lack a position.

    Parameters
    ----------
    load : TargetLoad
        Observations of the target.
    needed : LogPosition
        Position that its log must hold.
    """
    return (
        not load.primary
        and load.applied_age_s < MAX_POSITION_AGE_S
        and not positions.covers(load.applied, needed)
    )


def rank_targets(loads, needed, data_centre, rng):
    """Return the targets that may serve a read, best first.

    Parameters
    ----------
    loads : list of TargetLoad
        The group's targets.
    needed : LogPosition
        Position that the target's log must hold.
    data_centre : str
        Data centre of the requesting instance.
    rng : random.Random
        Breaks ties, so that instances do not all choose the same target.

    Returns
    -------
    list of TargetLoad
        Those that are known to lack the position come last.
    """

    def cost(load):
        work = load.outstanding + load.extra_response_s / 0.02
        if load.data_centre != data_centre:
            work += REMOTE_PENALTY_STATEMENTS
        if load.primary:
            work += PRIMARY_PENALTY_STATEMENTS
        behind = is_known_behind(load, needed)
        return (load.is_degraded, behind, work + rng.uniform(0, 0.5))

    return sorted(loads, key=cost)
