"""Guards against calls lost or counted twice, and against unbounded counts."""

import hypothesis
from hypothesis import strategies

from shallotwharf.adapters import codec
from shallotwharf.components.move import (
    const,
    evidence,
    fences,
    messages,
    tally,
    watch,
)
from shallotwharf.components.tables import version

counts = strategies.builds(
    evidence.Counts, *[strategies.integers(0, 10**9)] * 4
)
rows = strategies.builds(
    evidence.Row, strategies.sampled_from('abc'), counts, counts
)


@hypothesis.given(strategies.lists(rows), strategies.randoms())
def test_order_of_merging_does_not_matter(listed, source):
    shuffled = list(listed)
    source.shuffle(shuffled)
    merged = []
    for part in (listed, shuffled):
        known = evidence.Slice()
        known.merge(part)
        merged.append(frozenset(known.take()))
    assert merged[0] == merged[1]


@hypothesis.given(
    strategies.lists(strategies.integers(0, 20)), strategies.randoms()
)
def test_repeated_reports_count_once(order, source):
    collection = watch.Collection()
    row = evidence.Row('', evidence.Counts(1), evidence.EMPTY_COUNTS)
    for sequence in [*order, *order]:
        report = messages.NodeEvidence('m', 1, sequence, (row,), ())
        collection.accept(report, 'n')
    accepted = evidence.find_overall(collection._incoming.take()).old.calls
    assert accepted <= len(set(order))


def test_routes_are_bounded_and_no_call_is_lost():
    calls = tally.PoolTally('old', 'new', 1000)
    for number in range(100):
        calls.count(f'route-{number}', 'old', 'ok', 5)
    taken = calls.take()
    assert len(taken) <= const.MAX_ROUTES + 1
    assert taken[0].old.calls == 100


def test_report_fits_the_control_budget():
    row = evidence.Row(
        'order-status-look-up', evidence.Counts(*[99] * 4), evidence.Counts(9)
    )
    report = messages.NodeEvidence('m' * 36, 2**41, 2**20, (row,) * 5, ())
    # At most two reports a second; ten concurrent moves stay within 10 KB/s.
    assert len(codec.encode(report)) * 2 * 10 <= 10_000


@hypothesis.given(strategies.lists(strategies.floats(1, 100), min_size=20))
def test_slow_limit_follows_the_old_version(durations):
    limit = tally.SlowLimit(1000)
    for duration_ms in durations:
        limit.learn(duration_ms)
    assert limit.read() <= 1000
    assert limit.read() >= 1


def test_slow_ms_holds_until_the_old_version_is_known():
    limit = tally.SlowLimit(50)
    assert limit.read() == 50
    for _ in range(50):
        limit.learn(80)
    # The old version itself exceeds it, so it is not applied.
    assert limit.read() > 80


def test_fence_outlives_versions_from_before_its_move():
    known = fences.Fences()
    fence = messages.FenceRaised('m2', 'p', 'v', 'r', 'n')
    older = version.Move('m1', 'p', 'a', 'b', 0)
    known.add(fence, 0)
    known.apply([older], 1)
    assert known.has('m2')
    known.apply([older.replace(move_id='m2')], 2)
    assert known.has('m2')
    known.apply([older.replace(move_id='m3')], 3)
    assert not known.has('m2')


def test_new_collector_learns_of_the_old_version():
    move = version.Move('m', 'p', 'old', 'new', 0, 10_000, 'full')
    local = watch.Local(move, 1000)
    for _ in range(1000):
        local.calls.count('r', 'old', evidence.OUTCOME_OK, 20)
    local.close_slice(move.share, 0)
    local.close_slice(move.share, 500)
    assert local.take_history('first') == ()
    history = local.take_history('second')
    assert local.take_history('second') == ()
    # Below the rate allowed while the old version has few calls.
    row = evidence.Row('', evidence.EMPTY_COUNTS, evidence.Counts(50, 5))
    faults = []
    for known in ((), history):
        collection = watch.Collection()
        for sequence in range(30):
            report = messages.NodeEvidence('m', 1, sequence, (row,), known)
            collection.accept(report, 'n')
            collection.close_slice(move.share, 500 * sequence)
        faults.append(collection.trial.fault)
    assert faults[0] == ''
    assert 'errors' in faults[1]
