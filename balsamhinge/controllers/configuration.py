"""The operators' text in force on this instance."""

import uuid

import attrs
import logbook
import msgspec

from balsamhinge.configuration import checks
from balsamhinge.configuration import findings
from balsamhinge.configuration import parsing
from balsamhinge.configuration import plan
from balsamhinge.controllers import changenotifier
from balsamhinge import exceptions
from balsamhinge import links
from balsamhinge.logs import event

__all__ = ["AcceptedEdit", "ConfigurationController", "decode_configuration"]

SETTLE_ATTEMPTS = 3
HISTORY_LENGTH = 20
EDITS_KEPT = 20

log = logbook.Logger(__name__)


@attrs.frozen
class AcceptedEdit:
    """An accepted edit.

    Parameters
    ----------
    version : int
        Version that it has in the store.
    text : TextVersion
        The edit.
    """

    version: int
    text: links.TextVersion | None

    def edit_ids(self):
        """Return this edit and those before it, latest first."""
        if self.text is None:
            return []
        return [self.text.edit_id, *self.text.earlier][:EDITS_KEPT]


class ConfigurationController:
    """Holds the newest text that this instance has heard of.

    Parameters
    ----------
    store : StoreLink
        Where texts are kept.
    """

    def __init__(self, store):
        self._store = store
        self.version = 0
        self.text = None
        self.plan = plan.Plan()
        self.changes = changenotifier.ChangeNotifier()
        self.history = []

    def activate(self, version, text):
        """Put a text in force if its version is higher.

        Returns
        -------
        bool
            Whether it was.
        """
        if version <= self.version or text is None:
            return False
        parsed = parsing.parse_plan(text.text)
        self.version = version
        self.text = text
        self.plan = parsed
        self.history.append(AcceptedEdit(version, text))
        del self.history[:-HISTORY_LENGTH]
        event(log.info, "configuration_in_force", version=version)
        self.changes.notify_all()
        return True

    def activate_stored(self, stored):
        """Put an object of the store in force if it is newer."""
        if stored is None or stored.version <= self.version:
            return False
        return self.activate(stored.version, decode_configuration(stored))

    async def apply(self, text, base, author, retired):
        """Accept an edit.

        Parameters
        ----------
        text : str
            The new text.
        base : int
            Version that the author edited.
        author : str
            Who it is.
        retired : set of str
            Targets that have left their group.

        Returns
        -------
        Applied

        Raises
        ------
        ConfigurationError
            The text has findings; nothing was changed.
        StoreConflict
            Another edit came first; nothing was changed.
        StoreUnavailable
            Whether the edit took effect can not be told now.
        """
        parsed = parsing.parse_plan(text)
        current = await self._current()
        if current.version != base:
            raise exceptions.StoreConflict(
                f"version {base} is not the current one, {current.version}"
            )
        self.activate(current.version, current.text)
        check_follows(self.plan, parsed, retired)
        edit = links.TextVersion(
            text, uuid.uuid4().hex, author, current.edit_ids()
        )
        version = await self._put(edit, base)
        self.activate(version, edit)
        return AcceptedEdit(version, edit)

    async def _current(self):
        stored = await self._store.get(links.CONFIGURATION_KEY)
        if stored is None:
            return AcceptedEdit(0, None)
        return AcceptedEdit(stored.version, decode_configuration(stored))

    async def _put(self, edit, base):
        value = msgspec.json.encode(edit)
        failure = None
        for _attempt in range(SETTLE_ATTEMPTS):
            try:
                stored = await self._store.put(
                    links.CONFIGURATION_KEY, value, base
                )
            except exceptions.StoreConflict:
                # The answer may have been lost after the change took
                # effect; a further attempt then meets its own version.
                current = await self._current()
                if current.text and current.text.includes(edit.edit_id):
                    return base + 1
                raise
            except exceptions.StoreUnavailable as exc:
                failure = exc
            else:
                return stored.version
        raise failure


def decode_configuration(stored):
    """Return the `TextVersion` that an object of the store holds."""
    return msgspec.json.decode(stored.value, type=links.TextVersion)


def check_follows(current, parsed, retired):
    """Raise ConfigurationError if a plan must not follow the current one.

    Parameters
    ----------
    current, parsed : Plan
        The plan in force and the new one.
    retired : set of str
        Targets that have left their group.
    """
    found = findings.FindingList("configuration")
    checks.check_change(current, parsed, retired, found)
    if found.found:
        raise exceptions.ConfigurationError(found.in_order())
