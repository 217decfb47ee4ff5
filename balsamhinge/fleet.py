"""The controllers of one instance of a fleet on the users' platform."""

import asyncio
import random

import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import directory
from balsamhinge.controllers import duty
from balsamhinge.controllers import failover
from balsamhinge.controllers import gossip
from balsamhinge.controllers import health
from balsamhinge.controllers import leaders
from balsamhinge.controllers import sampling
from balsamhinge.controllers import storehealth
from balsamhinge.controllers import tablesync
from balsamhinge.controllers import targetpools
from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.logs import event
from balsamhinge.policy import homes
from balsamhinge.policy import leases
from balsamhinge.policy import placement
from balsamhinge.policy import statements
from balsamhinge.sessions import connectionloans
from balsamhinge.sessions import connections

__all__ = ["FleetInstance"]

SWEEP_S = 0.1
REGISTER_RETRY_S = 0.3
# Pause before a loop that an unforeseen error ended is started anew.
LOOP_RESTART_S = 0.5
# An instance whose knowledge is older, and that hears no other place, is
# isolated: two polls of the store and two rounds of notes have failed.
ISOLATED_AGE_S = 0.9
FAR_SILENT_S = 0.8
# So many questions to other data centres must have failed: in a large
# fleet few are asked, and silence alone says little.
FAR_FAILURES = 2

log = logbook.Logger(__name__)


