"""Decodes the objects in a response; an unreadable one costs itself alone."""

import logbook

from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge.platform import decoding
from balsamhinge.platform import envelopes
from balsamhinge.platform import fields
from balsamhinge.policy import revisions

__all__ = ["RecordDecoder"]

DECODERS = {
    interfaces.ROUTES: decoding.routing_table,
    interfaces.TARGETS: decoding.serving_target,
}
# Limits the records, and the kinds of faults, that are remembered.
MAX_REMEMBERED = 1000

log = logbook.Logger(__name__)


class RecordDecoder:
    """Decodes objects, and logs once what cannot be decoded.

    A configuration, and an object that cannot be decoded, may be read each
    second. It is not decoded, nor logged, again while it is unchanged.
    """

    def __init__(self):
        # By kind and name.
        self._remembered = {}
        self._logged = set()

    def decode_objects(self, kind, incarnation, items):
        """Decode the objects of a list.

        Parameters
        ----------
        kind : str
            Kind of the records.
        incarnation : int
            Incarnation of the store that listed them.
        items : list
            The objects.

        Returns
        -------
        list of Record
            In the same order. The value of one that another writer has
            stored is None if it cannot be decoded; one whose name or
            revision cannot be decoded is left out.
        """
        stored, error = _decode_all(items, envelopes.decode_object)
        left_out = len(items) - len(stored)
        fault = kind, left_out, error
        if left_out and fault not in self._logged:
            if len(self._logged) >= MAX_REMEMBERED:
                self._logged.clear()
            self._logged.add(fault)
            _log_left_out(kind, left_out, error)
        return [self.decode_record(kind, incarnation, one) for one in stored]

    def decode_events(self, kind, incarnation, items):
        """Decode the events of a watch, see `decode_objects`.

        Returns
        -------
        list of RecordChange
        """
        stored, error = _decode_all(items, envelopes.decode_event)
        if len(stored) < len(items):
            _log_left_out(kind, len(items) - len(stored), error)
        return [
            interfaces.RecordChange(
                self.decode_record(kind, incarnation, one), deleted
            )
            for one, deleted in stored
        ]

    def decode_record(self, kind, incarnation, stored):
        """Decode a `StoredObject` into a `Record`."""
        revision = revisions.compose(incarnation, stored.number)
        decode = DECODERS.get(kind)
        if decode is None:
            return interfaces.Record(stored.name, revision, stored.spec)
        key = kind, stored.name
        known = self._remembered.get(key)
        if known is not None and known.revision == revision:
            return known
        value = decode(stored.name, stored.spec)
        record = interfaces.Record(stored.name, revision, value)
        if value is None or kind == interfaces.ROUTES:
            if len(self._remembered) >= MAX_REMEMBERED:
                self._remembered.clear()
            self._remembered[key] = record
        return record


def _decode_all(items, decode):
    """Return what could be decoded, and the last error."""
    decoded, error = [], ""
    for item in items:
        try:
            decoded.append(decode(item))
        except fields.InvalidField as exc:
            error = str(exc)
    return decoded, error


def _log_left_out(kind, count, error):
    event(
        log.warning,
        "store_objects_unreadable",
        kind=kind,
        count=count,
        error=error,
    )
