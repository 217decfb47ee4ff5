"""The two users' shapes, and the classes of work that trials use."""

import attrs

__all__ = ["BANGKOK", "CLASSES", "HOWRAH", "Shape"]

CLASSES = """
[class submit]
kind = write
deadline_ms = 2000

[class standing]
kind = read
deadline_ms = 2000

[class public]
kind = read
deadline_ms = 2000
max_age_ms = 10000

[class ranking]
kind = read
length = long
deadline_ms = 30000
"""


@attrs.frozen
class Shape:
    """Sizes and delays of one user's system.

    Parameters
    ----------
    service, prefix : str
        Names of services and groups.
    centres : list of str
        Data centres.
    instances_per_centre, groups, slots, connections : int
        How many; slots and connections are per target.
    delay_s : float
        One way between data centres, in seconds.
    apply_lag_s, statement_s : float
        Seconds by which replicas apply late, and that a statement takes.
    probes_per_second : int
        Each instance's budget.
    """

    service: str
    prefix: str
    centres: list[str]
    instances_per_centre: int
    groups: int
    slots: int
    connections: int
    delay_s: float
    apply_lag_s: float = 0.02
    statement_s: float = 0.005
    probes_per_second: int = 90


HOWRAH = Shape(
    service="ladder",
    prefix="ladder",
    centres=["howrah", "salt-lake", "durgapur"],
    instances_per_centre=2,
    groups=3,
    slots=3,
    connections=20,
    delay_s=0.001,
)
BANGKOK = Shape(
    service="festival",
    prefix="festival",
    centres=["bang-rak", "chatuchak", "thon-buri"],
    instances_per_centre=2,
    groups=3,
    slots=3,
    connections=40,
    delay_s=0.0015,
)
