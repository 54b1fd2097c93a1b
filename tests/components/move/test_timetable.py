"""Guards against moves with a period of seconds that end late, or that give a
bad version too many calls.
"""

import pytest

from shallotwharf.components.move import (
    const,
    evidence,
    schedule,
    timetable,
    verdict,
)
from shallotwharf.components.tables import version

PERIOD_MS = 12_000


def build_timetable(period_ms=PERIOD_MS):
    move = version.Move('m', 'p', '', 'v2', 0, period_ms=period_ms)
    return timetable.build_timetable(move, 1000)


def build_position(share, since):
    return schedule.Position(share, since, 0, 500, 0)


def run(period_ms):
    """Return the steps and the end of a move as parts of its period."""
    move_timetable = build_timetable(period_ms)
    share, since, taken = 0, 1000, []
    while steps := move_timetable.plan_steps(build_position(share, since)):
        share, since = steps[0].share, steps[0].at
        taken.append(((since - 1000) / period_ms, share))
    return taken, (
        move_timetable.find_done_at(build_position(share, since)) - 1000
    ) / period_ms


@pytest.mark.parametrize('period_ms', [12_000, 15_000, 60_000])
def test_move_is_done_within_its_period(period_ms):
    taken, done = run(period_ms)
    assert [share for _, share in taken] == [500, 2000, 5000, 8000, 10_000]
    assert taken[-1][0] < done <= 0.9


def test_share_stays_low_for_almost_half_of_the_period():
    taken, _ = run(PERIOD_MS)
    assert taken[0] == (0, 500) and taken[1][0] >= 0.45


def find_share(taken, part):
    return [share for begins, share in taken if begins <= part][-1]


def test_fault_of_a_dependency_late_in_a_move_takes_nothing_back():
    """Fails if the old version gets no calls that show the same fault."""
    period_ms = 16_000
    taken, _ = run(period_ms)
    trial = verdict.Trial(1, build_timetable(period_ms))
    for now in range(0, 11_600, const.SLICE_MS):
        share = find_share(taken, now / period_ms)
        new_calls = 100 * share // 10_000
        failed = 0 if now < 10_500 else 2
        trial.update(
            [
                evidence.Row(
                    evidence.OVERALL,
                    build_counts(100 - new_calls, failed),
                    build_counts(new_calls, failed),
                )
            ],
            share,
            now,
        )
    assert not trial.fault


def build_counts(calls, failed_part):
    errors = calls // failed_part if failed_part else 0
    return evidence.Counts(calls, errors, 0, 0)


def test_late_step_moves_those_that_follow():
    late = build_position(500, 1000 + PERIOD_MS)
    first = build_timetable().plan_steps(late)[0]
    assert first.at > 1000 + PERIOD_MS


def test_move_without_period_is_scheduled_by_its_due_time():
    declared = version.Move('m', 'p', 'v1', 'v2', 10**12)
    assert isinstance(
        timetable.build_timetable(declared, 0), timetable.DueTimetable
    )
