"""Run times of the upstream by route, at its present speed."""

import typing

from shallotwharf.components.upstream import const
from shallotwharf.core import calls

# Speed of an upstream that is as fast as usual, in percent of its run times.
USUAL_SPEED: typing.Final = 100
# Estimates below a thousandth are as good as none.
_MAX_HALVINGS: typing.Final = 10


class RouteWork:
    """Run time of one route at the usual speed.

    Attributes:
        usual_ms: moving mean of the run time.
        low_ms: recent shortest run time.
        deviation_ms: moving mean of the distance from `usual_ms`.
        count: number of recorded responses.
        recorded_at: time of the last response, in clock milliseconds.
    """

    __slots__ = (
        'usual_ms',
        'low_ms',
        'deviation_ms',
        'count',
        'recorded_at',
    )

    def __init__(self) -> None:
        self.usual_ms: float = 0
        self.low_ms: float = 0
        self.deviation_ms: float = 0
        self.count = 0
        self.recorded_at = 0

    def record(self, duration_ms: float, now: int) -> None:
        """Record a response; the first ones count alike."""
        self.count += 1
        self.recorded_at = now
        weight = max(1 / self.count, const.WORK_WEIGHT)
        distance = abs(duration_ms - self.usual_ms) if self.count > 1 else 0
        self.usual_ms += weight * (duration_ms - self.usual_ms)
        self.deviation_ms += weight * (distance - self.deviation_ms)
        is_higher = self.count > 1 and duration_ms > self.low_ms
        low_weight = const.RUN_TIME_WEIGHT if is_higher else 1
        self.low_ms += low_weight * (duration_ms - self.low_ms)


class _Run:
    __slots__ = ('route', 'work_ms', 'started_at', 'speed')

    def __init__(
        self, route: str, work_ms: int, started_at: int, speed: int
    ) -> None:
        self.route = route
        self.work_ms = work_ms
        self.started_at = started_at
        self.speed = speed


class Work:
    """Run times by route, and when the running requests are likely to end.

    Answers calls of different length that are sent to one upstream, and an
    upstream that shares its machine, so that all its runs take longer at times.

    Attributes:
        revision: number of changes of the estimates.
    """

    __slots__ = (
        'revision',
        '_speed',
        '_routes',
        '_all',
        '_running',
        '_present',
    )

    def __init__(self) -> None:
        self.revision = 0
        self._speed = USUAL_SPEED
        self._routes: dict[str, RouteWork] = {}
        self._all = RouteWork()
        self._running: dict[str, _Run] = {}
        # Run times at the present speed by route and stated work.
        self._present: dict[tuple[str, int], float] = {}

    @property
    def speed(self) -> int:
        """Return how long runs take at present in percent of the usual."""
        return self._speed

    @speed.setter
    def speed(self, percent: int) -> None:
        self._speed = percent
        self._change()

    def reset(self) -> None:
        """Forget the run times of an earlier start of the upstream."""
        self.speed = USUAL_SPEED
        self._routes = {}
        self._all = RouteWork()

    def begin(self, step: calls.Enter, now: int) -> None:
        """Record an attempt that was admitted."""
        self._running[step.attempt] = _Run(
            step.route, step.work_ms, now, self.speed
        )

    def end(self, attempt: str, is_answered: bool, now: int) -> None:
        """Record the end of an attempt that was admitted."""
        run = self._running.pop(attempt, None)
        if run is None or not is_answered:
            return
        self._change()
        # The speed may have changed during the run.
        speed = (run.speed + self.speed) / 2
        duration_ms = (now - run.started_at) * USUAL_SPEED / speed
        self._all.record(duration_ms, now)
        known = self._routes.get(run.route)
        if known is None:
            if len(self._routes) >= const.MAX_ROUTES:
                return
            known = RouteWork()
            self._routes[run.route] = known
        known.record(duration_ms, now)

    def estimate_usual(self, step: calls.Enter) -> float:
        """Return the run time in milliseconds at the usual speed.

        0 if nothing is known: neither here nor to the sender.
        """
        return self._estimate(step.route, step.work_ms)

    def estimate(self, step: calls.Enter) -> int:
        """Return the run time in milliseconds at the present speed."""
        return int(self._estimate_present(step.route, step.work_ms))

    def estimate_margin(self, step: calls.Enter) -> int:
        """Return by how much runs are usually longer than the estimate.

        An attempt that is cut off at its deadline costs the caller of a
        non-idempotent call its retry, and others the slot. An attempt that is
        refused needlessly costs one rejection. So most runs must fit, but not
        the longest ones.
        """
        known = self._find(step.route)
        limit_ms = known.usual_ms / const.MARGIN_DIVISOR
        margin_ms = min(known.deviation_ms, limit_ms)
        return int(margin_ms * self.speed / USUAL_SPEED)

    def compute_confidence(self, step: calls.Enter, now: int) -> float:
        """Return the factor of estimates that are not confirmed any more.

        Without it, one long run could refuse all attempts of a route, so that
        no shorter run would ever correct the estimate.
        """
        idle_ms = now - self._find(step.route).recorded_at
        runs = any(run.route == step.route for run in self._running.values())
        if idle_ms <= const.STALE_MS or runs:
            return 1
        return 2 ** -min(idle_ms / const.STALE_MS - 1, _MAX_HALVINGS)

    def list_ends(self, slots: int, now: int) -> list[float]:
        """Return a heap of the times at which each slot gets free."""
        ends = [self._estimate_end(run, now) for run in self._running.values()]
        ends.sort()
        if len(ends) > slots:
            # A slot that is not offered any more is not used again.
            return ends[len(ends) - slots :]
        # A sorted list is a heap.
        return [float(now) for _ in range(slots - len(ends))] + ends

    def _estimate_end(self, run: _Run, now: int) -> float:
        run_ms = self._estimate_present(run.route, run.work_ms)
        # A run that takes longer than usual may end at any time.
        usual_at = run.started_at + run_ms
        overdue_at = now + run_ms / const.OVERDUE_DIVISOR
        return usual_at if usual_at > overdue_at else overdue_at

    def _change(self) -> None:
        self.revision += 1
        self._present.clear()

    def _estimate_present(self, route: str, work_ms: int) -> float:
        key = (route, work_ms)
        known_ms = self._present.get(key)
        if known_ms is None:
            if len(self._present) >= const.MAX_ROUTES:
                self._present.clear()
            known_ms = self._estimate(route, work_ms) * self._speed
            known_ms /= USUAL_SPEED
            self._present[key] = known_ms
        return known_ms

    def _estimate(self, route: str, work_ms: int) -> float:
        known = self._routes.get(route)
        if known is not None and known.count >= const.KNOWN_COUNT:
            return known.usual_ms
        return work_ms or self._find(route).usual_ms

    def _find(self, route: str) -> RouteWork:
        known = self._routes.get(route)
        if known is None or known.count < const.KNOWN_COUNT:
            return self._all
        return known
