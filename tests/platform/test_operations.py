"""Guards against failures whose cause cannot be found in the logs by id.

Provokes failures and follows the steps of docs/OPERATIONS.md.
"""

import asyncio
import re

import pytest

from shallotwharf.components.tables import pool, route, version
from shallotwharf.components.upstream import settings
from shallotwharf.core import logs
from shallotwharf.platform import header_format
from tests import callnodes
from tests.adapters import test_calls as raw_calls
from tests.platform import test_calls as platform_calls

TABLES = version.Tables(
    (route.Route('r', '/', ('GET',), 'orders', retries=0, aim_ms=50),),
    (pool.Pool('orders', 'orders', {}),),
)


@pytest.fixture
def lines(monkeypatch):
    written = []

    def record(event, **fields):
        written.append(logs.format_pairs(event, fields))

    monkeypatch.setattr(logs, 'write_call', record)
    return written


def find(lines, request_id):
    """Return the fields of all log lines with the id of a request."""
    found = [line for line in lines if f' id={request_id} ' in line]
    return [dict(re.findall(r'(\w+)=(\S+)', line)) for line in found]


async def async_fail(answer, request_id, slots=4):
    """Call a node whose upstream sends `answer`; return the status."""
    mesh = callnodes.Mesh()
    node = callnodes.Node('n0', mesh, settings.GateSettings(queue_limit=0))
    await node.async_listen()
    node.services.header_format = header_format.PlatformHeaderFormat('s')
    node.apply(version.Version(2, TABLES))
    raw = await raw_calls.RawUpstream(answer).async_start()
    node.announce(raw.port, slots=slots, instance='i-1')
    await asyncio.sleep(0.01)
    if slots == 1:
        busy = asyncio.ensure_future(
            raw_calls.async_call(node, 'GET', '/', 'Attempt-Id: a1')
        )
        await asyncio.sleep(0.02)
    got = await raw_calls.async_call(
        node, 'GET', '/', f'Attempt-Id: {request_id}'
    )
    if slots == 1:
        await busy
    return got[0]


@raw_calls.on_loop
async def test_refusal_names_its_reason_and_that_it_did_not_run(lines):
    async def answer(_head):
        await asyncio.sleep(0.2)
        return platform_calls.build_answer()

    assert await async_fail(lambda head: answer(head), 'a9', slots=1) == 503
    refused = find(lines, 'a9')[-1]
    assert refused['event'] == 'call_refused'
    assert (refused['reason'], refused['not_run']) == ('slots_full', 'True')


@raw_calls.on_loop
async def test_lost_response_names_the_node_and_that_it_may_have_run(lines):
    assert await async_fail(b'', 'a2') == 502
    attempt, refused = find(lines, 'a2')
    assert attempt['event'] == 'call_not_retried'
    assert attempt['node'] == 'n0'
    assert attempt['reason'] == 'closed_without_answer/route_limit'
    assert refused['not_run'] == 'False' and refused['number'] == '2'


@raw_calls.on_loop
async def test_late_response_names_the_attempt_that_took_the_time(lines):
    async def answer(_head):
        await asyncio.sleep(0.1)
        return platform_calls.build_answer(
            more=b'Attempt-Id: a3\r\nResponse-Signature: s\r\n'
        )

    assert await async_fail(lambda head: answer(head), 'a3') == 200
    (late,) = find(lines, 'a3')
    assert (late['event'], late['reason']) == ('call_late', 'aim_50')
    assert int(late['attempt_ms']) >= 100
    assert int(late['call_ms']) - int(late['attempt_ms']) < 50


@raw_calls.on_loop
async def test_forged_id_cannot_hide_a_line(lines):
    forged = 'a4" event=call_late'
    assert await async_fail(b'', forged) == 502
    assert all(line.startswith('event=call_') for line in lines)
    assert not any(line.startswith('event=call_late') for line in lines)
