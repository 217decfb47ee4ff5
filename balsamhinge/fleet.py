"""One instance of a fleet and its controllers."""

import asyncio
import random

import logbook

from balsamhinge.controllers import acknowledged
from balsamhinge.controllers import clock
from balsamhinge.controllers.customerlimits import controller as limits
from balsamhinge.controllers.customers import controller as customers
from balsamhinge.controllers import customerusage
from balsamhinge.controllers import directory
from balsamhinge.controllers import duty
from balsamhinge.controllers import failover
from balsamhinge.controllers import gossip
from balsamhinge.controllers import health
from balsamhinge.controllers import leaders
from balsamhinge.controllers import restoration
from balsamhinge.controllers import sampling
from balsamhinge.controllers import storedrecords
from balsamhinge.controllers import storehealth
from balsamhinge.controllers import succession
from balsamhinge.controllers import tablesync
from balsamhinge.controllers import targetpools
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import customers as customers_module
from balsamhinge.policy import leases
from balsamhinge.policy import loans
from balsamhinge.policy import ownership
from balsamhinge.policy import replicalag
from balsamhinge.policy import statements
from balsamhinge.policy import targetselection
from balsamhinge.sessions import connectionloans
from balsamhinge.sessions import connections

__all__ = ["FleetInstance"]

SWEEP_INTERVAL_S = 0.1
REGISTER_RETRY_INTERVAL_S = 0.3
# Interval of the check whether the record of a registered instance is still
# there.
REGISTERED_CHECK_INTERVAL_S = 1.0
# Age of the list of registered instances from which an instance reads the
# store, although others do: gossip has not told it of all changes.
MAX_REGISTRATIONS_AGE_S = 6.0
# Delay before the restart of a loop that an unexpected error ended.
LOOP_RESTART_DELAY_S = 0.5
# An instance is isolated if its last store read is older than this and no
# other data centre has answered for `ISOLATED_MIN_REMOTE_SILENCE_S`: two polls
# of the store and two gossip rounds have failed by then.
ISOLATED_MIN_STORE_AGE_S = 0.9
ISOLATED_MIN_REMOTE_SILENCE_S = 0.8
# Failed calls to other data centres that are also required: in a large
# fleet few calls are made, so time without an answer proves little.
ISOLATED_MIN_REMOTE_FAILURES = 2

log = logbook.Logger(__name__)


