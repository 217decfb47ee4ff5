"""Which target a read is sent to."""

import attrs

from balsamhinge.policy import positions

__all__ = ["TargetLoad", "is_known_behind", "rank_targets"]

# A statement in another data centre costs its round trip and is priced by
# its bytes; one statement more in the near target's way outweighs that.
REMOTE_PENALTY_STATEMENTS = 1.0
# The primary's slots are the only ones that writes can use, so reads
# leave it alone unless the replicas have so many statements more.
PRIMARY_PENALTY_STATEMENTS = 2.0
# Position news older than this says little of a replica that applies
# within tens of milliseconds.
MAX_POSITION_AGE_S = 0.3


@attrs.frozen
class TargetLoad:
    """What an instance knows of a target.

    Parameters
    ----------
    name, data_centre : str
        The target and its place.
    primary : bool
        Whether it leads.
    outstanding : int
        This instance's statements that it has not answered.
    extra_response_s : float
        How long its answers take lately, beyond the group's usual.
    applied : LogPosition
        Last position it told.
    applied_age_s : float
        Seconds since then.
    is_degraded : bool
        Whether it fails to answer.
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
    """Return whether recent news say that a target lacks a position.

    Parameters
    ----------
    load : TargetLoad
        What is known of the target.
    needed : LogPosition
        What its log must hold.
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
        What the target's log must hold.
    data_centre : str
        Where the asking instance stands.
    rng : random.Random
        Breaks ties, so that instances do not move together.

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
