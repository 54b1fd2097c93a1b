"""Guards against clients of any port that take a process from the others.

The crowd and the bounds are fixed: a change of the product must not touch them.
Each test runs alone and checks nothing that depends on the machine's speed.
"""

import socket

import pytest

from measurements import site as processes
from tests.processes import crowds

CROWD = 64
BODY = crowds.write_body(4 * crowds.MEBIBYTE)
DESCRIPTOR_LIMIT = 400
IDLE_CROWD = 500
# Half of what is left after 200 descriptors, at three ports, is more than all.
ALL_PORTS_DESCRIPTOR_LIMIT = 1000
ALL_PORTS_MAX_CONNECTIONS = 400
ALL_PORTS_CROWD = 700
# First frame of a WebSocket connection: a binary message of 4 MiB, masked.
FRAME = b'\x82\xff' + (4 * crowds.MEBIBYTE).to_bytes(8, 'big') + b'\0\0\0\0'
HANDSHAKE = (
    b'GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n'
)
MESSAGE = HANDSHAKE + FRAME + bytes(4 * crowds.MEBIBYTE - 1)
PORTS = [
    ('n1', 'call'),
    ('n1', 'admin'),
    ('n1', 'link'),
    ('control-0', 'admin'),
    ('control-0', 'link'),
]


@pytest.fixture
def site(tmp_path):
    with crowds.run_site(tmp_path) as started:
        yield started


def check_served(site):
    """Check that callers and operators get responses."""
    assert crowds.call(site) == 200
    for name in ('n1', 'control-0'):
        port = crowds.find_port(site, name, 'admin')
        assert processes.request(port, '/health')[0] == 200, name


@pytest.mark.parametrize(('process', 'kind'), PORTS)
@pytest.mark.parametrize(
    'text',
    [crowds.LINES, BODY, crowds.CHUNKS, crowds.BYTES, MESSAGE],
    ids=['lines', 'bodies', 'chunks', 'bytes', 'messages'],
)
def test_crowd_leaves_memory_for_others(site, process, kind, text):
    crowded = crowds.Process(site, process)
    crowd = crowds.connect_many(crowds.find_port(site, process, kind), CROWD)
    crowds.send_all(dict.fromkeys(crowd, text))
    check_served(site)
    crowded.check(growth_bytes=crowds.MACHINE_BYTES - crowded.memory)


@pytest.mark.parametrize('kind', ['call', 'admin', 'link'])
@pytest.mark.parametrize('text', [BODY, MESSAGE], ids=['bodies', 'messages'])
def test_low_limit_of_a_node_holds_at_each_port(site, kind, text):
    crowded = crowds.Process(site, 'n1')
    crowd = crowds.connect_many(crowds.find_port(site, 'n1', kind), CROWD)
    crowds.send_all(dict.fromkeys(crowd, text))
    check_served(site)
    crowded.check()


def test_crowds_at_all_ports_of_a_node_leave_memory_for_others(site):
    crowded = crowds.Process(site, 'n1')
    texts = {}
    for kind, text in (('call', BODY), ('admin', BODY), ('link', MESSAGE)):
        port = crowds.find_port(site, 'n1', kind)
        texts |= dict.fromkeys(crowds.connect_many(port, CROWD // 3), text)
    crowds.send_all(texts)
    check_served(site)
    crowded.check()


@pytest.mark.parametrize(('process', 'kind'), PORTS)
@pytest.mark.parametrize('text', [b'', HANDSHAKE], ids=['idle', 'handshakes'])
def test_open_connections_leave_descriptors_for_others(
    tmp_path, process, kind, text
):
    with crowds.run_site(tmp_path, descriptor_limit=DESCRIPTOR_LIMIT) as site:
        crowded = crowds.Process(site, process)
        port = crowds.find_port(site, process, kind)
        crowd = crowds.connect_many(port, IDLE_CROWD)
        crowds.send_all(dict.fromkeys(crowd, text), idle_limit=20)
        check_served(site)
        assert crowded.count_descriptors() < DESCRIPTOR_LIMIT
        crowded.check()


def test_idle_connections_at_all_ports_leave_descriptors(tmp_path):
    with crowds.run_site(
        tmp_path,
        descriptor_limit=ALL_PORTS_DESCRIPTOR_LIMIT,
        max_connections=ALL_PORTS_MAX_CONNECTIONS,
    ) as site:
        crowded = crowds.Process(site, 'n1')
        for kind in ('call', 'admin', 'link'):
            port = crowds.find_port(site, 'n1', kind)
            crowds.connect_many(port, ALL_PORTS_CROWD)
        check_served(site)
        assert 'accept_failed' not in site.read_log('n1')
        assert crowded.count_descriptors() < ALL_PORTS_DESCRIPTOR_LIMIT
        crowded.check()


@pytest.mark.parametrize(('process', 'kind'), PORTS)
def test_burst_of_connections_leaves_descriptors(tmp_path, process, kind):
    """Guards against more connections in one pass than descriptors are left."""
    with crowds.run_site(tmp_path, descriptor_limit=DESCRIPTOR_LIMIT) as site:
        port = crowds.find_port(site, process, kind)
        with crowds.suspend(site, process):
            crowds.begin_connecting(port, IDLE_CROWD)
        check_served(site)
        assert 'accept_failed' not in site.read_log(process)
        assert 'Too many open files' not in site.read_log(process)


def test_body_that_keeps_moving_is_served(site):
    """A body of 14 s is within all limits of the pages."""
    port = crowds.find_port(site, 'n1', 'call')
    head = crowds.START + b'Connection: close\r\nContent-Length: 140\r\n\r\n'
    with socket.create_connection((processes.HOST, port)) as opened:
        opened.sendall(head)
        for _ in range(140):
            processes.time.sleep(0.1)
            opened.sendall(b'x')
        with opened.makefile('rb') as received:
            assert received.readline().startswith(b'HTTP/1.1 200 ')


def test_chunks_that_keep_moving_are_served(site):
    port = crowds.find_port(site, 'n1', 'call')
    with socket.create_connection((processes.HOST, port)) as opened:
        opened.sendall(crowds.CHUNKED)
        for _ in range(28):
            processes.time.sleep(0.5)
            opened.sendall(b'1;odd=yes\r\nx\r\n')
        opened.sendall(b'0\r\n\r\n')
        with opened.makefile('rb') as received:
            assert received.readline().startswith(b'HTTP/1.1 200 ')
