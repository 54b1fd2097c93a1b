"""Guards against bad versions that stay and good ones that are late.

The bounds are those of the design page: every kind of bad version is taken
back, and every good one has the full share by its due time. At most 1 in 1,000
good ones is taken back, so none of this small sample may be.
"""

import random

import pytest

from measurements import move_cases, move_report, moves
from shallotwharf.components.move import const

CASES = [
    # One node in each data centre, which halves the number of calls.
    (move_cases.DEPLOYMENTS[number % 2].replace(nodes=6), kind)
    for number, kind in enumerate(move_cases.list_kinds(move_cases.VALBREMBO))
]


def measure(deployment, kind, policy, seed):
    source = random.Random(f'{seed}/{kind}')
    behaviour = move_cases.list_kinds(deployment)[kind](source)
    return moves.measure_move(deployment, kind, behaviour, policy, source)


@pytest.mark.parametrize(
    ('deployment', 'kind'), CASES, ids=[kind for _, kind in CASES]
)
def test_version_is_judged_correctly(deployment, kind):
    row = measure(deployment, kind, moves.POLICY_TESTED, 1)
    assert row.taken_back == row.is_bad
    assert row.in_time or row.is_bad


def test_version_that_fails_at_once_is_fenced_in_the_first_step():
    deployment = move_cases.VALBREMBO
    row = measure(deployment, 'bad at once, all errors', 'tested', 2)
    first_step_ms = const.MIN_STEP_MS + const.WARM_UP_MS
    calls = deployment.calls_per_second * first_step_ms / 1000
    share = const.FIRST_SHARE_CONFIRMATION / 10_000
    assert row.calls_before + row.calls_after <= calls * share


def test_rows_of_a_seed_are_the_same():
    kind = 'bad at once, 20% errors'
    rows = [
        measure(move_cases.CAJOVNA, kind, policy, 3)
        for policy in (moves.POLICY_TESTED, moves.POLICY_FIXED) * 2
    ]
    assert rows[:2] == rows[2:]
    assert kind in move_report.format_rows(rows)
    assert '2 of 2 bad taken back' in move_report.format_totals(rows)
