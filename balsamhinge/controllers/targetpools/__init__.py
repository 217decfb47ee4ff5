"""Connections of this instance to targets."""

from balsamhinge.controllers.targetpools.borrowing import borrow_admitted
from balsamhinge.controllers.targetpools.idle import PooledConnection
from balsamhinge.controllers.targetpools.pool import TargetPool
from balsamhinge.controllers.targetpools.pools import TargetPoolsController

__all__ = [
    "PooledConnection",
    "TargetPool",
    "TargetPoolsController",
    "borrow_admitted",
]
