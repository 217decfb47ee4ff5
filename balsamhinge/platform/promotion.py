"""Client of the platform's promotion call."""

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.platform import http

__all__ = ["PlatformPromotion"]

PATH = "/promotion"
HOLDER_HEADER = "Balsamhinge-Duty-Holder"
FENCE_HEADER = "Balsamhinge-Fencing-Token"


class PlatformPromotion(interfaces.PromotionClient):
    """Asks the platform to make a target the primary of its group.

    Parameters
    ----------
    address : str
        IP:port of the platform.
    """

    def __init__(self, address):
        self._client = http.HttpClient(address)

    async def promote(self, group, target, holder, fence, timeout_s):
        """See `PromotionClient.promote`."""
        response = await self._client.call(
            "POST",
            PATH,
            {"service_name": group, "id": target},
            [(HOLDER_HEADER, holder), (FENCE_HEADER, str(fence))],
            timeout_s,
        )
        if response.status != 200:
            raise exceptions.PromotionRefused(
                f"{target}: status {response.status}"
            )

    def close(self):
        """Close the connections to the platform."""
        self._client.close()
