"""Timetables of moves: when to step and how long to judge."""

import abc
import typing

from shallotwharf.components.move import const, reference, schedule
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import version
from shallotwharf.core import clock


class Timetable(abc.ABC):
    """Timetable of one move.

    Attributes:
        warm_up_ms: duration of the warm-up, which begins with the first call
            of the new version.
        lenient: names of the kinds of failure with a higher allowed rate
            during the warm-up.
        slices_needed: fewest slices with evidence that cause a take-back.
        slices_per_summary: slices after which a data centre reports.
        settle_ms: time without steps after a change of leader.
        retry_ms: time after which a proposal is repeated.
        full_ms: shortest time in the state `full` before `watching`.
        tick_ms: interval at which control checks for the next step.
    """

    __slots__ = ()

    warm_up_ms: int
    lenient: frozenset[str]
    slices_needed: int
    slices_per_summary: int
    settle_ms: int
    retry_ms: int
    full_ms: int
    tick_ms: int

    @abc.abstractmethod
    def plan_steps(
        self,
        position: schedule.Position,
    ) -> tuple[schedule.Step, ...]:
        """Return the steps that remain; none if the share is full."""

    @abc.abstractmethod
    def find_done_at(self, position: schedule.Position) -> int:
        """Return the earliest wall time at which the move is done."""


class DueTimetable(Timetable):
    """Timetable of a move that takes minutes or hours up to its due time."""

    __slots__ = ()

    warm_up_ms = const.WARM_UP_MS
    lenient = frozenset(
        kind.name for kind in reference.KINDS if kind.warm_up_rate
    )
    slices_needed = const.SLICES_NEEDED
    slices_per_summary = const.SLICES_PER_SUMMARY
    settle_ms = const.MIN_STEP_MS
    retry_ms = const.PROPOSAL_RETRY_MS
    full_ms = const.MIN_STEP_MS
    tick_ms = 2 * const.SLICE_MS

    def plan_steps(
        self,
        position: schedule.Position,
    ) -> tuple[schedule.Step, ...]:
        """Return the steps computed backwards from the due time."""
        return schedule.plan_steps(position)

    def find_done_at(self, position: schedule.Position) -> int:
        """Return the end of the time in the state `watching`."""
        return position.since + const.WATCH_MS


class PeriodTimetable(Timetable):
    """Timetable of a move with a period of seconds.

    The share stays low for almost half of the period because a version may
    turn bad late. The rest is enough to step up, to judge the full share and
    to let the last calls to the old version end.
    """

    __slots__ = ('_started_at', '_period_ms')

    # A cold upstream is slow for about 3 s; its errors count from the first
    # call on.
    warm_up_ms = 3 * clock.SECOND_MS
    lenient = frozenset(('slow',))
    slices_needed = 2
    slices_per_summary = 1
    settle_ms = clock.SECOND_MS
    retry_ms = clock.SECOND_MS
    # Twice this time plus the ticks leaves 2 s for the last calls to the old
    # version.
    full_ms = 700
    tick_ms = const.SLICE_MS

    def __init__(self, started_at: int, period_ms: int) -> None:
        """Create the timetable of a move received at wall time `started_at`."""
        self._started_at = started_at
        self._period_ms = period_ms

    def plan_steps(
        self,
        position: schedule.Position,
    ) -> tuple[schedule.Step, ...]:
        """Return the steps at fixed parts of the period."""
        earliest = self._started_at
        if position.share:
            earliest = position.since + const.PERIOD_STEP_MS
        return tuple(
            schedule.Step(
                max(self._started_at + round(part * self._period_ms), earliest),
                share,
            )
            for part, share in _STEPS
            if share > position.share
        )

    def find_done_at(self, position: schedule.Position) -> int:
        """Return the wall time at a fixed part of the period."""
        done_at = self._started_at + round(_DONE_PART * self._period_ms)
        return max(done_at, position.since + self.full_ms)


# Parts of the period and the share from then on. The old version keeps a fifth
# of the calls until shortly before the end: without them a fault that affects
# both versions would count against the new one.
_STEPS: typing.Final = (
    (0, const.FIRST_SHARE),
    (0.45, tables_const.FULL_SHARE // 5),
    (0.55, tables_const.FULL_SHARE // 2),
    (0.65, tables_const.FULL_SHARE * 4 // 5),
    (0.74, tables_const.FULL_SHARE),
)
_DONE_PART: typing.Final = 0.85


def build_timetable(move: version.Move, started_at: int) -> Timetable:
    """Return the timetable of a move.

    `started_at` is the wall time at which this process received the move.
    """
    if move.period_ms:
        return PeriodTimetable(started_at, move.period_ms)
    return DueTimetable()
