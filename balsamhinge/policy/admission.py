"""Admission queue of a target: order and refusal of requests.

One instance, the owner or host of a target, keeps its queue, so that urgent
and short requests can overtake others before they reach the target. The
PostgreSQL and HTTP edge and the edge of the platform share this code.
"""

import itertools

import attrs

from balsamhinge.policy import fairqueues
from balsamhinge.policy import servicetimes

__all__ = ["AdmissionQueue", "Limits", "Ticket"]

INITIAL_SHORT_S = 0.002
INITIAL_LONG_S = 0.2
# First part of the rank of a class.
CONTINUING = 0
IN_TIME = 1
AT_RISK = 2


@attrs.frozen
class Limits:
    """How many requests may be at a target at once.

    Parameters
    ----------
    slots : int
        Statements that the target runs at once.
    reserved_short : int
        Slots that long requests cannot use.
    ahead : int
        Short requests sent beyond the slots, so that no slot idles while
        an answer travels.
    ordered : bool
        Whether the queue prioritises and refuses requests; False gives a
        first-in, first-out queue as a baseline for comparison.
    shared_interval : int
        Every permit of this number goes to the class that has waited longest
        for one, so that the less urgent classes keep a share of the target;
        0 for a strict order of the classes.
    """

    slots: int
    reserved_short: int = 1
    ahead: int = 1
    ordered: bool = True
    shared_interval: int = 0

    @property
    def max_running(self):
        """Return how many requests may be at the target at once."""
        return self.slots + self.ahead if self.ordered else self.slots

    @property
    def long_slots(self):
        """Return how many long requests may run at once."""
        if not self.ordered:
            return self.slots
        return max(1, self.slots - self.reserved_short)


@attrs.define(eq=False)
class Ticket:
    """One request in the queue or at the target.

    Parameters
    ----------
    customer : str
        Customer or service that the target time is accounted to.
    deadline : float
        Loop time in seconds after which the caller has given up.
    priority : tuple of int
        Priority of the route and of the customer; the lowest goes first.
    long : bool
        Whether it is expected to run long.
    continuing : bool
        Whether it belongs to a transaction that holds a connection. It goes
        first and is never refused, as it keeps locks and a connection.
    kind : str
        Kind of statement, under which its duration is learned.
    expected_s : float or None
        Expected duration in seconds; None for the learned one.
    weight : float
        Share of the customer relative to others.
    started : float
        Loop time in seconds when it got a slot.
    order : int
        Sequence number of arrival.
    cost_s : float
        Duration in seconds with which it was queued.
    latest_start : float
        Loop time in seconds after which it cannot be answered in time.
        Whoever waits for a slot must give up then.
    at_risk : bool
        Whether it may be too late for most statements of its kind. It gets
        a slot only if no other ticket can use it.
    is_trial : bool
        Whether it runs although it is expected to be too late.
    abandoned, completed : bool
        Whether the caller has given up, and whether the request was run
        to its end.
    """

    customer: str
    deadline: float
    priority: tuple = (0, 0)
    long: bool = False
    continuing: bool = False
    kind: str = ""
    expected_s: float | None = None
    weight: float = 1.0
    started: float = 0.0
    order: int = 0
    cost_s: float = 0.0
    latest_start: float = float("inf")
    at_risk: bool = False
    is_trial: bool = False
    abandoned: bool = False
    completed: bool = False
    _queue: object = None

    @property
    def rank(self):
        """Class of the ticket; the lowest goes first."""
        if self.continuing:
            group = CONTINUING
        else:
            group = AT_RISK if self.at_risk else IN_TIME
        return group, self.priority, self.long


