"""Exchanges state between instances by gossip."""

import asyncio
import random
import secrets

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import gossipmessages
from balsamhinge.policy import leases
from balsamhinge.policy import ownership
from balsamhinge.policy import peerpromises
from balsamhinge.policy import revisions

__all__ = ["GossipController"]

# Three exchanges fit into a lease after a read of the store.
ROUND_INTERVAL_S = 0.38
# In a healthy large fleet most rounds contact only the holder of the
# promotion duty, and rounds are less frequent: gossip was nearly half of the
# traffic between data centres on a day without faults.
LARGE_FLEET_ROUND_INTERVAL_S = 0.6
# One round in this many contacts other instances as well.
HOLDER_ONLY_CYCLE_ROUNDS = 4
# Time after the start in which an instance does not contact all others: a
# fleet that starts would exchange its new records between all pairs.
STARTUP_S = 2.0
# A reachable peer answers within milliseconds; one that takes much longer
# is busy or isolated.
CALL_TIMEOUT_S = 0.35
# Instances of other data centres contacted in a healthy round, besides the
# holder of the duty; limits the traffic between data centres.
MAX_REMOTE_PEERS = 2
# Instances of the local data centre contacted in a healthy round.
MAX_LOCAL_PEERS = 4
# The same in a large fleet, where most rounds contact the holder only.
MAX_LOCAL_PEERS_LARGE_FLEET = 1
# Instances contacted in a degraded round: the whole fleet at its present
# size, as promises of all instances extend leases.
MAX_DEGRADED_PEERS = 16
# In a degraded round of a large fleet the holder passes on the promises of
# all, and only a few others are contacted: 16 for each instance would be
# thousands of calls a second.
MAX_DEGRADED_PEERS_LARGE_FLEET = 3
# Instances of a large fleet, besides the holder of the duty, that an instance
# tells of its stop.
MAX_PEERS_TOLD_OF_STOP = 8
# The fleet counts as degraded when the lease knowledge is older than this,
# or the holder is silent.
MAX_KNOWLEDGE_AGE_S = 1.2
# A peer without contact for two rounds counts as silent.
SILENT_AFTER_S = 0.8
# Age of the lease knowledge from which promises of all are passed on; leases
# depend on them from 2 s on.
PASS_ON_AGE_S = 1.0
# Larger than any revision of the store.
MAX_REVISION = 2**63

log = logbook.Logger(__name__)


