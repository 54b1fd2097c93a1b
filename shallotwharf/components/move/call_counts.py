"""Counts of call results on one node, updated on each call."""

import typing

from shallotwharf.components.move import const, evidence
from shallotwharf.components.tables import version as tables_version

ANY_VERSION: typing.Final = tables_version.ANY_VERSION

# A response is slow if it takes more than `_SLOW_FACTOR` times the 95th
# percentile of the old version's durations on the same route and node. The
# percentile is estimated from `_MIN_CALLS` calls on.
_SLOW_FACTOR: typing.Final = 1.5
_MIN_CALLS: typing.Final = 20
# Multiplicative steps of the estimated percentile: 19 small steps down balance
# one step up, which is the case if 5 in 100 responses are above the estimate.
# Later steps are smaller because the estimate must be stable by the time the
# share is full and the old version gets no more calls.
_FIRST_STEP: typing.Final = 1.2
_LATER_STEP: typing.Final = 1.03
_STEPS_DOWN: typing.Final = 19
_FIRST_STEP_DOWN: typing.Final = _FIRST_STEP ** (1 / _STEPS_DOWN)
_LATER_STEP_DOWN: typing.Final = _LATER_STEP ** (1 / _STEPS_DOWN)
_FIRST_CALLS: typing.Final = 300
_MIN_ESTIMATE_MS: typing.Final = 1.0
# Outcomes whose durations are left out of the estimate.
_FAILURES: typing.Final = frozenset(
    (evidence.OUTCOME_ERROR, evidence.OUTCOME_CRASH),
)


class ArmCounts:
    """Mutable counts of one of the two versions."""

    __slots__ = ('calls', 'errors', 'slow', 'crashes')

    def __init__(self) -> None:
        self.calls = 0
        self.errors = 0
        self.slow = 0
        self.crashes = 0

    def count(self, outcome: str, slow: bool) -> None:
        """Count one call."""
        self.calls += 1
        if outcome == evidence.OUTCOME_CRASH:
            self.crashes += 1
        elif outcome == evidence.OUTCOME_ERROR:
            self.errors += 1
        else:
            self.slow += slow

    def read(self) -> evidence.Counts:
        """Return the counts so far."""
        return evidence.Counts(
            self.calls,
            self.errors,
            self.slow,
            self.crashes,
        )


class SlowLimit:
    """Duration above which a response of a route is slow."""

    __slots__ = ('_slow_ms', '_calls', '_estimate_ms')

    def __init__(self, slow_ms: int) -> None:
        self._slow_ms = slow_ms
        self._calls = 0
        self._estimate_ms = _MIN_ESTIMATE_MS

    def update(self, duration_ms: float) -> None:
        """Update the estimate with a response of the old version."""
        self._calls += 1
        if self._calls <= _MIN_CALLS:
            self._estimate_ms = max(self._estimate_ms, duration_ms)
            return
        is_first = self._calls < _FIRST_CALLS
        if duration_ms > self._estimate_ms:
            self._estimate_ms *= _FIRST_STEP if is_first else _LATER_STEP
            return
        step_down = _FIRST_STEP_DOWN if is_first else _LATER_STEP_DOWN
        self._estimate_ms = max(
            self._estimate_ms / step_down,
            _MIN_ESTIMATE_MS,
        )

    def read(self) -> float:
        """Return the limit in milliseconds.

        The operator's `slow_ms` is an upper bound unless the old version
        itself often exceeds it; it then shows nothing about the new version.
        """
        if self._calls < _MIN_CALLS:
            return self._slow_ms
        relative = _SLOW_FACTOR * self._estimate_ms
        if self._slow_ms <= self._estimate_ms:
            return relative
        return min(relative, self._slow_ms)


class RouteCounts:
    """Calls of one route of a pool since the last report."""

    __slots__ = ('old', 'new', 'limit')

    def __init__(self, slow_ms: int) -> None:
        self.old = ArmCounts()
        self.new = ArmCounts()
        self.limit = SlowLimit(slow_ms)

    def drain(self, route: str) -> evidence.Row:
        """Return the counts and reset them; the limit is not reset."""
        row = evidence.Row(route, self.old.read(), self.new.read())
        self.old = ArmCounts()
        self.new = ArmCounts()
        return row


class PoolCounts:
    """Calls of a pool by route while its move is under way.

    Attributes:
        urgent: whether a call of the new version failed or was slow since the
            last `drain`.
    """

    __slots__ = (
        'urgent',
        '_from_version',
        '_to_version',
        '_slow_ms',
        '_routes',
    )

    def __init__(
        self,
        from_version: str,
        to_version: str,
        slow_ms: int,
    ) -> None:
        self.urgent = False
        self._from_version = from_version
        self._to_version = to_version
        self._slow_ms = slow_ms
        self._routes: dict[str, RouteCounts] = {}

    def count(
        self,
        route: str,
        version: str,
        outcome: str,
        duration_ms: float,
    ) -> None:
        """Count one call, in constant time."""
        route_counts = self._routes.get(route)
        if route_counts is None:
            route_counts = self._add_route(route)
        slow = duration_ms > route_counts.limit.read()
        if version == self._to_version:
            route_counts.new.count(outcome, slow)
            self.urgent = self.urgent or slow or outcome in _FAILURES
        elif self._from_version in {ANY_VERSION, version}:
            route_counts.old.count(outcome, slow)
            if outcome not in _FAILURES:
                route_counts.limit.update(duration_ms)

    def drain(self) -> tuple[evidence.Row, ...]:
        """Return the rows with calls, overall row first, and reset them."""
        self.urgent = False
        overall = evidence.EMPTY_ROW
        rows = []
        for route, route_counts in self._routes.items():
            if route_counts.old.calls or route_counts.new.calls:
                row = route_counts.drain(route)
                overall = overall.add(row)
                rows.append(row)
        if not rows:
            return ()
        return (
            overall,
            *(row for row in rows if row.route != evidence.OVERALL),
        )

    def _add_route(self, route: str) -> RouteCounts:
        key = route
        if len(self._routes) >= const.MAX_ROUTES:
            key = evidence.OVERALL
        return self._routes.setdefault(key, RouteCounts(self._slow_ms))
