"""Guards against requests of operators that are lost or misread."""

import asyncio
import json

import pytest
from tornado import web

from shallotwharf.adapters import admin, capacity
from shallotwharf.core import counters
from tests import callnodes
from tests.adapters import test_calls


class Echo(web.RequestHandler):
    async def put(self):
        await asyncio.sleep(0)
        self.set_header('X-Peer', self.request.remote_ip)
        self.finish(self.request.body)

    def get(self):
        self.finish({'x': self.get_query_argument('x', '')})

    def delete(self):
        raise ValueError('a fault of the handler')


class Server:
    def __init__(self):
        self.port = callnodes.find_port()
        self.capacity = capacity.Capacity(counters.Counters())
        self.server = admin.WebServer(
            (callnodes.HOST, self.port), [('/', Echo)], self.capacity
        )
        self.server.listen()

    async def async_fetch(self, text):
        received = await callnodes.async_fetch(self.port, text)
        await asyncio.sleep(0.02)
        assert self.capacity.memory.held_bytes == 0
        return received.partition(b'\r\n\r\n')[::2]


def write(method, path='/', *lines, body=b''):
    head = [f'{method} {path} HTTP/1.1', 'Host: x', 'Connection: close', *lines]
    return '\r\n'.join([*head, '', '']).encode() + body


@pytest.mark.parametrize('size', [0, 10, 1_000_000])
@test_calls.on_loop
async def test_body_arrives_whole(size):
    server = Server()
    body = b'x' * size
    head, got = await server.async_fetch(
        write('PUT', '/', f'Content-Length: {size}', body=body)
    )
    assert head.startswith(b'HTTP/1.1 200 OK\r\n')
    assert b'X-Peer: 127.0.0.1' in head
    assert got == body
    await server.server.async_close()


@pytest.mark.parametrize(
    ('text', 'status'),
    [
        (write('GET', '/?x=1'), 200),
        (write('HEAD'), 405),
        (write('DELETE'), 500),
        (write('GET', '/other'), 404),
        (write('PUT', '/', 'Content-Length: 8388609'), 413),
        (write('PUT', '/', 'Content-Length: no'), 400),
        (b'GET / HTTP/1.1\r\nConnection: close\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a b\r\nConnection: close\r\n\r\n', 400),
        (write('GET', '/', 'X: ' + 'x' * 60_000), 200),
        (write('GET', '/', 'X: ' + 'x' * 66_000), 431),
        (b'GET / HTTP/1.0\r\n\r\n', 200),
        (b'nonsense\r\n\r\n', 400),
    ],
)
@test_calls.on_loop
async def test_each_request_gets_a_status(text, status):
    server = Server()
    head, got = await server.async_fetch(text)
    assert int(head.split(b' ')[1]) == status
    if status == 413:
        assert json.loads(got) == {'reason': 'body_too_large', 'not_run': True}
    await server.server.async_close()


@test_calls.on_loop
async def test_requests_of_a_connection_are_answered_in_order():
    server = Server()
    text = b''.join(
        b'PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\n%02d\r\n0\r\n\r\n' % number
        for number in range(20)
    )
    received = await callnodes.async_fetch(server.port, text + write('GET'))
    bodies = [part[:2] for part in received.split(b'\r\n\r\n')[1:-1]]
    assert bodies == [b'%02d' % number for number in range(20)]
    await server.server.async_close()
