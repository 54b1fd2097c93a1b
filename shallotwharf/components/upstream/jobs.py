"""Waiting attempts with their limits, and the order among them."""

import typing

from shallotwharf.components.upstream import (
    const,
    speed_check,
    waiting,
    work,
)
from shallotwharf.core import calls

_OrderKey: typing.TypeAlias = tuple[int, bool, tuple[int, int, int]]


class Job(waiting.Entry):
    """A waiting attempt and the latest times of its start.

    `expires_at` is the latest start with which it ends before its deadline.

    Attributes:
        arrived_at: time when it began to wait, in clock milliseconds.
        latest_start: latest start with which it meets its latency target.
        arrived_late: whether it could meet that target nowhere when it
            arrived.
        usual_ms: its usual run time at the present speed.
        give_up_at: when it is given up during a shortage, in clock ms. One that
            cannot be served elsewhere any more gets some time beyond its latest
            start: shorter runs than usual are in time then, and a response that
            is somewhat late is worth more than a late rejection.
        yields_until: until when its caller can still be served elsewhere.
    """

    __slots__ = (
        'arrived_at',
        'latest_start',
        'arrived_late',
        'usual_ms',
        'give_up_at',
        'yields_until',
        'is_inner',
        'kind',
        '_order',
        '_revision',
    )

    def __init__(
        self,
        step: calls.Enter,
        request: calls.Request,
        known: work.Work,
        now: int,
    ) -> None:
        """Create the job of an attempt that arrives now."""
        super().__init__(step, request, 0, True)
        self.arrived_at = now
        self.latest_start = 0
        self.usual_ms = 0
        self.give_up_at = 0
        self.yields_until: float = 0
        # Whether it belongs to a request that runs already.
        self.is_inner = not step.rank and not step.tenant
        self.kind = (step.rank, step.tenant)
        self._order = (0, 0, 0)
        self._revision = -1
        run_ms = known.estimate_usual(step)
        if speed_check.must_run(step):
            run_ms = max(run_ms, known.estimate(step))
        misses_target = bool(step.aim_at) and now + run_ms > step.aim_at
        self.arrived_late = misses_target and not self.is_inner
        self.revise(known)

    def revise(self, known: work.Work) -> None:
        """Apply the present run times if they have changed."""
        if self._revision == known.revision:
            return
        self._revision = known.revision
        step = self.step
        self.usual_ms = known.estimate(step)
        needed_ms = self.usual_ms + known.estimate_margin(step)
        self.expires_at = min(step.deadline_at - needed_ms, step.start_by)
        latest_start = step.aim_at - self.usual_ms
        if not step.aim_at:
            # Leaves the sender half of the time for another upstream.
            latest_start = (self.arrived_at + step.deadline_at) // 2
        if self.arrived_late or self.is_inner:
            # The parent of an inner call holds a slot elsewhere meanwhile.
            latest_start = self.expires_at
        self.latest_start = min(latest_start, self.expires_at)
        self._find_limits()

    def read_limit(self) -> int:
        """Return the latest start with which it meets its target."""
        return self.latest_start

    def is_late(self, now: int) -> bool:
        """Return whether it cannot meet its latency target any more."""
        return self.arrived_late or now >= self.give_up_at

    def may_give_way(self, now: int) -> bool:
        """Return whether its caller can still be served elsewhere."""
        return now <= self.yields_until

    def compute_order(self, now: int) -> _OrderKey:
        """Return the sort key; the lowest one is admitted first."""
        is_late = self.arrived_late or now >= self.give_up_at
        return self.kind[0], is_late, self._order

    def compute_cost(
        self, held: int, now: int
    ) -> tuple[int, bool, int, int, int]:
        """Return the sort key of what is given up; the highest one first.

        Run times count as equal below a factor of two.

        Args:
            held: number of waiting attempts of the same tenant.
            now: clock milliseconds.
        """
        return (
            self.step.rank,
            self.is_late(now),
            self.usual_ms.bit_length(),
            held,
            self.arrived_at,
        )

    def _find_limits(self) -> None:
        self._order = (
            self.latest_start // const.START_GRAIN_MS,
            self.usual_ms,
            self.arrived_at,
        )
        allowed_ms = self.latest_start + self.usual_ms - self.arrived_at
        divisor = const.GIVE_UP_DIVISOR
        if self.step.retried:
            # It may have waited elsewhere before.
            divisor = const.RETRIED_GIVE_UP_DIVISOR
        self.yields_until = self.arrived_at + allowed_ms / divisor
        self.give_up_at = self.latest_start
        if not self.arrived_late and not self.may_give_way(self.latest_start):
            grace_ms = self.usual_ms // const.GRACE_DIVISOR
            late_start = self.latest_start + grace_ms
            self.give_up_at = min(late_start, self.expires_at)
