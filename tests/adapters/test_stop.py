"""Guards against a stop that fails at a connection that is half closed."""

import asyncio
import socket

from tests import callnodes
from tests.adapters import test_calls

LARGE = 8_000_000


async def async_stop_beside_half_closed(node, raw):
    """Return the response to a call that still runs when the stop ends."""
    kept = test_calls.build_request('GET', '/large').replace(
        b'Connection: close\r\n', b''
    )
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((callnodes.HOST, node.port))
        caller.setblocking(False)
        # The caller reads only the beginning of the first response, then sends
        # another request and closes its direction.
        await loop.sock_sendall(caller, kept)
        head = await loop.sock_recv(caller, 100)
        assert head.startswith(b'HTTP/1.1 200')
        await loop.sock_sendall(caller, kept.replace(b'/large', b'/'))
        await asyncio.sleep(0.02)
        caller.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.2)
        assert len(raw.requests) == 2
        reader, writer = await asyncio.open_connection(
            callnodes.HOST, node.port
        )
        writer.write(kept.replace(b'/large', b'/slow'))
        await asyncio.sleep(0.05)
        fault = ''
        try:
            await node.server.async_close(0.2)
        except RuntimeError as error:
            fault = repr(error)
        try:
            response = await asyncio.wait_for(reader.read(), 0.5)
        except TimeoutError:
            response = b''
        writer.close()
    return fault, response


@test_calls.on_loop
async def test_call_that_ended_on_a_closing_connection_does_not_break_a_stop():
    large = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % LARGE
    large += bytes(LARGE)

    async def async_respond(head):
        if b'/large' in head:
            return large
        await asyncio.sleep(1 if b'/slow' in head else 0.1)
        return test_calls.OK

    (node,), raw = await test_calls.async_build(async_respond)
    try:
        fault, response = await async_stop_beside_half_closed(node, raw)
    finally:
        node.services.outbound.close()
        for connection in list(node.server._connections):
            connection._transport.abort()
        await asyncio.sleep(0.05)
    assert not fault
    assert response.startswith(b'HTTP/1.1 504')
