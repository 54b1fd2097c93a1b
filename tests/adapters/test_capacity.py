"""Guards against ports that take what a process has from other ports."""

import asyncio

import pytest

from shallotwharf.adapters import admin, capacity
from shallotwharf.core import counters
from tests import callnodes
from tests.adapters import test_calls

LIMIT = 1_000_000


async def async_serve(shared, name):
    port = callnodes.find_port()
    server = admin.AdminServer(callnodes.HOST, port, {}, shared_capacity=shared)
    server.port_name = name
    server.listen()
    return server, port


async def async_send(port, size, sent):
    reader, writer = await asyncio.open_connection(callnodes.HOST, port)
    writer.write(
        b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % size
        + b'x' * sent
    )
    await asyncio.sleep(0.05)
    return reader, writer


@test_calls.on_loop
async def test_largest_request_of_any_port_gives_way():
    shared = capacity.Capacity(counters.Counters())
    shared.memory.limit_bytes = LIMIT
    servers = [await async_serve(shared, name) for name in ('one', 'two')]
    large, _ = await async_send(servers[0][1], 800_000, 700_000)
    small, writer = await async_send(servers[1][1], 300_000, 200_000)
    assert (await large.readline()).split()[1] == b'503'
    writer.write(b'x' * 100_000)
    assert (await small.readline()).split()[1] == b'404'
    assert shared.counters.read('inbound.memory_full') == 1
    for server, _ in servers:
        await server.async_close()
    assert shared.memory.held_bytes == 0


@pytest.mark.parametrize('count', [1, 3])
@test_calls.on_loop
async def test_log_names_who_gave_way(count, monkeypatch):
    lines = []
    monkeypatch.setattr(
        'shallotwharf.core.logs.warn',
        lambda event, **fields: lines.append((event, fields)),
    )
    shared = capacity.Capacity(counters.Counters())
    for _ in range(count):
        shared.report('links', 'memory_full', 5, '10.0.0.1')
    assert shared.counters.read('inbound.memory_full') == count
    assert lines == [
        (
            'client_gave_way',
            {
                'port': 'links',
                'peer': '10.0.0.1',
                'reason': 'memory_full',
                'held_bytes': 5,
                'others': 0,
            },
        )
    ]
