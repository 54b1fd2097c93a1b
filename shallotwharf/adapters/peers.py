"""Addresses of the clients of connections."""

import asyncio


def find_address(transport: asyncio.BaseTransport) -> str:
    """Return the IP address of a peer; empty if it is not known."""
    peer = transport.get_extra_info('peername')
    return str(peer[0]) if peer else ''
