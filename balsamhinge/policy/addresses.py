"""Checks of network addresses that others have written."""

import ipaddress
import re

__all__ = ["is_endpoint"]

ENDPOINT = re.compile(r"([0-9a-f.:]{2,45}):([1-9][0-9]{0,4})", re.ASCII)
MAX_PORT = 65535


def is_endpoint(text):
    """Return whether a text is an IP:port to which a connection can open."""
    match = ENDPOINT.fullmatch(text)
    if not match or int(match[2]) > MAX_PORT:
        return False
    try:
        address = ipaddress.ip_address(match[1])
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)
