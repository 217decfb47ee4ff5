"""Client of the platform's object store over HTTP."""

import re

import httpx

from balsamhinge import exceptions
from balsamhinge import interfaces

__all__ = ["HttpStore"]

CALL_TIMEOUT_S = 2.0
# A connection that is kept may be silent when it is used again, which only a
# timeout would show. Calls are few, so each has a connection of its own.
LIMITS = httpx.Limits(max_keepalive_connections=0)
PRECONDITION_FAILED = 412
NOT_FOUND = 404
NOT_MODIFIED = 304
VERSION = re.compile(r"[0-9]{1,15}", re.ASCII)


class HttpStore(interfaces.ObjectStoreClient):
    """Reads, changes and watches objects.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    token : str
        Bearer token of the requests; "" sends none.
    """

    def __init__(self, url, token=""):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.AsyncClient(
            base_url=url,
            headers=headers,
            timeout=CALL_TIMEOUT_S,
            limits=LIMITS,
            trust_env=False,
        )

    async def get(self, key):
        """See `ObjectStoreClient.get`."""
        response = await self._send("GET", key)
        return (
            None
            if response.status_code == NOT_FOUND
            else _decode_object(response)
        )

    async def put(self, key, value, if_version):
        """See `ObjectStoreClient.put`."""
        headers = {"If-Match": str(if_version)}
        response = await self._send("PUT", key, headers, value)
        if response.status_code == PRECONDITION_FAILED:
            raise exceptions.StoreConflict(response.text)
        return interfaces.StoredObject(_decode_version(response), value)

    async def watch(self, key, after, wait_s, timeout_s):
        """See `ObjectStoreClient.watch`."""
        params = {"after": after, "wait": wait_s}
        response = await self._send(
            "GET", key, params=params, timeout_s=timeout_s
        )
        if response.status_code in (NOT_FOUND, NOT_MODIFIED):
            return None
        return _decode_object(response)

    async def _send(
        self,
        method,
        key,
        headers=None,
        content=None,
        params=None,
        timeout_s=CALL_TIMEOUT_S,
    ):
        try:
            response = await self._client.request(
                method,
                f"/objects/{key}",
                headers=headers,
                content=content,
                params=params,
                timeout=timeout_s,
            )
        except httpx.HTTPError as exc:
            message = f"{type(exc).__name__} {exc}".strip()
            raise exceptions.StoreUnavailable(message) from exc
        expected = (PRECONDITION_FAILED, NOT_FOUND, NOT_MODIFIED)
        if response.is_success or response.status_code in expected:
            return response
        raise exceptions.StoreUnavailable(f"status {response.status_code}")

    async def close(self):
        """Close the connections to the platform."""
        await self._client.aclose()


def _decode_object(response):
    """Decode a response into a `StoredObject` object.

    Raises
    ------
    StoreUnavailable
        If it has no version.
    """
    return interfaces.StoredObject(_decode_version(response), response.content)


def _decode_version(response):
    text = response.headers.get("ETag", "")
    if not VERSION.fullmatch(text):
        raise exceptions.StoreUnavailable("no version in the response")
    return int(text)
