"""The platform's object store over HTTP."""

import httpx

from balsamhinge import exceptions
from balsamhinge import interfaces

__all__ = ["HttpStore"]

CALL_S = 2.0
CONFLICT = 412
NOT_FOUND = 404
NOT_MODIFIED = 304


class HttpStore(interfaces.ObjectStoreClient):
    """Reads, changes and watches objects.

    Parameters
    ----------
    url : str
        Address of the platform.
    token : str
        Sent as a bearer token, unless it is "".
    """

    def __init__(self, url, token=""):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.AsyncClient(
            base_url=url, headers=headers, timeout=CALL_S, trust_env=False
        )

    async def get(self, key):
        """See `ObjectStoreClient.get`."""
        response = await self._send("GET", key)
        return None if response.status_code == NOT_FOUND else stored(response)

    async def put(self, key, value, if_version):
        """See `ObjectStoreClient.put`."""
        headers = {"If-Match": str(if_version)}
        response = await self._send("PUT", key, headers, value)
        if response.status_code == CONFLICT:
            raise exceptions.StoreConflict(response.text)
        return interfaces.StoredObject(int(response.headers["ETag"]), value)

    async def watch(self, key, after, timeout_s):
        """See `ObjectStoreClient.watch`."""
        params = {"after": after, "wait": timeout_s}
        response = await self._send(
            "GET", key, params=params, timeout_s=timeout_s + CALL_S
        )
        if response.status_code in (NOT_FOUND, NOT_MODIFIED):
            return None
        return stored(response)

    async def _send(
        self,
        method,
        key,
        headers=None,
        content=None,
        params=None,
        timeout_s=CALL_S,
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
            reason = f"{type(exc).__name__} {exc}".strip()
            raise exceptions.StoreUnavailable(reason) from exc
        known = (CONFLICT, NOT_FOUND, NOT_MODIFIED)
        if response.is_success or response.status_code in known:
            return response
        raise exceptions.StoreUnavailable(f"status {response.status_code}")

    async def close(self):
        """Close the connections to the platform."""
        await self._client.aclose()


def stored(response):
    """Return the object that a response holds."""
    return interfaces.StoredObject(
        int(response.headers["ETag"]), response.content
    )
