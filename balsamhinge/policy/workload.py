"""What the queue of a target needs to know of a statement."""

import attrs

__all__ = ["Workload"]


@attrs.frozen
class Workload:
    """Origin and urgency of a statement.

    Parameters
    ----------
    customer : str
        Name of the customer; "" in a deployment without customers and for
        public routes. A connection to a target serves one customer only.
    priority : int
        Priority of the route; 0 goes first.
    customer_priority : int
        Priority of the customer; 0 goes first.
    """

    customer: str = ""
    priority: int = 0
    customer_priority: int = 0
