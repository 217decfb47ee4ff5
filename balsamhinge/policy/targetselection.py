"""Selection of the target of a read by load, distance and freshness."""

import math

import attrs

from balsamhinge.policy import positions

__all__ = [
    "TargetLoad",
    "cannot_answer_by",
    "is_known_behind",
    "rank_targets",
]

# Cost of a target in another data centre: the round trip, and charges for
# the traffic. One more outstanding statement at a local target outweighs it.
REMOTE_PENALTY_STATEMENTS = 1.0
# Only the primary's slots can serve writes, so reads avoid it unless the
# replicas have this many more outstanding statements.
PRIMARY_PENALTY_STATEMENTS = 2.0
# An older position says little of a replica, as replicas apply entries
# within tens of milliseconds.
MAX_POSITION_AGE_S = 0.3
# A report of a queue says nothing after this time, and has lost most of its
# weight long before: a queue fills or drains within a statement's deadline.
MAX_QUEUE_AGE_S = 3.0
QUEUE_MEMORY_S = 0.5
# Age up to which a report is reason enough to refuse a statement.
REFUSAL_QUEUE_AGE_S = 0.2
# Mean duration of a statement in seconds, and the wait behind one of this
# instance at a target with five slots.
USUAL_RESPONSE_S = 0.025
OUTSTANDING_S = 0.005
# Round trip to another data centre, and charges for the traffic.
REMOTE_S = 0.008
# Two statements, as above.
PRIMARY_S = 0.04


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
    lag_s : float
        Predicted lag in seconds, see `policy.replicalag`; 0 if unknown.
    queue_wait_s : float
        Wait in its admission queue that its host predicted, in seconds.
    queue_age_s : float
        Seconds since that report arrived; infinite if there is none.
    """

    name: str
    data_centre: str
    primary: bool = False
    outstanding: int = 0
    extra_response_s: float = 0.0
    applied: positions.LogPosition = positions.ORIGIN
    applied_age_s: float = float("inf")
    is_degraded: bool = False
    lag_s: float = 0.0
    queue_wait_s: float = 0.0
    queue_age_s: float = float("inf")

    @property
    def is_queue_known(self):
        """Whether a recent report tells the wait in the target's queue."""
        return self.queue_age_s < MAX_QUEUE_AGE_S


def is_known_behind(load, needed, needed_age_s=float("inf")):
    """Return whether a target is known to lack a position.

    Parameters
    ----------
    load : TargetLoad
        Observations of the target.
    needed : LogPosition
        Position that its log must hold.
    needed_age_s : float
        Seconds since the primary is known to have had the position.
    """
    if load.primary or positions.covers(load.applied, needed):
        return False
    return load.applied_age_s < MAX_POSITION_AGE_S or needed_age_s < load.lag_s


def cannot_answer_by(loads, remaining_s):
    """Return whether all targets are known to answer too late.

    Parameters
    ----------
    loads : list of TargetLoad
        The targets that may serve the statement.
    remaining_s : float
        Seconds until its deadline.
    """
    return bool(loads) and all(
        load.queue_age_s < REFUSAL_QUEUE_AGE_S
        and load.queue_wait_s > remaining_s
        for load in loads
    )


def rank_targets(loads, needed, data_centre, rng, needed_age_s=float("inf")):
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
    needed_age_s : float
        Seconds since the primary is known to have had the position.

    Returns
    -------
    list of TargetLoad
        Those that are known to lack the position come last.
    """
    if any(load.is_queue_known for load in loads):
        return _rank_by_completion(
            loads, needed, data_centre, rng, needed_age_s
        )

    def cost(load):
        work = load.outstanding + load.extra_response_s / 0.02
        if load.data_centre != data_centre:
            work += REMOTE_PENALTY_STATEMENTS
        if load.primary:
            work += PRIMARY_PENALTY_STATEMENTS
        behind = is_known_behind(load, needed, needed_age_s)
        return (load.is_degraded, behind, work + rng.uniform(0, 0.5))

    return sorted(loads, key=cost)


def report_weight(load):
    """Return the weight of a report of a queue, from its age."""
    return math.exp(-load.queue_age_s / QUEUE_MEMORY_S)


def _rank_by_completion(loads, needed, data_centre, rng, needed_age_s):
    """Return the targets in a random order that prefers early completion.

    The chance to come first is inverse to the square of the expected time.
    All instances see about the same reports, some late: a strict choice
    would send all of them to the same target (Mitzenmacher 2000, "How Useful
    Is Old Information?"). Two random choices (Mitzenmacher 2001) are not
    enough of a difference where a group has two replicas.
    """
    known = [load for load in loads if load.is_queue_known]
    usual_wait_s = sum(
        load.queue_wait_s * report_weight(load) for load in known
    ) / sum(report_weight(load) for load in known)
    responses_s = [
        load.extra_response_s for load in loads if load.extra_response_s
    ]
    usual_response_s = min(responses_s, default=USUAL_RESPONSE_S)

    def cost_s(load):
        wait_s = usual_wait_s + report_weight(load) * (
            load.queue_wait_s - usual_wait_s
        )
        expected_s = wait_s + (load.extra_response_s or usual_response_s)
        expected_s += load.outstanding * OUTSTANDING_S
        if load.data_centre != data_centre:
            expected_s += REMOTE_S
        if load.primary:
            # Its slots are the only ones for writes: the wait counts twice.
            expected_s += PRIMARY_S + wait_s
        return expected_s

    def key(load):
        behind = is_known_behind(load, needed, needed_age_s)
        chance = rng.expovariate(1.0) * cost_s(load) ** 2
        return (load.is_degraded, behind, chance)

    return sorted(loads, key=key)
