"""State of the attempts of one call, and limits on its retries."""

import enum

from shallotwharf.components.call import const, index
from shallotwharf.components.tables import route
from shallotwharf.core import calls


class Room(enum.Enum):
    """Where another attempt of a call may find a free slot."""

    # A target seems to have one.
    KNOWN = 'known'
    # None seems to, but some that are worth a try were not tried.
    POSSIBLE = 'possible'
    NONE = 'none'


class Attempts:
    """Attempts made so far, and the time limits of the call.

    All times are clock milliseconds.

    Attributes:
        began_at: arrival of the call.
        deadline_at: deadline of the response.
        start_by: latest start of a granted once-only call.
        sent: attempts sent so far.
        arrivals: attempts that arrived at an upstream.
        refusals: attempts that gates refused for lack of room.
        may_have_run: whether an upstream may have run the request.
    """

    __slots__ = (
        'began_at',
        'deadline_at',
        'start_by',
        'sent',
        'arrivals',
        'refusals',
        'may_have_run',
        '_uncounted_refusals',
    )

    def __init__(self) -> None:
        self.began_at = 0
        self.deadline_at = 0
        self.start_by = const.NO_LIMIT_AT
        self.sent = 0
        self.arrivals = 0
        self.refusals = 0
        self.may_have_run = False
        # Refusals before an upstream was reached; not counted as retries.
        self._uncounted_refusals = 0

    def is_too_late(self, margin_ms: int, now: int) -> bool:
        """Return whether at most `margin_ms` of the time limits remain."""
        return now + margin_ms >= min(self.deadline_at, self.start_by)

    def find_denial(
        self,
        pool: index.PoolEntry,
        row: route.Route,
        result: calls.Result,
        now: int,
        room: Room,
        free_refusals: int = 0,
    ) -> str:
        """Return the reason to deny a retry; empty if it is allowed.

        An allowed retry takes a token of the budget, unless the last refusal
        is one of `Limits.free_refusals` and no upstream was reached so far.

        Args:
            pool: pool of the call.
            row: route of the call.
            result: result of the last attempt.
            now: clock milliseconds.
            room: where another attempt may find a free slot.
            free_refusals: refusals that need no token of the budget whatever
                its limits.
        """
        free = max(pool.budget.limits.free_refusals, free_refusals)
        is_free = not result.reached and self._uncounted_refusals < free
        self._uncounted_refusals += int(is_free)
        if self.sent - self._uncounted_refusals > row.retries:
            return const.DENIED_LIMIT
        if room is Room.NONE:
            return const.DENIED_FULL
        if room is Room.POSSIBLE and self._has_waited_too_long(row, now):
            return const.DENIED_HELD
        if self.is_too_late(const.HOP_MARGIN_MS, now):
            return const.DENIED_DEADLINE
        # While no upstream was reached, another attempt adds no load there, so
        # that it needs no token of the budget.
        is_first = is_free and not self.arrivals
        if not is_first and not pool.budget.take(now):
            return const.DENIED_BUDGET
        return ''

    def _has_waited_too_long(self, row: route.Route, now: int) -> bool:
        limit_ms = row.aim_ms // const.FULL_WAIT_DIVISOR
        return bool(row.aim_ms) and now - self.began_at > limit_ms
