"""Guards against peers that take the memory of a process through its links."""

import asyncio

import pytest
from websockets import exceptions
from websockets.asyncio import client

from shallotwharf.adapters import capacity, codec, link_peers, links
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.core import counters
from tests.adapters import test_calls, test_links

HELLO = codec.encode(link_peers.Hello('other', '127.0.0.1', 1, links.PROTOCOL))
MESSAGE = replica_messages.NotLeader('a')
MEBIBYTE = 1024 * 1024
# Head of a masked binary frame of 1 MiB.
FRAME = b'\x82\xff' + MEBIBYTE.to_bytes(8, 'big') + b'\0\0\0\0'


class Receiver:
    def __init__(self):
        self.counters = counters.Counters()
        self.capacity = capacity.Capacity(self.counters)
        self.port = test_links.find_port()
        self.received = []
        self.links = links.WebsocketLinks(
            'this', test_links.locate(self.port), self.counters, self.capacity
        )
        self.links.connect(lambda message, _: self.received.append(message))

    async def async_connect(self, hello=HELLO):
        if not self.received:
            await self.links.async_listen()
        opened = await client.connect(
            f'ws://127.0.0.1:{self.port}', compression=None
        )
        if hello:
            await opened.send(hello)
            await asyncio.sleep(0.05)
        return opened

    async def async_close(self):
        await self.links.async_close()
        await asyncio.sleep(0.05)
        assert self.capacity.memory.held_bytes == 0


@test_calls.on_loop
async def test_message_in_fragments_ends_its_connection():
    """Guards against fragments of a byte, each of which takes some 200."""
    receiver = Receiver()
    opened = await receiver.async_connect()
    encoded = codec.encode(MESSAGE)
    with pytest.raises(exceptions.ConnectionClosed):
        await opened.send([encoded[:1], encoded[1:]])
        await opened.recv()
    assert MESSAGE not in receiver.received
    await receiver.async_close()


@pytest.mark.parametrize('hello', [HELLO, b''], ids=['known', 'unknown'])
@test_calls.on_loop
async def test_incomplete_message_gives_way(hello):
    receiver = Receiver()
    receiver.capacity.memory.limit_bytes = MEBIBYTE // 2
    opened = await receiver.async_connect(hello)
    opened.transport.write(FRAME + bytes(MEBIBYTE - 1))
    with pytest.raises(exceptions.ConnectionClosed):
        await asyncio.wait_for(opened.wait_closed(), 5)
        await opened.recv()
    assert receiver.counters.read('inbound.memory_full') == 1
    await receiver.async_close()


@test_calls.on_loop
async def test_small_message_arrives_while_the_memory_is_full():
    """Guards against calls that cut the links of a process."""
    receiver = Receiver()
    opened = await receiver.async_connect()
    receiver.capacity.memory.hold(receiver.capacity.memory.limit_bytes)
    for _ in range(3):
        await opened.send(codec.encode(MESSAGE))
    await asyncio.sleep(0.05)
    assert receiver.received.count(MESSAGE) == 3
    receiver.capacity.memory.hold(-receiver.capacity.memory.limit_bytes)
    await opened.close()
    await receiver.async_close()


@test_calls.on_loop
async def test_large_messages_leave_nothing_held():
    receiver = Receiver()
    opened = await receiver.async_connect()
    large = replica_messages.NotLeader('a' * MEBIBYTE)
    for _ in range(3):
        await opened.send(codec.encode(large))
    await asyncio.sleep(0.2)
    assert receiver.received.count(large) == 3
    assert receiver.capacity.memory.held_bytes == 0
    await opened.close()
    await receiver.async_close()


@test_calls.on_loop
async def test_sender_that_does_not_say_who_it_is_is_closed(monkeypatch):
    monkeypatch.setattr(
        'shallotwharf.adapters.link_connection._HELLO_SECONDS', 0.1
    )
    receiver = Receiver()
    opened = await receiver.async_connect(b'')
    await asyncio.wait_for(opened.wait_closed(), 5)
    assert receiver.counters.read('inbound.idle_closed') == 1
    await receiver.async_close()
