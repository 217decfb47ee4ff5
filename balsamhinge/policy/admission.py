"""Admission queue of a target: order and refusal of requests.

The instance that owns a target keeps its queue, so that short requests can
overtake long ones before they reach the target.
"""

import collections
import itertools

import attrs

__all__ = ["AdmissionQueue", "Limits", "Ticket"]

SERVICE_TIME_WEIGHT = 0.1
INITIAL_SHORT_S = 0.002
INITIAL_LONG_S = 0.2


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
    """

    slots: int
    reserved_short: int = 1
    ahead: int = 1
    ordered: bool = True

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
    service : str
        Service that the target time is accounted to.
    urgent : bool
        Whether it is a write or a read-your-writes read; these go before
        reads with a maximum age.
    long : bool
        Whether it is expected to run long.
    deadline : float
        Loop time in seconds after which the caller has given up.
    started : float
        Loop time in seconds when it got a slot.
    order : int
        Sequence number of arrival.
    abandoned, completed : bool
        Whether the caller has given up, and whether the request was run
        to its end.
    """

    service: str
    urgent: bool
    long: bool
    deadline: float
    started: float = 0.0
    order: int = 0
    abandoned: bool = False
    completed: bool = False


class AdmissionQueue:
    """Priority queue of requests that wait for a target's slots.

    Parameters
    ----------
    limits : Limits
        How many requests may be at the target at once.
    """

    def __init__(self, limits):
        self.limits = limits
        self.running = set()
        self._waiting = []
        self._orders = itertools.count()
        self._usage = collections.Counter()
        self.short_s = INITIAL_SHORT_S
        self.long_s = INITIAL_LONG_S

    def __len__(self):
        return len(self._waiting)

    def predicted_wait_s(self, ticket):
        """Return the expected wait of a new ticket in seconds."""
        ahead = [t for t in self._waiting if self._goes_before(t, ticket)]
        slots = self.limits.slots
        if ticket.long:
            slots = self.limits.long_slots
        elif self._running_long() >= self.limits.long_slots:
            slots = max(1, slots - self.limits.long_slots)
        work = sum(self._expected_s(t) for t in ahead)
        work += sum(
            self._expected_s(t) / 2
            for t in self.running
            if t.long == ticket.long
        )
        if len(self.running) < self.limits.max_running and not ahead:
            return 0.0
        return work / slots

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
        if self.limits.ordered:
            wait = self.predicted_wait_s(ticket)
            # A request that need not wait is always admitted: its expected
            # duration is an estimate that only a run can correct.
            if (
                wait
                and now + wait + self._expected_s(ticket) > ticket.deadline
            ):
                return wait
        ticket.order = next(self._orders)
        self._waiting.append(ticket)
        return 0.0

    def start_next(self, now):
        """Give a slot to the next ticket; return it, or None."""
        if len(self.running) >= self.limits.max_running:
            return None
        self._waiting = [t for t in self._waiting if not t.abandoned]
        allowed = [t for t in self._waiting if self._may_run(t)]
        if not allowed:
            return None
        ticket = min(allowed, key=self._preference)
        self._waiting.remove(ticket)
        self.running.add(ticket)
        ticket.started = now
        return ticket

    def finish(self, ticket, now):
        """Free a ticket's slot and update the expected durations.

        Only completed requests change the expected durations.
        """
        self.running.discard(ticket)
        spent = now - ticket.started
        self._usage[ticket.service] += spent
        if not self._waiting:
            self._usage.clear()
        weight = SERVICE_TIME_WEIGHT if ticket.completed else 0.0
        if ticket.long:
            self.long_s += weight * (spent - self.long_s)
        else:
            self.short_s += weight * (spent - self.short_s)

    def _running_long(self):
        return sum(1 for ticket in self.running if ticket.long)

    def _may_run(self, ticket):
        if not ticket.long:
            return True
        return self._running_long() < self.limits.long_slots

    def _expected_s(self, ticket):
        return self.long_s if ticket.long else self.short_s

    def _preference(self, ticket):
        if not self.limits.ordered:
            return (ticket.order,)
        return (
            not ticket.urgent,
            ticket.long,
            self._usage[ticket.service],
            ticket.deadline,
            ticket.order,
        )

    def _goes_before(self, other, ticket):
        return (not other.urgent, other.long, other.deadline) <= (
            not ticket.urgent,
            ticket.long,
            ticket.deadline,
        )
