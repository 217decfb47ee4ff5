"""Client of the platform's object store, which decodes its objects."""

import collections
import contextlib
import re
import urllib.parse

import attrs

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge import metrics
from balsamhinge.platform import decoding
from balsamhinge.platform import envelopes
from balsamhinge.platform import fields
from balsamhinge.platform import http
from balsamhinge.platform import recorddecoding
from balsamhinge.policy import revisions

__all__ = ["PlatformObjects"]

PATH = "/balsamhinge/objects"
# The platform's names of these kinds of objects; all other kinds have the
# same name in the store.
PLATFORM_KINDS = {interfaces.ROUTES: "config", interfaces.TARGETS: "servers"}
# Parts of responses that may be unreadable on their own. Only in the content
# of a configuration are there entries that are used without the others.
RESPONSE_PARTS = {
    PLATFORM_KINDS[interfaces.ROUTES]: envelopes.response_parts(
        decoding.ROUTING_TABLE_PARTS
    )
}
OTHER_RESPONSE_PARTS = envelopes.response_parts()
CALL_TIMEOUT_S = 1.0
# Limits the pages of one list; a page holds some hundred records.
MAX_LIST_PAGES = 100
# Header of each response that counts the incarnations of the store, from 1.
INCARNATION_HEADER = "store-era"
FIRST_INCARNATION = 1
# Six digits do not exceed `revisions.MAX_INCARNATION`.
INCARNATION_TEXT = re.compile(r"[0-9]{1,6}", re.ASCII)


