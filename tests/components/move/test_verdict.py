"""Guards against good versions taken back and bad ones that are missed.

The false-positive rate and the kinds of bad versions are those of the design
page; counts are drawn from seeded binomial distributions.
"""

import math
import random

import hypothesis
import pytest
from hypothesis import strategies

from shallotwharf.components.move import (
    comparison,
    const,
    eprocess,
    evidence,
    verdict,
)

SLICE_MS = 1000
FAILING = {'errors': 0.3}


def draw(source, calls, errors=0.01, slow=0.01, crashes=0):
    counts = [0, 0, 0]
    for _ in range(calls):
        drawn = source.random()
        for number, rate in enumerate((errors, slow, crashes)):
            counts[number] += 0 <= drawn < rate
            drawn -= rate
    return evidence.Counts(calls, *counts)


def build_row(source, calls, share, old=None, new=None, route=''):
    new_calls = sum(source.random() < share for _ in range(calls))
    return evidence.Row(
        route,
        draw(source, calls - new_calls, **(old or {})),
        draw(source, new_calls, **(new or {})),
    )


def run(slices, seed=1, parts=1, share=500):
    """Return the number of the slice that finds a fault, or None."""
    trial = verdict.Trial(parts)
    source = random.Random(seed)
    for number in range(slices[0]):
        for row in slices[1](source, number):
            trial.update((row,), share, number * SLICE_MS)
        if trial.fault:
            return number
    return None


def judge(seed, count, share, calls=100, old=None, new=None, begin=0):
    def build(source, number):
        changed = new if number >= begin else old
        return [build_row(source, calls, share, old, changed)]

    return run((count, build), seed)


def test_false_positive_rate_is_at_most_alpha():
    # One comparison of 6 tests, each with a sixth of 5%.
    alpha, moves = 0.05, 300
    found = 0
    for seed in range(moves):
        source = random.Random(seed)
        share = source.choice((0.01, 0.05, 0.3, 0.7, 0.95, 1))
        rate = source.choice((0.001, 0.02, 0.1))
        results = {'errors': rate, 'slow': rate, 'crashes': rate / 10}
        compared = comparison.Comparison(math.log(comparison.TESTS / alpha))
        for number in range(100):
            # The nodes follow a new share within three slices.
            part = min(max(number - 20, 0) / 3, 1)
            now = share * part + 0.1 * (1 - part)
            row = build_row(source, 40, now, results, results)
            if number == 20:
                compared.reset_exposure()
            compared.update(row, warming_up=False)
            if compared.find_kind():
                found += 1
                break
    deviation = math.sqrt(alpha * (1 - alpha) / moves)
    assert found / moves <= alpha + 3 * deviation


@hypothesis.given(strategies.integers(0, 99), strategies.floats(0.05, 0.95))
def test_expected_evidence_stays_bounded(seed, rate):
    # The mean over all outcomes of a few draws is at most the sum of weights.
    source = random.Random(seed)
    odds = rate / (1 - rate)
    ratios = [
        [
            math.log(multiple) * hit
            + math.log((1 + odds) / (1 + multiple * odds))
            for multiple in (2.5, 40)
        ]
        for hit in (0, 1)
    ]
    mean = 0.0
    for outcome in range(2**6):
        process = eprocess.EProcess(2)
        chance = 1.0
        for place in range(6):
            hit = outcome >> place & 1
            process.update(ratios[hit], source.choice((1, 99)))
            chance *= rate if hit else 1 - rate
        mean += chance * process.total
    assert mean <= 1


@pytest.mark.parametrize('share', (0.01, 0.2, 0.9, 1))
def test_bad_from_the_start_is_found(share):
    # At a full share the rate of the old version is known from before.
    def build(source, number):
        bad = FAILING if number >= 40 else None
        now = share if number >= 40 else 0.05
        return [build_row(source, 200, now, None, bad)]

    found = run((400, build))
    assert found is not None


@pytest.mark.parametrize(
    'new',
    ({'errors': 0.2}, {'slow': 0.3}, {'crashes': 0.05}),
    ids=lambda rates: next(iter(rates)),
)
def test_each_kind_of_failure_is_found(new):
    assert judge(1, 400, 0.05, new=new) is not None


def test_long_good_evidence_does_not_hide_a_late_fault():
    def build(source, number):
        bad = FAILING if number >= 1200 else None
        now = 1 if number >= 40 else 0.05
        return [build_row(source, 100, now, None, bad)]

    found = run((1300, build))
    assert found is not None
    assert 0 <= found - 1200 <= 15


def test_one_bad_route_is_found_among_good_ones():
    def build(source, number):
        rows = [
            build_row(source, 20, 0.05, route=f'r{index}') for index in range(4)
        ]
        rows.append(build_row(source, 5, 0.05, None, FAILING, 'bad'))
        overall = evidence.EMPTY_ROW
        for row in rows:
            overall = overall.add(row)
        return [overall, *rows]

    assert run((1200, build)) is not None


def test_few_calls_are_enough():
    assert judge(1, 600, 0.5, calls=1, new={'errors': 0.9}) is not None


@pytest.mark.parametrize('seed', range(10))
def test_common_fault_does_not_count_against_the_new_version(seed):
    def build(source, number):
        common = {'errors': 0.4, 'slow': 0.4} if 60 < number < 160 else None
        share = 0.01 + 0.49 * number / 200
        return [build_row(source, 100, share, common, common)]

    assert run((200, build), seed) is None


@pytest.mark.parametrize('seed', range(10))
def test_cold_start_is_allowed_in_the_warm_up(seed):
    cold = {'errors': 0.15, 'slow': 0.7}

    def build(source, number):
        rates = cold if number < const.WARM_UP_MS // SLICE_MS else None
        return [build_row(source, 100, 0.05, None, rates)]

    assert run((200, build), seed) is None


def test_crashes_are_not_allowed_in_the_warm_up():
    found = judge(1, 30, 0.05, new={'crashes': 0.3})
    assert found is not None
    assert found < const.WARM_UP_MS // SLICE_MS


@pytest.mark.parametrize('share', (0.05, 0.5, 1))
def test_one_burst_of_failures_is_not_enough(share):
    def build(source, number):
        burst = {'crashes': 1} if number in {50, 51} else None
        now = share if number >= 45 else 0.05
        return [build_row(source, 100, now, None, burst)]

    assert run((100, build)) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(*[strategies.integers(0, 10**6)] * 4),
        max_size=30,
    )
)
def test_any_counts_leave_the_evidence_finite(slices):
    trial = verdict.Trial(const.MAX_NODES)
    for number, (old, bad, new, worse) in enumerate(slices):
        row = evidence.Row(
            '',
            evidence.Counts(old, min(bad, old)),
            evidence.Counts(new, min(worse, new)),
        )
        trial.update((row,), 0, number * SLICE_MS)
        assert math.isfinite(trial.read_level())
