"""Guards against steps that are too large or too short, and late moves."""

import hypothesis
from hypothesis import strategies

from shallotwharf.components.move import const, schedule
from shallotwharf.components.tables import pool, route, version

FULL = 10_000
positions = strategies.builds(
    schedule.Position,
    share=strategies.one_of(strategies.just(0), strategies.integers(100, FULL)),
    since=strategies.integers(0, 10**12),
    full_at=strategies.integers(0, 10**12),
    first_share=strategies.sampled_from((100, 500)),
    calls_per_second=strategies.floats(0, 1e6),
)


@hypothesis.given(positions)
def test_steps_grow_by_bounded_factors(position):
    steps = schedule.plan_steps(position)
    shares = [position.share or position.first_share]
    shares.extend(step.share for step in steps if step.share != shares[0])
    assert shares[-1] == FULL
    for before, after in zip(shares, shares[1:], strict=False):
        # Shares are rounded to hundredths of a percent.
        assert before < after <= before * max(const.GROWTHS) * 1.02


@hypothesis.given(positions)
def test_each_step_lasts_long_enough(position):
    times = [step.at for step in schedule.plan_steps(position)]
    if position.share:
        times.insert(0, position.since)
    for before, after in zip(times, times[1:], strict=False):
        assert const.MIN_STEP_MS <= after - before <= const.MAX_STEP_MS


@hypothesis.given(positions, strategies.integers(44_000, 10**9))
def test_move_is_full_in_time_if_the_fastest_plan_is(position, available_ms):
    planned = position.replace(share=0, full_at=position.since + available_ms)
    assert schedule.plan_steps(planned)[-1].at <= planned.full_at


@hypothesis.given(positions)
def test_late_move_takes_the_fastest_plan(position):
    late = position.replace(share=0, full_at=position.since)
    duration_ms = schedule.plan_steps(late)[-1].at - late.since
    assert duration_ms == {100: 44_000, 500: 36_000}[position.first_share]


@hypothesis.given(strategies.integers(-(10**9), 10**10))
def test_slack_is_kept_for_one_stop(until_due_ms):
    slack = schedule.compute_slack(until_due_ms)
    assert const.MIN_SLACK_MS <= slack <= const.MAX_SLACK_MS


def test_first_share_depends_on_confirmations():
    tables = version.Tables(
        (
            route.Route('book', '/k', ('POST',), 'a', 'confirmation'),
            route.Route('browse', '/b', ('GET',), 'b'),
        ),
        (pool.Pool('a', 'a', {}), pool.Pool('b', 'b', {})),
    )
    assert schedule.find_first_share(tables, 'a') == 100
    assert schedule.find_first_share(tables, 'b') == 500
