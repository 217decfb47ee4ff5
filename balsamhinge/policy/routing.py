"""Order in which the targets of a group are tried for a request."""

import enum

import attrs

from balsamhinge.policy import positions

__all__ = ["Candidate", "Consistency", "TargetView", "order_targets"]

MAX_CATCH_UP_S = 0.05


class Consistency(enum.Enum):
    """Consistency that a read requires."""

    SESSION = "session"
    AGED = "aged"
    LATEST = "latest"


@attrs.frozen
class TargetView:
    """An instance's view of a target.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of the target.
    applied : LogPosition
        Last position that it was reported to have applied.
    updated_at : float
        Loop time in seconds of that report.
    lag_s : float
        Replication lag in seconds.
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
        Target to try.
    confirm : bool
        Whether a majority must confirm the answer.
    catch_up_s : float
        Maximum wait in seconds for the target to apply the session's
        position.
    """

    target: str
    confirm: bool
    catch_up_s: float = 0.0


def order_targets(views, primary, consistency, needed, data_centre, rotation):
    """Return the candidates for a read, best first.

    Parameters
    ----------
    views : list of TargetView
        The group's voters that are not leaving.
    primary : str
        Target that leads in the instance's view, or "".
    consistency : Consistency
        Consistency that the read requires.
    needed : LogPosition
        Position that the session must see.
    data_centre : str
        Data centre of the entry instance.
    rotation : int
        Number that distributes equal choices over the replicas.

    Returns
    -------
    list of Candidate
        The primary comes last for reads that a replica may serve.

    Notes
    -----
    The positions that an entry instance knows are outdated. Of the replicas
    that seem to be behind, the one that is least behind is still tried,
    because only its owner knows its current position.
    """
    leader = Candidate(primary, confirm=True)
    if consistency is Consistency.LATEST:
        return [leader] if primary else []
    replicas = _rotate(
        sorted(
            (view for view in views if view.name != primary),
            key=lambda view: view.name,
        ),
        rotation,
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


def _rotate(items, turn):
    """Return `items` rotated by `turn` places."""
    start = turn % len(items) if items else 0
    return items[start:] + items[:start]
