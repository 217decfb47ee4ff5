"""Connection loans: hosts lend target connections to other instances."""

import contextlib
import itertools
import secrets
import weakref

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import targetpools
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import loans
from balsamhinge.policy import ownership
from balsamhinge.policy import statements
from balsamhinge.policy import workload as workloads
from balsamhinge.sessions import connections

__all__ = ["ConnectionLoanController"]

State = statements.State
# A borrower uses its loan at once, so an unused one means that the reply
# with its number was lost.
UNUSED_LOAN_TIMEOUT_S = 1.0
# Added to the idle timeout that the borrower itself enforces on its
# transactions; a loan idle for longer belongs to a dead instance.
ABANDONED_LOAN_MARGIN_S = 2.0
RECLAIM_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
# Longest wait in a host's queue; the request fails after it, and the
# statement is tried again or refused.
BORROW_TIMEOUT_S = 0.3
# Network time added to that wait before a host counts as unreachable.
REPLY_MARGIN_S = 0.15
# From this number of unreachable hosts on, all of a data centre is avoided:
# timing out on each of its instances in turn would take minutes.
MIN_UNREACHABLE_HOSTS = 2
# Gossip probes detect the recovery of an avoided host, as a statement sent
# to a host that is still down would wait for the full timeout.
HOST_PROBE_INTERVAL_S = 1.0
RETURN_TIMEOUT_S = 0.5
# Share of the borrower's timeout after which the host replies that the
# target has not answered.
HOST_TIMEOUT_SHARE = 0.85
# Time for which a borrower uses another host after a host has reported that
# it does not reach the target.
CUT_OFF_HOST_S = 1.0
# Age up to which the reported wait of a queue is used.
MAX_REPORT_AGE_S = 1.0
# Size of the first loan number of a process, which is drawn at random.
LOAN_NUMBER_BITS = 60
# Size of the random identifier of a process that borrows connections.
BORROWER_BITS = 63
NO_WORKLOAD = workloads.Workload()

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class Loan:
    """A connection lent to another instance.

    Parameters
    ----------
    conn : LocalConnection
        The connection.
    borrower : int
        Identifier of the process that has borrowed it.
    used_at : float
        Time of the latest use, in loop seconds.
    running : bool
        Whether a statement runs on the connection.
    """

    conn: object
    borrower: int
    used_at: float = attrs.Factory(clock.now)
    running: bool = False

    @property
    def idle_s(self):
        """Seconds since the last statement; 0 while one is running."""
        return 0.0 if self.running else clock.now() - self.used_at