class FleetInstance:
    """One instance: what it knows, and what it does by itself.

    Parameters
    ----------
    me : Member
        This instance.
    links_ : FleetLinks
        Everything outside it.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, me, links_, seed=0):
        self.me = me
        self.links = links_
        self.rng = random.Random(f"{seed}/{me.name}")
        self.store_health = storehealth.StoreHealth()
        self.directory = directory.DirectoryController(
            links_.store,
            self.store_health,
            self.reads_for_others,
            f"{seed}/{me.name}",
        )
        self.health = health.HealthController()
        self.leaders = leaders.LeadersController(
            links_.store,
            self.store_health,
            me,
            links_.boot_time,
        )
        self.target_pools = targetpools.TargetPoolsController(
            me, links_.targets, self.health, self.directory, self.leaders
        )
        self.connection_loans = connectionloans.ConnectionLoanController(self)
        self.table_sync = tablesync.TableSyncController(self)
        self.gossip = gossip.GossipController(self)
        self.sampling = sampling.SamplingController(self)
        self.duty = duty.DutyController(self)
        self.failover = failover.FailoverController(self)
        self.heard_elsewhere = {}
        self._readers_of = None
        self._readers = []
        self.stopping = False
        self._isolated_at = None
        self._seasoned_from = 0.0
        self.started_at = clock.now()
        self._tasks = set()

    @property
    def registered(self):
        """Return whether the store lists this instance as it is now."""
        return self.leaders.members.get(self.me.name) == self.me

    @property
    def seasoned(self):
        """Return whether all others know this instance.

        One that registers anew may change no primary until every lease
        that was given without its promise has lapsed.
        """
        return self.links.boot_time() >= self._seasoned_from

    @property
    def ready(self):
        """Return whether new sessions should come here."""
        known = bool(self.directory.table.version)
        return known and not self.stopping and not self.isolated

    @property
    def isolated(self):
        """Return whether neither the store nor another place is reached.

        Callers of this instance are then better served elsewhere.
        """
        return self._isolated_at is not None

    @property
    def isolated_s(self):
        """Return for how long this instance has been isolated."""
        if self._isolated_at is None:
            return 0.0
        return clock.now() - self._isolated_at

    def _judge_isolation(self):
        """Compare what was heard lately with what should have been."""
        far = any(
            member.data_centre != self.me.data_centre
            for member in self.leaders.members.values()
        )
        age_s = self.leaders.book.age_s(self.links.boot_time())
        isolated = (
            far
            and age_s > ISOLATED_AGE_S
            and clock.now() - self.gossip.remote_reply_at > FAR_SILENT_S
            and self.gossip.remote_failures >= FAR_FAILURES
        )
        if isolated == self.isolated:
            return
        self._isolated_at = clock.now() if isolated else None
        event(
            log.warning if isolated else log.notice,
            "isolated" if isolated else "not_isolated",
            knowledge_age_s=age_s,
        )

    def reads_for_others(self):
        """Return whether this instance follows the store for others too."""
        members = self.leaders.members
        if not members:
            return False
        if not self.gossip.is_large or self.duty.held:
            return True
        if self._readers_of is not members:
            self._readers_of = members
            ranked = homes.rank(members.values(), "readers")
            self._readers = ranked[: directory.READER_COUNT]
        return self.me in self._readers

    def other_members(self):
        """Return all other registered instances."""
        return [
            member
            for member in self.leaders.members.values()
            if member.name != self.me.name
        ]

    def spawn(self, coroutine):
        """Run a coroutine beside the requests."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            event(
                log.error, "task_failed", error=f"{type(exc).__name__} {exc}"
            )

    def start(self):
        """Start to follow the store, and everything that follows from it."""
        for run in (
            *self.directory.runners(),
            self._register,
            self.gossip.run,
            self.duty.run,
            self.failover.run,
            self.sampling.run,
            self.connection_loans.run_loan_reclaim,
            self._sweep_forever,
        ):
            self.spawn(self._keep_running(run))
        event(log.notice, "instance_started", instance=self.me.name)

    async def _keep_running(self, run):
        """Run a loop, and start it anew should an error end it."""
        while True:
            try:
                await run()
            except (Exception, asyncio.CancelledError) as exc:
                # Something that the loop waited for may be cancelled, and
                # not the loop itself.
                if asyncio.current_task().cancelling():
                    raise
                event(
                    log.error,
                    "loop_failed",
                    loop=run.__qualname__,
                    error=f"{type(exc).__name__} {exc}",
                )
            await clock.pause(LOOP_RESTART_S)

    async def _sweep_forever(self):
        await clock.run_forever(self._sweep, SWEEP_S)

    async def _register(self):
        """Keep this instance's record in the store, for ever."""
        value = {
            "address": self.me.address,
            "data_centre": self.me.data_centre,
        }
        while True:
            if not self.registered and not self.stopping:
                try:
                    await self._put_record(value)
                except exceptions.StoreUnavailable as exc:
                    event(log.debug, "register_failed", error=exc)
                except (
                    exceptions.StoreConflict,
                    exceptions.RecordMissing,
                ) as exc:
                    event(log.debug, "register_again", error=exc)
            await clock.pause(REGISTER_RETRY_S * self.rng.uniform(0.8, 1.2))

    async def _put_record(self, value):
        await self.leaders.read()
        known = self.leaders.member_records.get(self.me.name)
        if known is not None and known.member == self.me:
            return
        key = leaders.member_key(self.me.name)
        if known is not None:
            await self.links.store.replace(
                links.LEADERS, key, value, known.revision
            )
        else:
            self._seasoned_from = self.links.boot_time() + leases.EXTENDED_S
            await self.links.store.create(links.LEADERS, key, value)
        await self.leaders.read()
        event(log.notice, "instance_registered", instance=self.me.name)

    async def _sweep(self):
        self.directory.sweep()
        self.target_pools.sweep()
        self.health.retain_only(self.directory.targets)
        self._judge_isolation()
        await self.leaders.check_leases()

    def loads(self, group):
        """Return the `TargetLoad` of each target that takes work."""
        now = clock.now()
        known = self.leaders.latest(group)
        leader = known.target if known else ""
        found = []
        for target in self.directory.active_targets(group):
            one = self.health.of(target.name)
            found.append(
                placement.TargetLoad(
                    name=target.name,
                    data_centre=target.data_centre,
                    primary=target.name == leader,
                    outstanding=len(one.outstanding),
                    wait_s=one.mean_response_s,
                    applied=one.applied,
                    applied_age_s=now - one.applied_at,
                    troubled=one.unresponsive_s(now) > 0
                    or self.connection_loans.is_data_centre_unreachable(
                        target.data_centre
                    ),
                )
            )
        return found

    def leaders_heard_s(self):
        """Return for each leading target how long ago it was heard."""
        now = clock.now()
        found = {}
        for known in self.leaders.book.leaderships.values():
            heard_at = self.health.of(known.target).last_answer_at
            if heard_at > float("-inf"):
                found[known.target] = now - heard_at
        return found

    def leaders_silent_s(self):
        """Return the leading targets that fail to answer, since when."""
        now = clock.now()
        found = {}
        for known in self.leaders.book.leaderships.values():
            silent_s = self.health.of(known.target).unresponsive_s(now)
            if silent_s:
                found[known.target] = silent_s
        return found

    async def ask_target(
        self, target, order, patience_s, leadership=None, direct=True
    ):
        """Ask a target something that no caller asked.

        Parameters
        ----------
        target : ServingTarget
            Whom.
        order : Order
            What.
        patience_s : float
            Seconds to wait.
        leadership : Leadership, optional
            Under which the target's position counts as a sample.
        direct : bool
            Whether to ask on a connection of this instance, so that the
            answer also tells whether this instance reaches the target.

        Raises
        ------
        NotRunError, AnswerLost
        """
        until = clock.now() + patience_s
        if direct:
            pool = self.target_pools.pool(target)
            lent = await pool.borrow(until)
            conn = connections.LocalConnection(self, pool, lent)
            if leadership is not None and self.leaders.is_valid(leadership):
                self.leaders.begin_work(leadership)
                conn.leadership = leadership
        else:
            conn = await self.connection_loans.acquire(
                target, until, leadership=leadership
            )
        try:
            answer = await conn.execute(order, until)
        except BaseException:
            conn.release(usable=False)
            raise
        conn.release()
        return answer

    async def status(self, target, patience_s, leadership=None, direct=True):
        """Return a target's `TargetReport`; see `ask_target`."""
        order = statements.Order(statements.Status())
        answer = await self.ask_target(
            target, order, patience_s, leadership, direct
        )
        report = self.links.targets.status(answer)
        if report is None:
            problem = answer.problem.value if answer.problem else "no row"
            raise exceptions.NotRunError(f"{target.name}: {problem}")
        return report

    async def halt(self):
        """Stop every loop and close every connection."""
        for task in list(self._tasks):
            task.cancel()
        self.target_pools.close()
