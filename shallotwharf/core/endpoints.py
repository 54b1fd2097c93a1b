"""Check of addresses that other processes sent."""

import functools
import ipaddress
import typing

_MAX_PORT: typing.Final = 65_535
# Addresses of a few hundred machines, each with a handful of ports.
_CACHE_SIZE: typing.Final = 4096


@functools.lru_cache(_CACHE_SIZE)
def is_valid(host: str, port: int) -> bool:
    """Return whether a host is an IP address and a port is in range.

    Names are not resolved: that would block, or need a thread.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT
