"""Configuration lease: how long a read permits the acceptance of keys.

A key that a configuration removes must stop working everywhere within a
bound, also at instances that are partitioned. An instance therefore accepts
keys only while it can prove that the configuration in force was the store's
latest one less than that bound ago. All times are on the clock that includes
suspended time. Leases are described in Gray and Cheriton, "Leases: an
efficient fault-tolerant mechanism for distributed file cache consistency"
(1989).
"""

import enum

import attrs

__all__ = [
    "ConfigurationLease",
    "ConfigurationProof",
    "ReadOutcome",
    "Reader",
    "read_due_at",
]

# Share of the bound for which a proof is good. The rest allows for a clock
# that runs slower than the store's, and for the time from the check of a
# statement to its log line.
LEASE_SHARE = 0.9
# Time after a restore of the store in which operators' changes that the copy
# lacks are written again.
SETTLING_S = 2.0
# Lease for which the ages below were chosen, the one of a bound of 5 s. For
# shorter leases they are scaled down.
USUAL_LEASE_S = 4.5


class Reader(enum.Enum):
    """Role of an instance among those that read the configuration.

    Attributes
    ----------
    FIRST
        Reads for all others, which ask it by gossip.
    RESERVE
        Reads if the proofs of the first one do not arrive.
    OTHER
        Reads if it gets no proof from anybody.
    """

    FIRST = "first"
    RESERVE = "reserve"
    OTHER = "other"


# Age of the proof from which an instance reads the store. Others ask the
# first reader each 0.5 to 0.7 s by gossip, so in a healthy fleet their proofs
# are up to 1.7 s old and none of them reads.
MAX_AGE_S = {Reader.FIRST: 0.9, Reader.RESERVE: 1.8, Reader.OTHER: 1.9}
# Random addition for `Reader.OTHER`, so that not all read at once: each call
# to the store is charged, and gossip passes the proof of one on to many. A
# read that fails at the highest age can be repeated within the lease.
MAX_JITTER_S = 0.8
# Delay after `SETTLING_S` in which the roles read, for the same reason.
SETTLED_DELAY_S = {Reader.FIRST: 0.0, Reader.RESERVE: 0.3, Reader.OTHER: 0.5}


class ReadOutcome(enum.StrEnum):
    """What a read of the configuration means for the lease."""

    PROOF = "proof"
    NOT_LATER = "not_later"
    EARLIER_INCARNATION = "earlier_incarnation"
    JUST_RESTORED = "just_restored"
    NO_CONFIGURATION = "no_configuration"


@attrs.frozen
class ConfigurationProof:
    """What an instance tells another one of its lease.

    Parameters
    ----------
    version : int
        Version of the configuration in force at the sender.
    fingerprint : int
        Fingerprint of its keys, see `KeyIndex`.
    age_s : float
        Seconds since the read was requested that proves it to be current.
    """

    version: int
    fingerprint: int
    age_s: float

    def covers(self, version, fingerprint):
        """Return whether the proof holds for a configuration in force.

        It does for the sender's configuration, and for any later version:
        when the read was requested, the store held no later one than the
        sender's.
        """
        if version == self.version:
            return fingerprint == self.fingerprint
        return version > self.version


class ConfigurationLease:
    """The latest proof that the configuration in force is current.

    Parameters
    ----------
    bound_s : float
        Seconds after which a removed key must have stopped working.

    Attributes
    ----------
    duration_s : float
        Seconds for which a proof is good.
    proved_at : float
        Boot-clock seconds at which the read was requested that proves the
        configuration in force to be current.
    source : str
        "store", or the instance that told of the read.
    """

    def __init__(self, bound_s):
        self.duration_s = LEASE_SHARE * bound_s
        self.proved_at = float("-inf")
        self.source = ""

    def age_s(self, now):
        """Return the age of the proof in seconds; infinite without one."""
        return now - self.proved_at

    def is_valid(self, now):
        """Return whether keys may be accepted."""
        return now < self.proved_at + self.duration_s

    def merge_read(self, asked_at, incarnation, latest, restored_at, found):
        """Merge an own read of the store that is already in force.

        Parameters
        ----------
        asked_at : float
            Boot-clock seconds at which the read was requested.
        incarnation : int
            Incarnation of the store that answered.
        latest : int
            Latest incarnation that is known.
        restored_at : float
            Boot-clock seconds at which that became known; minus infinite
            for a store that was never restored.
        found : bool
            Whether the read contained a valid configuration.

        Returns
        -------
        ReadOutcome
        """
        if incarnation < latest:
            return ReadOutcome.EARLIER_INCARNATION
        if asked_at < restored_at + SETTLING_S:
            return ReadOutcome.JUST_RESTORED
        if not found:
            return ReadOutcome.NO_CONFIGURATION
        if not self._merge(asked_at, "store"):
            return ReadOutcome.NOT_LATER
        return ReadOutcome.PROOF

    def merge_reply(self, proof, asked_at, version, fingerprint, sender):
        """Merge the proof in a reply to a message of this instance.

        Parameters
        ----------
        proof : ConfigurationProof
            The sender's proof. The reply was written after the request, so
            the age is subtracted from the time of the request.
        asked_at : float
            Boot-clock seconds of the request.
        version, fingerprint : int
            Configuration in force at this instance, after the rest of the
            reply was merged.
        sender : str
            The instance that replied.

        Returns
        -------
        bool
            Whether the proof is later than the known one.
        """
        if not proof.covers(version, fingerprint):
            return False
        return self._merge(asked_at - proof.age_s, sender)

    def _merge(self, proved_at, source):
        if proved_at <= self.proved_at:
            return False
        self.proved_at = proved_at
        self.source = source
        return True


def read_due_at(lease, reader, jitter, restored_at, retry_at):
    """Return when an instance has to read the configuration itself.

    Parameters
    ----------
    lease : ConfigurationLease
        The lease to extend.
    reader : Reader
        Role of the instance.
    jitter : float
        Random number from 0 to 1, drawn anew after each read.
    restored_at : float
        Boot-clock seconds at which the latest restore of the store became
        known; minus infinite if there was none.
    retry_at : float
        Earliest time of the next attempt, in boot-clock seconds.

    Returns
    -------
    float
        Boot-clock seconds.
    """
    max_age_s = MAX_AGE_S[reader]
    delay_s = SETTLED_DELAY_S[reader]
    if reader is Reader.OTHER:
        max_age_s += MAX_JITTER_S * jitter
        delay_s += MAX_JITTER_S * jitter
    scale = min(1.0, lease.duration_s / USUAL_LEASE_S)
    due_at = lease.proved_at + max_age_s * scale
    settled_at = restored_at + SETTLING_S
    if lease.proved_at < settled_at:
        due_at = max(due_at, settled_at + delay_s * scale)
    return max(due_at, retry_at)
