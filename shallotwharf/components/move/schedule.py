"""Steps of a move, computed backwards from its due time.

The share is planned to be full at the due time minus a slack that covers one
interruption. If the due time is past or too near, the plan is the fastest safe
one: steps of `const.MIN_STEP_MS`, the first one longer by the warm-up, each to
at most five times the share before it. This takes 44 s from the first step for
pools that serve confirmations and 36 s for others.
"""

import math
from collections import abc

from shallotwharf.components.move import const
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import version
from shallotwharf.core import clock, records


class Step(records.Record):
    """A share, in hundredths of a percent, to be set at wall time `at`."""

    __slots__ = ('at', 'share')

    def __init__(self, at: int, share: int) -> None:
        self.at = at
        self.share = share


class Position(records.Record):
    """State of a move from which its remaining steps are planned.

    Attributes:
        share: present share, in hundredths of a percent.
        since: wall time at which the present share was set.
        full_at: wall time at which the share should be full: the due time
            minus the slack.
        first_share: the lowest share above 0.
        calls_per_second: calls of the pool by both versions; 0 if unknown.
    """

    __slots__ = (
        'share',
        'since',
        'full_at',
        'first_share',
        'calls_per_second',
    )

    def __init__(
        self,
        share: int,
        since: int,
        full_at: int,
        first_share: int,
        calls_per_second: float,
    ) -> None:
        self.share = share
        self.since = since
        self.full_at = full_at
        self.first_share = first_share
        self.calls_per_second = calls_per_second


def find_first_share(tables: version.Tables, pool: str) -> int:
    """Return the first share of a move of a pool."""
    confirms = any(
        pool in row.list_pools()
        and row.priority == tables_const.PRIORITY_CONFIRMATION
        for row in tables.routes
    )
    if confirms:
        return const.FIRST_SHARE_CONFIRMATION
    return const.FIRST_SHARE


def compute_slack(until_due_ms: int) -> int:
    """Return the time reserved for one interruption, in milliseconds."""
    return min(
        max(until_due_ms // const.SLACK_DIVISOR, const.MIN_SLACK_MS),
        const.MAX_SLACK_MS,
    )


def plan_steps(position: Position) -> tuple[Step, ...]:
    """Return the steps that remain; none if the share is full."""
    if position.share >= tables_const.FULL_SHARE:
        return ()
    start_share = position.share or position.first_share
    available = max(position.full_at - position.since, 0)
    shares = _choose_shares(position, start_share, available)
    durations = _distribute_spare_time(position, shares, available)
    at = position.since
    steps = []
    if position.share == 0:
        # Start as late as possible: the last step is at `since + available`.
        at += max(available - sum(durations), 0)
        steps.append(Step(at, start_share))
    for duration, share in zip(durations, shares[1:], strict=True):
        at += duration
        steps.append(Step(at, share))
    return tuple(steps)


def _choose_shares(
    position: Position,
    start_share: int,
    available: int,
) -> list[int]:
    shares: list[int] = []
    for growth in const.GROWTHS:
        shares = _list_shares(start_share, growth)
        if sum(_find_min_durations(position, shares)) <= available:
            break
    return shares


def _list_shares(start_share: int, growth: int) -> list[int]:
    ratio = tables_const.FULL_SHARE / start_share
    # The tolerance prevents an extra step due to rounding.
    count = max(math.ceil(math.log(ratio, growth) - 0.01), 1)  # noqa: WPS432
    return [
        round(start_share * ratio ** (number / count))
        for number in range(count + 1)
    ]


def _find_min_durations(
    position: Position,
    shares: abc.Sequence[int],
) -> list[int]:
    durations = [const.MIN_STEP_MS for _ in shares[1:]]
    if shares[0] == position.first_share:
        durations[0] += const.WARM_UP_MS
    return durations


def _distribute_spare_time(
    position: Position,
    shares: abc.Sequence[int],
    available: int,
) -> list[int]:
    shortest = _find_min_durations(position, shares)
    spare = max(available - sum(shortest), 0)
    wanted = [
        _find_preferred_duration(position, share) for share in shares[:-1]
    ]
    total = sum(wanted)
    return [
        min(short + spare * want // total, const.MAX_STEP_MS)
        for short, want in zip(shortest, wanted, strict=True)
    ]


def _find_preferred_duration(position: Position, share: int) -> int:
    calls = position.calls_per_second * share / tables_const.FULL_SHARE
    if calls <= 0:
        return const.MAX_STEP_MS
    wanted = const.WANTED_CALLS / calls * clock.SECOND_MS
    return round(min(max(wanted, const.MIN_STEP_MS), const.MAX_STEP_MS))