@attrs.frozen
class _Answer:
    """Body of a response, and the incarnation of the store that gave it."""

    body: object
    incarnation: int

    def decode_revision(self, number):
        """Return a number in the body as a revision."""
        return revisions.compose(self.incarnation, number)

    def decode_as_of(self):
        """Return the store's revision of which the body is."""
        return self.decode_revision(
            envelopes.decode_number(self.body, "as_of")
        )


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
        # Latest incarnation that any response told of.
        self._incarnation = None
        self._decoder = recorddecoding.RecordDecoder()

    async def list(self, kind):
        """See `RecordStore.list`."""
        records, after, as_of = {}, "", None
        for _page in range(MAX_LIST_PAGES):
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            answer = await self._call("GET", self._path(kind) + query)
            with _unavailable_if_unreadable():
                page_as_of = answer.decode_as_of()
                items = envelopes.decode_list(answer.body, "items")
            # The revision of the first page: a watch from there also delivers
            # changes to earlier pages made while later ones are read.
            if as_of is None:
                as_of = page_as_of
            if answer.incarnation != revisions.incarnation_of(as_of):
                raise exceptions.StoreUnavailable(
                    f"the store was restored while {kind} were listed"
                )
            page = self._decoder.decode_objects(
                kind, answer.incarnation, items
            )
            records |= {record.name: record for record in page}
            if not answer.body.get("more") or not items:
                break
            after = _next_page(kind, after, page)
        return interfaces.Listing(records, as_of)

    async def watch(self, kind, after, wait_s, timeout_s):
        """See `RecordStore.watch`."""
        if self._was_restored_since(after):
            raise exceptions.HistoryExpired(kind)
        number = revisions.number_of(after)
        query = f"?watch={number}&wait_ms={int(wait_s * 1000)}"
        answer = await self._call(
            "GET", self._path(kind) + query, timeout_s=timeout_s
        )
        if self._was_restored_since(after):
            # The store has given out that revision again.
            raise exceptions.HistoryExpired(kind)
        with _unavailable_if_unreadable():
            as_of = answer.decode_as_of()
            items = envelopes.decode_list(answer.body, "events")
        changes = self._decoder.decode_events(kind, answer.incarnation, items)
        return interfaces.RecordChanges(changes, as_of)

    async def create(self, kind, name, value):
        """See `RecordStore.create`."""
        body = {"meta": {"name": name}, "spec": value}
        answer = await self._call("POST", self._path(kind), body)
        return self._decode_written(kind, answer)

    async def replace(self, kind, name, value, revision):
        """See `RecordStore.replace`."""
        number = revisions.number_of(revision)
        body = {"meta": {"name": name, "revision": number}, "spec": value}
        path = f"{self._path(kind)}/{urllib.parse.quote(name)}"
        answer = await self._call_if_current("PUT", path, revision, body)
        return self._decode_written(kind, answer)

    def _decode_written(self, kind, answer):
        """Return the record in the answer to a write."""
        with _unavailable_if_unreadable():
            stored = envelopes.decode_object(answer.body)
        return self._decoder.decode_record(kind, answer.incarnation, stored)

    async def delete(self, kind, name, revision):
        """See `RecordStore.delete`."""
        path = f"{self._path(kind)}/{urllib.parse.quote(name)}"
        number = revisions.number_of(revision)
        await self._call_if_current(
            "DELETE", f"{path}?revision={number}", revision
        )

    async def _call_if_current(self, method, path, revision, body=None):
        """Make a call whose condition is a revision of the present store.

        A restored store may have given out the revision again, for another
        change of the same record.
        """
        if self._was_restored_since(revision):
            raise exceptions.StoreConflict(path)
        answer = await self._call(method, path, body)
        if self._was_restored_since(revision):
            raise exceptions.StoreConflict(f"{path}: made after a restore")
        return answer

    def _was_restored_since(self, revision):
        """Return whether the store was restored after a revision was told."""
        known = self._incarnation
        return known is not None and (
            revisions.incarnation_of(revision) < known
        )

    def _path(self, kind):
        return f"{PATH}/{PLATFORM_KINDS.get(kind, kind)}"

    async def _call(self, method, path, body=None, timeout_s=CALL_TIMEOUT_S):
        kind = path.removeprefix(PATH).split("?")[0].split("/")[1]
        call = "watch" if "?watch=" in path else method.lower()
        self._call_counts[f"{call}_{kind}"] += 1
        try:
            response = await self._client.call(
                method,
                path,
                body,
                timeout_s=timeout_s,
                parts=RESPONSE_PARTS.get(kind, OTHER_RESPONSE_PARTS),
            )
        except exceptions.PlatformUnavailable as exc:
            metrics.observe_store_call(kind, call, "silent")
            raise exceptions.StoreUnavailable(str(exc)) from exc
        metrics.observe_store_call(kind, call, str(response.status))
        incarnation = self._decode_incarnation(response)
        match response.status:
            case 200 | 201:
                return _Answer(response.body, incarnation)
            case 404:
                raise exceptions.RecordNotFound(path)
            case 409:
                raise exceptions.StoreConflict(path)
            case 410:
                raise exceptions.HistoryExpired(path)
        raise exceptions.StoreUnavailable(
            f"{method} {path}: status {response.status}"
        )

    def _decode_incarnation(self, response):
        """Return the incarnation of the store that gave a response.

        Raises
        ------
        StoreUnavailable
            If the response was given before the store was restored.
        """
        text = response.headers.get(INCARNATION_HEADER, str(FIRST_INCARNATION))
        if not INCARNATION_TEXT.fullmatch(text):
            raise exceptions.StoreUnavailable(
                f"unreadable {INCARNATION_HEADER}: {fields.shown(text)}"
            )
        incarnation = max(0, int(text) - FIRST_INCARNATION)
        earlier = self._incarnation
        if earlier is not None and incarnation < earlier:
            raise exceptions.StoreUnavailable(
                f"response of incarnation {incarnation}, before {earlier}"
            )
        self._incarnation = incarnation
        return incarnation

    def pop_call_counts(self):
        """Return the number of calls by name, and reset the counts."""
        counts, self._call_counts = self._call_counts, collections.Counter()
        return counts

    def close(self):
        """Close the connections to the store."""
        self._client.close()


@contextlib.contextmanager
def _unavailable_if_unreadable():
    """Raise `StoreUnavailable` for a response that cannot be decoded."""
    try:
        yield
    except fields.InvalidField as exc:
        raise exceptions.StoreUnavailable(f"unreadable: {exc}") from exc


def _next_page(kind, after, page):
    """Return the name after which the next page of a list begins.

    Raises
    ------
    StoreUnavailable
        If the page has no readable name to continue from.
    """
    if not page or page[-1].name == after:
        raise exceptions.StoreUnavailable(f"a page of {kind} has no names")
    return page[-1].name
