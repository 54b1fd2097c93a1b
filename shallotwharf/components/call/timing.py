"""Deadlines and run times of the calls of each route.

Callers that were rejected return with what is left of their time. The age of a
call is how much shorter its deadline is than that of a new call of its route.
"""

import copy
import typing

from shallotwharf.components.call import const
from shallotwharf.components.tables import route

# A caller that changes its deadline is followed within two of these periods.
_PERIOD_MS: typing.Final = 10_000
# Weight of one response in the mean run time.
_RUN_WEIGHT: typing.Final = 0.05
# Estimates below a thousandth are as good as none.
_MAX_HALVINGS: typing.Final = 10
_RETRY_AFTER_DIVISOR: typing.Final = 3
MIN_RETRY_AFTER_MS: typing.Final = 20
# Also the wait that callers are told where no latency target is known.
MAX_RETRY_AFTER_MS: typing.Final = 1000


class RouteTiming:
    """Longest deadline of recent calls of a route, and their run time.

    Attributes:
        run_ms: mean time from an attempt to its response; 0 if unknown.
        work_ms: mean run time without waiting for a slot; 0 if unknown.
    """

    __slots__ = (
        'run_ms',
        'work_ms',
        '_work_at',
        '_longest_ms',
        '_previous_ms',
        '_period_began_at',
    )

    def __init__(self) -> None:
        self.run_ms: float = 0
        self.work_ms: float = 0
        self._work_at = 0
        self._longest_ms = 0
        self._previous_ms = 0
        self._period_began_at = 0

    def record_deadline(self, deadline_ms: int | None, now: int) -> int:
        """Record the deadline of a call, and return its age.

        Without a deadline, the age is 0.
        """
        if deadline_ms is None:
            return 0
        if now - self._period_began_at >= _PERIOD_MS:
            self._previous_ms = self._longest_ms
            self._longest_ms = 0
            self._period_began_at = now
        self._longest_ms = max(self._longest_ms, deadline_ms)
        return max(self._longest_ms, self._previous_ms) - deadline_ms

    def record_run(self, duration_ms: int) -> None:
        """Record the duration of an attempt that was answered."""
        if not self.run_ms:
            self.run_ms = duration_ms
        self.run_ms += _RUN_WEIGHT * (duration_ms - self.run_ms)

    def record_work(self, duration_ms: float, had_room: bool, now: int) -> None:
        """Record a run that was answered, if it did not wait for a slot.

        One without a slot that was known to be free may have waited, and
        counts only if it was shorter than usual.

        Args:
            duration_ms: time from the attempt to its response, without the
                network, divided by the relative speed of the upstream.
            had_room: whether its target seemed to have a free slot.
            now: clock milliseconds.
        """
        if duration_ms <= 0:
            return
        self._work_at = now
        if not self.work_ms:
            self.work_ms = duration_ms
        if had_room or duration_ms < self.work_ms:
            self.work_ms += _RUN_WEIGHT * (duration_ms - self.work_ms)

    def estimate_work(self, now: int) -> int:
        """Return the usual run time; shorter if it was not confirmed lately."""
        idle_ms = now - self._work_at
        if idle_ms <= const.STALE_MS:
            return int(self.work_ms)
        halvings = min(idle_ms / const.STALE_MS - 1, _MAX_HALVINGS)
        return int(self.work_ms / 2**halvings)

    def read_run(self, is_scheduled: bool) -> float:
        """Return the mean run time; without waits if gates schedule.

        A mean that includes waits grows with the load, so that callers would
        be told to return too early, or that they are late.
        """
        return self.work_ms if is_scheduled else self.run_ms

    def is_late(self, row: route.Route, age_ms: int, run_ms: float) -> bool:
        """Return whether a call misses its target even if it runs at once.

        Run times vary, so half of the mean is assumed.
        """
        return bool(row.aim_ms) and age_ms + run_ms / 2 > row.aim_ms

    def find_retry_after(
        self, row: route.Route, age_ms: int, run_ms: float
    ) -> int:
        """Return when a rejected caller should return, in milliseconds.

        Half of what is left until the call must run is kept for another
        rejection. A caller that is late anyway stays away for the time of the
        target, so that others meet theirs.
        """
        if not row.aim_ms:
            return MAX_RETRY_AFTER_MS
        if self.is_late(row, age_ms, run_ms):
            return min(row.aim_ms, MAX_RETRY_AFTER_MS)
        slack_ms = row.aim_ms - age_ms - run_ms
        wait_ms = min(row.aim_ms // _RETRY_AFTER_DIVISOR, int(slack_ms / 2))
        return min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)


class Timings:
    """Timing by route; kept when a new version is applied."""

    __slots__ = ('_routes',)

    def __init__(self, routes: dict[str, RouteTiming] | None = None) -> None:
        self._routes = routes or {}

    def copy_route(self, name: str) -> 'Timings':
        """Return timings of one route that change apart from these."""
        found = self._routes.get(name, RouteTiming())
        return Timings({name: copy.copy(found)})

    def find(self, name: str) -> RouteTiming:
        """Return the timing of a route."""
        found = self._routes.get(name)
        if found is None:
            found = RouteTiming()
            self._routes[name] = found
        return found

    def retain(self, rows: tuple[route.Route, ...]) -> None:
        """Drop the timings of routes that are not listed."""
        names = {row.name for row in rows}
        for name in self._routes.keys() - names:
            self._routes.pop(name)
