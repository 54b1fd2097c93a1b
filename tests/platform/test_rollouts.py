"""Guards against an invalid request for a move that causes a server error."""

import json

import pytest

from shallotwharf.platform import operators
from tests.platform import test_upstreams

ORDER = {'service': 'svc', 'toVersion': 'v2', 'periodS': 16.0}


def read(changes):
    return operators.read_move(json.dumps(ORDER | changes).encode(), 5)


def test_period_is_converted_to_milliseconds():
    command = read({})
    assert (command.service, command.to_version) == ('svc', 'v2')
    assert command.period_ms == 16_000


@pytest.mark.parametrize(
    'period',
    [0, -1, 'soon', None, [], float('inf'), float('nan'), 1e300, 86_401],
)
def test_invalid_period_is_refused(period):
    with pytest.raises(operators.checks.PARSE_ERRORS):
        read({'periodS': period})


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'null', b'{}', b'[' * 100_000, b'\xff'],
)
def test_unreadable_move_and_check_in_are_refused(body):
    with pytest.raises(operators.checks.PARSE_ERRORS):
        operators.read_move(body, 5)
    with pytest.raises(operators.checks.PARSE_ERRORS):
        test_upstreams.upstreams.read_report(
            'i', body, test_upstreams.PORTS, test_upstreams.NOW
        )
