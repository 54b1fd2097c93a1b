"""Guards against one document of legal size that ends or stops a process.

The documents and the bounds are fixed. Each test runs alone and checks nothing
that depends on the machine's speed.
"""

import json

import pytest

from measurements import site as processes
from tests.processes import crowds

BODY_BYTES = 8 * crowds.MEBIBYTE


def repeat(part, start=b'[', end=b']'):
    """Return a document with as many parts as a body can have."""
    count = (BODY_BYTES - len(start) - len(end)) // (len(part) + 1)
    return start + b','.join([part] * count) + end


def nest(rows, name='routes'):
    """Return an edit whose table of routes or pools has odd rows."""
    tables = {'routes': {'routes': []}, 'pools': {'pools': []}}
    tables[name][name] = rows
    edit = {'request_id': 'r', 'operator': 'o', 'base': 0, **tables}
    return json.dumps(edit).encode()


DOCUMENTS = {
    'lists': repeat(b'[]'),
    'objects': repeat(b'{}'),
    'nested': b'[' + repeat(b'{"a":{"b":{}}}')[1:],
    'texts': repeat(b'"ab"'),
    'numbers': repeat(b'1.5'),
    'wide': '["\U0001f600'.encode() + b'a' * (BODY_BYTES - 10) + b'"]',
    'faults': nest([1] * 2_000_000),
    'methods': nest([{'methods': [1] * 2_000_000}]),
    'keys': nest([{f'k{number}': 0 for number in range(500_000)}]),
    'pools': nest(
        [{'name': 'p', 'weights': dict.fromkeys(map(str, range(400_000)), -1)}],
        'pools',
    ),
    'repeated': b'{'
    + b','.join(b'"%d":0' % number for number in [*range(400_000), 399_999])
    + b'}',
}


@pytest.fixture
def site(tmp_path):
    with crowds.run_site(tmp_path) as started:
        yield started


@pytest.mark.parametrize('name', DOCUMENTS)
@pytest.mark.parametrize(
    ('process', 'method', 'path'),
    [('n1', 'PUT', '/upstream'), ('control-0', 'POST', '/v1/edits')],
    ids=['node', 'control'],
)
def test_odd_document_leaves_the_process_to_others(
    site, process, method, path, name
):
    odd = crowds.Process(site, process)
    port = crowds.find_port(site, process, 'admin')
    document = DOCUMENTS[name]
    assert len(document) <= BODY_BYTES
    status, reply = processes.request(port, path, method=method, body=document)
    assert status in {400, 413, 503}
    assert len(reply) < crowds.MEBIBYTE
    assert crowds.call(site) == 200
    assert processes.request(port, '/health')[0] == 200
    odd.check(growth_bytes=crowds.MACHINE_BYTES - odd.memory)


def test_large_document_is_served_in_calm(site):
    """A table of 5,000 routes is no odd document."""
    rows = [
        {'name': f'r{number}', 'path_prefix': f'/r{number}', 'pool': 'menu'}
        for number in range(5000)
    ]
    paths = site.write_tables([*crowds.ROUTES, *rows], crowds.POOLS)
    status, _, errors = site.run_command('apply', *paths, '--wait')
    assert status == 0, errors