class GossipController:
    """Exchanges gossip messages with other instances.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.

    Attributes
    ----------
    last_contact_at : dict of str to float
        Loop seconds of the last message from each instance.
    last_messages : dict of str to GossipMessage
        Last message from each instance that is not silent.
    full_rounds : int
        Degraded rounds in succession.
    remote_reply_at : float
        Loop seconds of the last reply from another data centre.
    remote_failures : int
        Failed exchanges with other data centres since that reply.
    promises : PeerPromises
        Promises of other instances to begin no change of a primary.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = random.Random(f"gossip/{fleet.me.name}")
        self.last_contact_at = {}
        self.last_messages = {}
        self.full_rounds = 0
        self._round = 0
        self.remote_reply_at = clock.now()
        self.remote_failures = 0
        # Instances with an exchange in progress.
        self._exchanging = set()
        # Store revision up to which each instance knows all records.
        self._peer_as_of = {}
        self._process = secrets.randbits(53)
        self._stamps = {}
        self.promises = peerpromises.PeerPromises()

    async def run(self):
        """Start a gossip round at each interval."""
        while True:
            if not self._fleet.leaders.registrations.was_confirmed:
                await clock.pause(ROUND_INTERVAL_S / 4)
                continue
            degraded = self._is_degraded()
            self.full_rounds = self.full_rounds + 1 if degraded else 0
            for member in self._choose_peers(degraded):
                self.schedule_exchange(member)
            self._round += 1
            interval_s = ROUND_INTERVAL_S
            if self.is_large and not degraded:
                interval_s = LARGE_FLEET_ROUND_INTERVAL_S
            await clock.pause(interval_s * self._rng.uniform(0.85, 1.15))

    @property
    def is_large(self):
        """Return whether the fleet is too large to contact all instances."""
        return ownership.is_large_fleet(len(self._fleet.leaders.members))

    def _is_degraded(self):
        fleet = self._fleet
        if clock.now() - fleet.started_at < STARTUP_S:
            return False
        age_s = fleet.leaders.book.read_age_s(fleet.dependencies.boot_time())
        holder = fleet.duty.holder
        holder_silent = holder != fleet.me.name and self.is_silent(holder)
        return age_s > MAX_KNOWLEDGE_AGE_S or holder_silent

    def _choose_peers(self, degraded):
        """Return the instances to contact in this round."""
        holder = self._fleet.duty.holder
        chosen = [
            member
            for member in [self._fleet.leaders.members.get(holder)]
            if member is not None and member != self._fleet.me
        ]
        large = self.is_large
        holder_only = bool(self._round % HOLDER_ONLY_CYCLE_ROUNDS)
        if large and chosen and holder_only and not degraded:
            return chosen
        members = self._fleet.other_members()
        if degraded and not large:
            return self._draw(members, MAX_DEGRADED_PEERS)
        if degraded:
            drawn = self._draw(members, MAX_DEGRADED_PEERS_LARGE_FLEET)
            return chosen + [m for m in drawn if m not in chosen]
        centre = self._fleet.me.data_centre
        local = [m for m in members if m.data_centre == centre]
        remote = [
            m for m in members if m.data_centre != centre and m.name != holder
        ]
        max_local = MAX_LOCAL_PEERS_LARGE_FLEET if large else MAX_LOCAL_PEERS
        chosen += [m for m in self._draw(local, max_local) if m not in chosen]
        return chosen + self._draw(remote, 1 if large else MAX_REMOTE_PEERS)

    def _draw(self, members, max_count):
        return self._rng.sample(members, min(max_count, len(members)))

    def schedule_exchange(self, member):
        """Start an exchange with an instance, unless one is in progress."""
        if member.name not in self._exchanging:
            self._exchanging.add(member.name)
            self._fleet.spawn(self.exchange(member))

    async def exchange(self, member):
        """Exchange messages with an instance.

        Parameters
        ----------
        member : Member
            The instance.

        Returns
        -------
        GossipMessage or None
            The reply; None if the instance did not answer.
        """
        self._exchanging.add(member.name)
        asked_at = self._fleet.dependencies.boot_time()
        asked_at_loop = clock.now()
        try:
            message = self.build_message(member.name)
            reply = await self._fleet.dependencies.peers.exchange(
                member, message, CALL_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            self._handle_failure(member.name)
            if member.data_centre != self._fleet.me.data_centre:
                self.remote_failures += 1
            return None
        finally:
            self._exchanging.discard(member.name)
        self.handle_reply(reply, asked_at, asked_at_loop)
        return reply

    async def survey(self, max_count, holder):
        """Contact randomly drawn instances concurrently.

        Parameters
        ----------
        max_count : int
            Maximum number of instances.
        holder : str
            Holder of the promotion duty, of which they are asked.

        Returns
        -------
        Survey
        """
        members = self._draw(self._fleet.other_members(), max_count)
        replies = await asyncio.gather(
            *(self.exchange(member) for member in members)
        )
        answers = [reply for reply in replies if reply is not None]
        return gossipmessages.Survey(
            asked=len(members),
            answered=len(answers),
            hear_holder=sum(
                reply.holder == holder
                and reply.sender != holder
                and reply.holder_silent_s <= SILENT_AFTER_S
                for reply in answers
            ),
        )

    def silent_s(self, name):
        """Return the seconds since an instance's last message.

        Counts from the start of this instance if there was none.
        """
        fleet = self._fleet
        return clock.now() - self.last_contact_at.get(name, fleet.started_at)

    def _contact_age_s(self, name):
        """Return the seconds since an instance's last message, at most 1e9."""
        heard_at = self.last_contact_at.get(name, float("-inf"))
        return min(1e9, clock.now() - heard_at)

    def is_silent(self, name):
        """Return whether an instance has sent no message recently."""
        return self._contact_age_s(name) > SILENT_AFTER_S

    def is_live(self, name):
        """Return whether an instance is registered, not silent, and stays."""
        if name not in self._fleet.leaders.members or self.is_silent(name):
            return False
        return not self.last_messages[name].leaving

    def has_handed_over(self, name, revision, max_age_s):
        """Return whether a holder of the duty has handed it over.

        It stops or has relinquished the duty, has no change of a primary in
        progress and starts none.

        Parameters
        ----------
        name : str
            Name of the holder.
        revision : int
            Revision of the record with which it acquired the duty.
        max_age_s : float
            Age in seconds up to which its message counts. A process that
            has started since may go on with the duty.
        """
        message = self.last_messages.get(name)
        if message is None or not message.promise_s:
            return False
        stops = message.leaving and message.holder_revision >= revision
        if not stops and message.relinquished < revision:
            return False
        return self._contact_age_s(name) < max_age_s

    def live_names(self):
        """Return the sorted names of live instances.

        Includes this instance unless it is stopping.
        """
        names = [
            name for name in self._fleet.leaders.members if self.is_live(name)
        ]
        if not self._fleet.stopping:
            names.append(self._fleet.me.name)
        return sorted(set(names))

    def live_messages(self):
        """Yield the last message of each live instance but this one."""
        for name, message in self.last_messages.items():
            if self.is_live(name):
                yield message

    def _handle_failure(self, name):
        """Discard the last message of an instance that has become silent."""
        message = self.last_messages.get(name)
        if message is not None and self.is_silent(name):
            del self.last_messages[name]
            event(log.notice, "peer_silent", instance=name)

    def build_message(self, receiver):
        """Build a message for an instance.

        Parameters
        ----------
        receiver : str
            Name of the instance.

        Returns
        -------
        GossipMessage
        """
        fleet = self._fleet
        leaders = fleet.leaders
        now = fleet.dependencies.boot_time()
        # An instance that has not sent its revision yet gets no records; it
        # gets them in the reply to its own message. Otherwise a starting
        # fleet would send each record to every instance.
        peer_as_of = self._peer_as_of.get(receiver, MAX_REVISION)
        last_message = self.last_messages.get(receiver)
        table = fleet.directory.table
        newer_leaderships = [
            leadership
            for leadership in leaders.book.leaderships.values()
            if leadership.revision > peer_as_of
            or leadership.group in leaders.outdated_groups
        ]
        knowledge = leaders.book.last_read
        registered = leaders.registrations
        acknowledged = fleet.acknowledged.told()
        lists_differ = (
            last_message is not None
            and last_message.members_key != registered.key
        )
        return gossipmessages.GossipMessage(
            sender=fleet.me.name,
            as_of=knowledge.as_of,
            age_s=min(1e9, now - knowledge.read_at),
            leaderships=newer_leaderships,
            members=registered.since(peer_as_of),
            removals=registered.removals() if lists_differ else [],
            left=dict(leaders.released),
            samples=fleet.sampling.latest_samples(now),
            heard_s=fleet.primary_response_ages_s(),
            silent_s=fleet.unresponsive_primaries_s(),
            table_version=table.version,
            table_change=fleet.table_sync.small_delta_for(last_message)
            if last_message
            else None,
            targets_as_of=fleet.directory.targets_as_of,
            targets=fleet.directory.target_entries
            if last_message
            and last_message.targets_as_of < fleet.directory.targets_as_of
            else None,
            directory_age_s=min(1e9, fleet.directory.age_s()),
            promise_s=fleet.duty.promise_s(),
            stamp=gossipmessages.MessageTimestamp(self._process, now),
            echo=self._stamps.get(receiver),
            all_promise_s=self._promise_of_all_s(receiver, now),
            members_key=registered.key,
            leaving=fleet.stopping,
            holder=fleet.duty.holder,
            holder_revision=fleet.duty.revision,
            receiver_listed_in=registered.listed_in(receiver),
            store_incarnation=fleet.store_health.incarnation,
            restored_s=fleet.store_health.restored_s(now),
            holder_silent_s=0.0
            if fleet.duty.held
            else self._contact_age_s(fleet.duty.holder),
            members_age_s=min(1e9, now - registered.read_at),
            receiver_found_age_s=min(
                1e9, registered.found_age_s(receiver, now)
            ),
            configuration_proof=fleet.customers.describe_proof(now),
            acknowledged={
                group: latest.at_most for group, latest in acknowledged.items()
            },
            acknowledged_at_least={
                group: latest.at_least
                for group, latest in acknowledged.items()
            },
            awaited=dict(fleet.failover.successors.awaited)
            if fleet.duty.held
            else {},
            unsettled=fleet.failover.successors.told_unsettled(),
            may_succeed=fleet.succession.may_succeed,
            relinquished=fleet.duty.relinquished,
        )

    def _promise_of_all_s(self, receiver, now):
        """Return the seconds for which no other instance starts a change.

        Covers this instance and all others but the receiver.
        """
        fleet = self._fleet
        if fleet.leaders.book.read_age_s(now) < PASS_ON_AGE_S:
            # No lease depends on promises yet.
            return 0.0
        others = [
            name for name in fleet.leaders.other_names if name != receiver
        ]
        until = fleet.leaders.book.promises_valid_until(others)
        return max(0.0, min(fleet.duty.promise_s(), until - now))

    def _merge_promise(self, message, written_after):
        """Record the promise in a message.

        Parameters
        ----------
        message : GossipMessage
            The message.
        written_after : float
            Boot-clock seconds; the message was written later.
        """
        if not message.promise_s:
            return
        until = written_after + message.promise_s
        self._fleet.leaders.merge_promise(message.sender, until)
        self.promises.record(message.sender, until)

    def _merge_echoed_promise(self, message):
        """Record the promise of a message that is not a reply.

        The message may have been delayed. The promise is therefore dated
        from this instance's stamp that the sender echoes, which is older
        than the message.
        """
        echo = message.echo
        if echo is None or echo.process != self._process:
            return
        self._merge_promise(message, echo.at)

    def handle_message(self, message):
        """Merge a message that another instance sent, and reply to it.

        Ages in the message are ignored, as it may have been delayed for any
        time.

        Parameters
        ----------
        message : GossipMessage
            The message.

        Returns
        -------
        GossipMessage
            The reply.
        """
        self._merge_ageless(message)
        self._catch_up(message)
        return self.build_message(message.sender)

    def _catch_up(self, message):
        """Ask a sender whose leases rest on a later incarnation of the store.

        Its message cannot extend leases, as it may have been delayed; the
        reply to this instance's own message can.
        """
        leaders = self._fleet.leaders
        sender = leaders.members.get(message.sender)
        known = revisions.incarnation_of(leaders.book.last_read.as_of)
        told = revisions.incarnation_of(message.as_of)
        if sender is not None and told > known:
            self.schedule_exchange(sender)

    def _merge_ageless(self, message):
        """Merge the parts of a message that do not depend on its delay."""
        if message.sender not in self.last_messages:
            event(log.notice, "peer_heard", instance=message.sender)
        self.last_contact_at[message.sender] = clock.now()
        self.last_messages[message.sender] = message
        self._peer_as_of[message.sender] = message.as_of
        self._fleet.store_health.record_restore(
            message.store_incarnation,
            self._fleet.dependencies.boot_time() - message.restored_s,
        )
        if message.stamp is not None:
            self._stamps[message.sender] = message.stamp
            self.promises.record_process(
                message.sender, message.stamp.process, bool(message.as_of)
            )
        self._merge_echoed_promise(message)
        for leadership in message.leaderships:
            self._fleet.leaders.merge_leadership(leadership, message.sender)
        self._fleet.acknowledged.merge_message(message)
        if message.members or message.removals:
            self._fleet.leaders.registrations.merge(
                message.members,
                message.removals,
                self._fleet.dependencies.boot_time(),
            )
        self._fleet.duty.merge_holder(
            message.holder, message.holder_revision, message.sender
        )
        self._fleet.table_sync.handle_message(message)
        if message.targets is not None:
            self._fleet.directory.merge_targets(
                message.targets_as_of, message.targets
            )

    def handle_reply(self, reply, asked_at, asked_at_loop):
        """Merge the reply to a message of this instance.

        Ages are subtracted from the time of the request. The reply was
        written later, so its contents are at least as recent as that.

        Parameters
        ----------
        reply : GossipMessage
            The reply.
        asked_at : float
            Boot-clock seconds of the request.
        asked_at_loop : float
            Loop seconds of the request.
        """
        fleet = self._fleet
        self._merge_ageless(reply)
        member = fleet.leaders.members.get(reply.sender)
        if member and member.data_centre != fleet.me.data_centre:
            self.remote_reply_at = clock.now()
            self.remote_failures = 0
        # If this instance still lacks data that the sender has, it has just
        # requested it, and its own data is not current.
        up_to_date = (
            fleet.directory.table.version >= reply.table_version
            and fleet.directory.targets_as_of >= reply.targets_as_of
        )
        if up_to_date:
            fleet.directory.confirm_until(
                asked_at_loop - reply.directory_age_s
            )
        fleet.customers.merge_proof(
            reply.configuration_proof, asked_at, reply.sender
        )
        self._merge_own_registration(reply)
        # Changes wait for this instance only if its registration was found.
        read_at = asked_at - max(reply.age_s, reply.receiver_found_age_s)
        fleet.leaders.merge_store_read(
            leases.StoreRead(reply.as_of, read_at), reply.sender
        )
        fleet.leaders.registrations.confirm(
            reply.members_key, asked_at - reply.members_age_s
        )
        self._merge_promise(reply, asked_at)
        if reply.all_promise_s and (
            reply.members_key == fleet.leaders.registrations.key
        ):
            until = asked_at + reply.all_promise_s
            fleet.leaders.merge_promise_of_all(until, reply.sender)
        fleet.sampling.merge_samples(reply.samples, asked_at)
        for name, heard_s in reply.heard_s.items():
            fleet.reported_response_times[name] = max(
                fleet.reported_response_times.get(name, float("-inf")),
                clock.now() - heard_s,
            )

    def _merge_own_registration(self, reply):
        """Merge what a sender has read of this instance's registration.

        Changes that are made by what the sender has read do not wait for
        this instance if its registration was missing there.
        """
        registrations = self._fleet.leaders.registrations
        listed_in = reply.receiver_listed_in
        registrations.record_own(True, listed_in)
        incarnation = revisions.incarnation_of(reply.as_of)
        if listed_in < incarnation:
            registrations.record_own(False, incarnation)

    async def announce_stop(self):
        """Tell other instances that this one is about to stop.

        In a large fleet the holder of the duty and a few others suffice:
        borrowers learn it from the replies to their next requests, and a
        fleet that restarts one instance after the other would exchange
        messages between all pairs.
        """
        if not self.is_large:
            await self.exchange_all()
            return
        members = self._fleet.other_members()
        holder = self._fleet.duty.holder
        told = [member for member in members if member.name == holder]
        told += self._draw(members, MAX_PEERS_TOLD_OF_STOP)
        await asyncio.gather(*(self.exchange(member) for member in told))

    async def exchange_all(self):
        """Exchange messages with all other instances concurrently."""
        members = self._fleet.other_members()
        await asyncio.gather(*(self.exchange(member) for member in members))
