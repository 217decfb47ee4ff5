"""Which instances keep the connections to a target, and lend them.

Where a target accepts fewer connections than there are instances, a few
instances keep them for all: its hosts. The others ask a host to run their
statements. So connections stay open, and few queues stand before a target
instead of one at each instance.
"""

import typing

import attrs
import msgspec

from balsamhinge.policy import homes
from balsamhinge.policy import positions
from balsamhinge.policy import statements

__all__ = [
    "HOSTS",
    "BorrowReply",
    "BorrowRequest",
    "RunReply",
    "RunRequest",
    "connections_of_host",
    "is_lent",
    "pack",
    "rank_hosts",
    "unpack",
]

# Hosts of one target: the loss of one takes a quarter of its connections
# away, and one instance of half a core carries a quarter of its calls.
HOSTS = 4
# With so many connections for each instance no host is needed. Measured at
# 2.2: without hosts fewer callers failed when half of the instances were
# cut from the others, and the calm hours were as good.
PLENTY = 1.5
# Part of a target's connections that hosts leave alone: for questions
# about its state, and for connections of hosts that died, which a target
# counts for some seconds.
RESERVE_SHARE = 0.1
STATEMENTS = {
    one.__name__: one
    for one in (
        statements.Begin,
        statements.Commit,
        statements.Direct,
        statements.Execute,
        statements.Rollback,
        statements.Status,
    )
}


@attrs.frozen
class BorrowRequest:
    """Asks a host for a connection.

    Parameters
    ----------
    target : str
        Where it is to lead.
    epoch : int
        Of the leadership under which the target is used as the primary;
        0 for reads that any target may serve.
    patience_s : float
        Seconds to wait for one.
    patient : bool
        Whether to wait where the target's limit is met.
    """

    target: str
    epoch: int
    patience_s: float
    patient: bool


@attrs.frozen
class BorrowReply:
    """A loan, or why there is none.

    Parameters
    ----------
    loan : int
        Its number at the host; 0 for none.
    detail : str
        Why there is none.
    leaving : bool
        Whether the host is about to stop.
    overloaded : bool
        Whether more wait there than can be served in time.
    """

    loan: int = 0
    detail: str = ""
    leaving: bool = False
    overloaded: bool = False


@attrs.frozen
class RunRequest:
    """Asks a host to run one statement on a lent connection.

    Parameters
    ----------
    loan : int
        The loan, or 0 for `borrow`.
    borrow : BorrowRequest or None
        What to borrow for this statement.
    statement : str
        Name of the statement's class.
    fields : dict
        Its fields.
    request_id : str
        The caller's identifier.
    needed : LogPosition or None
        Position that the target's log must hold.
    values : dict of str to str
        Values of the caller's session.
    prepared : Prepare or None
        What the statement executes.
    patience_s : float
        Seconds until nobody waits for the answer.
    """

    loan: int
    borrow: BorrowRequest | None
    statement: str
    fields: dict[str, typing.Any]
    request_id: str
    needed: positions.LogPosition | None
    values: dict[str, str]
    prepared: statements.Prepare | None
    patience_s: float


@attrs.frozen
class RunReply:
    """What came of a statement at a host.

    Parameters
    ----------
    answer : Answer or None
        The target's answer, if there was one.
    loan : int
        The loan that goes on, as a transaction is open; 0 if it ended.
    may_have_run : bool
        Whether the target may have run it, where there is no answer.
    detail : str
        Why there is no answer.
    leaving : bool
        Whether the host lends nothing as it is about to stop.
    overloaded : bool
        Whether more wait there than can be served in time.
    """

    answer: statements.Answer | None = None
    loan: int = 0
    may_have_run: bool = False
    detail: str = ""
    leaving: bool = False
    overloaded: bool = False


def pack(statement):
    """Return the name and the fields of a statement for a host."""
    return type(statement).__name__, attrs.asdict(statement)


def unpack(request):
    """Return the `Order` in a `RunRequest`."""
    statement = msgspec.convert(request.fields, STATEMENTS[request.statement])
    return statements.Order(statement, request.request_id, request.needed)


def is_lent(limit, instances):
    """Return whether hosts keep the connections to a group's targets.

    Parameters
    ----------
    limit : int
        Connections that each target accepts.
    instances : int
        How many are registered.
    """
    # A call to a host costs more than a connection that is open anyway, so
    # a small fleet has no hosts.
    return homes.is_large(instances) and limit < PLENTY * instances


def connections_of_host(limit):
    """Return how many connections to a target one of its hosts opens."""
    return max(1, int(limit * (1 - RESERVE_SHARE)) // HOSTS)


def rank_hosts(target, members):
    """Return the instances that may be hosts of a target, first ones first.

    Those of its data centre come first: so a statement crosses between
    data centres once, and bytes there are paid for.

    Parameters
    ----------
    target : ServingTarget
        The target.
    members : iterable of Member
        All registered instances.
    """
    ranked = homes.rank(members, target.name)
    near = [m for m in ranked if m.data_centre == target.data_centre]
    far = [m for m in ranked if m.data_centre != target.data_centre]
    return near + far
