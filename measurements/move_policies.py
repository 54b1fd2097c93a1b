"""Policies that control a move: the `move` component and a baseline."""

import abc
import collections
import random
import typing
from collections import abc as collections_abc

from measurements import move_kinds, move_world
from shallotwharf.components.move import evidence
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import version
from shallotwharf.core import clock

_FULL: typing.Final = tables_const.FULL_SHARE


class Policy(abc.ABC):
    """Policy that sets the share of a new version from results of calls."""

    __slots__ = ()

    @abc.abstractmethod
    def find_share(self, node: str) -> int:
        """Return the share at a node, in hundredths of a percent."""

    @abc.abstractmethod
    def observe(
        self,
        node: str,
        call: move_kinds.Call,
        outcome: move_kinds.Outcome,
    ) -> None:
        """Record the result of a call."""

    @abc.abstractmethod
    def advance(self, until: int) -> None:
        """Make the decisions due up to a time in milliseconds."""

    @abc.abstractmethod
    def find_state(self) -> str:
        """Return the state of the move."""


class MoveComponentPolicy(Policy):
    """Watchers and director of the `move` component."""

    __slots__ = ('_world',)

    def __init__(
        self,
        tables: version.Tables,
        move: version.Move,
        nodes: collections_abc.Mapping[str, str],
        source: random.Random,
    ) -> None:
        self._world = move_world.World(tables, move, nodes, source)

    def find_share(self, node: str) -> int:
        """Return the share at a node, in hundredths of a percent."""
        return self._world.find_share(node)

    def observe(
        self,
        node: str,
        call: move_kinds.Call,
        outcome: move_kinds.Outcome,
    ) -> None:
        """Record the result of a call at the node's watcher."""
        move = self._world.current.moves[0]
        self._world.watchers[node].observe(
            call.route,
            move.pool,
            move.to_version if call.is_new else move.from_version,
            outcome.name,
            outcome.duration_ms,
            call.at,
        )

    def advance(self, until: int) -> None:
        """Run the timers and messages of the simulation up to a time."""
        self._world.advance(until)

    def find_state(self) -> str:
        """Return the state of the move in the latest committed version."""
        return self._world.current.moves[0].state


class FixedSteps(Policy):
    """Baseline with five steps at equal intervals and an error rate limit.

    Every 10 s, the new version is taken back if it got at least 20 calls in
    the last 60 s and more than 5% of them failed.
    """

    __slots__ = ('_due_at', '_share', '_state', '_recent', '_now')

    shares: typing.ClassVar[tuple[int, ...]] = (100, 1000, 2500, 5000, _FULL)
    window_ms: typing.ClassVar[int] = clock.MINUTE_MS
    check_ms: typing.ClassVar[int] = 10 * clock.SECOND_MS
    min_calls: typing.ClassVar[int] = 20
    max_rate: typing.ClassVar[float] = 0.05

    def __init__(self, due_at: int) -> None:
        self._due_at = due_at
        self._share = 0
        self._state = version.STATE_STEPPING
        self._recent: collections.deque[tuple[int, bool]] = collections.deque()
        self._now = 0

    def find_share(self, node: str) -> int:
        """Return the share, which is the same at all nodes."""
        return self._share

    def observe(
        self,
        node: str,
        call: move_kinds.Call,
        outcome: move_kinds.Outcome,
    ) -> None:
        """Record the result of a call of the new version."""
        if call.is_new:
            failed = outcome.name != evidence.OUTCOME_OK
            self._recent.append((call.at, failed))

    def advance(self, until: int) -> None:
        """Apply the step that is due, or take the new version back."""
        checks = until // self.check_ms - self._now // self.check_ms
        self._now = until
        if self._state != version.STATE_STEPPING:
            return
        interval_ms = self._due_at // len(self.shares)
        number = min(until // interval_ms, len(self.shares) - 1)
        self._share = self.shares[number]
        if checks and self._is_failing():
            self._share = 0
            self._state = version.STATE_TAKEN_BACK

    def find_state(self) -> str:
        """Return the state of the move."""
        return self._state

    def _is_failing(self) -> bool:
        while self._recent and self._recent[0][0] < self._now - self.window_ms:
            self._recent.popleft()
        calls = len(self._recent)
        failures = sum(failed for _, failed in self._recent)
        return calls >= self.min_calls and failures > self.max_rate * calls
