"""Queue that shares a server fairly among customers."""

import bisect
import heapq

import attrs

__all__ = ["FairQueue"]

# Idle customers are looked for when there are this many more than after the
# last look, and twice as many.
MIN_PRUNED_FLOWS = 16


@attrs.define(eq=False)
class _Flow:
    """Waiting tickets of one customer.

    Parameters
    ----------
    start_tag : float
        Start tag of the next ticket, in seconds of work.
    waiting : list of tuple
        Deadline, order and ticket, sorted.
    work_s : float
        Expected duration of all of them in seconds.
    head : tuple
        Entry in the heap of flows that is in force; () while it is idle.
    """

    start_tag: float
    waiting: list = attrs.Factory(list)
    work_s: float = 0.0
    head: tuple = ()


class FairQueue:
    """Tickets of one class, in fair order.

    Parameters
    ----------
    ordered : bool
        Whether customers and deadlines count; False gives the order of
        arrival.

    Attributes
    ----------
    work_s : float
        Expected duration of all waiting tickets in seconds.
    waiting_since : float
        Loop seconds when a ticket of this queue last got a slot, or when
        the queue last ceased to be empty, if that is later.

    Notes
    -----
    Start-time fair queueing (Goyal, Vin and Cheng 1996): each customer has a
    start tag, which grows by the work of each of its tickets; the lowest tag
    goes first. It needs no server rate, and hence also holds for a target
    whose speed changes. Within a customer the earliest deadline goes first.
    """

    def __init__(self, ordered=True):
        self._ordered = ordered
        self.work_s = 0.0
        self.waiting_since = 0.0
        self._count = 0
        self._active = 0
        self._flows = {}
        self._heap = []
        self._virtual_time = 0.0
        self._prune_at = MIN_PRUNED_FLOWS

    def __len__(self):
        return self._count

    def push(self, ticket, now):
        """Add a ticket."""
        if not self._count:
            self._reset()
            self.waiting_since = now
        customer = self._customer(ticket)
        flow = self._flows.get(customer)
        if flow is None:
            self._prune()
            flow = self._flows[customer] = _Flow(self._virtual_time)
        if not flow.waiting:
            self._active += 1
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        bisect.insort(flow.waiting, self._sort_key(ticket))
        self._add(flow, 1, ticket.cost_s)
        self._refresh(customer, flow)

    def pop(self):
        """Remove and return the next ticket; None if there is none."""
        while self._heap:
            entry = self._heap[0]
            customer = entry[-1]
            flow = self._flows.get(customer)
            if flow is None or flow.head != entry:
                heapq.heappop(self._heap)
                continue
            ticket = flow.waiting[0][-1]
            self._virtual_time = flow.start_tag
            flow.start_tag += ticket.cost_s / ticket.weight
            self.remove(ticket)
            return ticket
        return None

    def remove(self, ticket):
        """Remove a waiting ticket."""
        customer = self._customer(ticket)
        flow = self._flows[customer]
        key = self._sort_key(ticket)
        del flow.waiting[bisect.bisect_left(flow.waiting, key)]
        self._add(flow, -1, -ticket.cost_s)
        if not flow.waiting:
            self._active -= 1
            flow.work_s = 0.0
        self._refresh(customer, flow)

    def charge(self, ticket, spent_s):
        """Replace the expected duration of a ticket by the measured one."""
        customer = self._customer(ticket)
        flow = self._flows.get(customer)
        if flow is not None:
            flow.start_tag += (spent_s - ticket.cost_s) / ticket.weight
            self._refresh(customer, flow)

    def work_before_s(self, ticket, cost_s):
        """Return the work that goes before a new ticket, in seconds.

        Of its own customer that is what has an earlier deadline. Each other
        customer gets as much meanwhile, if it has that much waiting.
        """
        if not self._count:
            return 0.0
        own_s, all_own_s = 0.0, 0.0
        others = self._active
        flow = self._flows.get(ticket.customer)
        if flow is not None and flow.waiting:
            others -= 1
            all_own_s = flow.work_s
            key = (ticket.deadline, float("inf"))
            ahead = bisect.bisect_left(flow.waiting, key)
            own_s = flow.work_s * ahead / len(flow.waiting)
        each_s = own_s + cost_s
        return own_s + min(self.work_s - all_own_s, others * each_s)

    def _customer(self, ticket):
        return ticket.customer if self._ordered else ""

    def _sort_key(self, ticket):
        """Return the entry of a ticket among those of its customer."""
        deadline = ticket.deadline if self._ordered else 0.0
        return deadline, ticket.order, ticket

    def _add(self, flow, count, work_s):
        flow.work_s += work_s
        self.work_s += work_s
        self._count += count

    def _refresh(self, customer, flow):
        """Update a flow's place in the heap."""
        if not flow.waiting:
            flow.head = ()
            return
        head = (flow.start_tag, *flow.waiting[0][:2], customer)
        if head != flow.head:
            flow.head = head
            heapq.heappush(self._heap, head)

    def _reset(self):
        self._flows.clear()
        self._heap.clear()
        self._virtual_time = self.work_s = 0.0
        self._prune_at = MIN_PRUNED_FLOWS

    def _prune(self):
        """Forget idle customers whose tag has been passed by all others."""
        if len(self._flows) < self._prune_at:
            return
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting or flow.start_tag > self._virtual_time
        }
        self._heap = [flow.head for flow in self._flows.values() if flow.head]
        heapq.heapify(self._heap)
        self._prune_at = 2 * len(self._flows) + MIN_PRUNED_FLOWS
