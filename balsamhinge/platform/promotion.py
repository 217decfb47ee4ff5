"""Asks the platform to make a target the primary of its group."""

from balsamhinge import exceptions
from balsamhinge import interfaces
from balsamhinge.platform import http

__all__ = ["PlatformPromotion"]

PATH = "/promotion"
HOLDER_HEADER = "Balsamhinge-Duty-Holder"
FENCE_HEADER = "Balsamhinge-Fencing-Token"


class PlatformPromotion(interfaces.PromotionClient):
    """The platform's call that changes a group's primary.

    Parameters
    ----------
    address : str
        IP:port of the platform.
    """

    def __init__(self, address):
        self._caller = http.HttpCaller(address)

    async def promote(self, group, target, holder, fence, timeout_s):
        """See `PromotionClient.promote`."""
        response = await self._caller.call(
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
        self._caller.close()
