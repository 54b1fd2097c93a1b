"""The attempts of one call, and whether another one is allowed."""

from shallotwharf.components.call import const, index
from shallotwharf.components.tables import route
from shallotwharf.core import calls


class Attempts:
    """What was tried so far, and by when the call must end.

    Attributes:
        began_at: when the call arrived.
        deadline_at: when it must be answered.
        start_by: when a granted call may start at the latest.
        sent: attempts so far.
        arrivals: attempts that arrived at an upstream.
        may_have_run: whether an upstream may have run the request.
    """

    __slots__ = (
        'began_at',
        'deadline_at',
        'start_by',
        'sent',
        'arrivals',
        'may_have_run',
        '_free',
    )

    def __init__(self) -> None:
        self.began_at = 0
        self.deadline_at = 0
        self.start_by = const.NO_LIMIT_AT
        self.sent = 0
        self.arrivals = 0
        self.may_have_run = False
        # Refusals on the way that do not count as retries.
        self._free = 0

    def is_too_late(self, margin_ms: int, now: int) -> bool:
        """Tell whether less than the cut is left."""
        return now + margin_ms >= min(self.deadline_at, self.start_by)

    def find_denial(
        self,
        pool: index.PoolEntry,
        row: route.Route,
        result: calls.Result,
        now: int,
        is_full: bool,
    ) -> str:
        """Return why no retry is allowed; empty if one is.

        Args:
            pool: of the call.
            row: route of the call.
            result: how the last attempt ended.
            now: clock milliseconds.
            is_full: whether no target seems to have a free slot.
        """
        is_free = (
            not result.reached and self._free < pool.budget.limits.free_refusals
        )
        self._free += int(is_free)
        if self.sent - self._free > row.retries:
            return const.DENIED_LIMIT
        if is_full and self._is_held(row, now):
            return const.DENIED_HELD
        if self.is_too_late(const.HOP_MARGIN_MS, now):
            return const.DENIED_DEADLINE
        # A call that reached no upstream yet adds no arrival to its first one.
        is_first = is_free and not self.arrivals
        if not is_first and not pool.budget.take(now):
            return const.DENIED_BUDGET
        return ''

    def _is_held(self, row: route.Route, now: int) -> bool:
        limit_ms = row.aim_ms // const.HELD_PART
        return bool(row.aim_ms) and now - self.began_at > limit_ms
