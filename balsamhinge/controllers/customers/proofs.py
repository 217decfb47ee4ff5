"""Keeps the proof that the configuration in force is current."""

import asyncio
import random

import logbook

from balsamhinge.controllers import clock
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.policy import configurationlease
from balsamhinge.policy import revisions

__all__ = ["ConfigurationProofController"]

# Interval of the check whether a read is due.
STEP_INTERVAL_S = 0.1
# Timeout of a read. The largest configuration that the store holds, 1 MB,
# takes 1.6 s on the narrowest link, 5 Mbit/s.
READ_TIMEOUT_S = 2.0
# Delay after a failed read, by role. An outage of the store lets the proofs
# of all instances expire, so most of them try less often.
RETRY_DELAY_S = {
    configurationlease.Reader.FIRST: 0.3,
    configurationlease.Reader.RESERVE: 0.3,
    configurationlease.Reader.OTHER: 0.6,
}

log = logbook.Logger(__name__)

Reader = configurationlease.Reader
ReadOutcome = configurationlease.ReadOutcome


class ConfigurationProofController:
    """Reads the configuration where that is due, and merges others' proofs.

    Parameters
    ----------
    fleet : FleetInstance
        The instance's controllers.
    current_index : callable
        Returns the `KeyIndex` of the configuration in force.

    Attributes
    ----------
    lease : ConfigurationLease
        The lease.
    """

    def __init__(self, fleet, current_index):
        self._fleet = fleet
        self._current_index = current_index
        self._rng = random.Random(f"proofs/{fleet.me.name}")
        settings = fleet.customer_settings
        self.lease = configurationlease.ConfigurationLease(
            settings.revocation_s
        )
        self._jitter = self._rng.random()
        self._retry_at = float("-inf")
        self._was_valid = False
        self._last_outcome = ReadOutcome.PROOF

    def is_valid(self):
        """Return whether the lease is in force now."""
        return self.lease.is_valid(self._fleet.dependencies.boot_time())

    def age_s(self):
        """Return the age of the latest proof in seconds."""
        return self.lease.age_s(self._fleet.dependencies.boot_time())

    async def run(self):
        """Read the configuration whenever that is due."""
        await clock.run_forever(self.step, STEP_INTERVAL_S, jitter=self._rng)

    async def step(self):
        """Read the configuration if that is due, and log a lapsed lease."""
        self._log_validity()
        fleet = self._fleet
        if not fleet.directory.table.version:
            # The directory is reading it.
            return
        due_at = configurationlease.read_due_at(
            self.lease,
            self._role(),
            self._jitter,
            fleet.store_health.restored_at,
            self._retry_at,
        )
        if fleet.dependencies.boot_time() >= due_at:
            await self._read()

    def _role(self):
        """Return the `Reader` role of this instance.

        In a large fleet a reserve takes over as soon as the holder of the
        promotion duty, whom all ask, is silent.
        """
        fleet = self._fleet
        if fleet.duty.held:
            return Reader.FIRST
        if not fleet.gossip.is_large or not fleet.is_store_reader():
            return Reader.OTHER
        if fleet.gossip.is_silent(fleet.duty.holder):
            return Reader.FIRST
        return Reader.RESERVE

    async def _read(self):
        fleet = self._fleet
        asked_at = fleet.dependencies.boot_time()
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                listing = await fleet.dependencies.store.list(
                    interfaces.ROUTES
                )
        except (exceptions.StoreUnavailable, TimeoutError) as exc:
            error = f"{type(exc).__name__} {exc}"
            event(
                log.info,
                "configuration_not_read",
                seconds=fleet.dependencies.boot_time() - asked_at,
                error=error,
            )
            fleet.store_health.record_failure(error)
            self._pause_reads()
            return
        fleet.store_health.record_answer(listing.as_of)
        fleet.directory.merge_routes(listing.as_of, listing.records)
        self.merge_listing(asked_at, listing)

    def _pause_reads(self):
        delay_s = RETRY_DELAY_S[self._role()] * self._rng.uniform(0.7, 1.3)
        self._retry_at = self._fleet.dependencies.boot_time() + delay_s

    def merge_listing(self, asked_at, listing):
        """Merge a read of the store that is already in force.

        Parameters
        ----------
        asked_at : float
            Boot-clock seconds at which it was requested.
        listing : Listing
            All records of the kind `interfaces.ROUTES`.
        """
        self._jitter = self._rng.random()
        health = self._fleet.store_health
        outcome = self.lease.merge_read(
            asked_at,
            revisions.incarnation_of(listing.as_of),
            health.incarnation,
            health.restored_at,
            any(r.value is not None for r in listing.records.values()),
        )
        if outcome is ReadOutcome.NOT_LATER:
            return
        if outcome is not ReadOutcome.PROOF:
            self._pause_reads()
        if outcome is not self._last_outcome:
            event(
                log.info if outcome is ReadOutcome.PROOF else log.notice,
                "configuration_read",
                outcome=outcome.value,
                as_of=revisions.describe(listing.as_of),
                version=self._fleet.directory.table.version,
            )
        self._last_outcome = outcome
        self._log_validity()

    def describe(self, now):
        """Return the `ConfigurationProof` to tell others, or None.

        Parameters
        ----------
        now : float
            Boot-clock seconds of the message.
        """
        lease = self.lease
        if not lease.is_valid(now):
            return None
        index = self._current_index()
        return configurationlease.ConfigurationProof(
            version=self._fleet.directory.table.version,
            fingerprint=index.fingerprint,
            age_s=lease.age_s(now),
        )

    def merge_reply(self, proof, asked_at, sender):
        """Merge the proof in a reply to a message of this instance.

        Parameters
        ----------
        proof : ConfigurationProof or None
            The proof.
        asked_at : float
            Boot-clock seconds at which this instance sent its message.
        sender : str
            The instance that replied.
        """
        if proof is None:
            return
        self.lease.merge_reply(
            proof,
            asked_at,
            self._fleet.directory.table.version,
            self._current_index().fingerprint,
            sender,
        )
        self._log_validity()

    def _log_validity(self):
        """Log when the lease becomes valid or lapses."""
        valid = self.is_valid()
        if valid == self._was_valid:
            return
        self._was_valid = valid
        event(
            log.notice if valid else log.warning,
            "configuration_lease_valid"
            if valid
            else "configuration_lease_lapsed",
            age_s=self.age_s(),
            source=self.lease.source,
            version=self._fleet.directory.table.version,
        )
