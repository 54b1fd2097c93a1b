"""Guards against mismatched, unsigned and forged messages over sockets."""

import asyncio
import re

import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.platform import header_format
from tests import callnodes
from tests.adapters import test_calls as raw_calls

SIGNED_HEADERS = b'Attempt-Id: a1\r\nResponse-Signature: s\r\n'
RUN = b''
# Headers of a refusal, with and without the id of its request.
WITH_ID = b'Not-Executed: 1\r\nAttempt-Id: %b\r\n'
BARE = b'Not-Executed: %.0b1\r\n'


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


class RepeatingUpstream:
    """Upstream that sends each response a second time.

    Attributes:
        script: for each request in turn whether it is run (`RUN`) or refused,
            with or without an id, and how many bytes of the second copy follow
            the response at once; the rest precedes the next response.
        runs: ids of the requests that it ran.
        connections: number of connections that it accepted.
    """

    def __init__(self, script):
        self.script = list(script)
        self.runs = []
        self.connections = 0

    async def async_serve(self, reader, writer):
        self.connections += 1
        late = b''
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if head.startswith(b'POST'):
                    await reader.readexactly(1)
                answer, early = self.answer(head)
                if late:
                    writer.write(late)
                    await asyncio.sleep(0.003)
                late = b'' if early is None else answer[early:]
                writer.write(answer + answer[: early or 0])
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, head):
        number = re.search(rb'Attempt-Id: (\w+)', head)[1]
        kind, early = self.script.pop(0) if self.script else (RUN, None)
        if kind != RUN:
            return build_answer(b'', kind % number, b'503 Busy'), early
        self.runs.append(number)
        more = SIGNED_HEADERS.replace(b'a1', number)
        return build_answer(number, more), early


async def async_send(node, number, method='POST'):
    path = '/cut' if method == 'POST' else '/'
    return await raw_calls.async_call(
        node,
        method,
        path,
        f'Attempt-Id: {number}',
        body='x' if method == 'POST' else None,
    )


async def async_build_repeating(script, count):
    nodes, _ = await async_build(build_answer(), count)
    raw = RepeatingUpstream(script)
    port = callnodes.find_port()
    await asyncio.start_server(raw.async_serve, callnodes.HOST, port)
    nodes[-1].announce(port, instance='i-2')
    await asyncio.sleep(0.01)
    return nodes, raw


@pytest.mark.parametrize(('count', 'refusals'), [(1, 3), (2, 1)])
@raw_calls.on_loop
async def test_repeated_refusal_without_an_id_ends_no_later_request(
    count, refusals
):
    nodes, raw = await async_build_repeating([(BARE, 0)] * refusals, count)
    first, _ = await async_send(nodes[0], 'a1')
    assert (first, raw.runs.count(b'a1')) in {(503, 0), (200, 1)}
    assert await async_send(nodes[0], 'a2') == (200, b'a2')
    assert raw.runs.count(b'a2') == 1
    assert nodes[-1].counters.read('outbound.unproved') == refusals


@pytest.mark.parametrize('count', [1, 2])
@raw_calls.on_loop
async def test_repeated_refusal_with_an_id_does_not_end_its_retry(count):
    nodes, raw = await async_build_repeating([(WITH_ID, 0)] * 2, count)
    assert await async_send(nodes[0], 'a1') == (200, b'a1')
    assert raw.runs == [b'a1']


@raw_calls.on_loop
async def test_responses_with_ids_keep_their_connection():
    script = [(RUN, None)] * 3 + [(WITH_ID, None)]
    nodes, raw = await async_build_repeating(script, 2)
    for number in range(9):
        assert (await async_send(nodes[0], f'a{number}'))[0] == 200
    # The retry of the refused request needs another one.
    assert raw.connections == 2


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    strategies.integers(1, 2),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([RUN, BARE, WITH_ID]),
            strategies.sampled_from([None, 0, 0, 60]),
        ),
        min_size=4,
        max_size=8,
    ),
    strategies.lists(
        strategies.sampled_from(['GET', 'POST']), min_size=2, max_size=4
    ),
)
@hypothesis.example(1, [(BARE, 0)] * 3, ['POST', 'POST'])
@hypothesis.example(2, [(WITH_ID, 0)] * 2, ['POST', 'GET'])
@raw_calls.on_loop
async def test_second_copy_of_a_response_ends_no_other_request(
    count, script, methods
):
    nodes, raw = await async_build_repeating(script, count)
    for order, method in enumerate(methods):
        number = f'a{order}'
        status, body = await async_send(nodes[0], number, method)
        ran = raw.runs.count(number.encode())
        if status == 200:
            assert body == number.encode()
        if method == 'POST':
            assert (status, ran) in {(200, 1), (503, 0), (502, 0), (502, 1)}
    for node in nodes:
        await node.async_close()


@pytest.mark.parametrize('count', [1, 2])
@raw_calls.on_loop
async def test_repeated_response_to_head_does_not_hide_the_next_one(count):
    """Guards against a body that is read as a response of its own."""
    forged = build_answer(b'forged', SIGNED_HEADERS.replace(b'a1', b'a2'))
    whole = build_answer(forged, SIGNED_HEADERS.replace(b'a1', b'a2'))
    size = len(whole) - len(forged)
    late = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n' % size
    late += SIGNED_HEADERS + b'\r\n'
    nodes, raw = await async_build(late, count)
    assert await async_send(nodes[0], 'a1', 'HEAD') == (200, b'')
    raw.response = lambda _: late + whole if len(raw.requests) == 2 else whole
    assert await async_send(nodes[0], 'a2', 'GET') == (200, forged)


@raw_calls.on_loop
async def test_upstream_that_leaves_is_not_used_after_a_restart_of_its_node():
    """Guards against a node that offers it again, as of a late check-in."""
    leaving = SIGNED_HEADERS + b'Server-Leaving: 1\r\n'
    nodes, raw = await async_build(build_answer(more=leaving), count=2)
    caller, beside = nodes
    assert await async_call(caller) == (200, b'ok')
    await beside.async_close()
    restarted = await callnodes.Node('n1', caller.mesh).async_listen()
    restarted.services.header_format = caller.services.header_format
    restarted.gate._announcer._generation = 1000
    restarted.announce(raw.port, instance='i-1')
    caller.deliver_announcements()
    status, _ = await async_call(caller)
    assert (status, len(raw.requests)) == (503, 1)
