"""Guards against lost messages and unchecked peers on WebSocket links."""

import asyncio
import socket
import zlib

import pytest
from websockets.asyncio import client

from shallotwharf.adapters import codec, link_frames, link_peers, links
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.core import counters, errors, locations, messages

MESSAGE = replica_messages.NotLeader('a')


def find_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def locate(port, datacentre='a'):
    """Return the location of a process; data centres x* are in region x."""
    return locations.Location(datacentre, datacentre[0], '127.0.0.1', port, 0)


class Endpoint:
    def __init__(self, name, datacentre='a'):
        self.port = find_port()
        self.received = asyncio.Queue()
        self.counters = counters.Counters()
        self.links = links.WebsocketLinks(
            name, locate(self.port, datacentre), self.counters
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


async def async_start_pair(datacentre='a'):
    left, right = Endpoint('left'), Endpoint('right', datacentre)
    await left.links.async_listen()
    await right.links.async_listen()
    left.links.set_address('right', '127.0.0.1', right.port)
    return left, right


@pytest.mark.parametrize(
    ('host', 'port'), [('127.0.0.1', 70_000), ('\0', 1), ('no-address', 1)]
)
def test_invalid_address_is_not_connected_to(host, port):
    """Guards against a task that ends with an error of the arithmetic."""

    async def async_check():
        left, _ = await async_start_pair()
        left.links.set_address('odd', host, port)
        assert not left.links.send('odd', MESSAGE)
        assert left.counters.read('links.addresses_refused') == 1
        left.links.set_address('right', host, port)
        assert left.links.send('right', MESSAGE)

    asyncio.run(async_check())


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


def test_accepted_connection_ends_a_pending_attempt_to_connect():
    """Guards against messages held for a second after the peer is back.

    A connect to a machine that has no power hangs. Once that machine is back
    and connects itself, its connection must be used at once.
    """

    async def async_check():
        left, right = Endpoint('left'), Endpoint('right')
        await left.links.async_listen()
        with socket.socket() as silent:
            silent.bind(('127.0.0.1', 0))
            silent.listen()
            port = silent.getsockname()[1]
            left.links.set_address('right', '127.0.0.1', port)
            left.links.send('right', MESSAGE)
            await asyncio.sleep(0.1)
            right.links.set_address('left', '127.0.0.1', left.port)
            right.links.send('left', MESSAGE)
            async with asyncio.timeout(0.5):
                await left.async_receive()
                assert await right.async_receive() == ('left', MESSAGE)
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())


def test_first_attempts_to_connect_are_short():
    """Guards against one long attempt to connect to a machine without power.

    It is not answered even after the machine is back, until TCP sends again.
    """

    async def async_check():
        left = Endpoint('left')
        with socket.socket() as silent:
            silent.bind(('127.0.0.1', 0))
            silent.listen()
            silent.setblocking(False)
            port = silent.getsockname()[1]
            left.links.set_address('right', '127.0.0.1', port)
            for _ in range(9):
                left.links.send('right', MESSAGE)
                await asyncio.sleep(0.1)
            silent.accept()[0].close()
            silent.accept()[0].close()
        await left.links.async_close()

    asyncio.run(async_check())


def test_error_names_a_port_that_is_in_use():
    async def async_check():
        left, right = await async_start_pair()
        taken = links.WebsocketLinks(
            'other', locate(right.port), counters.Counters()
        )
        with pytest.raises(errors.LinkError) as caught:
            await taken.async_listen()
        assert caught.value.peer == f'127.0.0.1:{right.port}'
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())


LARGE = replica_messages.NotLeader('abcdefgh' * 4000)


@pytest.mark.parametrize('sender', ['left', 'right'])
def test_large_message_is_compressed_in_both_directions(sender):
    """Guards against whole tables sent between regions uncompressed."""

    async def async_check():
        left, right = await async_start_pair()
        ends = {'left': left, 'right': right}
        left.links.send('right', MESSAGE)
        await right.async_receive()
        right.links.send('left', MESSAGE)
        await left.async_receive()
        source = ends.pop(sender)
        (target_name,) = ends
        before = source.counters.read('links.bytes_sent')
        source.links.send(target_name, LARGE)
        assert (await ends[target_name].async_receive())[1] == LARGE
        sent = source.counters.read('links.bytes_sent') - before
        assert 0 < sent < len(codec.encode(LARGE)) / 4
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())


def test_peer_of_an_earlier_release_gets_no_compressed_frame():
    """Guards against frames that an earlier release cannot read."""

    async def async_check():
        left, right = await async_start_pair()
        hello = codec.encode(link_peers.Hello('old', '127.0.0.1', 1, 1))
        async with client.connect(f'ws://127.0.0.1:{right.port}') as peer:
            await peer.send(hello)
            await peer.send(codec.encode(MESSAGE))
            await right.async_receive()
            right.links.send('old', LARGE)
            async with asyncio.timeout(5):
                assert await peer.recv(decode=False) == codec.encode(LARGE)
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())


@pytest.mark.parametrize(
    ('datacentre', 'distance'),
    [('a', 'datacentre'), ('a2', 'region'), ('b', 'remote')],
)
def test_bytes_are_counted_by_message_and_distance(datacentre, distance):
    """Guards against traffic between regions that no metric shows."""

    async def async_check():
        left, right = await async_start_pair(datacentre)
        left.links.send('right', MESSAGE)
        await right.async_receive()
        right.links.send('left', MESSAGE)
        await left.async_receive()
        before = left.counters.read('links.bytes_sent')
        left.links.send('right', MESSAGE)
        await right.async_receive()
        name = f'{distance}.{MESSAGE.tag}'
        size = len(codec.encode(MESSAGE))
        assert left.counters.read('links.bytes_sent') == before + size
        assert left.counters.read(f'links.sent_bytes.{name}') == size
        assert right.counters.read(f'links.sent_messages.{name}') == 1
        await left.links.async_close()
        await right.links.async_close()

    asyncio.run(async_check())


@pytest.mark.parametrize(
    'damage',
    [
        lambda frame: frame[:-1],
        lambda frame: frame[:20] + b'\x00' + frame[21:],
        lambda frame: zlib.compress(bytes(2_000_000)),
    ],
    ids=['truncated', 'changed', 'too large'],
)
def test_damaged_compressed_frame_is_refused(damage):
    """Guards against unbounded memory for a small frame, and wrong bytes."""
    frame = link_frames.pack(codec.encode(LARGE))
    assert link_frames.unpack(frame, 1_000_000, 'peer') == codec.encode(LARGE)
    with pytest.raises(errors.ProtocolError) as caught:
        link_frames.unpack(damage(frame), 1_000_000, 'peer')
    assert caught.value.peer == 'peer'
