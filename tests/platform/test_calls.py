"""Guards against mismatched, unsigned and forged messages over sockets."""

import asyncio

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


LATE = build_answer(b'late', b'Attempt-Id: a0\r\nResponse-Signature: s\r\n')
LENGTH = b'Content-Length: 13\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
# Bytes before a response, its headers without the end, and its body.
FRAMINGS = (
    (b'', LENGTH + SIGNED_HEADERS, raw_calls.BODY),
    (b'', SIGNED_HEADERS + LENGTH, raw_calls.BODY),
    (b'', SIGNED_HEADERS + CHUNKED, raw_calls.CHUNKS),
    (b'', b'Connection: close\r\n' + SIGNED_HEADERS, raw_calls.BODY),
    (raw_calls.HINTS, SIGNED_HEADERS, raw_calls.BODY),
    (LATE, SIGNED_HEADERS, raw_calls.BODY),
    (LATE + raw_calls.HINTS, SIGNED_HEADERS + LENGTH, raw_calls.BODY),
)


@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('end', [b'CUT', raw_calls.RESET])
@pytest.mark.parametrize(('before', 'headers', 'body'), FRAMINGS)
@raw_calls.on_loop
async def test_response_cut_at_any_byte_is_no_success(
    before, headers, body, end, count
):
    """Guards against a partial response that is framed as a complete one.

    Only a response without a length is complete when its connection closes
    after the head; a reset does not complete it.
    """
    head = b'HTTP/1.1 200 OK\r\n' + headers + b'\r\n'
    ends_at_close = LENGTH not in headers and CHUNKED not in headers
    nodes, raw = await async_build(build_answer(), count)
    for size in range(len(head + body) + 1):
        text = before + (head + body)[:size]
        raw.response = lambda head: (
            text + end if b'POST' in head else build_answer()
        )
        if size % 9 == 0:
            # Ten failures in a row would make the upstream unhealthy.
            assert await async_call(nodes[0]) == (200, b'ok')
        status, got = await async_call(nodes[0], 'POST', '/cut')
        if ends_at_close and end == b'CUT' and size >= len(head):
            assert (status, got) == (200, body[: size - len(head)])
        elif size == len(head + body) and not ends_at_close:
            assert (status, got) == (200, raw_calls.BODY)
        else:
            assert status == 502 and b'"not_run": false' in got, text


@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('length', [b'', LENGTH])
@raw_calls.on_loop
async def test_response_that_stops_at_any_byte_is_no_success(length, count):
    """Guards against a partial response that is sent at the deadline."""
    whole = b'HTTP/1.1 200 OK\r\n' + SIGNED_HEADERS + length + b'\r\nok'
    nodes, raw = await async_build(build_answer(), count)
    nodes[-1].announce(raw.port, slots=200, instance='i-1')
    await asyncio.sleep(0.01)
    sizes = iter(range(1, len(whole) + 1))
    raw.response = lambda _: whole[: next(sizes)]
    answers = await asyncio.gather(
        *(
            async_call(nodes[0], 'POST', '/cut', 'Deadline-Ms: 500')
            for _ in whole
        )
    )
    assert {status for status, _ in answers} == {504}
    assert all(b'"not_run": false' in body for _, body in answers)
    assert len(raw.requests) == len(whole)


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
        raw_calls.reset(writer)

    nodes, _ = await async_build(build_answer())
    port = callnodes.find_port()
    await asyncio.start_server(reset, callnodes.HOST, port)
    nodes[0].announce(port, instance='i-2')
    await asyncio.sleep(0.01)
    assert (await async_call(nodes[0], 'POST', '/cut'))[0] == 502
