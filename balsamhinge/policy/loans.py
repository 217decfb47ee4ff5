"""Connection hosts: instances that lend connections to other instances.

Where a target accepts too few connections for all instances, a few
instances, its connection hosts, keep them for all. The others ask a host
for a loan of a connection or to run a single statement. Connections then
stay open, and a target has a few queues rather than one at each instance.
"""

import typing

import attrs
import msgspec

from balsamhinge.policy import ownership
from balsamhinge.policy import positions
from balsamhinge.policy import statements
from balsamhinge.policy import workload as workloads

__all__ = [
    "BorrowReply",
    "BorrowRequest",
    "CONCURRENCY_KINDS",
    "HOSTS_PER_TARGET",
    "LoanEnd",
    "QUEUE_KINDS",
    "RunReply",
    "RunRequest",
    "TargetSettings",
    "decode_order",
    "encode_statement",
    "max_connections_per_host",
    "rank_hosts",
    "statement_kind",
    "uses_hosts",
    "uses_slot",
]

# The loss of one host removes a quarter of a target's connections, and an
# instance of half a core can serve a quarter of its calls.
HOSTS_PER_TARGET = 4
# From this number on instances connect themselves: at 2.2 connections per
# instance fewer requests failed without hosts while half of the instances
# were partitioned, and as few at other times.
MIN_UNSHARED_CONNECTIONS_PER_INSTANCE = 1.5
# Share of a target's connections that its hosts do not use. It is left for
# status queries and for the connections of crashed hosts, which the target
# counts for some more seconds.
RESERVE_SHARE = 0.1
# Share of a target's connections that the single host of an admission queue
# uses. A successor needs as many while the target still counts those of a
# host that lost power, and status queries need some.
QUEUE_HOST_SHARE = 0.45
# Values of the settings `queue` and `concurrency`.
QUEUE_KINDS = ("ordered", "first_come")
CONCURRENCY_KINDS = ("learned", "slots")
SLOT_STATEMENTS = (
    statements.Direct,
    statements.Execute,
    statements.Commit,
)
STATEMENT_CLASSES = {
    statement_class.__name__: statement_class
    for statement_class in (
        statements.Begin,
        statements.Commit,
        statements.Direct,
        statements.Execute,
        statements.Rollback,
        statements.Status,
    )
}


@attrs.frozen
class TargetSettings:
    """How targets are used, and how statements wait for them.

    Parameters
    ----------
    queue : str
        "ordered" for one host of each target with an admission queue;
        "first_come" for several hosts that serve in order of arrival.
    concurrency : str
        "learned" to learn how many statements a target handles well at
        once; "slots" for what it reports.
    leaving_use_s : float
        Seconds for which a target that has said that it stops may be used.
    """

    queue: str = "ordered"
    concurrency: str = "slots"
    leaving_use_s: float = 7.0

    @property
    def is_ordered(self):
        """Return whether targets have an admission queue."""
        return self.queue == "ordered"

    @property
    def hosts_per_target(self):
        """Return how many instances lend connections to a target."""
        return 1 if self.is_ordered else HOSTS_PER_TARGET

    def max_connections_per_host(self, limit):
        """Return the maximum number of connections from a host to a target.

        Parameters
        ----------
        limit : int
            Number of connections that the target accepts.
        """
        if self.is_ordered:
            return max(1, int(limit * QUEUE_HOST_SHARE))
        return max_connections_per_host(limit)


@attrs.frozen
class BorrowRequest:
    """Request to a host for the loan of a connection.

    Parameters
    ----------
    target : str
        Target to connect to.
    epoch : int
        Epoch of the leadership under which the target is used as the
        primary; 0 for reads that any target may serve.
    patience_s : float
        Maximum wait for a connection in seconds.
    patient : bool
        Whether to wait if the target accepts no more connections.
    workload : Workload
        Whose statement the connection is for.
    deadline_s : float
        Seconds until the answer of the statement is due; 0 if unknown. It
        orders the requests of the admission queue.
    borrower : int
        Random identifier of the process that borrows.
    """

    target: str
    epoch: int
    patience_s: float
    patient: bool
    workload: workloads.Workload = workloads.Workload()
    deadline_s: float = 0.0
    borrower: int = 0


@attrs.frozen
class BorrowReply:
    """A connection loan, or the reason for its refusal.

    Parameters
    ----------
    loan : int
        Identifier of the loan at the host; 0 if it was refused.
    detail : str
        Reason for the refusal.
    leaving : bool
        Whether the host is about to stop.
    overloaded : bool
        Whether more requests wait at the host than it can serve in time.
    unreachable : bool
        Whether the host does not reach the target.
    waits_s : list of float
        Predicted wait at the host in seconds, by route priority; empty if
        it has no admission queue.
    """

    loan: int = 0
    detail: str = ""
    leaving: bool = False
    overloaded: bool = False
    unreachable: bool = False
    waits_s: list[float] = attrs.Factory(list)


