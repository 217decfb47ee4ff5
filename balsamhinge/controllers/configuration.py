"""The operators' configuration in force on this instance."""

import uuid

import attrs
import logbook
import msgspec

from balsamhinge.configuration import checks
from balsamhinge.configuration import findings
from balsamhinge.configuration import parsing
from balsamhinge.configuration import plan
from balsamhinge.controllers import changenotifier
from balsamhinge.controllers import storedobjects
from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event

__all__ = ["AcceptedEdit", "ConfigurationController", "decode_configuration"]

MAX_WRITE_ATTEMPTS = 3
MAX_HISTORY_EDITS = 20
MAX_EARLIER_EDIT_IDS = 20

log = logbook.Logger(__name__)


@attrs.frozen
class AcceptedEdit:
    """An accepted edit of the configuration.

    Parameters
    ----------
    version : int
        Version of the edit in the store, 0 if the store has none yet.
    text : ConfigurationVersion or None
        The edited configuration; None if the store has none that can be
        decoded.
    """

    version: int
    text: interfaces.ConfigurationVersion | None

    def edit_ids(self):
        """Return the identifiers of this edit and earlier ones, latest first.

        At most `MAX_EARLIER_EDIT_IDS` are returned.
        """
        if self.text is None:
            return []
        return [self.text.edit_id, *self.text.earlier][:MAX_EARLIER_EDIT_IDS]


class ConfigurationController:
    """Holds the latest configuration that this instance has received.

    Parameters
    ----------
    store : ObjectStoreClient
        The store that keeps the configuration.
    """

    def __init__(self, store):
        self._store = store
        self.version = 0
        self.text = None
        self.plan = plan.Plan()
        self.changes = changenotifier.ChangeNotifier()
        self.history = []

    def activate(self, version, text):
        """Put a configuration in force if its version is higher.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        if version <= self.version or text is None:
            return False
        parsed = parsing.parse_plan(text.text)
        self.version = version
        self.text = text
        self.plan = parsed
        self.history.append(AcceptedEdit(version, text))
        del self.history[:-MAX_HISTORY_EDITS]
        event(log.info, "configuration_in_force", version=version)
        self.changes.notify_all()
        return True

    def activate_stored(self, stored):
        """Put the configuration in a store object in force if newer."""
        if stored is None or stored.version <= self.version:
            return False
        return self.activate(stored.version, decode_configuration(stored))

    async def apply(self, text, base, author, retired):
        """Check an edit, write it to the store and put it in force.

        Parameters
        ----------
        text : str
            The new configuration text.
        base : int
            Version that the author edited.
        author : str
            Name of the author.
        retired : set of str
            Targets that are retired from their group.

        Returns
        -------
        Applied

        Raises
        ------
        ConfigurationError
            If the text has findings; nothing was changed.
        StoreConflict
            If `base` is not the current version; nothing was changed.
        StoreUnavailable
            If the store did not answer; the edit may have taken effect.
        """
        parsed = parsing.parse_plan(text)
        current = await self._current()
        if current.version < self.version:
            current = await self._write_again(current)
        if current.version != base:
            raise exceptions.StoreConflict(
                f"version {base} is not the current one, {current.version}"
            )
        self.activate(current.version, current.text)
        check_transition(self.plan, parsed, retired)
        edit = interfaces.ConfigurationVersion(
            text, uuid.uuid4().hex, author, current.edit_ids()
        )
        version = await self._write(edit, base)
        self.activate(version, edit)
        return AcceptedEdit(version, edit)

    async def _current(self):
        stored = await self._store.get(interfaces.CONFIGURATION_KEY)
        if stored is None:
            return AcceptedEdit(0, None)
        return AcceptedEdit(stored.version, decode_configuration(stored))

    async def _write_again(self, current):
        """Write a configuration to a store that has lost the one in force.

        A store that was restored from an older copy counts versions from
        there. A lower version than the one in force is put into force by no
        instance, so the text is written until its version is high enough. An
        edit that was made since the restore replaces the lost ones.

        Parameters
        ----------
        current : AcceptedEdit
            The edit that the store holds.

        Returns
        -------
        AcceptedEdit
            The edit that the store holds now.
        """
        lost = current.text is None or (
            self.text.includes(current.text.edit_id)
        )
        text = self.text if lost else current.text
        version = self.version if lost else self.version + 1
        event(
            log.warning,
            "configuration_lost",
            stored=current.version,
            version=self.version,
            edited_since=not lost,
        )
        value = msgspec.json.encode(text)
        while current.version < version:
            stored = await self._store.put(
                interfaces.CONFIGURATION_KEY, value, current.version
            )
            current = AcceptedEdit(stored.version, text)
        return current

    async def _write(self, edit, base):
        value = msgspec.json.encode(edit)
        last_failure = None
        for _attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                stored = await self._store.put(
                    interfaces.CONFIGURATION_KEY, value, base
                )
            except exceptions.StoreConflict:
                # An earlier attempt may have taken effect although its
                # answer was lost. This one then conflicts with it.
                current = await self._current()
                if current.text and current.text.includes(edit.edit_id):
                    return base + 1
                raise
            except exceptions.StoreUnavailable as exc:
                last_failure = exc
            else:
                return stored.version
        raise last_failure


def decode_configuration(stored):
    """Return the `ConfigurationVersion` in an object; None if unreadable."""
    return storedobjects.decode(
        interfaces.CONFIGURATION_KEY, stored, interfaces.ConfigurationVersion
    )


def check_transition(current, parsed, retired):
    """Check that a plan may replace the current one.

    Parameters
    ----------
    current, parsed : Plan
        The plan in force and the new one.
    retired : set of str
        Targets that are retired from their group.

    Raises
    ------
    ConfigurationError
        If the change has findings.
    """
    finding_list = findings.FindingList("configuration")
    checks.check_change(current, parsed, retired, finding_list)
    if finding_list.found:
        raise exceptions.ConfigurationError(finding_list.in_order())
