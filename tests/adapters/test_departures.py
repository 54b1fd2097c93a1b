"""Guards against work for callers that have left."""

import asyncio
import socket
import struct

import pytest

from tests.adapters import test_calls, test_pipeline


@pytest.mark.parametrize('resets', [True, False])
@test_calls.on_loop
async def test_caller_that_leaves_its_backlog_is_noticed(resets):
    """Guards against connections that are kept for as long as they wait."""
    # More than is read ahead of the running request.
    backlog = test_pipeline.write('GET', '/next') * 6000
    nodes, upstream, _, writer = await test_pipeline.async_open(1, backlog)
    (connection,) = nodes[0].server._connections
    assert connection.find_unread() is not None
    if resets:
        opened = writer.get_extra_info('socket')
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()
    else:
        writer.transport.abort()
    for _ in range(200):
        await asyncio.sleep(0.02)
        if not nodes[0].server._connections:
            break
    assert not nodes[0].server._connections
    assert nodes[0].services.memory.held_bytes == 0
    assert nodes[0].services.active == 0
    assert len(upstream.started) == 8