@attrs.frozen
class RunRequest:
    """Request to a host to run one statement on a lent connection.

    Parameters
    ----------
    loan : int
        Loan to run it on; 0 to borrow a connection as `borrow` says.
    borrow : BorrowRequest or None
        Connection to borrow for this statement.
    statement : str
        Name of the statement's class.
    fields : dict
        Fields of the statement.
    request_id : str
        Identifier that the caller gave.
    needed : LogPosition or None
        Position that the target's log must hold.
    values : dict of str to str
        Values set in the caller's session.
    prepared : Prepare or None
        Prepared statement that is executed.
    patience_s : float
        Seconds after which the caller has given up.
    borrower : int
        Identifier of the process that has borrowed `loan`.
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
    borrower: int = 0


@attrs.frozen
class RunReply:
    """Reply of a host to a `RunRequest`.

    Parameters
    ----------
    answer : Answer or None
        Answer of the target, if there was one.
    loan : int
        Loan that continues because a transaction is open; 0 if it ended.
    may_have_run : bool
        Whether the target may have run the statement although it gave no
        answer.
    detail : str
        Why there is no answer.
    leaving : bool
        Whether the host refused because it is about to stop.
    overloaded : bool
        Whether more requests wait at the host than it can serve in time.
    unreachable : bool
        Whether the host does not reach the target.
    waits_s : list of float
        Predicted wait at the host in seconds, by route priority; empty if
        it has no admission queue.
    waited_s : float
        Seconds that the statement spent at the host before it was sent.
    """

    answer: statements.Answer | None = None
    loan: int = 0
    may_have_run: bool = False
    detail: str = ""
    leaving: bool = False
    overloaded: bool = False
    unreachable: bool = False
    waits_s: list[float] = attrs.Factory(list)
    waited_s: float = 0.0


@attrs.frozen
class LoanEnd:
    """The end of a loan, as the borrower reports it.

    Parameters
    ----------
    loan : int
        Number of the loan.
    usable : bool
        Whether the connection may be used again.
    borrower : int
        Identifier of the process that has borrowed it.
    """

    loan: int
    usable: bool
    borrower: int = 0


def encode_statement(statement):
    """Return the class name and the fields of a statement."""
    return type(statement).__name__, attrs.asdict(statement)


def uses_slot(statement):
    """Return whether a statement occupies a slot of its target."""
    return isinstance(statement, SLOT_STATEMENTS)


def statement_kind(statement):
    """Return the kind under which a statement's duration is learned.

    Executions of one prepared statement take similar times; their name
    stands for its content.
    """
    match statement:
        case statements.Execute(name=name):
            return name
        case statements.Direct(access=access):
            return access.value
    return type(statement).__name__


def decode_order(request):
    """Return the `Order` that a `RunRequest` contains."""
    statement = msgspec.convert(
        request.fields, STATEMENT_CLASSES[request.statement]
    )
    return statements.Order(statement, request.request_id, request.needed)


def uses_hosts(limit, instances):
    """Return whether a group's targets are reached through hosts.

    Parameters
    ----------
    limit : int
        Number of connections that each target accepts.
    instances : int
        Number of registered instances.
    """
    # A call to a host costs more than the use of a connection that is open
    # anyway, so a small fleet has no hosts.
    return (
        ownership.is_large_fleet(instances)
        and limit < MIN_UNSHARED_CONNECTIONS_PER_INSTANCE * instances
    )


def max_connections_per_host(limit):
    """Return the maximum number of connections from one host to a target.

    Parameters
    ----------
    limit : int
        Number of connections that the target accepts.
    """
    return max(1, int(limit * (1 - RESERVE_SHARE)) // HOSTS_PER_TARGET)


def rank_hosts(target, members):
    """Return the instances in order of preference as hosts of a target.

    Instances in the target's data centre come first: a statement then
    crosses between data centres only once, and that traffic is charged for.

    Parameters
    ----------
    target : ServingTarget
        Target to connect to.
    members : iterable of Member
        All registered instances.

    Returns
    -------
    list of Member
    """
    ranked = ownership.rank_members(members, target.name)
    local = [m for m in ranked if m.data_centre == target.data_centre]
    remote = [m for m in ranked if m.data_centre != target.data_centre]
    return local + remote