class AdmissionQueue:
    """Priority queue of requests that wait for a target's slots.

    Parameters
    ----------
    limits : Limits
        How many requests may be at the target at once. It may be replaced
        at any time.

    Notes
    -----
    The order is: continuing tickets, priority, short before long, fair share
    among customers, deadline. No call walks over the waiting tickets; the
    number of classes is that of the configured priorities.
    """

    def __init__(self, limits):
        self.limits = limits
        self.running = set()
        self._classes = {}
        self._orders = itertools.count()
        self._permits = 0
        self._times = {
            is_long: servicetimes.ServiceTimes(servicetimes.Duration(mean_s))
            for is_long, mean_s in (
                (False, INITIAL_SHORT_S),
                (True, INITIAL_LONG_S),
            )
        }
        self._running_count = {False: 0, True: 0}
        self._running_s = {False: 0.0, True: 0.0}
        self._dropped = []

    def __len__(self):
        return sum(len(waiting) for waiting in self._classes.values())

    @property
    def short_s(self):
        """Mean duration of short requests in seconds."""
        return self._times[False].default.mean_s

    @short_s.setter
    def short_s(self, mean_s):
        self._times[False].default.mean_s = mean_s

    @property
    def long_s(self):
        """Mean duration of long requests in seconds."""
        return self._times[True].default.mean_s

    @long_s.setter
    def long_s(self, mean_s):
        self._times[True].default.mean_s = mean_s

    def waiting_by_priority(self):
        """Return the number of waiting tickets by priority."""
        counts = {}
        for (_group, priority, _long), waiting in self._classes.items():
            counts[priority] = counts.get(priority, 0) + len(waiting)
        return counts

    def predicted_wait_s(self, ticket):
        """Return the expected wait of a new ticket in seconds."""
        ahead_s = self._work_before_s(ticket)
        limits = self.limits
        if len(self.running) < limits.max_running and not ahead_s:
            return 0.0
        slots = limits.slots
        if ticket.long:
            slots = limits.long_slots
        elif self._running_count[True] >= limits.long_slots:
            slots = max(1, slots - limits.long_slots)
        return (ahead_s + self._running_s[ticket.long] / 2) / slots

    def _work_before_s(self, ticket):
        if not self.limits.ordered:
            return sum(waiting.work_s for waiting in self._classes.values())
        rank = ticket.rank
        work_s = 0.0
        for other, waiting in self._classes.items():
            if other < rank:
                work_s += waiting.work_s
            elif other == rank:
                work_s += waiting.work_before_s(
                    ticket, self._expected_s(ticket)
                )
        return max(0.0, work_s)

    def predicted_waits_s(self):
        """Return the expected wait by priority, in seconds.

        It is that of a customer without waiting tickets; priorities of
        which nothing waits are left out.
        """
        return {
            priority: self.predicted_wait_s(
                Ticket("", float("inf"), priority=priority)
            )
            for priority in self.waiting_by_priority()
        }

    def offer(self, ticket, now):
        """Queue a ticket unless it cannot meet its deadline.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Loop time in seconds.

        Returns
        -------
        float
            0 if it was queued. If it was refused, seconds after which a
            retry is worthwhile; a refused request was certainly not run.
        """
        ticket.cost_s = self._expected_s(ticket)
        if self.limits.ordered and not ticket.continuing:
            wait = self.predicted_wait_s(ticket)
            # A request that need not wait is always admitted: its expected
            # duration is an estimate that only a run can correct.
            if wait and now + wait + ticket.cost_s > ticket.deadline:
                return wait
        ticket.order = next(self._orders)
        ticket.latest_start = self._latest_start(ticket, now)
        self._queue_of(ticket).push(ticket, now)
        return 0.0

    def _latest_start(self, ticket, now):
        """Return when a ticket must have started at the latest."""
        if not self.limits.ordered:
            return ticket.deadline
        if ticket.continuing:
            ticket.is_trial = True
            return ticket.deadline
        shortest_s, safe_s = self._range_s(ticket)
        if now + safe_s > ticket.deadline:
            # Only a run can correct an estimate that excludes all requests.
            ticket.is_trial = True
            return ticket.deadline
        return ticket.deadline - shortest_s

    def _queue_of(self, ticket):
        rank = ticket.rank
        if not self.limits.ordered:
            rank = (IN_TIME, (), False)
        waiting = self._classes.get(rank)
        if waiting is None:
            waiting = fairqueues.FairQueue(self.limits.ordered)
            self._classes[rank] = waiting
            self._classes = dict(sorted(self._classes.items()))
        ticket._queue = waiting
        return waiting

    def start_next(self, now):
        """Give a slot to the next ticket; return it, or None.

        Tickets that can no longer be served in time are removed, see
        `take_dropped`.
        """
        while len(self.running) < self.limits.max_running:
            waiting = self._next_class()
            if waiting is None:
                return None
            ticket = waiting.pop()
            ticket._queue = None
            if not self._set_aside(ticket, waiting, now):
                self._start(ticket, waiting, now)
                return ticket
        return None

    def _set_aside(self, ticket, waiting, now):
        """Drop a ticket that is too late, or defer one that may be.

        The expected duration may have grown since the ticket was queued.
        """
        if ticket.abandoned:
            waiting.charge(ticket, 0.0)
            return True
        if not self.limits.ordered or ticket.is_trial:
            return False
        shortest_s, safe_s = self._range_s(ticket)
        if now + shortest_s > ticket.deadline:
            self._dropped.append(ticket)
        elif now + safe_s > ticket.deadline and not ticket.at_risk:
            ticket.at_risk = True
            self._queue_of(ticket).push(ticket, now)
        else:
            return False
        waiting.charge(ticket, 0.0)
        return True

    def _start(self, ticket, waiting, now):
        ticket.started = now
        ticket._queue = waiting
        waiting.waiting_since = now
        self.running.add(ticket)
        self._permits += 1
        self._running_count[ticket.long] += 1
        self._running_s[ticket.long] += ticket.cost_s

    def _next_class(self):
        """Return the class that gets the next permit, None if none may."""
        allowed = [
            (rank, waiting)
            for rank, waiting in self._classes.items()
            if len(waiting) and (not rank[2] or self._may_run_long())
        ]
        if not allowed:
            return None
        rank, first = allowed[0]
        interval = self.limits.shared_interval
        if rank[0] != IN_TIME or not interval or self._permits % interval:
            return first
        return min(
            (waiting for rank, waiting in allowed if rank[0] == IN_TIME),
            key=lambda waiting: waiting.waiting_since,
        )

    def take_dropped(self):
        """Return the tickets removed by `start_next` since the last call."""
        dropped, self._dropped = self._dropped, []
        return dropped

    def remove(self, ticket):
        """Remove a ticket that waits; one that does not is ignored."""
        if ticket._queue is not None and ticket not in self.running:
            ticket._queue.remove(ticket)
            ticket._queue = None

    def finish(self, ticket, now):
        """Free a ticket's slot and update the expected durations.

        Only completed requests change the expected durations.
        """
        if ticket not in self.running:
            return
        self.running.discard(ticket)
        self._running_count[ticket.long] -= 1
        self._running_s[ticket.long] -= ticket.cost_s
        spent = now - ticket.started
        ticket._queue.charge(ticket, spent)
        if ticket.completed:
            self._times[ticket.long].record(ticket.kind, spent)

    def _may_run_long(self):
        return self._running_count[True] < self.limits.long_slots

    def _expected_s(self, ticket):
        if ticket.expected_s is not None:
            return ticket.expected_s
        return self._times[ticket.long].of(ticket.kind).mean_s

    def _range_s(self, ticket):
        """Return the shortest duration, and one that few exceed."""
        if ticket.expected_s is not None:
            return ticket.expected_s, ticket.expected_s
        duration = self._times[ticket.long].of(ticket.kind)
        # Without a kind, requests of all durations share one average.
        shortest_s = duration.shortest_s if ticket.kind else 0.0
        return shortest_s, duration.mean_s + duration.deviation_s
