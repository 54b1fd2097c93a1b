"""Guards against work for callers that have left."""

import asyncio
import socket
import struct

import pytest

from shallotwharf.adapters import limits
from tests import callnodes
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


@pytest.mark.parametrize(
    ('held', 'idle_seconds', 'status'),
    [(0, 5, 200), (0, 0.15, 408), (600_000, 5, 408)],
    ids=['calm', 'stopped', 'short'],
)
@test_calls.on_loop
async def test_slow_body_is_refused_only_while_room_is_short(
    monkeypatch, held, idle_seconds, status
):
    monkeypatch.setattr(limits, 'BODY_PERIOD_SECONDS', 0.2)
    (node,), _ = await test_calls.async_build(test_calls.OK)
    node.server.limits.idle_seconds = idle_seconds
    node.services.memory.limit_bytes = 1_000_000
    node.services.memory.hold(held)
    reader, writer = await asyncio.open_connection(callnodes.HOST, node.port)
    writer.write(test_pipeline.write('PUT', '/', 'Content-Length: 4'))
    for _ in range(4):
        writer.write(b'x')
        await asyncio.sleep(0.3)
    line = await asyncio.wait_for(reader.readline(), 5)
    assert int(line.split()[1]) == status
    writer.close()
