"""Guards against a configuration that control accepts and cannot carry.

What is accepted is applied by every process, now and after each restart, so an
odd value must be refused or pass through all of them.
"""

import json

import pytest

from shallotwharf.adapters import codec
from shallotwharf.components.ledger import ledger
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.replica import messages as replica
from shallotwharf.components.tables import document as tables_document
from shallotwharf.core import calls, effects, errors, logs
from shallotwharf.platform import document
from tests.components.call import build
from tests.platform import test_document

ODD = (
    -1,
    0,
    2**64,
    10**400,
    1e308,
    -1e308,
    float('inf'),
    float('nan'),
    '',
    '\0',
    'f' * 6000,
    'x' * 70_000,
    None,
    True,
    [],
    {},
    [[1]],
)


def list_paths(node, path=()):
    """Return the paths of all values below a JSON value."""
    children = {}
    if isinstance(node, dict):
        children = node
    elif isinstance(node, list):
        children = dict(enumerate(node))
    paths = [path] if path else []
    for key, child in children.items():
        paths.extend(list_paths(child, (*path, key)))
    return paths


def write_lines(step):
    for effect in step:
        if isinstance(effect, effects.Report):
            logs.format_pairs(effect.event, effect.fields)


def apply(config):
    """Carry a configuration from control to a call; return the outcome."""
    body = json.dumps(config).encode()
    try:
        command = document.read_command(body, 'o', 5)
    except errors.ProtocolError as error:
        str(error)
        return ''
    control = ledger.Ledger()
    proposed = codec.decode(codec.encode(control.compact(command)))
    step = control.handle(replica.Committed(1, proposed, 'r'), '', 0)
    write_lines(step)
    reply = codec.decode(codec.encode(step[-1].reply))
    if not isinstance(reply, ledger_messages.EditAccepted):
        return reply.tag
    snapshot = control.handle(replica.SnapshotWanted(), '', 0)[0].message
    for part in snapshot.parts:
        codec.decode(codec.encode(part))
    applied = control.current
    tables_document.check_tables(applied.tables)
    rows = [build.build_row(name).replace(service=name) for name in 'ab']
    made = build.build_router(*rows, applied=applied)
    for route in applied.tables.routes:
        call(made, route)
    return reply.tag


def call(made, route):
    """Make calls of a route whose first target refuses them."""
    for _ in range(9):
        plan = made.plan(
            calls.Request(
                'GET', route.path_prefix, host=route.host, deadline_ms=800
            )
        )
        step = plan.start(0)
        while isinstance(step, calls.Forward):
            refused = calls.Result(calls.OUTCOME_REFUSED, 'slots_full', spare=0)
            step = plan.resume(refused, 5)
    write_lines(made.drain_effects())


@pytest.mark.parametrize('path', list_paths(test_document.CONFIG), ids=repr)
def test_odd_value_is_refused_or_harmless(path):
    config = test_document.CONFIG | {'baseVersion': 0}
    assert apply(config) == 'ledger.edit_accepted'
    for odd in ODD:
        changed = test_document.change(path, odd, config)
        assert isinstance(apply(changed), str), odd


@pytest.mark.parametrize(
    ('path', 'odd'),
    [
        (('version',), 'f' * 9),
        (('version',), 'f' * 6000),
        (('version',), '-1'),
        ((*test_document.ACTION, 'weightedServices', 0, 'weight'), 10**400),
    ],
)
def test_number_out_of_range_is_refused(path, odd):
    with pytest.raises(errors.ProtocolError):
        test_document.read(test_document.change(path, odd))


def test_aim_beyond_the_longest_time_is_that_time():
    odd = test_document.change((*test_document.RULE, 'aimS'), 10**400)
    assert test_document.read(odd).tables.routes[0].aim_ms == 600_000
