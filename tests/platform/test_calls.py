"""Guards against mismatched, unsigned and forged messages over sockets."""

import asyncio
import socket
import struct

import pytest

from shallotwharf.platform import header_format
from tests import callnodes
from tests.adapters import test_calls as raw_calls

SIGNED_HEADERS = b'Attempt-Id: a1\r\nResponse-Signature: s\r\n'


def build_answer(body=b'ok', more=SIGNED_HEADERS, status=b'200 OK'):
    head = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n' % (status, len(body))
    return head + more + b'\r\n' + body


async def async_build(answer, count=1, is_public=False):
    nodes, raw = await raw_calls.async_build(answer, count, instance='i-1')
    for node in nodes:
        node.services.header_format = header_format.PlatformHeaderFormat(
            'caller'
        )
    nodes[0].server.is_public = is_public
    return nodes, raw


async def async_call(node, method='GET', path='/', *lines):
    body = 'x' if method == 'POST' else None
    return await raw_calls.async_call(
        node, method, path, 'Attempt-Id: a1', *lines, body=body
    )


@pytest.mark.parametrize('count', [1, 2])
@raw_calls.on_loop
async def test_response_of_an_earlier_request_is_dropped(count):
    late = build_answer(b'late', b'Attempt-Id: a0\r\nResponse-Signature: s\r\n')
    nodes, raw = await async_build(late + build_answer(), count)
    assert await async_call(nodes[0], 'POST', '/cut') == (200, b'ok')
    assert len(raw.requests) == 1
    assert nodes[-1].counters.read('outbound.foreign') == 1


@pytest.mark.parametrize('count', [1, 2])
@raw_calls.on_loop
async def test_start_of_a_second_response_never_joins_the_next_one(count):
    """Guards against a failure that gets the status of leftover bytes."""
    second = build_answer(b'')
    nodes, raw = await async_build(second, count)
    for end in range(1, len(second) + 1):
        responses = iter(
            [build_answer() + second[:end], build_answer(status=b'500 Oops')]
        )
        raw.response = lambda _: next(responses)
        assert await async_call(nodes[0]) == (200, b'ok')
        got = await async_call(nodes[0], 'POST', '/cut')
        assert got == (500, b'ok'), second[:end]


@pytest.mark.parametrize('count', [1, 2])
@raw_calls.on_loop
async def test_response_without_a_length_ends_with_its_connection(count):
    open_ended = b'HTTP/1.1 200 OK\r\n' + SIGNED_HEADERS + b'\r\nwhole'
    nodes, _ = await async_build(open_ended + b'CUT', count)
    assert await async_call(nodes[0], 'POST', '/cut') == (200, b'whole')


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (build_answer(more=b'Attempt-Id: a1\r\n'), 502),
        (build_answer(more=SIGNED_HEADERS + b'Content-Encoding: br\r\n'), 502),
        (build_answer(status=b'503 Busy'), 502),
        (build_answer(status=b'503 Busy', more=b'Not-Executed: 1\r\n'), 503),
        (build_answer(status=b'500 Oops'), 500),
    ],
)
@raw_calls.on_loop
async def test_caller_gets_only_verified_responses(answer, status):
    nodes, _ = await async_build(answer, 2)
    got, _ = await async_call(nodes[0], 'POST', '/cut')
    assert got == status


@raw_calls.on_loop
async def test_caller_cannot_forge_headers_of_a_node():
    nodes, raw = await async_build(build_answer(), is_public=True)
    forged = ('Shallotwharf-Forwarded: 0 other v9 0', 'Shallotwharf-Attempt: x')
    assert (await async_call(nodes[0], 'GET', '/', *forged))[0] == 200
    assert b'Shallotwharf' not in raw.requests[0]
    assert b'Caller-Service: caller' in raw.requests[0]
    assert b'Target-Instance: i-1' in raw.requests[0]


@raw_calls.on_loop
async def test_reset_does_not_complete_a_response_without_a_length():
    async def reset(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n' + SIGNED_HEADERS + b'\r\npart')
        await writer.drain()
        await asyncio.sleep(0.05)
        # With a linger time of 0 the socket is closed by a reset.
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()

    nodes, _ = await async_build(build_answer())
    port = callnodes.find_port()
    await asyncio.start_server(reset, callnodes.HOST, port)
    nodes[0].announce(port, instance='i-2')
    await asyncio.sleep(0.01)
    assert (await async_call(nodes[0], 'POST', '/cut'))[0] == 502
