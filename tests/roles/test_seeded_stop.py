"""Guards against calls that a stopping node takes but cannot finish."""

import asyncio
import json
import re

from shallotwharf.adapters import header_format
from shallotwharf.components.call import budget
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.tables import version
from shallotwharf.core import call_interfaces, locations
from shallotwharf.roles.node import seeded as node_process
from shallotwharf.roles.settings import seeded
from tests import callnodes
from tests.adapters import test_calls

LEAVE_MS = 300
STOP_MS = 1200
# Longer than a response takes, and shorter than the shortest deadline used.
AT_ONCE_SECONDS = 0.15


class FrontEnd(node_process.FrontEnd):
    def listen(self, status, registry):
        self.registry = registry

    async def async_close(self):
        pass


class StoppingNode:
    """A node process whose calls go to the upstream of another node."""

    async def async_start(self, respond, leave_ms=LEAVE_MS, stop_ms=STOP_MS):
        (self.other,), self.raw = await test_calls.async_build(respond)
        host = callnodes.HOST
        self.port = callnodes.find_port()
        self.process = node_process.SeededNodeProcess(
            seeded.SeededNode(
                host,
                locations.Location(
                    'dc1',
                    'r1',
                    host,
                    callnodes.find_port(),
                    callnodes.find_port(),
                ),
                callnodes.find_port(),
                self.port,
                (),
                budget.Limits(),
                leave_ms,
                stop_ms,
            ),
            FrontEnd(),
            header_format.StandardHeaderFormat(),
        )
        await self.process.async_start()
        dispatcher = self.process._runtime.dispatcher
        dispatcher.deliver(
            tables.VersionApplied(version.Version(1, callnodes.TABLES)),
            host,
        )
        dispatcher.deliver(
            membership.AnnouncementsChanged(
                tuple(self.other.mesh.announcements.values())
            ),
            host,
        )
        return self

    async def async_stop(self):
        await self.process.async_stop()
        self.process._services.outbound.close()
        await self.other.async_close()
        await asyncio.sleep(0.01)

    async def async_open(self, count):
        return [
            await asyncio.open_connection(callnodes.HOST, self.port)
            for _ in range(count)
        ]


def build_call(run_ms, deadline_ms):
    return (
        f'POST /cut/{run_ms} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n'
        f'Shallotwharf-Deadline-Ms: {deadline_ms}\r\n\r\n'
    ).encode()


async def async_respond(head):
    run_ms = int(re.search(rb'/cut/(\d+)', head)[1])
    await asyncio.sleep(run_ms / 1000)
    return test_calls.OK


def read_status(response):
    return int(response.split(b' ')[1]) if response else 0


async def async_keep_busy(node, connections, run_ms, deadline_ms):
    """Send a call every 40 ms, each on its own connection.

    Returns the responses, empty for a connection that was closed without one,
    each with the seconds that it took.
    """
    loop = asyncio.get_running_loop()
    started = []
    for reader, writer in connections:
        writer.write(build_call(run_ms, deadline_ms))
        sent_at = loop.time()
        reading = async_read(reader, writer, sent_at)
        started.append(asyncio.ensure_future(reading))
        await asyncio.sleep(0.04)
    return await asyncio.gather(*started)


async def async_read(reader, writer, sent_at):
    """Return a response and the seconds that it took."""
    try:
        response = await reader.read()
    except ConnectionResetError:
        response = b''
    writer.close()
    return response, asyncio.get_running_loop().time() - sent_at


@test_calls.on_loop
async def test_no_call_on_a_kept_connection_is_cut_at_the_end_of_a_stop():
    node = await StoppingNode().async_start(async_respond)
    kept = await node.async_open(34)
    stopped = asyncio.ensure_future(node.async_stop())
    ended = await async_keep_busy(node, kept, run_ms=100, deadline_ms=400)
    await stopped
    # A request that crosses the close of its connection is not read.
    read = [response for response, _ in ended if response]
    assert {read_status(response) for response in read} <= {200, 503}
    served = sum(read_status(response) == 200 for response in read)
    # What was passed on was answered.
    assert served == len(node.raw.requests) > 10
    for response, seconds in ended:
        if read_status(response) == 503:
            refusal = json.loads(response.partition(b'\r\n\r\n')[2])
            assert refusal['not_run'] and b'Retry-After' in response
            assert seconds < AT_ONCE_SECONDS


async def async_call(node):
    """Return the status of a call on a new connection; 0 without a response."""
    try:
        ((reader, writer),) = await node.async_open(1)
    except ConnectionRefusedError:
        return 0
    writer.write(build_call(run_ms=20, deadline_ms=200))
    response, _ = await async_read(reader, writer, 0)
    return read_status(response)


@test_calls.on_loop
async def test_callers_that_stay_during_a_stop_are_answered():
    node = await StoppingNode().async_start(async_respond)
    stopped = asyncio.ensure_future(node.async_stop())
    started = []
    # Goes on after callers have had time to notice the stop.
    for _ in range((LEAVE_MS + 300) // 20):
        started.append(asyncio.ensure_future(async_call(node)))
        await asyncio.sleep(0.02)
    assert set(await asyncio.gather(*started)) == {200}
    await stopped


@test_calls.on_loop
async def test_call_that_outlasts_a_stop_gets_a_response():
    node = await StoppingNode().async_start(async_respond)
    ((reader, writer),) = await node.async_open(1)
    writer.write(build_call(run_ms=3000, deadline_ms=2500))
    await asyncio.sleep(0.05)
    await node.async_stop()
    response, _ = await async_read(reader, writer, 0)
    assert read_status(response) == 504
    assert not json.loads(response.partition(b'\r\n\r\n')[2])['not_run']


@test_calls.on_loop
async def test_attempt_of_another_node_that_may_outlast_a_stop_is_refused():
    # Long enough that the gate is open at the start of the stop.
    node = await StoppingNode().async_start(async_respond, 1000, 2400)
    node.process._front_end.registry.announce(
        call_interfaces.UpstreamDescription(
            'orders', 'v1', callnodes.HOST, node.raw.port, 4, 0, 'i1'
        )
    )
    stopped = asyncio.ensure_future(node.async_stop())
    await asyncio.sleep(0)
    reader, writer = await asyncio.open_connection(
        callnodes.HOST, node.process._settings.call_port
    )
    writer.write(
        b'POST /cut/2900 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n'
        b'Shallotwharf-Attempt: n9-1.1\r\n'
        b'Shallotwharf-Forwarded: 0 orders v1 0\r\n'
        b'Shallotwharf-Deadline-Ms: 5000\r\n\r\n'
    )
    response, _ = await async_read(reader, writer, 0)
    await stopped
    assert read_status(response) == 503
    assert not node.raw.requests
