"""Connections that hosts keep and lend to other instances."""

import itertools

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import homes
from balsamhinge.policy import loans
from balsamhinge.policy import statements
from balsamhinge.sessions import connections

__all__ = ["ConnectionLoanController"]

State = statements.State
# A loan that its borrower does not use is taken back after so long: the
# answer that told of it was lost, as a borrower uses it at once.
UNUSED_S = 1.0
# Beyond the time after which an idle transaction is ended by its own
# instance: that one has died.
LEFT_S = 2.0
SWEEP_S = 0.25
# How often a host that stops looks whether its loans have ended.
DRAIN_STEP_S = 0.05
# How long one host is waited for before the next one is asked; a queue
# that is longer has the statement refused in the end.
BORROW_S = 0.3
# How long an answer of a host that is reached takes beyond that.
ANSWER_S = 0.15
# Where so many hosts of one data centre do not answer, it is taken to be
# cut off: finding that out of each instance there would take minutes.
MIN_UNREACHABLE_HOSTS = 2
# How often a host that did not answer is asked for a note, before work is
# sent to it again: each statement that tries it instead costs its caller
# the whole wait.
RECOVER_S = 1.0
GIVE_BACK_S = 0.5
# Part of the time that a borrower waits for an answer after which the host
# tells it that there is none.
TELL_SHARE = 0.85

log = logbook.Logger(__name__)


@attrs.define(eq=False)
class Loan:
    """A connection that another instance uses.

    Parameters
    ----------
    conn : LocalConnection
        The connection.
    used_at : float
        Loop seconds of the last use.
    running : bool
        Whether a statement runs on it.
    """

    conn: object
    used_at: float = attrs.Factory(clock.now)
    running: bool = False

    @property
    def idle_s(self):
        """Return for how long nothing has run on it."""
        return 0.0 if self.running else clock.now() - self.used_at


