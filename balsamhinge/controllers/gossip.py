"""Instances tell each other what they know, with its age."""

import asyncio
import random
import secrets

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge.logs import event
from balsamhinge.policy import homes
from balsamhinge.policy import leases
from balsamhinge.policy import notes

__all__ = ["GossipController"]

# Three exchanges fit into a lease after a reading of the store.
INTERVAL_S = 0.38
# In a large fleet only the holder of the duty is asked in each calm round,
# and the others in one of so many. Its calm rounds come less often: nearly
# half of the bytes between data centres on a calm day were notes.
LARGE_INTERVAL_S = 0.6
QUIET_ROUNDS = 4
# For so long after its start an instance does not ask all: a fleet that
# starts would exchange its new records between all pairs.
SETTLE_S = 2.0
# A peer that is reached answers within milliseconds; one that is late by
# more is busy or cut off.
CALL_S = 0.35
# Instances of other data centres asked in a calm round, beside the holder
# of the duty: bytes between data centres are paid for.
FAR_PEERS = 2
# Instances of the own data centre asked in a calm round.
NEAR_PEERS = 4
# Most instances asked in a round of trouble: all of today's, whose
# promises extend leases.
MOST_PEERS = 16
# In a large fleet the holder passes on what all promise, and a few others
# are asked: all asking 16 would be thousands of calls a second.
FEW_PEERS = 3
# Knowledge older than this, or a holder silent for so long, is trouble.
TROUBLE_S = 1.2
# A peer that has not answered for so long is taken for silent: two
# rounds.
SILENT_S = 0.8
# Promises of all are passed on once the reading that leases rest on is so
# old: they are needed from 2 s on.
PASS_ON_AGE_S = 1.0
# Above every revision of the store.
NOTHING_NEWER = 2**63

log = logbook.Logger(__name__)


