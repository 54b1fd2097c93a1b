"""Guards against a sample upstream that fails running calls at shutdown.

On SIGTERM it must drain: finish running requests while its node refuses new
ones, then deregister. Also guards against a node that accepts an announcement
with missing or invalid fields.
"""

import asyncio
import json
import signal
import sys

import pytest

from tests import callnodes

PROGRAM = """
import asyncio, sys
from shallotwharf.roles import sample
asyncio.run(sample.async_run(sample.SampleSettings(
    'orders', 'v1', '127.0.0.1', 0, sys.argv[1], delay_ms=300)))
"""


async def async_start(node):
    process = await asyncio.create_subprocess_exec(
        sys.executable, '-c', PROGRAM, f'{callnodes.HOST}:{node.admin_port}'
    )
    for _ in range(200):
        if node.mesh.announcements:
            return process
        await asyncio.sleep(0.05)
    process.kill()
    raise AssertionError('the sample did not announce itself')


async def async_drain_process():
    mesh = callnodes.Mesh()
    node = await callnodes.Node('n0', mesh).async_listen()
    process = await async_start(node)
    await asyncio.sleep(0.05)
    running = asyncio.ensure_future(
        callnodes.async_fetch(node.port, callnodes.build_get())
    )
    await asyncio.sleep(0.1)
    process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    refused = await callnodes.async_fetch(node.port, callnodes.build_get())
    response = await running
    status = await asyncio.wait_for(process.wait(), 10)
    await node.async_close()
    return response, refused, status, mesh.announcements['n0'].state


def test_sigterm_finishes_running_requests_and_refuses_new_ones():
    response, refused, status, state = asyncio.run(async_drain_process())
    assert response.startswith(b'HTTP/1.1 200')
    assert json.loads(response.partition(b'\r\n\r\n')[2])['version'] == 'v1'
    assert refused.startswith(b'HTTP/1.1 503')
    assert b'"not_run": true' in refused
    assert (status, state) == (0, 'gone')


@pytest.mark.parametrize(
    ('document', 'fault'),
    [
        (b'{', 'not JSON'),
        (b'{"service": "a", "version": "b", "port": 1}', 'slots'),
        (
            b'{"service": "a b", "version": "b", "port": 1, "slots": 2}',
            'service',
        ),
    ],
)
def test_invalid_announcement_is_refused(document, fault):
    async def async_run():
        mesh = callnodes.Mesh()
        node = callnodes.Node('n0', mesh)
        head = (
            'PUT /upstream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
            f'Content-Length: {len(document)}\r\n\r\n'
        )
        response = await callnodes.async_fetch(
            node.admin_port, head.encode() + document
        )
        await node.async_close()
        return response, mesh.announcements

    response, known = asyncio.run(async_run())
    assert response.startswith(b'HTTP/1.1 400') and fault.encode() in response
    assert not known
