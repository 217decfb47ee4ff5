"""The platform's store of objects, and what its objects mean."""

import collections
import urllib.parse

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge import metrics
from balsamhinge.platform import decoding
from balsamhinge.platform import http

__all__ = ["PlatformObjects"]

PATH = "/balsamhinge/objects"
# The platform's kinds for what the product calls so; the product's own
# kinds have the same name in both.
KINDS = {interfaces.ROUTES: "config", interfaces.TARGETS: "servers"}
DECODERS = {
    interfaces.ROUTES: decoding.routing_table,
    interfaces.TARGETS: decoding.serving_target,
}
CALL_S = 1.0
# A waiting watch is answered at most so much later than it waits.
WATCH_MARGIN_S = 1.0
# Pages of one list; each holds some hundred records.
LIST_PAGES = 100


class PlatformObjects(interfaces.RecordStore):
    """Lists, watches and changes objects.

    Parameters
    ----------
    address : str
        IP:port of the platform's store.
    """

    def __init__(self, address):
        self._caller = http.HttpCaller(address)
        self._calls = collections.Counter()

    async def list(self, kind):
        """See `RecordStore.list`."""
        records, after, as_of = {}, "", None
        for _page in range(LIST_PAGES):
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            body = await self._call("GET", self._path(kind) + query)
            # What changes on an earlier page meanwhile comes with a watch
            # from there.
            as_of = int(body["as_of"]) if as_of is None else as_of
            for item in body["items"]:
                record = _record(kind, item)
                records[record.name] = record
                after = record.name
            if not body.get("more") or not body["items"]:
                break
        return interfaces.Listing(records, as_of)

    async def watch(self, kind, after, wait_s):
        """See `RecordStore.watch`."""
        query = f"?watch={after}&wait_ms={int(wait_s * 1000)}"
        body = await self._call(
            "GET", self._path(kind) + query, timeout_s=wait_s + WATCH_MARGIN_S
        )
        changes = []
        for event in body["events"]:
            record = _record(kind, event["object"])
            changes.append(
                interfaces.RecordChange(record, bool(event["deleted"]))
            )
        return interfaces.RecordChanges(changes, int(body["as_of"]))

    async def create(self, kind, name, value):
        """See `RecordStore.create`."""
        body = {"meta": {"name": name}, "spec": value}
        return _record(kind, await self._call("POST", self._path(kind), body))

    async def replace(self, kind, name, value, revision):
        """See `RecordStore.replace`."""
        body = {"meta": {"name": name, "revision": revision}, "spec": value}
        path = f"{self._path(kind)}/{urllib.parse.quote(name)}"
        return _record(kind, await self._call("PUT", path, body))

    async def delete(self, kind, name, revision):
        """See `RecordStore.delete`."""
        path = f"{self._path(kind)}/{urllib.parse.quote(name)}"
        await self._call("DELETE", f"{path}?revision={revision}")

    def _path(self, kind):
        return f"{PATH}/{KINDS.get(kind, kind)}"

    async def _call(self, method, path, body=None, timeout_s=CALL_S):
        kind = path.removeprefix(PATH).split("?")[0].split("/")[1]
        call = "watch" if "?watch=" in path else method.lower()
        self._calls[f"{call}_{kind}"] += 1
        try:
            response = await self._caller.call(
                method, path, body, timeout_s=timeout_s
            )
        except exceptions.PlatformUnavailable as exc:
            metrics.observe_store_call(kind, call, "silent")
            raise exceptions.StoreUnavailable(str(exc)) from exc
        metrics.observe_store_call(kind, call, str(response.status))
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

    def take_calls(self):
        """Return how many calls were made by name, and forget it."""
        calls, self._calls = self._calls, collections.Counter()
        return calls

    def close(self):
        """Close the connections to the store."""
        self._caller.close()


def _record(kind, item):
    """Return the record that an object holds.

    The value is None where another writer left what cannot be read: such
    an entry names nothing, and harms nothing.
    """
    meta = item["meta"]
    decode = DECODERS.get(kind)
    value = item.get("spec")
    if decode is not None:
        value = decode(meta["name"], value)
    return interfaces.Record(str(meta["name"]), int(meta["revision"]), value)
