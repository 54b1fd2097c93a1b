"""Crowds of clients that misbehave, against real processes on loopback."""

import contextlib
import os
import pathlib
import resource
import signal
import socket
import struct

from measurements import site as processes

MEBIBYTE = 1024 * 1024
# Limits in the settings of the nodes under test.
REQUEST_MEMORY_BYTES = 8 * MEBIBYTE
MAX_CONNECTIONS = 128
# What a process may take beyond what it has before the crowd: three times the
# limit of the settings, for what the allocator wastes, and the buffers of the
# connections.
GROWTH_BYTES = 40 * MEBIBYTE
# Memory of the smallest machines that the product is made for.
MACHINE_BYTES = 200 * MEBIBYTE
_RESET = struct.pack('ii', 1, 0)
_POLL_SECONDS = 0.01
# Connections to close at the end of a test, also of one that fails.
_opened = []
ROUTES = [
    {
        'name': 'menu',
        'path_prefix': '/menu',
        'pool': 'menu',
        'methods': ['GET', 'PUT'],
    }
]
POOLS = [{'name': 'menu', 'service': 'menu', 'weights': {'v1': 100}}]
START = b'PUT /menu HTTP/1.1\r\nHost: x\r\n'
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'
LINES = START + b''.join(b'%x:\r\n' % number for number in range(2600))[:16_000]
CHUNKS = CHUNKED + (b'8000\r\n' + b'x' * 0x8000 + b'\r\n') * 32
BYTES = CHUNKED + b'1\r\nx\r\n' * 60_000
PIPELINED = b'GET /menu HTTP/1.1\r\nHost: x\r\n\r\n' * 3000


def write_body(size):
    """Return a request whose body lacks its last byte."""
    return START + b'Content-Length: %d\r\n\r\n' % size + b'x' * (size - 1)


class Process:
    """A process under test, with what it held before the crowd."""

    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.pid = site.running[name].pid
        self.memory = self.read_memory('VmRSS')
        self.descriptors = self.count_descriptors()

    def read_memory(self, figure='VmHWM'):
        """Return a figure of the memory in bytes."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith(f'{figure}:'):
                return int(line.split()[1]) * 1024
        raise AssertionError(figure)

    def count_descriptors(self):
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    def check(self, growth_bytes=GROWTH_BYTES, total_bytes=MACHINE_BYTES):
        """Check that it lives, and the most memory that it has had.

        The bound of the growth belongs to the limit in the settings of nodes;
        control processes have the default one.
        """
        assert self.site.running[self.name].poll() is None
        peak = self.read_memory()
        print(
            f'{self.name}: peak={peak} growth={peak - self.memory}'
            f' descriptors={self.count_descriptors()}'
        )
        if self.name in self.site.nodes:
            assert peak - self.memory < growth_bytes
        assert peak < total_bytes


@contextlib.contextmanager
def limit_descriptors(limit):
    """Set the limit of descriptors of the processes that are started."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextlib.contextmanager
def run_site(
    folder,
    names=('n1',),
    descriptor_limit=0,
    max_connections=MAX_CONNECTIONS,
):
    """Run one control process and nodes; the last one has the upstream."""
    started = processes.Site(
        folder, dict.fromkeys(names, 'dc-0'), control_count=1
    )
    for node in started.nodes.values():
        node |= {
            'request_memory_bytes': REQUEST_MEMORY_BYTES,
            'max_connections': max_connections,
        }
    limited = contextlib.nullcontext()
    if descriptor_limit:
        limited = limit_descriptors(descriptor_limit)
    try:
        with limited:
            started.start_all()
        processes.wait_until(started.find_leader)
        started.start_sample(names[-1], 'menu', 'v1')
        tables = started.write_tables(ROUTES, POOLS)
        status, _, errors = started.run_command('apply', *tables, '--wait')
        assert status == 0, errors
        processes.wait_until(lambda: call(started, names[0]) == 200)
        yield started
    finally:
        started.stop_all()
        while _opened:
            _opened.pop().close()


def call(site, node='n1'):
    """Send an ordinary request; return its status."""
    return site.call(node, '/menu', method='PUT', body=b'x' * 100)[0]


def find_port(site, process, kind):
    """Return a port of a process; `kind` is `call`, `admin` or `link`."""
    settings = {peer['name']: peer for peer in site.control} | site.nodes
    return settings[process][f'{kind}_port']


def connect(port):
    opened = socket.create_connection((processes.HOST, port), timeout=10)
    opened.setblocking(False)
    _opened.append(opened)
    return opened


def connect_many(port, count):
    """Open connections until one is not accepted."""
    crowd = []
    with contextlib.suppress(OSError):
        for _ in range(count):
            crowd.append(connect(port))
    return crowd


def begin_connecting(port, count):
    """Open connections without a wait until they are accepted."""
    crowd = []
    for _ in range(count):
        opened = socket.socket()
        opened.setblocking(False)
        opened.connect_ex((processes.HOST, port))
        _opened.append(opened)
        crowd.append(opened)
    return crowd


def send_all(texts, part_bytes=MEBIBYTE, idle_limit=200):
    """Send texts by turns, as far as their connections take them.

    Args:
        texts: what to send on each connection.
        part_bytes: largest part that is sent at a time.
        idle_limit: turns without progress after which it ends.
    """
    rest = dict.fromkeys(texts, 0)
    idle_turns = 0
    while rest and idle_turns < idle_limit:
        idle_turns += 1
        for opened, sent in list(rest.items()):
            with contextlib.suppress(BlockingIOError):
                text = texts[opened]
                try:
                    taken = opened.send(text[sent : sent + part_bytes])
                except ConnectionError:
                    rest.pop(opened)
                    continue
                idle_turns = 0
                rest[opened] = sent + taken
                if sent + taken >= len(text):
                    rest.pop(opened)
        if idle_turns:
            processes.time.sleep(_POLL_SECONDS)


def reset(opened):
    """Close a connection with a reset."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    opened.close()


@contextlib.contextmanager
def suspend(site, name):
    """Stop a process for a while: what connects waits in its queue."""
    running = site.running[name]
    running.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        running.send_signal(signal.SIGCONT)