class FleetInstance:
    """State and background controllers of one instance of a fleet.

    Parameters
    ----------
    me : Member
        This instance.
    dependencies : FleetDependencies
        External dependencies.
    seed : int
        Seed of all random choices.
    customer_settings : CustomerSettings
        Settings for keys and rate limits.
    target_settings : TargetSettings
        How targets are used, and how statements wait for them.

    Attributes
    ----------
    reported_response_times : dict of str to float
        By primary, the monotonic time of its last answer to any other
        instance, as reported by gossip.
    stopping : bool
        Whether the instance is shutting down.
    shutdown : ShutdownSchedule or None
        When a graceful shutdown stops accepting each kind of work.
    """

    def __init__(
        self,
        me,
        dependencies,
        seed=0,
        customer_settings=customers_module.CustomerSettings(),
        target_settings=loans.TargetSettings(),
    ):
        self.me = me
        self.customer_settings = customer_settings
        self.target_settings = target_settings
        self.dependencies = dependencies
        self.rng = random.Random(f"{seed}/{me.name}")
        self.store_health = storehealth.StoreHealth(dependencies.boot_time)
        self.directory = directory.DirectoryController(
            dependencies.store,
            self.store_health,
            self.is_store_reader,
            self.is_reserve_reader,
            f"{seed}/{me.name}",
        )
        self.customer_usage = customerusage.CustomerUsage()
        self.customers = customers.CustomersController(self)
        self.health = health.HealthController()
        self.leaders = leaders.LeadersController(
            dependencies.store,
            self.store_health,
            me,
            dependencies.boot_time,
        )
        self.target_pools = targetpools.TargetPoolsController(
            me,
            dependencies.targets,
            self.health,
            self.directory,
            self.leaders,
            target_settings,
        )
        self.target_pools.record_wait = self.customer_usage.record_wait
        self.connection_loans = connectionloans.ConnectionLoanController(self)
        self.customer_limits = limits.CustomerLimitsController(self)
        self.table_sync = tablesync.TableSyncController(self)
        self.acknowledged = acknowledged.AcknowledgedController(self)
        self.gossip = gossip.GossipController(self)
        self.sampling = sampling.SamplingController(self)
        self.duty = duty.DutyController(self)
        self.succession = succession.SuccessionController(self)
        self.leaders.listing_merged = self.duty.merge_listing
        self.failover = failover.FailoverController(self)
        self.restoration = restoration.RestorationController(self)
        self.reported_response_times = {}
        # Table for which `_last_customer_priority` holds.
        self._priority_table = None
        self._last_customer_priority = 0
        # `ReplicaLag` by target.
        self._lags = {}
        self._reader_members = None
        self._readers = []
        self.stopping = False
        self.shutdown = None
        self._isolated_at = None
        self._may_change_primaries_from = 0.0
        # Whether a record of this instance may be created at any time.
        self._creating_record = False
        self.started_at = clock.now()
        self._tasks = set()

    @property
    def registered(self):
        """Return whether the store holds this instance's current record."""
        return self.leaders.is_registered

    @property
    def may_change_primaries(self):
        """Return whether this instance may change primaries.

        After a new registration it must wait until every primary lease
        that was extended without its promise has expired.
        """
        now = self.dependencies.boot_time()
        return (
            not self._creating_record
            and now >= self._may_change_primaries_from
        )

    @property
    def may_change_primaries_from(self):
        """Boot seconds of the end of that wait.

        0 if the instance found its own registration when it started.
        """
        return self._may_change_primaries_from

    @property
    def ready(self):
        """Return whether new sessions should be sent to this instance."""
        has_table = bool(self.directory.table.version)
        if not has_table or self.stopping or self.isolated:
            return False
        # Without a lease it refuses all keys. Another instance may have one.
        return not (self.customers.has_lapsed and self.other_members())

    def awaited_targets(self, group):
        """Return what the change of a group's primary waits for.

        Parameters
        ----------
        group : str
            The group.

        Returns
        -------
        str
            Names of targets that alone may hold acknowledged commits, and
            whose answer the holder of the promotion duty awaits; "" if no
            change is known to wait.
        """
        if self.duty.held:
            return self.failover.successors.awaited.get(group, "")
        message = self.gossip.last_messages.get(self.duty.holder)
        return message.awaited.get(group, "") if message else ""

    @property
    def isolated(self):
        """Return whether the store and all other data centres are lost.

        Callers should then use another instance.
        """
        return self._isolated_at is not None

    @property
    def isolated_s(self):
        """Return the seconds for which this instance has been isolated."""
        if self._isolated_at is None:
            return 0.0
        return clock.now() - self._isolated_at

    def _update_isolation(self):
        """Update `isolated` from the last store read and remote replies."""
        has_remote_members = any(
            member.data_centre != self.me.data_centre
            for member in self.leaders.members.values()
        )
        age_s = self.leaders.book.read_age_s(self.dependencies.boot_time())
        isolated = (
            has_remote_members
            and age_s > ISOLATED_MIN_STORE_AGE_S
            and clock.now() - self.gossip.remote_reply_at
            > ISOLATED_MIN_REMOTE_SILENCE_S
            and self.gossip.remote_failures >= ISOLATED_MIN_REMOTE_FAILURES
        )
        if isolated == self.isolated:
            return
        self._isolated_at = clock.now() if isolated else None
        event(
            log.warning if isolated else log.notice,
            "isolated" if isolated else "not_isolated",
            knowledge_age_s=age_s,
        )

    def begin_shutdown(self, schedule):
        """Begin a graceful shutdown and announce it to other instances.

        Parameters
        ----------
        schedule : ShutdownSchedule
            When which work is no longer accepted.
        """
        self.stopping = True
        self.shutdown = schedule
        self.spawn(self.gossip.announce_stop())

    def is_store_reader(self):
        """Return whether this instance reads the store for the fleet.

        In a large fleet only a few instances read it and pass the
        records on by gossip.
        """
        members = self.leaders.members
        if not members:
            return False
        if not self.gossip.is_large or self.duty.held:
            return True
        if self._reader_members is not members:
            self._reader_members = members
            ranked = ownership.rank_members(members.values(), "readers")
            self._readers = ranked[: directory.READER_COUNT]
        return self.me in self._readers

    def is_reserve_reader(self):
        """Return whether another instance is the first to read the store.

        In a large fleet all exchange gossip with the holder of the duty
        first.
        """
        if not self.gossip.is_large or self.duty.held:
            return False
        if self.gossip.is_silent(self.duty.holder):
            return False
        return self.is_store_reader()

    def other_members(self):
        """Return all registered instances but this one."""
        return [
            member
            for member in self.leaders.members.values()
            if member.name != self.me.name
        ]

    def spawn(self, coroutine):
        """Run a coroutine as a background task; log its error."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            exc = task.exception()
            event(
                log.error, "task_failed", error=f"{type(exc).__name__} {exc}"
            )

    def start(self):
        """Start all background loops."""
        for run in (
            *self.directory.runners(),
            *self.customers.runners(),
            self._register,
            self.gossip.run,
            self.duty.run,
            self.failover.run,
            self.sampling.run,
            self.connection_loans.run_loan_reclaim,
            self._run_sweep,
        ):
            self.spawn(self._run_with_restarts(run))
        event(log.notice, "instance_started", instance=self.me.name)

    async def _run_with_restarts(self, run):
        """Run a loop, and restart it whenever an error ends it."""
        while True:
            try:
                await run()
            except (Exception, asyncio.CancelledError) as exc:
                # The cancelled task may be one that the loop awaited
                # instead of the loop itself.
                if asyncio.current_task().cancelling():
                    raise
                event(
                    log.error,
                    "loop_failed",
                    loop=run.__qualname__,
                    error=f"{type(exc).__name__} {exc}",
                )
            await clock.pause(LOOP_RESTART_DELAY_S)

    async def _run_sweep(self):
        await clock.run_forever(self._sweep, SWEEP_INTERVAL_S)

    async def _register(self):
        """Write this instance's record to the store whenever it is missing."""
        value = {
            "address": self.me.address,
            "data_centre": self.me.data_centre,
        }
        while True:
            due = (
                not self.registered
                or self._creating_record
                or self._is_member_list_outdated()
            )
            if due and not self.stopping:
                try:
                    await self._write_member_record(value)
                except exceptions.StoreUnavailable as exc:
                    event(log.debug, "register_failed", error=exc)
                except (
                    exceptions.StoreConflict,
                    exceptions.RecordNotFound,
                ) as exc:
                    event(log.debug, "register_again", error=exc)
            interval_s = (
                REGISTERED_CHECK_INTERVAL_S
                if self.registered
                else REGISTER_RETRY_INTERVAL_S
            )
            # A restore of the store may have lost the record.
            await self.store_health.restores.wait(
                interval_s * self.rng.uniform(0.8, 1.2)
            )

    def _is_member_list_outdated(self):
        """Return whether others know of later registrations."""
        now = self.dependencies.boot_time()
        list_age_s = now - self.leaders.registrations.read_at
        return (
            list_age_s > MAX_REGISTRATIONS_AGE_S
            and self.leaders.book.read_age_s(now) < leases.LEASE_S
        )

    async def _write_member_record(self, value):
        """Read the records, and write this instance's own if it is missing."""
        await self.leaders.read()
        if not self.registered:
            key = storedrecords.member_key(self.me.name)
            listed = self.leaders.listing.records.get(key)
            if listed is None:
                self._creating_record = True
                self._postpone_changes()
            await self.leaders.put_record(
                key, value, listed.revision if listed else 0
            )
            await self.leaders.read()
            event(log.notice, "instance_registered", instance=self.me.name)
        if self._creating_record and self.registered:
            # A call without an answer may have been executed late.
            self._postpone_changes()
            self._creating_record = False

    def _postpone_changes(self):
        """Begin no change of a primary for as long as a lease may last."""
        self._may_change_primaries_from = (
            self.dependencies.boot_time() + leases.EXTENDED_LEASE_S
        )

    async def _sweep(self):
        self.directory.sweep()
        self.target_pools.sweep()
        self.customer_usage.retain_only(self.directory.table.customers)
        self.health.retain_only(self.directory.targets)
        self.customer_limits.sweep()
        for name in set(self._lags) - set(self.directory.targets):
            del self._lags[name]
        self._update_isolation()
        await self.leaders.check_leases()

    @property
    def last_customer_priority(self):
        """Priority of the customers that go last; 0 without customers."""
        table = self.directory.table
        if self._priority_table is not table:
            self._priority_table = table
            self._last_customer_priority = max(
                (each.priority for each in table.customers.values()), default=0
            )
        return self._last_customer_priority

    def record_read_position(self, target, position, missing):
        """Record what an answer tells of a replica's lag.

        Parameters
        ----------
        target : ServingTarget
            The target.
        position : LogPosition or None
            Position that it reported.
        missing : LogPosition or None
            Position for which it was asked, if it lacked that.
        """
        entry = self.leaders.position_samples.get(target.group)
        if entry is None:
            return
        now = self.dependencies.boot_time()
        lag = self._lags.setdefault(target.name, replicalag.ReplicaLag())
        if position is not None:
            lag.record_applied(position, entry[1], now)
        if missing is not None:
            lag.record_missing(missing, entry[1], now)

    def loads(self, group, priority=0):
        """Return the `TargetLoad` of each active target of a group.

        Parameters
        ----------
        group : str
            The group.
        priority : int
            Route priority for which waits are predicted.
        """
        now = clock.now()
        boot_now = self.dependencies.boot_time()
        unknown_lag = replicalag.ReplicaLag()
        leadership = self.leaders.latest(group)
        primary_name = leadership.target if leadership else ""
        target_loads = []
        for target in self.directory.active_targets(group):
            target_health = self.health.of(target.name)
            lag = self._lags.get(target.name, unknown_lag)
            wait_s, wait_age_s = self.target_pools.predicted_wait_s(
                target.name, priority
            )
            target_loads.append(
                targetselection.TargetLoad(
                    name=target.name,
                    data_centre=target.data_centre,
                    primary=target.name == primary_name,
                    outstanding=len(target_health.outstanding),
                    extra_response_s=target_health.mean_response_s,
                    applied=target_health.applied,
                    applied_age_s=now - target_health.applied_at,
                    is_degraded=target_health.unresponsive_s(now) > 0
                    or self.connection_loans.is_data_centre_unreachable(
                        target.data_centre
                    ),
                    lag_s=lag.predicted_s(boot_now),
                    queue_wait_s=wait_s,
                    queue_age_s=wait_age_s,
                )
            )
        return target_loads

    def primary_response_ages_s(self):
        """Return the seconds since each primary last answered, by name.

        Primaries that never answered this instance are left out.
        """
        now = clock.now()
        ages_s = {}
        for leadership in self.leaders.book.leaderships.values():
            answered_at = self.health.of(leadership.target).last_answer_at
            if answered_at > float("-inf"):
                ages_s[leadership.target] = now - answered_at
        return ages_s

    def unresponsive_primaries_s(self):
        """Return the seconds for which primaries fail to answer, by name.

        Only primaries that currently fail to answer are included.
        """
        now = clock.now()
        silences_s = {}
        for leadership in self.leaders.book.leaderships.values():
            silent_s = self.health.of(leadership.target).unresponsive_s(now)
            if silent_s:
                silences_s[leadership.target] = silent_s
        return silences_s

    async def query_target(
        self,
        target,
        order,
        timeout_s,
        leadership=None,
        direct=True,
        admitted=False,
    ):
        """Execute an internal statement, not one of a caller, on a target.

        Parameters
        ----------
        target : ServingTarget
            Target to query.
        order : Order
            Statement to execute.
        timeout_s : float
            Seconds to wait for a connection and the answer.
        leadership : Leadership, optional
            Leadership for which the position in the answer is recorded.
        direct : bool
            Whether to use a connection of this instance, never a borrowed
            one, so that the answer also shows whether this instance
            reaches the target.
        admitted : bool
            Whether to ask on a connection of this instance even if the
            target has taken longer to answer lately.

        Raises
        ------
        NotRunError
            If the statement was not executed.
        OutcomeUnknown
            If it was sent and no answer came.
        """
        deadline = clock.now() + timeout_s
        if direct:
            pool = self.target_pools.pool(target)
            lent = await pool.borrow(deadline, admitted=admitted)
            conn = connections.LocalConnection(self, pool, lent)
            if leadership is not None and self.leaders.is_valid(leadership):
                self.leaders.begin_work(leadership)
                conn.leadership = leadership
        else:
            conn = await self.connection_loans.acquire(
                target, deadline, leadership=leadership, monitoring=True
            )
        try:
            answer = await conn.execute(order, deadline)
        except BaseException:
            conn.release(usable=False)
            raise
        conn.release()
        return answer

    async def status(
        self,
        target,
        timeout_s,
        leadership=None,
        direct=True,
        admitted=False,
    ):
        """Query the `TargetReport` of a target; see `query_target`."""
        order = statements.Order(statements.Status())
        answer = await self.query_target(
            target, order, timeout_s, leadership, direct, admitted
        )
        report = self.dependencies.targets.status(answer)
        if report is None:
            problem = answer.problem.value if answer.problem else "no row"
            raise exceptions.NotRunError(
                f"no status from target {target.name}: {problem}"
            )
        return report

    async def halt(self):
        """Cancel all background tasks and close all connections."""
        for task in list(self._tasks):
            task.cancel()
        self.target_pools.close()
