"""Guards against invalid tables that are accepted and against lost fields."""

import pytest

from shallotwharf.components.tables import document
from shallotwharf.core import schema

ROUTE = {'name': 'status', 'path_prefix': '/status', 'pool': 'orders'}
POOL = {'name': 'orders', 'service': 'orders', 'weights': {'v1': 100}}
MOVE = {'to_version': 'v2', 'due': '2026-12-05T06:00:00+01:00'}


def read_faults(routes, pools):
    with pytest.raises(ExceptionGroup) as caught:
        document.read_tables({'routes': routes}, {'pools': pools})
    return '\n'.join(schema.format_errors(caught.value))


@pytest.mark.parametrize(
    ('routes', 'pools', 'expected'),
    [
        ([ROUTE | {'pols': 1}], [POOL], 'peer=routes[0].pols'),
        ([ROUTE | {'timeout_ms': '5'}], [POOL], 'peer=routes[0].timeout_ms'),
        ([ROUTE | {'timeout_ms': True}], [POOL], 'whole number'),
        ([ROUTE], [POOL | {'name': 'other'}], 'pool orders is not in'),
        ([ROUTE, ROUTE], [POOL], 'duplicate name'),
        ([ROUTE], [POOL | {'weights': {'v1': 90}}], 'sum to 90'),
        ([ROUTE], [POOL | {'weights': {'v1': -1}}], 'pools[0].weights.v1'),
        ([ROUTE | {'once_only': True}], [POOL], 'cannot be idempotent'),
        ([ROUTE], [POOL | {'move': MOVE | {'to_version': 'v1'}}], 'already'),
        ([ROUTE], [POOL | {'move': MOVE | {'due': '6 am'}}], 'RFC 3339'),
    ],
)
def test_fault_is_reported_with_its_path(routes, pools, expected):
    assert expected in read_faults(routes, pools)


def test_all_faults_are_reported_at_once():
    faults = read_faults([ROUTE | {'x': 1}], [POOL | {'y': 1}])
    assert 'routes[0].x' in faults and 'pools[0].y' in faults


def test_written_tables_read_back_the_same():
    tables = document.read_tables(
        {'routes': [ROUTE]}, {'pools': [POOL | {'move': MOVE}]}
    )
    assert document.read_tables(*document.write_tables(tables)) == tables
