"""Check of addresses that other processes sent."""

import ipaddress
import typing

_MAX_PORT: typing.Final = 65_535


def is_valid(host: str, port: int) -> bool:
    """Return whether a host is an IP address and a port is in range.

    Names are not resolved: that would block, or need a thread.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT
