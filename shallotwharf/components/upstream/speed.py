"""Present and usual speed of the upstream beside this node.

Speeds are factors of the usual run time of a route over all upstreams: 2 means
that work takes twice as long here.
"""

import typing

from shallotwharf.components.upstream import const
from shallotwharf.core import calls, upstream_notices

_PERCENT: typing.Final = 100


class _Run:
    __slots__ = ('work_ms', 'began_at')

    def __init__(self, work_ms: int, began_at: int) -> None:
        self.work_ms = work_ms
        self.began_at = began_at


class Speed:
    """Speed that the upstream states, corrected by its own run times.

    What it states is relative to its own usual speed, or to that of all
    upstreams, or missing. So the run times are compared with the usual work of
    a route times the stated speed, and a slow mean of that ratio corrects it:
    the base speed of an upstream stays, while noise comes and goes.
    """

    __slots__ = (
        '_stated',
        '_stated_at',
        '_usual_stated',
        '_base',
        '_recent',
        '_recent_at',
        '_runs',
        '_is_learned_used',
    )

    def __init__(self) -> None:
        # The latest stated speed, and when; 0 if none was stated.
        self._stated: float = 0
        self._stated_at = 0
        self._usual_stated: float = 1
        self._base: float = 1
        # Fast mean of the ratio, for an upstream that states no speed.
        self._recent: float = 1
        self._recent_at = 0
        self._runs: dict[str, _Run] = {}
        self._is_learned_used = False

    def use_learned(self, is_used: bool) -> None:
        """Set whether to announce a speed that is only learned."""
        self._is_learned_used = is_used

    def begin(self, attempt: str, work_ms: int, now: int) -> None:
        """Record an attempt that is sent to the upstream.

        `work_ms` is the usual run time of such a request; 0 if unknown.
        """
        self._runs[attempt] = _Run(work_ms, now)

    def end(self, attempt: str, ended: calls.Result, now: int) -> None:
        """Learn from the end of an attempt and from its response."""
        run = self._runs.pop(attempt, None)
        stated = ended.notice.load if ended.notice is not None else None
        if stated is not None and stated.speed:
            self._stated = stated.speed / _PERCENT
            self._stated_at = now
            self._usual_stated += const.USUAL_SPEED_WEIGHT * (
                self._stated - self._usual_stated
            )
        if run is None or ended.outcome != calls.OUTCOME_ANSWERED:
            return
        if run.work_ms >= const.MIN_LEARNED_WORK_MS:
            ratio = (now - run.began_at) / run.work_ms
            self._learn(min(ratio, const.MAX_LEARNED_SPEED), now)

    def restart(self) -> None:
        """Discard what an earlier start of the upstream stated."""
        self._stated = 0
        self._usual_stated = 1
        self._base = 1
        self._recent = 1
        self._recent_at = 0

    def is_stated(self, now: int) -> bool:
        """Return whether a speed was stated a short time ago."""
        age_ms = now - self._stated_at
        return self._stated > 0 and age_ms <= const.SPEED_LIFETIME_MS

    def has_statement(self) -> bool:
        """Return whether this start of the upstream has stated a speed."""
        return self._stated > 0

    def estimate(self, now: int) -> float:
        """Return the present speed; old statements decay towards the mean."""
        if not self._stated:
            weight = _compute_weight(now - self._recent_at)
            return self._base + weight * (self._recent - self._base)
        usual = self._usual_stated
        weight = _compute_weight(now - self._stated_at)
        return self._base * (usual + weight * (self._stated - usual))

    def estimate_percent(self, now: int) -> int:
        """Return how long runs take at present in percent of the usual time."""
        return round(self.estimate(now) * _PERCENT)

    def read_condition(self, now: int) -> upstream_notices.Condition:
        """Return the speed to announce; unknown if none is used.

        The speeds are rounded, since each change costs gossip.
        """
        if not self._stated and not self._is_learned_used:
            return upstream_notices.UNKNOWN_CONDITION
        return upstream_notices.Condition(
            _round_percent(self.estimate(now)),
            _round_percent(self._base * self._usual_stated),
        )

    def _learn(self, ratio: float, now: int) -> None:
        self._recent += const.RECENT_SPEED_WEIGHT * (ratio - self._recent)
        self._recent_at = now
        stated = self._stated or 1
        self._base += const.BASE_SPEED_WEIGHT * (ratio / stated - self._base)


def _compute_weight(age_ms: int) -> float:
    """Return how much a figure of this age is still worth."""
    weight: float = 0.5 ** (age_ms / const.SPEED_HALF_LIFE_MS)
    return weight


def _round_percent(factor: float) -> int:
    step = const.SPEED_STEP
    return max(step, round(factor * _PERCENT / step) * step)
