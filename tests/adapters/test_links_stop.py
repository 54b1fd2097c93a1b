"""Guards against a process that outlasts its stop because of a silent peer."""

import asyncio
import base64
import os
import socket
import struct
import time

from shallotwharf.adapters import codec, link_peers, links
from shallotwharf.core import counters, locations
from tests import callnodes


def build_frame(payload):
    head = bytes((0x82, 0x80 | 126)) + struct.pack('>H', len(payload))
    return head + b'\0\0\0\0' + payload


def test_process_ends_soon_although_a_peer_does_not_respond():
    port = callnodes.find_port()
    peers = []

    async def async_run():
        opened = links.WebsocketLinks(
            'n1',
            locations.Location('dc1', 'r1', callnodes.HOST, port, port),
            counters.Counters(),
        )
        linked = asyncio.Event()
        opened.connect(lambda message, peer: linked.set())
        await opened.async_listen()
        # Reads nothing after its hello, like a frozen process.
        peer = socket.create_connection((callnodes.HOST, port))
        peers.append(peer)
        key = base64.b64encode(os.urandom(16)).decode()
        peer.sendall(
            f'GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n'
            f'Connection: Upgrade\r\nSec-WebSocket-Key: {key}\r\n'
            f'Sec-WebSocket-Version: 13\r\n\r\n'.encode()
        )
        hello = link_peers.Hello(
            'n2',
            callnodes.HOST,
            callnodes.find_port(),
            links.PROTOCOL,
            'dc1',
            'r1',
        )
        await asyncio.sleep(0.05)
        peer.sendall(build_frame(codec.encode(hello)))
        await asyncio.wait_for(linked.wait(), 2)
        stopping_at.append(time.monotonic())
        await opened.async_close()

    stopping_at = []
    asyncio.run(async_run())
    took = time.monotonic() - stopping_at[0]
    for peer in peers:
        peer.close()
    assert took < 0.5