class GossipController:
    """Exchanges notes with other instances.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._rng = random.Random(f"gossip/{fleet.me.name}")
        self.last_contact_at = {}
        self.last_messages = {}
        self.full_rounds = 0
        self._round = 0
        self.remote_reply_at = clock.now()
        # Questions to other data centres that failed since then.
        self.remote_failures = 0
        self._asked = set()
        self._known_as_of = {}
        self._process = secrets.randbits(53)
        self._stamps = {}

    async def run(self):
        """Exchange notes for ever."""
        while True:
            if not self._fleet.registered:
                await clock.pause(INTERVAL_S / 4)
                continue
            trouble = self._is_trouble()
            self.full_rounds = self.full_rounds + 1 if trouble else 0
            for member in self._choose(trouble):
                self.schedule_exchange(member)
            self._round += 1
            interval_s = INTERVAL_S
            if self.is_large and not trouble:
                interval_s = LARGE_INTERVAL_S
            await clock.pause(interval_s * self._rng.uniform(0.85, 1.15))

    @property
    def is_large(self):
        """Return whether there are too many instances to ask them all."""
        return homes.is_large(len(self._fleet.leaders.members))

    def _is_trouble(self):
        fleet = self._fleet
        if clock.now() - fleet.started_at < SETTLE_S:
            return False
        age_s = fleet.leaders.book.age_s(fleet.links.boot_time())
        holder = fleet.duty.holder
        lost = holder != fleet.me.name and self.is_silent(holder)
        return age_s > TROUBLE_S or lost

    def _choose(self, trouble):
        """Return whom to ask in this round."""
        members = self._fleet.other_members()
        holder = self._fleet.duty.holder
        chosen = [m for m in members if m.name == holder]
        large = self.is_large
        if trouble and not large:
            return self._some(members, MOST_PEERS)
        if trouble:
            few = self._some(members, FEW_PEERS)
            return chosen + [m for m in few if m not in chosen]
        if large and chosen and self._round % QUIET_ROUNDS:
            return chosen
        centre = self._fleet.me.data_centre
        near = [m for m in members if m.data_centre == centre]
        far = [
            m for m in members if m.data_centre != centre and m.name != holder
        ]
        chosen += [m for m in self._some(near, NEAR_PEERS) if m not in chosen]
        return chosen + self._some(far, 1 if large else FAR_PEERS)

    def _some(self, members, most):
        return self._rng.sample(members, min(most, len(members)))

    def schedule_exchange(self, member):
        """Exchange notes with one instance, unless that is being done."""
        if member.name not in self._asked:
            self._asked.add(member.name)
            self._fleet.spawn(self.exchange(member))

    async def exchange(self, member):
        """Exchange notes with one instance; return its note or None."""
        self._asked.add(member.name)
        asked_at = self._fleet.links.boot_time()
        begun = clock.now()
        try:
            note = self.build_message(member.name)
            answer = await self._fleet.links.peers.exchange(
                member, note, CALL_S
            )
        except exceptions.PeerUnavailable:
            self._lost(member.name)
            if member.data_centre != self._fleet.me.data_centre:
                self.remote_failures += 1
            return None
        finally:
            self._asked.discard(member.name)
        self.handle_reply(answer, asked_at, begun)
        return answer

    async def count_reachable(self, most):
        """Ask some other instances at once, drawn at random.

        Parameters
        ----------
        most : int
            How many at most.

        Returns
        -------
        asked, answered : int
        """
        members = self._some(self._fleet.other_members(), most)
        answers = await asyncio.gather(
            *(self.exchange(one) for one in members)
        )
        return len(members), sum(one is not None for one in answers)

    def silent_s(self, name):
        """Return for how long an instance has not been heard."""
        fleet = self._fleet
        return clock.now() - self.last_contact_at.get(name, fleet.started_at)

    def is_silent(self, name):
        """Return whether an instance has not answered lately."""
        heard = self.last_contact_at.get(name, float("-inf"))
        return clock.now() - heard > SILENT_S

    def is_live(self, name):
        """Return whether a registered instance has answered lately."""
        if name not in self._fleet.leaders.members or self.is_silent(name):
            return False
        return not self.last_messages[name].leaving

    def has_handed_over(self, name):
        """Return whether an instance that is about to stop changes nothing.

        It begins no change any more, and none is under way there.
        """
        note = self.last_messages.get(name)
        return note is not None and note.leaving and note.promise_s > 0

    def live_names(self):
        """Return the instances that answered lately, this one included."""
        names = [
            name for name in self._fleet.leaders.members if self.is_live(name)
        ]
        if not self._fleet.stopping:
            names.append(self._fleet.me.name)
        return sorted(set(names))

    def _lost(self, name):
        known = self.last_messages.get(name)
        if known is not None and self.is_silent(name):
            del self.last_messages[name]
            event(log.notice, "peer_silent", instance=name)

    def build_message(self, receiver):
        """Return a note for an instance."""
        fleet = self._fleet
        leaders = fleet.leaders
        now = fleet.links.boot_time()
        # Whoever has not told yet what it knows gets no news: it asks for
        # them, and a fleet that starts would send each record to all.
        known = self._known_as_of.get(receiver, NOTHING_NEWER)
        seen = self.last_messages.get(receiver)
        table = fleet.directory.table
        news = [
            leadership
            for leadership in leaders.book.leaderships.values()
            if leadership.revision > known
        ]
        knowledge = leaders.book.knowledge
        return notes.Note(
            sender=fleet.me.name,
            as_of=knowledge.as_of,
            age_s=min(1e9, now - knowledge.read_at),
            leaderships=news,
            members=[
                record
                for record in leaders.member_records.values()
                if record.revision > known
            ],
            left=dict(leaders.released),
            samples=fleet.sampling.latest_samples(now),
            heard_s=fleet.leaders_heard_s(),
            silent_s=fleet.leaders_silent_s(),
            table_version=table.version,
            table_change=fleet.table_sync.small_delta_for(seen)
            if seen
            else None,
            targets_as_of=fleet.directory.targets_as_of,
            targets=fleet.directory.target_entries
            if seen and seen.targets_as_of < fleet.directory.targets_as_of
            else None,
            directory_age_s=min(1e9, fleet.directory.age_s()),
            promise_s=fleet.duty.promise_s(),
            stamp=notes.Stamp(self._process, now),
            echo=self._stamps.get(receiver),
            all_promise_s=self._promise_of_all(receiver, now),
            members_key=leaders.members_key,
            leaving=fleet.stopping,
            holder=fleet.duty.holder,
            holder_revision=fleet.duty.revision,
        )

    def _promise_of_all(self, receiver, now):
        """Return for how long nobody but the receiver begins a change."""
        fleet = self._fleet
        if fleet.leaders.book.age_s(now) < PASS_ON_AGE_S:
            # Nobody's lease depends on it yet.
            return 0.0
        others = [
            name for name in fleet.leaders.other_names if name != receiver
        ]
        until = fleet.leaders.book.promised_by(others)
        return max(0.0, min(fleet.duty.promise_s(), until - now))

    def _take_promise(self, note):
        """Take in a promise that came without being asked for.

        It counts from when this instance wrote what the sender had from
        it, as the way here may have taken any time.
        """
        echo = note.echo
        if echo is None or echo.process != self._process:
            return
        if note.promise_s:
            self._fleet.leaders.merge_promise(
                note.sender, echo.at + note.promise_s
            )

    def handle_message(self, note):
        """Take in another instance's note; return the answering one.

        Only what does not age is taken from it: it may have been under
        way for any time.
        """
        self._take_lasting(note)
        return self.build_message(note.sender)

    def _take_lasting(self, note):
        if note.sender not in self.last_messages:
            event(log.notice, "peer_heard", instance=note.sender)
        self.last_contact_at[note.sender] = clock.now()
        self.last_messages[note.sender] = note
        self._known_as_of[note.sender] = note.as_of
        if note.stamp is not None:
            self._stamps[note.sender] = note.stamp
        self._take_promise(note)
        for leadership in note.leaderships:
            self._fleet.leaders.merge_leadership(leadership, note.sender)
        if note.members:
            self._fleet.leaders.merge_members(note.members)
        self._fleet.duty.merge_holder(
            note.holder, note.holder_revision, note.sender
        )
        self._fleet.table_sync.handle_message(note)
        if note.targets is not None:
            self._fleet.directory.merge_targets(
                note.targets_as_of, note.targets
            )

    def handle_reply(self, note, asked_at, begun):
        """Take in an answer to a note that was sent at `asked_at`.

        Ages count from the writing of the answer, which came after
        `asked_at`: what is said to be one second old is no older than
        one second before that.
        """
        fleet = self._fleet
        self._take_lasting(note)
        member = fleet.leaders.members.get(note.sender)
        if member and member.data_centre != fleet.me.data_centre:
            self.remote_reply_at = clock.now()
            self.remote_failures = 0
        # Whoever still lacks what the sender knows has asked for it now.
        knows_all = (
            fleet.directory.table.version >= note.table_version
            and fleet.directory.targets_as_of >= note.targets_as_of
        )
        if knows_all:
            fleet.directory.confirm_until(begun - note.directory_age_s)
        read_at = asked_at - note.age_s
        fleet.leaders.merge_store_read(
            leases.Knowledge(note.as_of, read_at), note.sender
        )
        if note.promise_s:
            fleet.leaders.merge_promise(note.sender, asked_at + note.promise_s)
        if note.all_promise_s and (
            note.members_key == fleet.leaders.members_key
        ):
            until = asked_at + note.all_promise_s
            fleet.leaders.merge_promise_of_all(until, note.sender)
        fleet.sampling.merge_samples(note.samples, asked_at)
        for name, heard_s in note.heard_s.items():
            fleet.heard_elsewhere[name] = max(
                fleet.heard_elsewhere.get(name, float("-inf")),
                clock.now() - heard_s,
            )

    async def exchange_all(self):
        """Exchange notes with all instances at once."""
        members = self._fleet.other_members()
        await asyncio.gather(*(self.exchange(member) for member in members))
