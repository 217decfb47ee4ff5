"""The controllers of one instance, without its interfaces."""

import asyncio
import random

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import configuration
from balsamhinge.controllers import confirmations
from balsamhinge.controllers import control
from balsamhinge.controllers import dissemination
from balsamhinge.controllers import groups
from balsamhinge.controllers import limiters
from balsamhinge.controllers import members
from balsamhinge.controllers import monitoring
from balsamhinge.controllers import promotions
from balsamhinge.controllers import replicaprogress
from balsamhinge.controllers import retention
from balsamhinge.controllers import transactions
from balsamhinge import exceptions
from balsamhinge.filters import entry
from balsamhinge.filters import owner
from balsamhinge import interfaces
from balsamhinge.logs import event

__all__ = ["Core", "Options"]

CATCH_UP_PEER_COUNT = 5
STORE_START_TIMEOUT_S = 2.0
DRAIN_POLL_INTERVAL_S = 0.02
CLOSE_UNOWNED_INTERVAL_S = 2.0

log = logbook.Logger(__name__)


@attrs.frozen
class Options:
    """Options of an instance.

    Parameters
    ----------
    token_key : bytes
        Key that seals session tokens, the same on all instances.
    baseline : bool
        Whether to use the simplest policy, as a baseline for comparison:
        every instance opens its own share of the connections, requests
        run first in, first out, none is refused, and only aged reads go
        to replicas.
    baseline_instances : int
        Number of instances that divide the connections in the baseline.
    seed : int
        Seed of all random choices.
    probes_per_second : float
        Maximum rate of target probes in 1/s.
    """

    token_key: bytes
    baseline: bool = False
    baseline_instances: int = 0
    seed: int = 0
    probes_per_second: float = 90.0


class Core:
    """One instance: its controllers and its filter chains for requests.

    Parameters
    ----------
    me : Member
        This instance.
    dependencies : Dependencies
        Store, peers, targets and clock of the instance.
    options : Options
        Options of the instance.
    seeds : list of Member
        Instances from the settings, used until a list arrives.
    """

    def __init__(self, me, dependencies, options, seeds=()):
        self.dependencies = dependencies
        self.options = options
        self.rng = random.Random(f"{options.seed}/{me.name}")
        self.configuration = configuration.ConfigurationController(
            dependencies.store
        )
        self.members = members.MembersController(me, seeds, options.baseline)
        self.groups = groups.GroupsController()
        self.control = control.ControlConnections(dependencies.targets)
        self.confirmations = confirmations.ConfirmationsController(
            self.control
        )
        self.replica_progress = replicaprogress.ReplicaProgressController(
            self.control
        )
        self.limiters = limiters.LimitersController(
            dependencies.targets,
            not options.baseline,
            options.baseline_instances,
        )
        self.transactions = transactions.TransactionsController(me.name)
        self.dissemination = dissemination.DisseminationController(
            dependencies,
            self.configuration,
            self.members,
            self.groups,
            self.rng,
        )
        self.promotions = promotions.PromotionsController(self)
        self.retention = retention.RequestRetentionController(self)
        self.monitoring = monitoring.MonitoringController(self)
        self.owner_chain = owner.OwnerChain(self)
        self.entry = entry.EntryChain(self)
        self.stopping = False
        self.in_flight = 0
        self._tasks = set()

    @property
    def name(self):
        """Name of this instance."""
        return self.members.me.name

    @property
    def ready(self):
        """Whether the instance accepts new requests."""
        return self.configuration.version > 0 and not self.stopping

    def spawn(self, coroutine):
        """Run a coroutine in the background; `halt` cancels it."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self):
        """Get the state of the store and of peers, then start all loops."""
        self.dissemination.start()
        self.transactions.start()
        await self._catch_up()
        self.dissemination.announce_start()
        self.monitoring.start()
        self.retention.start()
        self.spawn(
            clock.run_forever(self._close_unowned, CLOSE_UNOWNED_INTERVAL_S)
        )
        event(
            log.info,
            "instance_started",
            instance=self.name,
            configuration=self.configuration.version,
        )

    async def _close_unowned(self):
        await self.limiters.close_unowned(self.members.is_owner)

    async def _catch_up(self):
        try:
            async with asyncio.timeout(STORE_START_TIMEOUT_S):
                stored = await self.dependencies.store.get(
                    interfaces.CONFIGURATION_KEY
                )
            self.configuration.activate_stored(stored)
        except (TimeoutError, exceptions.StoreUnavailable) as exc:
            event(log.warning, "store_unavailable_at_start", error=exc)
        except exceptions.ConfigurationError as exc:
            event(log.error, "configuration_refused", error=exc)
        others = self.members.reachable_names()
        chosen = self.rng.sample(others, min(CATCH_UP_PEER_COUNT, len(others)))
        await self.dissemination.catch_up(chosen)

    async def stop(self, patience_s):
        """Stop gracefully, after the requests in flight have ended.

        Parameters
        ----------
        patience_s : float
            Maximum wait in seconds for requests and open transactions.
        """
        self.stopping = True
        self.members.mark_self_leaving()
        await self.dissemination.announce_stop()
        deadline = clock.now() + patience_s
        while self.in_flight or len(self.transactions):
            if clock.now() >= deadline:
                event(
                    log.warning,
                    "stopped_with_work_open",
                    in_flight=self.in_flight,
                    transactions=len(self.transactions),
                )
                break
            await clock.pause(DRAIN_POLL_INTERVAL_S)
        await self.halt()

    async def halt(self):
        """Stop every loop and close every connection."""
        self.monitoring.stop()
        self.retention.stop()
        self.dissemination.stop()
        self.transactions.stop()
        for task in list(self._tasks):
            task.cancel()
        await self.limiters.close()
        await self.control.close()

    def is_leaving(self, target):
        """Return whether a target must get no new work."""
        listed = target in self.members.leaving_targets
        return listed or self.configuration.plan.is_leaving(target)

    def staying_targets(self, group):
        """Return the names of a group's targets that are not leaving."""
        names = self.configuration.plan.groups[group].targets
        return [name for name in names if not self.is_leaving(name)]

    async def apply_configuration(self, text, base, author):
        """Accept an edit of the configuration and disseminate it.

        Takes the arguments of `ConfigurationController.apply` except
        `retired`, and raises the same errors.
        """
        applied = await self.configuration.apply(
            text, base, author, self.groups.retired
        )
        self.dissemination.publish_configuration()
        return applied

    def observe_primary(self, group):
        """Return this instance's `PrimaryObservation` of a group's primary."""
        view = self.groups.view(group)
        silent_s = min(self.monitoring.primary_silence_s(group), 1e9)
        return interfaces.PrimaryObservation(group, view.term, silent_s)
