"""Disseminates configuration, members and group views to all instances."""

import asyncio

import attrs
import logbook

from balsamhinge.controllers import clock
from balsamhinge.controllers import configuration
from balsamhinge.controllers import storedobjects
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.policy import disseminationtree
from balsamhinge.policy import views

__all__ = ["DisseminationController"]

MIN_EXCHANGE_INTERVAL_S = 0.5
# Instances of a larger fleet exchange less often, because more peers can
# supply a missing update.
MEMBERS_PER_INTERVAL_SECOND = 2700
EXCHANGE_TIMEOUT_S = 0.5
# Wait and timeout of a watch, and the interval between the starts of two of
# which the first one has failed. A watch that the store has lost looks like
# one without changes until its timeout, and a configuration must be in force
# everywhere within 3 s.
STORE_WATCH_S = 1.5
STORE_WATCH_TIMEOUT_S = 2.25
STORE_RETRY_INTERVAL_S = 1.0
NOT_RELAY_POLL_S = 1.0
RELAY_COUNT = 2

log = logbook.Logger(__name__)


class DisseminationController:
    """Sends changes along a tree and runs anti-entropy with random peers.

    Parameters
    ----------
    dependencies : Dependencies
        Store and peers.
    configuration_ : ConfigurationController
        The operators' configuration.
    members : MembersController
        The list of instances.
    groups : GroupsController
        The group views.
    rng : random.Random
        Source of the choice of peers and of jitter.
    """

    def __init__(self, dependencies, configuration_, members, groups, rng):
        self._dependencies = dependencies
        self._configuration = configuration_
        self._members = members
        self._groups = groups
        self._rng = rng
        self._tasks = set()
        self.configuration_versions = {}

    def start(self):
        """Start the loops on the running loop."""
        self._spawn(self._exchange_forever())
        self._spawn(
            self._relay(interfaces.CONFIGURATION_KEY, self._activate_stored)
        )
        self._spawn(
            self._relay(interfaces.INSTANCES_KEY, self._update_members)
        )

    def stop(self):
        """Cancel the loops and all sends."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def build_message(self, **fields):
        """Return an `AntiEntropyMessage` with the versions held here.

        Parameters
        ----------
        **fields
            Further fields of the message.
        """
        me = self._members.me
        return interfaces.AntiEntropyMessage(
            sender=me.name,
            version=self._configuration.version,
            list_version=self._members.version,
            retired=sorted(self._groups.retired),
            leaving=[me.name] if me.leaving else [],
            **fields,
        )

    def publish_configuration(self, scope=""):
        """Send the configuration in force to other instances.

        Parameters
        ----------
        scope : str
            Data centre to send it to, "" for all.
        """
        self._disseminate(
            self.build_message(text=self._configuration.text, scope=scope)
        )

    def publish_members(self, scope=""):
        """Send the list of instances to other instances.

        Parameters
        ----------
        scope : str
            Data centre to send it to, "" for all.
        """
        platform_list = self._members.platform_inventory()
        self._disseminate(
            self.build_message(platform_list=platform_list, scope=scope)
        )

    def announce_start(self):
        """Inform every instance that this one serves."""
        self._disseminate(self.build_message(returned=[self._members.me.name]))

    async def announce_stop(self):
        """Inform every instance of this one's stop; wait for the sends.

        Without the wait the process of an idle instance would end before
        the messages are sent.
        """
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self._send_to_branches(self.build_message())
        except TimeoutError:
            event(log.warning, "stop_not_announced_everywhere")

    def publish_views(self, changed):
        """Send changed group views to every instance."""
        self._disseminate(self.build_message(views=changed))

    def _disseminate(self, message):
        self._spawn(self._send_to_branches(message))

    async def _send_to_branches(self, message):
        names = self._members.reachable_names()
        if message.scope:
            names = [
                n for n in names if self._is_in_data_centre(n, message.scope)
            ]
        await asyncio.gather(
            *(
                self._send_branch(branch, message)
                for branch in disseminationtree.split_into_branches(
                    names, message.first, message.last
                )
            )
        )

    def _is_in_data_centre(self, name, data_centre):
        member = self._members.get(name)
        return member is not None and member.data_centre == data_centre

    async def _send_branch(self, branch, message):
        # The first instance that answers forwards to the rest of the range.
        for index, name in enumerate(branch.names):
            rest = branch.names[index + 1 :]
            ends = (rest[0], rest[-1]) if rest else (name, name)
            branch_message = attrs.evolve(
                message,
                sender=self._members.me.name,
                first=ends[0],
                last=ends[1],
            )
            if await self._send(name, branch_message) is not None:
                return

    async def _send(self, name, message):
        member = self._members.get(name)
        if member is None:
            return None
        try:
            answer = await self._dependencies.peers.exchange(
                member, message, EXCHANGE_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            self._members.mark_unreachable(name)
            return None
        self._members.mark_reachable(name)
        self.merge_message(answer)
        return answer

    async def handle_message(self, message):
        """Merge another instance's message and return the answer."""
        self._members.mark_reachable(message.sender)
        self.merge_message(message)
        if not message.digests:
            # Forwarded also if it contained nothing new here. Forwarding
            # ends because the range shrinks with each hop.
            if message.first:
                self._disseminate(message)
            return self.build_message()
        return self._build_difference(message)

    def _build_difference(self, message):
        """Return a message with what the sender of a digest lacks."""
        fields = {}
        if message.version < self._configuration.version:
            fields["text"] = self._configuration.text
        if message.list_version < self._members.version:
            fields["platform_list"] = self._members.platform_inventory()
        own_views = self._groups.views()
        digests = list(self._groups.digests)
        differing = {
            bucket
            for bucket, digest in enumerate(message.digests)
            if digest != digests[bucket]
        }
        fields["views"] = [
            view
            for view in own_views
            if views.bucket_of(view.group) in differing
        ]
        return self.build_message(digests=digests, **fields)

    def merge_message(self, message):
        """Merge everything in a message that is newer than the own state."""
        self.configuration_versions[message.sender] = message.version
        if message.text is not None:
            self._activate(message.version, message.text)
        if message.platform_list is not None:
            self._members.update(message.list_version, message.platform_list)
        for view in message.views:
            self._groups.merge_view(view)
        self._groups.add_retired(message.retired)
        self._members.add_leaving(message.leaving)
        self._members.mark_returned(message.returned)
        if message.sender not in message.leaving:
            self._members.mark_returned([message.sender])

    async def _exchange_forever(self):
        while True:
            await self._exchange_once()
            members = len(self._members.listed())
            interval_s = max(
                MIN_EXCHANGE_INTERVAL_S, members / MEMBERS_PER_INTERVAL_SECOND
            )
            # Jitter keeps instances that started together out of step.
            await clock.pause(interval_s * self._rng.uniform(0.8, 1.2))

    async def _exchange_once(self):
        names = self._members.reachable_names()
        chosen = self._rng.sample(names, 1) if names else []
        unreachable = self._members.unreachable_names()
        chosen += self._rng.sample(unreachable, 1) if unreachable else []
        await asyncio.gather(*(self.exchange_digests(name) for name in chosen))

    async def exchange_digests(self, name):
        """Compare state with one instance and exchange the differences."""
        digests = list(self._groups.digests)
        answer = await self._send(name, self.build_message(digests=digests))
        if answer is None or not answer.digests:
            return
        missing = self._build_difference(answer)
        if missing.text or missing.platform_list or missing.views:
            await self._send(name, attrs.evolve(missing, digests=[]))

    async def _relay(self, key, on_change):
        """Watch an object of the store while this instance is a relay.

        Parameters
        ----------
        key : str
            Store key of the object.
        on_change : callable
            Called with each new version of the object.
        """
        version = 0
        while True:
            if self._members.me.name not in self._members.relay_names(
                RELAY_COUNT
            ):
                await self._members.changes.wait(NOT_RELAY_POLL_S)
                continue
            started_at = clock.now()
            try:
                stored = await self._dependencies.store.watch(
                    key, version, STORE_WATCH_S, STORE_WATCH_TIMEOUT_S
                )
            except exceptions.StoreUnavailable as exc:
                elapsed_s = clock.now() - started_at
                event(
                    log.info,
                    "store_watch_failed",
                    key=key,
                    seconds=elapsed_s,
                    error=exc,
                )
                interval_s = STORE_RETRY_INTERVAL_S * self._rng.uniform(
                    0.5, 1.5
                )
                await clock.pause(max(0.0, interval_s - elapsed_s))
                continue
            if stored is not None:
                version = max(version, stored.version)
                on_change(stored)

    def _activate_stored(self, stored):
        text = configuration.decode_configuration(stored)
        if self._activate(stored.version, text):
            self.publish_configuration(self._members.me.data_centre)

    def _activate(self, version, text):
        """Activate a configuration unless it has findings.

        A configuration is checked before it is accepted, but possibly by
        an instance of another release with other checks.
        """
        try:
            return self._configuration.activate(version, text)
        except exceptions.ConfigurationError as exc:
            event(
                log.error, "configuration_refused", version=version, error=exc
            )
            return False

    def _update_members(self, stored):
        platform_list = storedobjects.decode(
            interfaces.INSTANCES_KEY, stored, interfaces.PlatformInventory
        )
        if platform_list is None:
            return
        if self._members.update(stored.version, platform_list):
            self.publish_members(self._members.me.data_centre)

    async def catch_up(self, names):
        """Get the current state from several instances after a start."""
        await asyncio.gather(*(self.exchange_digests(name) for name in names))
