"""Which target a request is tried on, and in which order."""

import enum

import attrs

from balsamhinge.policy import positions

__all__ = ["Candidate", "Consistency", "TargetView", "order_targets"]

MAX_CATCH_UP_S = 0.05


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
    updated_at : float
        Loop time in seconds when it was heard of.
    lag_s : float
        How long it takes to apply what the primary has, in seconds.
    """

    name: str
    data_centre: str
    applied: positions.LogPosition = positions.ORIGIN
    updated_at: float = 0.0
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

    Notes
    -----
    Positions that an entry instance has heard of are old. Of the replicas
    that seem to be behind, the one that is behind least is asked all the
    same, because only its home knows how far it is by now.
    """
    leader = Candidate(primary, confirm=True)
    if consistency is Consistency.LATEST:
        return [leader] if primary else []
    replicas = rotated(
        sorted(
            (view for view in views if view.name != primary),
            key=lambda view: view.name,
        ),
        spread,
    )
    if consistency is Consistency.AGED:
        ready, behind = replicas, []
    else:
        ready = [v for v in replicas if positions.covers(v.applied, needed)]
        behind = [v for v in replicas if v not in ready]
    ready.sort(key=lambda view: view.data_centre != data_centre)
    behind.sort(key=lambda view: view.applied, reverse=True)
    chosen = [*ready, *behind[:1]]
    attempts = [Candidate(view.name, False, MAX_CATCH_UP_S) for view in chosen]
    return attempts + ([leader] if primary else [])


def rotated(items, turn):
    """Return `items` starting with another one for each turn."""
    start = turn % len(items) if items else 0
    return items[start:] + items[:start]
