"""Guards against lost messages and unchecked peers on WebSocket links."""

import asyncio
import socket

import pytest
from websockets.asyncio import client

from shallotwharf.adapters import codec, links
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.core import counters, errors, messages

MESSAGE = replica_messages.NotLeader('a')


def find_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Endpoint:
    def __init__(self, name):
        self.port = find_port()
        self.received = asyncio.Queue()
        self.counters = counters.Counters()
        self.links = links.WebsocketLinks(
            name, '127.0.0.1', self.port, self.counters
        )
        self.links.connect(
            lambda message, sender: self.received.put_nowait((sender, message))
        )

    async def async_receive(self):
        async with asyncio.timeout(5):
            while True:
                sender, message = await self.received.get()
                if not isinstance(message, messages.LinkUp):
                    return sender, message


async def async_start_pair():
    left, right = Endpoint('left'), Endpoint('right')
    await left.links.async_listen()
    await right.links.async_listen()
    left.links.set_address('right', '127.0.0.1', right.port)
    return left, right


def test_reply_uses_the_connection_of_the_request():
    async def async_check():
        left, right = await async_start_pair()
        assert left.links.send('right', MESSAGE)
        assert await right.async_receive() == ('left', MESSAGE)
        assert right.links.send('left', MESSAGE)
        assert await left.async_receive() == ('right', MESSAGE)
        await left.links.async_close()
        assert (await right.async_receive())[1] == messages.LinkDown()
        await right.links.async_close()

    asyncio.run(async_check())


def test_restarted_peer_is_reconnected():
    async def async_check():
        left, right = await async_start_pair()
        left.links.send('right', MESSAGE)
        await right.async_receive()
        await right.links.async_close()
        again = Endpoint('right')
        left.links.set_address('right', '127.0.0.1', again.port)
        await again.links.async_listen()
        async with asyncio.timeout(5):
            while again.received.empty():
                left.links.send('right', MESSAGE)
                await asyncio.sleep(0.05)
        await left.links.async_close()
        await again.links.async_close()

    asyncio.run(async_check())


@pytest.mark.parametrize(
    'first',
    [b'', b'\x00', 'text', codec.encode(MESSAGE)],
)
def test_connection_without_hello_is_refused(first):
    async def async_check():
        left, right = await async_start_pair()
        async with client.connect(f'ws://127.0.0.1:{right.port}') as peer:
            await peer.send(first)
            async with asyncio.timeout(5):
                await peer.wait_closed()
        assert right.counters.read('links.refused') == 1
        assert right.received.empty()
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())


def test_error_names_a_port_that_is_in_use():
    async def async_check():
        left, right = await async_start_pair()
        taken = links.WebsocketLinks(
            'other', '127.0.0.1', right.port, counters.Counters()
        )
        with pytest.raises(errors.LinkError) as caught:
            await taken.async_listen()
        assert caught.value.peer == f'127.0.0.1:{right.port}'
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())
