"""Counting of call results on one node; runs on each call."""

import typing

from shallotwharf.components.move import const, evidence
from shallotwharf.components.tables import version as tables_version

ANY_VERSION: typing.Final = tables_version.ANY_VERSION

# An answer is much slower than the old version's if it takes more than
# `_SLOW_FACTOR` times the time that 95 in 100 of the old version's answers
# on the same route and node keep.
_SLOW_FACTOR: typing.Final = 1.5
_SETTLED_CALLS: typing.Final = 20
# Multiplicative steps of the estimate of that time: 19 small steps down
# balance one step up, which is where 5 in 100 answers are above it. Later
# steps are smaller, since the estimate stays as it is once the share is full.
_FIRST_STEP: typing.Final = 1.2
_LATER_STEP: typing.Final = 1.03
_STEPS_DOWN: typing.Final = 19
_FIRST_STEP_DOWN: typing.Final = _FIRST_STEP ** (1 / _STEPS_DOWN)
_LATER_STEP_DOWN: typing.Final = _LATER_STEP ** (1 / _STEPS_DOWN)
_FIRST_CALLS: typing.Final = 300
_MIN_ESTIMATE_MS: typing.Final = 1.0
# Their durations tell nothing of slowness.
_FAILURES: typing.Final = frozenset(
    (evidence.OUTCOME_ERROR, evidence.OUTCOME_CRASH),
)


class Side:
    """Mutable counts of one version."""

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
    """The time above which an answer of a route is slow."""

    __slots__ = ('_slow_ms', '_calls', '_estimate_ms')

    def __init__(self, slow_ms: int) -> None:
        self._slow_ms = slow_ms
        self._calls = 0
        self._estimate_ms = _MIN_ESTIMATE_MS

    def learn(self, duration_ms: float) -> None:
        """Take note of an answer of the old version."""
        self._calls += 1
        if self._calls <= _SETTLED_CALLS:
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

        The operator's `slow_ms` holds unless the old version itself is
        often above it, in which case it tells nothing.
        """
        if self._calls < _SETTLED_CALLS:
            return self._slow_ms
        relative = _SLOW_FACTOR * self._estimate_ms
        if self._slow_ms <= self._estimate_ms:
            return relative
        return min(relative, self._slow_ms)


class Tally:
    """Calls of one route of a pool since the last slice."""

    __slots__ = ('old', 'new', 'limit')

    def __init__(self, slow_ms: int) -> None:
        self.old = Side()
        self.new = Side()
        self.limit = SlowLimit(slow_ms)

    def take(self, route: str) -> evidence.Row:
        """Return the counts and start again; the limit stays."""
        row = evidence.Row(route, self.old.read(), self.new.read())
        self.old = Side()
        self.new = Side()
        return row


class PoolTally:
    """Calls of a pool by route, while its move is under way.

    Attributes:
        urgent: whether a call of the new version has failed since `take`.
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
        self._routes: dict[str, Tally] = {}

    def count(
        self,
        route: str,
        version: str,
        outcome: str,
        duration_ms: float,
    ) -> None:
        """Count one call; constant work."""
        tally = self._routes.get(route)
        if tally is None:
            tally = self._add_route(route)
        slow = duration_ms > tally.limit.read()
        if version == self._to_version:
            tally.new.count(outcome, slow)
            self.urgent = self.urgent or slow or outcome in _FAILURES
        elif self._from_version in {ANY_VERSION, version}:
            tally.old.count(outcome, slow)
            if outcome not in _FAILURES:
                tally.limit.learn(duration_ms)

    def take(self) -> tuple[evidence.Row, ...]:
        """Return the rows with calls, the overall row first."""
        self.urgent = False
        overall = evidence.EMPTY_ROW
        rows = []
        for route, tally in self._routes.items():
            if tally.old.calls or tally.new.calls:
                row = tally.take(route)
                overall = overall.add(row)
                rows.append(row)
        if not rows:
            return ()
        return (
            overall,
            *(row for row in rows if row.route != evidence.OVERALL),
        )

    def _add_route(self, route: str) -> Tally:
        key = route
        if len(self._routes) >= const.MAX_ROUTES:
            key = evidence.OVERALL
        return self._routes.setdefault(key, Tally(self._slow_ms))
