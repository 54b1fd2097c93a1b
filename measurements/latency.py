"""Measure the latency that each way of forwarding adds to a call on loopback.

    python -m measurements.latency --calls 3000 --rate 200

`--rate` limits the calls per second of the client over all variants; 0 sends
each call as soon as the previous one completes. `--variants` selects the
variants.

One client calls the variants in turn, one call each, so that load on the
machine affects all of them alike: the upstream directly, an asyncio byte relay,
tornado's server with each outbound client (curl client, pycurl's multi
interface, HTTP1Connection, the adapter `outbound`), and the system's nodes: one
that is also the gate, or two. Each server runs in a separate process.
"""

import argparse
import asyncio
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import time

from tornado import httpserver

from measurements import forwarding
from tests import callnodes

HOST = forwarding.HOST
BODY = b'{"order": 4711, "state": "cutting", "station": 3, "due": "05:40"}'
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n' % len(BODY)
) + BODY
REQUEST = (
    b'GET /status/4711 HTTP/1.1\r\nHost: orders\r\n'
    b'Accept: application/json\r\nUser-Agent: measure\r\n\r\n'
)
WARM_UP_ROUNDS = 200
VARIANTS = (
    'direct',
    'byte_relay',
    'tornado_curl',
    'pycurl_multi',
    'http1connection',
    'tornado_wire',
    'one_node',
    'two_nodes',
)


class Upstream(asyncio.Protocol):
    """Upstream that treats each received segment as a whole request."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(RESPONSE)


class Relay(asyncio.Protocol):
    """Relay that copies bytes between a client and the upstream."""

    __slots__ = (
        'port',
        'upstream',
        'transport',
        'opening',
    )

    def __init__(self, port):
        self.port = port
        self.upstream = None

    def connection_made(self, transport):
        self.transport = transport
        loop = asyncio.get_running_loop()
        self.opening = loop.create_task(
            loop.create_connection(
                lambda: UpstreamToClient(transport), HOST, self.port
            )
        )

    def data_received(self, data):
        if self.upstream is None:
            self.opening.add_done_callback(lambda _: self.data_received(data))
            if self.opening.done():
                self.upstream = self.opening.result()[0]
            return
        self.upstream.write(data)


class UpstreamToClient(asyncio.Protocol):
    __slots__ = ('client',)

    def __init__(self, client):
        self.client = client

    def data_received(self, data):
        self.client.write(data)


async def async_serve(name, ports, upstream_port):
    """Run the server of a variant.

    Args:
        name: name of the variant.
        ports: port of the variant and port of the variant `one_node`.
        upstream_port: port of the upstream.
    """
    loop = asyncio.get_running_loop()
    port = ports[0]
    if name == 'direct':
        await loop.create_server(Upstream, HOST, port)
    elif name == 'byte_relay':
        await loop.create_server(lambda: Relay(upstream_port), HOST, port)
    elif name == 'tornado_curl':
        serve_forwarder(forwarding.make_tornado_curl(upstream_port), port)
    elif name == 'pycurl_multi':
        serve_forwarder(forwarding.CurlMulti(upstream_port).send, port)
    elif name == 'http1connection':
        serve_forwarder(forwarding.Http1Client(upstream_port).send, port)
    elif name == 'tornado_wire':
        serve_forwarder(forwarding.make_outbound(upstream_port), port)
    else:
        await async_serve_node(name, ports, upstream_port)
    await asyncio.Event().wait()


def serve_forwarder(send, port):
    httpserver.HTTPServer(forwarding.Forwarder(send)).listen(port, HOST)


async def async_serve_node(name, ports, upstream_port):
    """Run a node of the system.

    `one_node` is a node that is also the gate of the upstream; `two_nodes` is a
    node that forwards calls to it.
    """
    mesh = callnodes.Mesh()
    node = callnodes.Node('far' if name == 'two_nodes' else 'gate', mesh)
    await node.server.async_listen(HOST, ports[0])
    if name == 'one_node':
        node.announce(upstream_port, slots=50)
        return
    gate_announcement = build_gate_announcement(ports[1])
    mesh.announcements['gate'] = gate_announcement
    node.deliver_announcements()


def build_gate_announcement(port):
    """Return the announcement of the upstream at the `one_node` process."""
    module = callnodes.membership
    member = module.Member('gate', 'dc1', 'r1', HOST, 0, port)
    return module.Announcement(
        member, 'orders', 'v1', module.UPSTREAM_READY, 50, 50, 1
    )


def connect(port):
    end = time.monotonic() + 10
    while True:
        try:
            opened = socket.create_connection((HOST, port))
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(0.05)
            continue
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.settimeout(2)
        return opened


def call(opened):
    """Send one call and return its duration in microseconds."""
    started = time.perf_counter()
    opened.sendall(REQUEST)
    received = b''
    while not received.endswith(BODY):
        received += opened.recv(65536)
    duration_s = time.perf_counter() - started
    assert received.startswith(b'HTTP/1.1 200'), received
    return duration_s * 1_000_000


def measure(ports, variants, count, rate):
    opened = {name: connect(ports[name]) for name in variants}
    times = {name: [] for name in variants}
    pause = 1 / rate if rate else 0
    for round_number in range(WARM_UP_ROUNDS + count):
        for name in variants:
            try:
                duration_us = call(opened[name])
            except OSError as error:
                raise RuntimeError(
                    f'{name} {round_number}: {error!r}'
                ) from error
            if round_number >= WARM_UP_ROUNDS:
                times[name].append(duration_us)
            if pause:
                time.sleep(pause)
    return times


def report(times):
    direct_median = statistics.median(times['direct'])
    direct_p99 = statistics.quantiles(times['direct'], n=100)[98]
    print(f'load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} CPUs')
    print(
        'variant            median us  99% us  added: median  99%  99%-median'
    )
    for name, durations_us in times.items():
        median = statistics.median(durations_us)
        p99 = statistics.quantiles(durations_us, n=100)[98]
        print(
            f'{name:18} {median:9.0f} {p99:7.0f} {median - direct_median:14.0f}'
            f' {p99 - direct_p99:5.0f} {p99 - direct_median:11.0f}'
        )


def find_ports(count):
    listeners = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def run(options):
    numbers = find_ports(len(VARIANTS))
    ports = dict(zip(VARIANTS, numbers, strict=True))
    processes = []
    for name, port in ports.items():
        command = [
            sys.executable,
            '-m',
            'measurements.latency',
            '--serve',
            name,
            '--ports',
            f'{port},{ports["one_node"]}',
            '--inner',
            str(ports['direct']),
        ]
        processes.append(
            subprocess.Popen(command, cwd=pathlib.Path(__file__).parents[1])
        )
    try:
        variants = options.variants.split(',')
        report(measure(ports, variants, options.calls, options.rate))
    finally:
        for process in processes:
            process.terminate()
            process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--calls', type=int, default=2000)
    parser.add_argument('--rate', type=float, default=200)
    parser.add_argument('--variants', default=','.join(VARIANTS))
    parser.add_argument('--serve', default='')
    parser.add_argument('--ports', default='')
    parser.add_argument('--inner', type=int, default=0)
    options = parser.parse_args()
    if options.serve:
        ports = [int(port) for port in options.ports.split(',')]
        asyncio.run(async_serve(options.serve, ports, options.inner))
    else:
        run(options)


if __name__ == '__main__':
    main()
