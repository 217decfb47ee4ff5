"""Brings configuration, members and views to every instance."""

import asyncio

import attrs
import logbook
import msgspec

from balsamhinge.controllers import clock
from balsamhinge.controllers import configuration
from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.logs import event
from balsamhinge.policy import spread
from balsamhinge.policy import views

__all__ = ["DisseminationController"]

LEAST_INTERVAL_S = 0.5
# Members for each second between two exchanges: what one instance lacks, a
# larger fleet has more chances to bring.
MEMBERS_PER_SECOND = 2700
EXCHANGE_TIMEOUT_S = 0.5
WATCH_S = 20.0
STORE_RETRY_S = 1.0
IDLE_S = 1.0
RELAYS = 2

log = logbook.Logger(__name__)


class DisseminationController:
    """Pushes changes along a tree and compares notes with random peers.

    Parameters
    ----------
    links_ : Links
        The store and the peers.
    text : ConfigurationController
        The operators' text, which is spread.
    members, groups : controllers
        What else is spread.
    rng : random.Random
        Chooses peers and jitter.
    """

    def __init__(self, links_, text, members, groups, rng):
        self._links = links_
        self._configuration = text
        self._members = members
        self._groups = groups
        self._rng = rng
        self._tasks = set()
        self.configuration_versions = {}

    def start(self):
        """Start the loops on the running loop."""
        self._spawn(self._exchange_forever())
        self._spawn(self._relay(links.CONFIGURATION_KEY, self._take_text))
        self._spawn(self._relay(links.INSTANCES_KEY, self._take_members))

    def stop(self):
        """Stop the loops at once."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def build_message(self, **fields):
        """Return an `Exchange` with what this instance holds."""
        me = self._members.me
        return links.Exchange(
            sender=me.name,
            version=self._configuration.version,
            list_version=self._members.version,
            retired=sorted(self._groups.retired),
            leaving=[me.name] if me.leaving else [],
            **fields,
        )

    def publish_configuration(self, scope=""):
        """Push the configuration in force to other instances."""
        self._push(
            self.build_message(text=self._configuration.text, scope=scope)
        )

    def publish_members(self, scope=""):
        """Push the list of instances to other instances."""
        platform_list = self._members.platform_inventory()
        self._push(
            self.build_message(platform_list=platform_list, scope=scope)
        )

    def announce_start(self):
        """Tell every instance that this one serves."""
        self._push(self.build_message(returned=[self._members.me.name]))

    async def announce_stop(self):
        """Tell of this instance's stop, and wait until that has left.

        An instance without work ends at once, and its news with it.
        """
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self._pass_on(self.build_message())
        except TimeoutError:
            event(log.warning, "stop_not_announced_everywhere")

    def publish_views(self, changed):
        """Push changed views to every instance."""
        self._push(self.build_message(views=changed))

    def _push(self, message):
        self._spawn(self._pass_on(message))

    async def _pass_on(self, message):
        names = self._members.reachable_names()
        if message.scope:
            names = [n for n in names if self._is_near(n, message.scope)]
        await asyncio.gather(
            *(
                self._send_branch(branch, message)
                for branch in spread.branches(
                    names, message.first, message.last
                )
            )
        )

    def _is_near(self, name, data_centre):
        member = self._members.get(name)
        return member is not None and member.data_centre == data_centre

    async def _send_branch(self, branch, message):
        # The first that answers takes the rest of the range.
        for index, name in enumerate(branch.names):
            rest = branch.names[index + 1 :]
            ends = (rest[0], rest[-1]) if rest else (name, name)
            part = attrs.evolve(
                message,
                sender=self._members.me.name,
                first=ends[0],
                last=ends[1],
            )
            if await self._send(name, part) is not None:
                return

    async def _send(self, name, message):
        member = self._members.get(name)
        if member is None:
            return None
        try:
            answer = await self._links.peers.exchange(
                member, message, EXCHANGE_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            self._members.mark_unreachable(name)
            return None
        self._members.mark_reachable(name)
        self.merge_message(answer)
        return answer

    async def handle_message(self, message):
        """Take another instance's message and return the answer."""
        self._members.mark_reachable(message.sender)
        self.merge_message(message)
        if not message.digests:
            # The ranges of a push get shorter with each step, so that it
            # ends, also where it brings nothing new.
            if message.first:
                self._push(message)
            return self.build_message()
        return self._difference(message)

    def _difference(self, message):
        """Return what the sender of a digest lacks."""
        fields = {}
        if message.version < self._configuration.version:
            fields["text"] = self._configuration.text
        if message.list_version < self._members.version:
            fields["platform_list"] = self._members.platform_inventory()
        mine = self._groups.views()
        digests = list(self._groups.digests)
        differing = {
            bucket
            for bucket, digest in enumerate(message.digests)
            if digest != digests[bucket]
        }
        fields["views"] = [
            view for view in mine if views.bucket_of(view.group) in differing
        ]
        return self.build_message(digests=digests, **fields)

    def merge_message(self, message):
        """Take whatever is newer."""
        self.configuration_versions[message.sender] = message.version
        if message.text is not None:
            self._learn_text(message.version, message.text)
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
            interval_s = max(LEAST_INTERVAL_S, members / MEMBERS_PER_SECOND)
            # Instances that started together do not act together.
            await clock.pause(interval_s * self._rng.uniform(0.8, 1.2))

    async def _exchange_once(self):
        names = self._members.reachable_names()
        chosen = self._rng.sample(names, 1) if names else []
        silent = self._members.unreachable_names()
        chosen += self._rng.sample(silent, 1) if silent else []
        await asyncio.gather(*(self.exchange_digests(name) for name in chosen))

    async def exchange_digests(self, name):
        """Exchange digests with one instance, both ways."""
        digests = list(self._groups.digests)
        answer = await self._send(name, self.build_message(digests=digests))
        if answer is None or not answer.digests:
            return
        missing = self._difference(answer)
        if missing.text or missing.platform_list or missing.views:
            await self._send(name, attrs.evolve(missing, digests=[]))

    async def _relay(self, key, take):
        """Watch an object of the store while this instance is a relay."""
        version = 0
        while True:
            if self._members.me.name not in self._members.relay_names(RELAYS):
                await self._members.changes.wait(IDLE_S)
                continue
            try:
                stored = await self._links.store.watch(key, version, WATCH_S)
            except exceptions.StoreUnavailable:
                await clock.pause(STORE_RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            if stored is not None:
                version = max(version, stored.version)
                take(stored)

    def _take_text(self, stored):
        text = configuration.decode_configuration(stored)
        if self._learn_text(stored.version, text):
            self.publish_configuration(self._members.me.data_centre)

    def _learn_text(self, version, text):
        """Put a text in force; keep the one in force if it has findings.

        An accepted text has none, but an instance of another release may
        check more or less.
        """
        try:
            return self._configuration.activate(version, text)
        except exceptions.ConfigurationError as exc:
            event(
                log.error, "configuration_refused", version=version, error=exc
            )
            return False

    def _take_members(self, stored):
        found = msgspec.json.decode(stored.value, type=links.PlatformList)
        if self._members.update(stored.version, found):
            self.publish_members(self._members.me.data_centre)

    async def catch_up(self, names):
        """Ask several instances at once, after a start with nothing."""
        await asyncio.gather(*(self.exchange_digests(name) for name in names))
