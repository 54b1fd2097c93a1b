"""Guards against callers that the close of a listening socket cuts off."""

import asyncio
import errno
import socket

import pytest

from shallotwharf.adapters import listener
from tests import callnodes
from tests.adapters import test_calls

CALLERS = 16


async def async_read(opened):
    """Return all bytes that a caller gets; empty if it is cut off."""
    reader, writer = await asyncio.open_connection(sock=opened)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b''
    finally:
        writer.close()


@pytest.mark.parametrize('steps', range(6))
@test_calls.on_loop
async def test_connection_in_the_queue_of_a_closed_socket_is_served(steps):
    (node,), _ = await test_calls.async_build(test_calls.OK, slots=50)
    callers = []
    for _ in range(CALLERS):
        caller = socket.create_connection((callnodes.HOST, node.port))
        caller.sendall(callnodes.build_get())
        callers.append(caller)
    # Steps of the loop between the arrival of the connections and the close.
    for _ in range(steps):
        await asyncio.sleep(0)
    closed = asyncio.ensure_future(node.server.async_close(5))
    responses = await asyncio.gather(*map(async_read, callers))
    assert await closed
    assert all(found.startswith(b'HTTP/1.1 200') for found in responses)
    node.services.outbound.close()


class FullSocket:
    """Socket that has no descriptor left for the first connections."""

    def __init__(self, wrapped, failures):
        self.wrapped = wrapped
        self.failures = failures

    def accept(self):
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'Too many open files')
        return self.wrapped.accept()

    def __getattr__(self, name):
        return getattr(self.wrapped, name)


@test_calls.on_loop
async def test_lack_of_descriptors_delays_a_connection_only():
    accepted = asyncio.Event()

    class Accepted(asyncio.Protocol):
        def connection_made(self, transport):
            accepted.set()
            transport.close()

    opened = listener.Listener(Accepted, callnodes.HOST, 0)
    opened._socket = FullSocket(opened._socket, 3)
    _, writer = await asyncio.open_connection(
        callnodes.HOST, opened.find_port()
    )
    await accepted.wait()
    assert opened._socket.failures == 0
    writer.close()
    opened.close()
    opened.close()
