"""Which target a request is tried on, and in which order."""

import enum

import attrs

from balsamhinge.policy import positions

__all__ = ["Candidate", "Consistency", "TargetView", "order_targets"]

CATCH_UP_LIMIT_S = 0.05


class Consistency(enum.Enum):
    """What a read may see."""

    SESSION = "session"
    AGED = "aged"
    LATEST = "latest"


@attrs.frozen
class TargetView:
    """What an instance believes of a target.

    Parameters
    ----------
    name, data_centre : str
        The target and where it stands.
    applied : LogPosition
        Last position heard of.
    seen : float
        Loop time in seconds when it was heard of.
    lag_s : float
        How long it takes to apply what the primary has, in seconds.
    """

    name: str
    data_centre: str
    applied: positions.LogPosition = positions.ORIGIN
    seen: float = 0.0
    lag_s: float = 0.0


@attrs.frozen
class Candidate:
    """One attempt of a request.

    Parameters
    ----------
    target : str
        Where.
    confirm : bool
        Whether a majority must confirm the answer.
    catch_up_s : float
        Seconds the target may wait for the session's position.
    """

    target: str
    confirm: bool
    catch_up_s: float = 0.0


def order_targets(views, primary, consistency, needed, data_centre, spread):
    """Return the attempts of a read, best first.

    Parameters
    ----------
    views : list of TargetView
        The group's voters that are not leaving.
    primary : str
        The target believed to lead, or "".
    consistency : Consistency
        What the read may see.
    needed : LogPosition
        What the session has seen.
    data_centre : str
        Where the entry instance stands.
    spread : int
        Number that spreads equal choices over the replicas.

    Returns
    -------
    list of Candidate
        The primary comes last for reads that a replica may serve.
    """
    leader = Candidate(primary, confirm=True)
    if consistency is Consistency.LATEST:
        return [leader] if primary else []
    replicas = [view for view in views if view.name != primary]
    replicas.sort(key=lambda view: view.name)
    turn = spread % len(replicas) if replicas else 0
    replicas = replicas[turn:] + replicas[:turn]

    def preference(view):
        behind = not positions.covers(view.applied, needed)
        far = view.data_centre != data_centre
        return behind, view.lag_s if behind else 0.0, far

    replicas.sort(key=preference)
    attempts = [
        Candidate(view.name, False, CATCH_UP_LIMIT_S)
        for view in replicas
        if not preference(view)[0] or view.lag_s <= CATCH_UP_LIMIT_S
    ]
    if consistency is Consistency.AGED and not attempts:
        attempts = [Candidate(view.name, False) for view in replicas]
    return attempts + ([leader] if primary else [])