class ConnectionLoanController:
    """Provides connections to targets, of this instance or of a host.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        # A borrower may use a loan of an earlier process of this instance,
        # whose number must not be that of another loan.
        self._loan_numbers = itertools.count(
            1 + secrets.randbits(LOAN_NUMBER_BITS)
        )
        self._loans = {}
        self._borrower = secrets.randbits(BORROWER_BITS)
        # Number of requests of borrowers that are being handled.
        self._open_requests = 0
        # Whether statements may still run on loans.
        self._accepts_orders = True
        # Connections of hosts that sessions of this instance use, and the
        # tasks that return them.
        self._borrowed = weakref.WeakSet()
        self._returns = set()
        # Maps the name of each avoided host to its data centre, or to ""
        # if the host is stopping.
        self._avoided_hosts = {}
        # Loop seconds until which a host is not used for a target, by the
        # names of both.
        self._cut_off_until = {}

    # Borrower's side.

    async def acquire(
        self,
        target,
        deadline,
        patient=True,
        leadership=None,
        workload=NO_WORKLOAD,
        monitoring=False,
    ):
        """Return a connection for one statement or transaction.

        Parameters
        ----------
        target : ServingTarget
            Target to connect to.
        deadline : float
            Latest time to return, in loop seconds.
        patient : bool
            Whether to wait while the target's connection limit is reached.
        leadership : Leadership, optional
            Leadership under which the target is used as the primary.
        workload : Workload
            Whose statement the connection is for.
        monitoring : bool
            Whether it is for a status query, which bypasses the queue.

        Returns
        -------
        LocalConnection or RemoteConnection

        Raises
        ------
        NotRunError
            If no connection is available; nothing was sent.
        LeaseLost
            If the primary's lease has lapsed; nothing was sent.
        """
        hosts = self._fleet.target_pools.hosts_of(target)
        host = self._host_for(target, hosts)
        if host is None or host == self._fleet.me:
            times = deadline, deadline
            try:
                return await self._acquire_local(
                    target, times, patient, leadership, workload, monitoring
                )
            except exceptions.TargetUnreachable as exc:
                if host is not None and self._is_target_lost(target.name, exc):
                    self._use_next_host(host, target.name)
                raise
        request = loans.BorrowRequest(
            target=target.name,
            epoch=leadership.epoch if leadership else 0,
            patience_s=self._patience_s(target.name, workload, deadline),
            patient=patient,
            workload=workload,
            deadline_s=max(0.0, deadline - clock.now()),
            borrower=self._borrower,
        )
        if leadership is not None:
            if not self._fleet.leaders.is_valid(leadership):
                raise connections.LeaseLost("the primary's lease has lapsed")
            self._fleet.leaders.begin_work(leadership)
        conn = connections.RemoteConnection(
            self._fleet, target, host, request, leadership
        )
        self._borrowed.add(conn)
        return conn

    def _patience_s(self, target, workload, deadline):
        """Return how long a host may wait for a connection, in seconds."""
        patience_s = BORROW_TIMEOUT_S + self.reported_wait_s(target, workload)
        return min(patience_s, max(0.0, deadline - clock.now()))

    def reported_wait_s(self, target, workload):
        """Return the wait that a target's host has recently reported.

        Parameters
        ----------
        target : str
            Name of the target.
        workload : Workload
            Workload of the statement.

        Returns
        -------
        float
            Seconds; 0 if there is no recent report.
        """
        wait_s, age_s = self._fleet.target_pools.predicted_wait_s(
            target, workload.priority
        )
        return wait_s if age_s < MAX_REPORT_AGE_S else 0.0

    async def _acquire_local(
        self,
        target,
        times,
        patient,
        leadership,
        workload,
        monitoring=False,
        kind="",
    ):
        """Return a connection of this instance.

        Parameters
        ----------
        times : tuple of float
            Loop seconds by which to return, and when the answer is due.
        kind : str
            Kind of statement.
        """
        pools = self._fleet.target_pools
        pool = pools.pool(target)
        gate = None if monitoring else pools.gate(target)
        permit = None
        if gate is None:
            pooled = await pool.borrow(times[0], patient, workload)
        else:
            if pool.is_unreachable:
                raise exceptions.TargetUnreachable(
                    f"{target.name} did not answer"
                )
            pooled, permit = await targetpools.borrow_admitted(
                pool, gate, times, patient, workload, kind
            )
        if leadership is not None:
            if not self._fleet.leaders.is_valid(leadership):
                pool.return_connection(pooled)
                if permit is not None:
                    permit.release(completed=False)
                raise connections.LeaseLost("the primary's lease has lapsed")
            self._fleet.leaders.begin_work(leadership)
        return connections.LocalConnection(
            self._fleet,
            pool,
            pooled,
            leadership,
            workload=workload,
            gate=gate,
            permit=permit,
        )

    def _host_for(self, target, hosts):
        """Return the host to use for a target, which may be this instance.

        Returns None where each instance opens its own connections.
        """
        if not hosts:
            return None
        if self._fleet.target_pools.is_ordered:
            return self.choose_host(hosts, target.name)
        if self._fleet.me in hosts[: loans.HOSTS_PER_TARGET]:
            return self._fleet.me
        return self.choose_host(hosts, target.name)

    def _is_cut_off(self, host, target):
        """Return whether a host has reported not to reach a target."""
        until = self._cut_off_until.get((host.name, target))
        if until is None:
            return False
        if clock.now() < until:
            return True
        del self._cut_off_until[host.name, target]
        return False

    def _use_next_host(self, host, target):
        """Use another host of a target for a while."""
        if not self._is_cut_off(host, target):
            event(log.notice, "host_cut_off", host=host.name, target=target)
        self._cut_off_until[host.name, target] = clock.now() + CUT_OFF_HOST_S

    def record_reply(self, host, target, reply):
        """Record what the reply of a host tells of itself and of a target.

        Parameters
        ----------
        host : Member
            The host.
        target : str
            Name of the target.
        reply : BorrowReply or RunReply
            Its reply.
        """
        if reply.leaving:
            self.avoid_host(host, leaving=True)
        if reply.unreachable:
            self._use_next_host(host, target)
        self._fleet.target_pools.reports.record(
            target, reply.waits_s, clock.now()
        )

    def choose_host(self, hosts, target=""):
        """Return the usable host of a target that ranks first.

        With an admission queue that is one host for all instances. Without
        one, several hosts share the work: the ranking is stable, so an
        instance keeps to one host while that host is usable.

        Parameters
        ----------
        hosts : list of Member
            Hosts of the target in order of preference.
        target : str
            Name of the target.
        """
        usable = (
            host
            for host in hosts
            if host.name not in self._avoided_hosts
            and not self.is_data_centre_unreachable(host.data_centre)
        )
        candidates = list(itertools.islice(usable, loans.HOSTS_PER_TARGET))
        candidates = candidates or hosts[: loans.HOSTS_PER_TARGET]
        if self._fleet.target_pools.is_ordered:
            # If none of these reaches the target, others will not either.
            reaching = (
                host
                for host in candidates
                if not self._is_cut_off(host, target)
            )
            return next(reaching, candidates[0])
        return ownership.rank_members(candidates, self._fleet.me.name)[0]

    async def borrow(self, host, request):
        """Borrow a connection of a host and return the loan's number.

        Raises
        ------
        NotRunError
            If the host does not answer or lends no connection.
        """
        try:
            reply = await self._fleet.dependencies.peers.borrow(
                host, request, request.patience_s + REPLY_MARGIN_S
            )
        except exceptions.PeerUnavailable as exc:
            self.avoid_host(host)
            raise exceptions.NotRunError(
                f"host {host.name} of {request.target} does not answer"
            ) from exc
        self.record_reply(host, request.target, reply)
        if not reply.loan:
            raise connections.borrow_error(host, reply)
        return reply.loan

    def is_data_centre_unreachable(self, data_centre):
        """Return whether several hosts of a data centre do not answer.

        Reads then prefer targets elsewhere. The targets themselves may be
        healthy, so failover decisions do not depend on this.
        """
        return (
            list(self._avoided_hosts.values()).count(data_centre)
            >= MIN_UNREACHABLE_HOSTS
        )

    def avoid_host(self, host, leaving=False):
        """Borrow from other hosts until a gossip probe of this one succeeds.

        Parameters
        ----------
        host : Member
            Host that did not answer or is stopping.
        leaving : bool
            Whether the host reported that it is stopping. It then does not
            count as unreachable.
        """
        if host.name in self._avoided_hosts:
            return
        self._avoided_hosts[host.name] = "" if leaving else host.data_centre
        event(log.notice, "host_avoided", host=host.name, leaving=leaving)
        self._fleet.spawn(self._wait_for_host(host))

    async def _wait_for_host(self, host):
        started_at = clock.now()
        answered = False
        while not answered and host.name in self._fleet.leaders.members:
            await clock.pause(HOST_PROBE_INTERVAL_S)
            message = await self._fleet.gossip.exchange(host)
            answered = message is not None and not message.leaving
        del self._avoided_hosts[host.name]
        event(
            log.notice,
            "host_used_again",
            host=host.name,
            answered=answered,
            after_s=clock.now() - started_at,
        )

    def return_loan(self, host, loan, usable):
        """Tell a host in the background that a loan is no longer used."""
        ended = loans.LoanEnd(loan, usable, self._borrower)

        async def give_back():
            try:
                await self._fleet.dependencies.peers.give_back(
                    host, ended, RETURN_TIMEOUT_S
                )
            except exceptions.PeerUnavailable as exc:
                # The host reclaims the loan when it has been idle.
                event(log.info, "loan_not_ended", host=host.name, error=exc)

        task = self._fleet.spawn(give_back())
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    # Host's side.

    async def run_loan_reclaim(self):
        """End abandoned loans periodically; never returns."""
        await clock.run_forever(self._reclaim_loans, RECLAIM_INTERVAL_S)

    async def _reclaim_loans(self):
        idle_s = (
            self._fleet.directory.table.idle_transaction_s
            + ABANDONED_LOAN_MARGIN_S
        )
        for loan_number, loan in list(self._loans.items()):
            unused = loan.conn.state is State.IDLE
            if loan.idle_s > (UNUSED_LOAN_TIMEOUT_S if unused else idle_s):
                event(
                    log.notice,
                    "loan_left",
                    target=loan.conn.target.name,
                    idle_s=loan.idle_s,
                )
                self.end_loan(loan_number, usable=unused)

    async def drain(self, deadline, cutoff=None):
        """Wait until all loans to and from other instances have ended.

        A request that was accepted before the stop may still wait for a
        connection; its loan begins later. Sessions of this instance must
        have ended; connections that they borrowed may still be rolled back
        and returned.

        Parameters
        ----------
        deadline : float
            Loop seconds until which loans may go on. Later statements on
            them are refused, so an open transaction is aborted.
        cutoff : float, optional
            Latest time to return, in loop seconds, even if statements are
            still running; `deadline` by default.
        """
        cutoff = deadline if cutoff is None else cutoff
        while self._is_in_use() and clock.now() < deadline:
            await clock.pause(DRAIN_POLL_INTERVAL_S)
        self._accepts_orders = False
        while self._is_finishing() and clock.now() < cutoff:
            await clock.pause(DRAIN_POLL_INTERVAL_S)
        if self._is_in_use():
            event(
                log.warning,
                "drain_incomplete",
                loans=len(self._loans),
                requests=self._open_requests,
            )
        for loan_number, loan in list(self._loans.items()):
            if not loan.running:
                self.end_loan(loan_number, usable=False)

    def _is_in_use(self):
        """Return whether another instance uses or waits for a connection."""
        return bool(self._loans) or self._open_requests > 0

    def _is_finishing(self):
        """Return whether an order runs, or a host waits for a return."""
        is_borrowing = any(
            conn.loan and not conn.released for conn in self._borrowed
        )
        return self._open_requests > 0 or is_borrowing or bool(self._returns)

    @contextlib.contextmanager
    def _count_request(self):
        """Count a request of a borrower until its reply is ready."""
        self._open_requests += 1
        try:
            yield
        finally:
            self._open_requests -= 1

    async def lend(self, request):
        """Handle a `BorrowRequest` and return the `BorrowReply`."""
        deadline = clock.now() + max(request.deadline_s, request.patience_s)
        with self._count_request():
            reply = await self._lend(request, deadline)
        if reply.loan:
            # The borrower's statement gets a permit when it arrives.
            self._loans[reply.loan].conn.end_permit()
        return reply

    async def _lend(self, request, deadline, kind="", monitoring=False):
        """Lend a connection, together with a permit to use it.

        Parameters
        ----------
        request : BorrowRequest
            Request of the borrower.
        deadline : float
            Loop seconds when the answer of its statement is due.
        kind : str
            Kind of statement.
        monitoring : bool
            Whether it is for a status query, which bypasses the queue.

        Returns
        -------
        BorrowReply
        """
        if self._fleet.stopping:
            return loans.BorrowReply(
                detail="the host is about to stop", leaving=True
            )
        waits_s = self._waits_s(request.target)
        try:
            conn = await self._acquire_requested(
                request, deadline, kind, monitoring
            )
        except exceptions.NotRunError as exc:
            return loans.BorrowReply(
                detail=str(exc),
                overloaded=isinstance(exc, exceptions.Overloaded),
                unreachable=self._is_target_lost(request.target, exc),
                waits_s=waits_s,
            )
        loan_number = next(self._loan_numbers)
        self._loans[loan_number] = Loan(conn, request.borrower)
        return loans.BorrowReply(loan_number, waits_s=waits_s)

    def _is_target_lost(self, target_name, exc):
        """Return whether borrowers should use the next host of a target."""
        target = self._fleet.directory.targets.get(target_name)
        return (
            self._fleet.target_pools.is_ordered
            and isinstance(exc, exceptions.TargetUnreachable)
            and target is not None
            and self._fleet.target_pools.pool(target).is_unreachable
        )

    def _waits_s(self, target_name):
        """Return the predicted waits of a target's queue by priority."""
        target = self._fleet.directory.targets.get(target_name)
        if target is None:
            return []
        gate = self._fleet.target_pools.gate(target)
        return [] if gate is None else gate.predicted_waits_s()

    async def _acquire_requested(self, request, deadline, kind, monitoring):
        fleet = self._fleet
        target = fleet.directory.targets.get(request.target)
        if target is None:
            raise exceptions.NotRunError("the host does not list the target")
        leadership = None
        if request.epoch:
            leadership = fleet.leaders.valid_leadership(target.group)
            if leadership is None or (
                (leadership.epoch, leadership.target)
                != (request.epoch, request.target)
            ):
                raise connections.LeaseLost("the host may not use the primary")
        until = clock.now() + request.patience_s
        return await self._acquire_local(
            target,
            (until, deadline),
            request.patient,
            leadership,
            request.workload,
            monitoring,
            kind,
        )

    async def run(self, request):
        """Handle a `RunRequest` and return the `RunReply`."""
        with self._count_request():
            return await self._run(request)

    async def _run(self, request):
        started_at = clock.now()
        loan_number = request.loan
        if not loan_number:
            reply = await self._lend_for_run(request, started_at)
            loan_number = reply.loan
            if not loan_number:
                return loans.RunReply(
                    detail=reply.detail,
                    leaving=reply.leaving,
                    overloaded=reply.overloaded,
                    unreachable=reply.unreachable,
                    waits_s=reply.waits_s,
                )
        loan = self._loans.get(loan_number)
        if request.loan:
            loan = self._loan_of(request)
        has_ended = bool(request.loan) and not self._accepts_orders
        if loan is None or loan.running or has_ended:
            return loans.RunReply(detail="the loan has ended")
        loan.running = True
        usable = False
        try:
            answer = await self._run_on_loan(loan.conn, request, started_at)
            usable = answer.state is State.IDLE
        except exceptions.NotRunError as exc:
            return loans.RunReply(
                detail=str(exc),
                overloaded=isinstance(exc, exceptions.Overloaded),
            )
        except exceptions.TargetError as exc:
            return loans.RunReply(may_have_run=True, detail=str(exc))
        finally:
            loan.running = False
            loan.used_at = clock.now()
            if loan.conn.state is not State.OPEN:
                self.end_loan(loan_number, usable)
        open_loan = loan_number if loan_number in self._loans else 0
        return loans.RunReply(
            answer,
            open_loan,
            waits_s=self._waits_s(loan.conn.target.name),
            waited_s=loan.conn.waited_s(started_at),
        )

    async def _lend_for_run(self, request, started_at):
        """Lend a connection for the statement of a `RunRequest`.

        The statement waits as long as its caller: a wait that is cut short
        and tried again would not help it.
        """
        borrow = request.borrow
        deadline = started_at + request.patience_s * HOST_TIMEOUT_SHARE
        if self._fleet.target_pools.is_ordered:
            borrow = attrs.evolve(
                borrow, patience_s=request.patience_s * HOST_TIMEOUT_SHARE
            )
        return await self._lend(
            borrow,
            deadline,
            kind=loans.statement_kind(loans.decode_order(request).statement),
            monitoring=request.statement == statements.Status.__name__,
        )

    async def _run_on_loan(self, conn, request, started_at):
        deadline = started_at + request.patience_s * HOST_TIMEOUT_SHARE
        order = loans.decode_order(request)
        in_transaction = conn.state is State.OPEN
        conn.state = State.IDLE
        await conn.apply_session_state(
            request.values, request.prepared, deadline
        )
        if loans.uses_slot(order.statement):
            kind = loans.statement_kind(order.statement)
            await conn.admit(deadline, kind)
        await self._check_lease(
            conn, order.statement, in_transaction, deadline
        )
        answer = await conn.execute(order, deadline)
        conn.state = answer.state
        if answer.problem is statements.Problem.UNKNOWN_NAME:
            conn.clear_prepared()
        return answer

    async def _check_lease(self, conn, statement, in_transaction, deadline):
        """Check that the target may still be used as the primary.

        The borrower has checked its own lease before the call; the lease
        of this instance covers the time since.

        Raises
        ------
        LeaseLost
            If the lease does not allow the statement.
        """
        leaders = self._fleet.leaders
        leadership = conn.leadership
        if leadership is None:
            return
        match statement:
            case statements.Rollback():
                return
            case statements.Commit():
                allowed = await leaders.wait_may_commit(leadership, deadline)
            case _ if in_transaction:
                allowed = not leaders.has_released(leadership)
            case _:
                allowed = leaders.is_valid(leadership)
        if not allowed:
            raise connections.LeaseLost("the host may not use the primary")

    def _loan_of(self, message):
        """Return the loan that a message names, or None.

        Parameters
        ----------
        message : RunRequest or LoanEnd
            Message of a borrower.
        """
        loan = self._loans.get(message.loan)
        if loan is None or loan.borrower == message.borrower:
            return loan
        event(
            log.warning,
            "loan_of_another_borrower",
            target=loan.conn.target.name,
        )
        return None

    def handle_end(self, ended):
        """Handle the `LoanEnd` of a borrower."""
        if self._loan_of(ended) is not None:
            self.end_loan(ended.loan, ended.usable)

    def end_loan(self, loan_number, usable):
        """End a loan; its connection is reused if usable and idle."""
        loan = self._loans.pop(loan_number, None)
        if loan is not None:
            idle = not loan.running and loan.conn.state is State.IDLE
            loan.conn.release(usable and idle)
