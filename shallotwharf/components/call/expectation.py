"""Expected time of a call at a target, from its announced speed and load."""

import random

from shallotwharf.components.call import const, targets
from shallotwharf.core import records


class Demand(records.Record):
    """What a call needs of the target that runs it.

    Attributes:
        work_ms: usual run time of such a call; 0 if unknown.
        aim_at: latest time at which the response has its full value, in clock
            milliseconds; 0 if unknown.
    """

    __slots__ = ('work_ms', 'aim_at')

    def __init__(self, work_ms: float = 0, aim_at: int = 0) -> None:
        self.work_ms = work_ms or const.UNKNOWN_WORK_MS
        self.aim_at = aim_at


class Expectation:
    """Rates targets for one call at one time.

    Attributes:
        now: that time, in clock milliseconds.
    """

    __slots__ = ('_demand', '_source', 'now')

    def __init__(self, demand: Demand, source: random.Random, now: int) -> None:
        self._demand = demand
        self._source = source
        self.now = now

    def estimate_ms(self, target: targets.Target) -> float:
        """Return the expected time from sending to the response."""
        run_ms = self._demand.work_ms * target.speed.estimate(self.now)
        ahead = 1 - target.estimate_spare(self.now)
        wait_ms: float = 0
        if ahead > 0:
            wait_ms = ahead * run_ms / max(target.announcement.slots, 1)
        return 2 * target.latency_ms + wait_ms + run_ms

    def is_in_time(self, expected_ms: float) -> bool:
        """Return whether the latency target is met, if there is one."""
        aim_at = self._demand.aim_at
        return not aim_at or self.now + expected_ms <= aim_at

    def is_silent(self, target: targets.Target) -> bool:
        """Return whether a target may have hung."""
        return target.speed.is_silent(self._demand.work_ms, self.now)

    def find_best(self, candidates: list[targets.Target]) -> targets.Target:
        """Return the target with the shortest expected time.

        Several nodes choose at once by the same figures, so that targets with
        about the same time are chosen at random. A failing or cold target
        is chosen only without another.
        """
        return min(candidates, key=self._rate)

    def _rate(self, target: targets.Target) -> tuple[bool, bool, float]:
        scatter = 1 + const.EXPECTATION_SCATTER * self._source.random()
        return (
            target.failure_rate.is_high(self.now),
            target.speed.condition.is_cold,
            self.estimate_ms(target) * scatter,
        )


def compute_relative_speed(
    target: targets.Target, groups: list[targets.Group], now: int
) -> float:
    """Return the speed of a target relative to the usual mean of a service.

    Run times that are divided by it do not depend on which targets were
    chosen. Only the ratio counts: gates learn their base speeds from the usual
    work that senders state, so that a common factor of all speeds means
    nothing, and would drift without bound if run times were divided by it.

    Args:
        target: target that ran a call.
        groups: all groups of its service.
        now: clock milliseconds.
    """
    usual = [
        known.speed.read_usual() for group in groups for known in group.targets
    ]
    if not usual or not target.speed.condition.speed:
        return 1
    relative = target.speed.estimate(now) * len(usual) / sum(usual)
    return min(max(relative, 1 / const.MAX_RELATIVE), const.MAX_RELATIVE)


def is_known(group: targets.Group) -> bool:
    """Return whether a target of a group states its speed or is cold."""
    return any(
        target.speed.condition.speed > 0 or target.speed.condition.is_cold
        for target in group.targets
    )
