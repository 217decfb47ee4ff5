"""Client of the platform's object store, which decodes its objects."""

import collections
import urllib.parse

import logbook

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.logs import event
from balsamhinge import metrics
from balsamhinge.platform import decoding
from balsamhinge.platform import http

__all__ = ["PlatformObjects"]

PATH = "/balsamhinge/objects"
# The platform's names of these kinds of objects; all other kinds have the
# same name in the store.
PLATFORM_KINDS = {interfaces.ROUTES: "config", interfaces.TARGETS: "servers"}
DECODERS = {
    interfaces.ROUTES: decoding.routing_table,
    interfaces.TARGETS: decoding.serving_target,
}
CALL_TIMEOUT_S = 1.0
# The store answers a watch at most this long after the requested wait; added
# to the wait, it is the timeout of the call.
WATCH_TIMEOUT_MARGIN_S = 1.0
# Limits the pages of one list; a page holds some hundred records.
MAX_LIST_PAGES = 100
# The header of each response that counts the incarnations of the store: it
# begins a new one when it is restored from an older copy.
INCARNATION_HEADER = "store-era"

log = logbook.Logger(__name__)


class PlatformObjects(interfaces.RecordStore):
    """Lists, watches and changes objects over HTTP.

    Parameters
    ----------
    address : str
        IP:port of the platform's object store.
    """

    def __init__(self, address):
        self._client = http.HttpClient(address)
        self._call_counts = collections.Counter()
        self._incarnation = None

    async def list(self, kind):
        """See `RecordStore.list`."""
        records, after, as_of = {}, "", None
        for _page in range(MAX_LIST_PAGES):
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            body = await self._call("GET", self._path(kind) + query)
            # The revision of the first page: a watch from there also delivers
            # changes to earlier pages made while later ones are read.
            as_of = int(body["as_of"]) if as_of is None else as_of
            for item in body["items"]:
                record = _decode_record(kind, item)
                records[record.name] = record
                after = record.name
            if not body.get("more") or not body["items"]:
                break
        return interfaces.Listing(records, as_of)

    async def watch(self, kind, after, wait_s):
        """See `RecordStore.watch`."""
        query = f"?watch={after}&wait_ms={int(wait_s * 1000)}"
        body = await self._call(
            "GET",
            self._path(kind) + query,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        changes = []
        for item in body["events"]:
            record = _decode_record(kind, item["object"])
            changes.append(
                interfaces.RecordChange(record, bool(item["deleted"]))
            )
        return interfaces.RecordChanges(changes, int(body["as_of"]))

    async def create(self, kind, name, value):
        """See `RecordStore.create`."""
        body = {"meta": {"name": name}, "spec": value}
        return _decode_record(
            kind, await self._call("POST", self._path(kind), body)
        )

    async def replace(self, kind, name, value, revision):
        """See `RecordStore.replace`."""
        body = {"meta": {"name": name, "revision": revision}, "spec": value}
        path = f"{self._path(kind)}/{urllib.parse.quote(name)}"
        return _decode_record(kind, await self._call("PUT", path, body))

    async def delete(self, kind, name, revision):
        """See `RecordStore.delete`."""
        path = f"{self._path(kind)}/{urllib.parse.quote(name)}"
        await self._call("DELETE", f"{path}?revision={revision}")

    def _path(self, kind):
        return f"{PATH}/{PLATFORM_KINDS.get(kind, kind)}"

    async def _call(self, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
        kind = path.removeprefix(PATH).split("?")[0].split("/")[1]
        call = "watch" if "?watch=" in path else method.lower()
        self._call_counts[f"{call}_{kind}"] += 1
        try:
            response = await self._client.call(
                method, path, body, timeout_s=timeout_s
            )
        except exceptions.PlatformUnavailable as exc:
            metrics.observe_store_call(kind, call, "silent")
            raise exceptions.StoreUnavailable(str(exc)) from exc
        metrics.observe_store_call(kind, call, str(response.status))
        self._observe_incarnation(response)
        match response.status:
            case 200 | 201:
                return response.body
            case 404:
                raise exceptions.RecordNotFound(path)
            case 409:
                raise exceptions.StoreConflict(path)
            case 410:
                raise exceptions.HistoryExpired(path)
        raise exceptions.StoreUnavailable(
            f"{method} {path}: status {response.status}"
        )

    def _observe_incarnation(self, response):
        """Log when the store has been restored from an older copy."""
        incarnation = response.headers.get(INCARNATION_HEADER)
        if incarnation is None or incarnation == self._incarnation:
            return
        event(
            log.notice,
            "store_incarnation",
            incarnation=incarnation,
            earlier=self._incarnation,
        )
        self._incarnation = incarnation

    def pop_call_counts(self):
        """Return the number of calls by name, and reset the counts."""
        counts, self._call_counts = self._call_counts, collections.Counter()
        return counts

    def close(self):
        """Close the connections to the store."""
        self._client.close()


def _decode_record(kind, item):
    """Decode an object of the store into a `Record`.

    The value is None if another writer stored one that cannot be decoded;
    such an object does not affect the others.
    """
    meta = item["meta"]
    decode = DECODERS.get(kind)
    value = item.get("spec")
    if decode is not None:
        value = decode(meta["name"], value)
    return interfaces.Record(str(meta["name"]), int(meta["revision"]), value)