class ConnectionLoanController:
    """Finds places at targets, at this instance or at a host.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count(1)
        self._loans = {}
        # Data centres of hosts that do not answer, by name; "" for those
        # that are about to stop.
        self._avoided = {}

    # What this instance borrows.

    async def acquire(self, target, until, patient=True, leadership=None):
        """Return a place at a target for one statement or transaction.

        Parameters
        ----------
        target : ServingTarget
            Where.
        until : float
            Loop seconds after which nobody waits for it.
        patient : bool
            Whether to wait where the target's limit of connections is
            met.
        leadership : Leadership, optional
            Under which the target is used as the primary.

        Returns
        -------
        LocalConnection or RemoteConnection

        Raises
        ------
        NotRunError
            If there is none; nothing was sent.
        """
        hosts = self._fleet.lending.hosts(target)
        if not hosts or self._fleet.me in hosts[: loans.HOSTS]:
            return await self._own(target, until, patient, leadership)
        host = self.choose_host(hosts)
        request = loans.BorrowRequest(
            target=target.name,
            epoch=leadership.epoch if leadership else 0,
            patience_s=min(BORROW_S, max(0.0, until - clock.now())),
            patient=patient,
        )
        if leadership is not None:
            if not self._fleet.leaders.holds(leadership):
                raise connections.LeaseLost("the primary's lease has lapsed")
            self._fleet.leaders.enter(leadership)
        return connections.RemoteConnection(
            self._fleet, target, host, request, leadership
        )

    async def _own(self, target, until, patient, leadership):
        pool = self._fleet.lending.pool(target)
        lent = await pool.borrow(until, patient)
        if leadership is not None:
            if not self._fleet.leaders.holds(leadership):
                pool.give_back(lent)
                raise connections.LeaseLost("the primary's lease has lapsed")
            self._fleet.leaders.enter(leadership)
        return connections.LocalConnection(self._fleet, pool, lent, leadership)

    def choose_host(self, hosts):
        """Return the host to ask: each borrower keeps to one that answers."""
        usable = (
            host
            for host in hosts
            if host.name not in self._avoided
            and not self.is_data_centre_unreachable(host.data_centre)
        )
        found = list(itertools.islice(usable, loans.HOSTS))
        found = found or hosts[: loans.HOSTS]
        return homes.rank(found, self._fleet.me.name)[0]

    async def borrow(self, host, request):
        """Return the number of a loan of a host.

        Raises
        ------
        NotRunError
        """
        try:
            reply = await self._fleet.links.peers.borrow(
                host, request, request.patience_s + ANSWER_S
            )
        except exceptions.PeerUnavailable as exc:
            self.avoid_host(host)
            raise exceptions.NotRunError(
                f"host {host.name} of {request.target} does not answer"
            ) from exc
        if reply.leaving:
            self.avoid_host(host, leaving=True)
        if not reply.loan:
            raise connections.borrow_error(host, reply)
        return reply.loan

    def is_data_centre_unreachable(self, data_centre):
        """Return whether a data centre seems to be cut off with its hosts.

        Its targets are better left alone by reads then. That says nothing
        of the targets themselves, so no primary is judged by it.
        """
        return (
            list(self._avoided.values()).count(data_centre)
            >= MIN_UNREACHABLE_HOSTS
        )

    def avoid_host(self, host, leaving=False):
        """Ask other hosts until one that does not answer, or leaves, does.

        Parameters
        ----------
        host : Member
            Whom not to ask.
        leaving : bool
            Whether it said so itself; then its data centre is well.
        """
        if host.name in self._avoided:
            return
        self._avoided[host.name] = "" if leaving else host.data_centre
        event(log.notice, "host_avoided", host=host.name, leaving=leaving)
        self._fleet.spawn(self._recover(host))

    async def _recover(self, host):
        begun = clock.now()
        answered = False
        while not answered and host.name in self._fleet.leaders.members:
            await clock.pause(RECOVER_S)
            note = await self._fleet.gossip.ask(host)
            answered = note is not None and not note.leaving
        del self._avoided[host.name]
        event(
            log.notice,
            "host_used_again",
            host=host.name,
            answered=answered,
            after_s=clock.now() - begun,
        )

    def return_loan(self, host, loan, usable):
        """Tell a host that a loan has ended."""

        async def give_back():
            try:
                await self._fleet.links.peers.give_back(
                    host, loan, usable, GIVE_BACK_S
                )
            except exceptions.PeerUnavailable as exc:
                # The host takes it back by itself in the end.
                event(log.info, "loan_not_ended", host=host.name, error=exc)

        self._fleet.spawn(give_back())

    # What this instance lends.

    async def run_loan_reclaim(self):
        """Take back what borrowers have left, for ever."""
        await clock.run_forever(self._sweep, SWEEP_S)

    async def _sweep(self):
        idle_s = self._fleet.directory.table.idle_transaction_s + LEFT_S
        for number, loan in list(self._loans.items()):
            unused = loan.conn.state is State.IDLE
            if loan.idle_s > (UNUSED_S if unused else idle_s):
                event(
                    log.notice,
                    "loan_left",
                    target=loan.conn.target.name,
                    idle_s=loan.idle_s,
                )
                self.end_loan(number, usable=unused)

    async def drain(self, until):
        """Wait until no other instance uses a connection of this one.

        Parameters
        ----------
        until : float
            Loop seconds after which what is left is cut.
        """
        while self._loans and clock.now() < until:
            await clock.pause(DRAIN_STEP_S)

    async def lend(self, request):
        """Return the `BorrowReply` to a `BorrowRequest`."""
        if self._fleet.stopping:
            return loans.BorrowReply(
                detail="the host is about to stop", leaving=True
            )
        try:
            conn = await self._find(request)
        except exceptions.NotRunError as exc:
            overloaded = isinstance(exc, exceptions.Overloaded)
            return loans.BorrowReply(detail=str(exc), overloaded=overloaded)
        number = next(self._numbers)
        self._loans[number] = Loan(conn)
        return loans.BorrowReply(number)

    async def _find(self, request):
        fleet = self._fleet
        target = fleet.directory.targets.get(request.target)
        if target is None:
            raise exceptions.NotRunError("the host does not list the target")
        leadership = None
        if request.epoch:
            leadership = fleet.leaders.leader(target.group)
            if leadership is None or leadership.epoch != request.epoch:
                raise connections.LeaseLost("the host may not use the primary")
        until = clock.now() + request.patience_s
        return await self._own(target, until, request.patient, leadership)

    async def run(self, request):
        """Return the `RunReply` to a `RunRequest`."""
        begun = clock.now()
        number = request.loan
        if not number:
            lent = await self.lend(request.borrow)
            number = lent.loan
            if not number:
                return loans.RunReply(
                    detail=lent.detail,
                    leaving=lent.leaving,
                    overloaded=lent.overloaded,
                )
        loan = self._loans.get(number)
        if loan is None or loan.running:
            return loans.RunReply(detail="the loan has ended")
        loan.running = True
        usable = False
        try:
            answer = await self._run(loan.conn, request, begun)
            usable = answer.state is State.IDLE
        except exceptions.NotRunError as exc:
            return loans.RunReply(detail=str(exc))
        except exceptions.TargetError as exc:
            return loans.RunReply(may_have_run=True, detail=str(exc))
        finally:
            loan.running = False
            loan.used_at = clock.now()
            if loan.conn.state is not State.OPEN:
                self.end_loan(number, usable)
        kept = number if number in self._loans else 0
        return loans.RunReply(answer, kept)

    async def _run(self, conn, request, begun):
        until = begun + request.patience_s * TELL_SHARE
        order = loans.unpack(request)
        inside = conn.state is State.OPEN
        conn.state = State.IDLE
        await conn.apply_session_state(request.values, request.prepared, until)
        await self._check(conn, order.statement, inside, until)
        answer = await conn.execute(order, until)
        conn.state = answer.state
        if answer.problem is statements.Problem.UNKNOWN_NAME:
            conn.clear_prepared()
        return answer

    async def _check(self, conn, statement, inside, until):
        """Check that the target may still be used as the primary.

        As the borrower did before it asked; this instance's own lease
        covers the time since then.
        """
        leaders = self._fleet.leaders
        leadership = conn.leadership
        if leadership is None:
            return
        match statement:
            case statements.Rollback():
                return
            case statements.Commit():
                may = await leaders.outlasts(leadership, until)
            case _ if inside:
                may = not leaders.has_left(leadership)
            case _:
                may = leaders.holds(leadership)
        if not may:
            raise connections.LeaseLost("the host may not use the primary")

    def end_loan(self, number, usable):
        """End a loan."""
        loan = self._loans.pop(number, None)
        if loan is not None:
            idle = not loan.running and loan.conn.state is State.IDLE
            loan.conn.release(usable and idle)
