"""Guards against links that stay silent after an outage of the network."""

import asyncio
import contextlib

import pytest

from tests.adapters import test_links

# In this time a change must be in force everywhere.
APPLY_SECONDS = 2
REPEAT_SECONDS = 0.5


class Relay:
    """Carries connections to a port until they are silenced."""

    def __init__(self, port):
        self._port = port
        self._server = None
        self._tasks = set()
        self.opened = 0
        self._silenced = 0

    async def async_listen(self):
        self._server = await asyncio.start_server(
            self._async_accept, '127.0.0.1', 0
        )
        return self._server.sockets[0].getsockname()[1]

    def silence(self):
        """Lose all that is sent on the connections so far."""
        self._silenced = self.opened

    async def async_close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.opened += 1
        number = self.opened
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        await asyncio.gather(
            self._async_carry(reader, far_writer, number),
            self._async_carry(far_reader, writer, number),
        )

    async def _async_carry(self, reader, writer, number):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65_536):
                if number > self._silenced:
                    writer.write(chunk)
        if number > self._silenced:
            writer.close()


async def async_start():
    """Return two endpoints with a connection through a relay."""
    left, right = test_links.Endpoint('left'), test_links.Endpoint('right')
    await left.links.async_listen()
    await right.links.async_listen()
    relay = Relay(right.port)
    port = await relay.async_listen()
    left.links.set_address('right', '127.0.0.1', port)
    left.links.send('right', test_links.MESSAGE)
    await right.async_receive()
    return left, right, relay


async def async_repeat(left):
    while True:
        left.links.send('right', test_links.MESSAGE)
        await asyncio.sleep(REPEAT_SECONDS)


async def async_stop(left, right, relay):
    await left.links.async_close()
    await right.links.async_close()
    await relay.async_close()


@pytest.mark.parametrize('quiet_seconds', [0, 1.5])
def test_message_passes_although_the_open_connection_is_silent(quiet_seconds):
    """Guards against a change that waits until a dead connection is closed."""

    async def async_check():
        left, right, relay = await async_start()
        relay.silence()
        await asyncio.sleep(quiet_seconds)
        sending = asyncio.create_task(async_repeat(left))
        async with asyncio.timeout(APPLY_SECONDS):
            assert (await right.async_receive())[0] == 'left'
        sending.cancel()
        await async_stop(left, right, relay)

    asyncio.run(async_check())


def test_peer_that_answers_keeps_its_connection():
    """Guards against new connections to peers that only listen."""

    async def async_check():
        left, right, relay = await async_start()
        for _ in range(6):
            left.links.send('right', test_links.MESSAGE)
            await asyncio.sleep(REPEAT_SECONDS)
        assert relay.opened == 1
        assert left.counters.read('links.replaced') == 0
        await async_stop(left, right, relay)

    asyncio.run(async_check())


def test_silent_connections_do_not_add_up():
    """Guards against another open connection with each outage."""

    async def async_check():
        left, right, relay = await async_start()
        for outage in range(1, 3):
            relay.silence()
            async with asyncio.timeout(5):
                while right.received.empty():
                    left.links.send('right', test_links.MESSAGE)
                    await asyncio.sleep(0.1)
            assert relay.opened == outage + 1
            while not right.received.empty():
                right.received.get_nowait()
        async with asyncio.timeout(APPLY_SECONDS):
            while left.counters.read('links.replaced') < 2:
                await asyncio.sleep(0.1)
        await async_stop(left, right, relay)

    asyncio.run(async_check())
