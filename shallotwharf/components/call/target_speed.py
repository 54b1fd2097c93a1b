"""Speed of a target, and whether it answers at all."""

import typing

from shallotwharf.components.call import const
from shallotwharf.core import upstream_notices

_PERCENT: typing.Final = 100


class TargetSpeed:
    """Latest news of the speed of a target, and its answers to this node.

    Attributes:
        condition: latest known condition of the upstream.
        slow_until: until this time, in clock milliseconds, its gate may refuse
            attempts as too slow, although it may have room.
    """

    __slots__ = (
        'condition',
        'slow_until',
        '_at',
        '_in_flight',
        '_silent_since',
        '_run_ms',
    )

    def __init__(self, condition: upstream_notices.Condition, now: int) -> None:
        self.condition = condition
        self.slow_until = 0
        self._at = now
        self._in_flight = 0
        # Since when attempts have been in flight without any response.
        self._silent_since = now
        self._run_ms: float = 0

    def update(self, condition: upstream_notices.Condition, now: int) -> None:
        """Set what a response or an announcement stated."""
        self.condition = condition
        self._at = now

    def estimate(self, now: int) -> float:
        """Return the expected factor of the usual run time, 1 if unknown.

        Old news decay towards the usual speed of the target.
        """
        if not self.condition.speed:
            return 1
        usual = self.condition.usual_speed or _PERCENT
        age_ms = now - self._at
        weight: float = 0.5 ** (age_ms / const.SPEED_HALF_LIFE_MS)
        speed = usual + weight * (self.condition.speed - usual)
        return speed / _PERCENT

    def read_usual(self) -> float:
        """Return the usual factor of the run time of a route, 1 if unknown."""
        if not self.condition.speed:
            return 1
        return (self.condition.usual_speed or _PERCENT) / _PERCENT

    def begin(self, now: int) -> None:
        """Record an attempt that is sent to the target."""
        if not self._in_flight:
            self._silent_since = now
        self._in_flight += 1

    def end(self, duration_ms: int, now: int) -> None:
        """Record the end of an attempt."""
        self._in_flight -= 1
        self._silent_since = now
        self._run_ms += const.TARGET_RUN_WEIGHT * (duration_ms - self._run_ms)

    def is_silent(self, work_ms: float, now: int) -> bool:
        """Return whether attempts there take far longer than usual.

        It may have hung: nothing more is sent there until something ends.
        `work_ms` is the usual run time of the call that asks.
        """
        usual_ms = max(self._run_ms, work_ms)
        limit_ms = max(const.SILENT_RUNS * usual_ms, const.MIN_SILENT_MS)
        return self._in_flight > 0 and now - self._silent_since > limit_ms
