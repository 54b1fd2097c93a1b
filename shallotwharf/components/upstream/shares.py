"""Guaranteed parts of the admissions."""

import typing
from collections import abc

from shallotwharf.components.upstream import const


class Shares:
    """Credit of each kind of attempt in the admissions of a gate.

    Answers overload by urgent calls or by one tenant, in which the others
    would never be served: each kind gets at least a part of the mean served
    share of its own demand. A kind that is served anyway gains nothing.
    """

    __slots__ = ('_part', '_credits', '_arrived', '_admitted')

    def __init__(self, part: float) -> None:
        """Create it without demand.

        Args:
            part: guaranteed part of the mean served share, below 1.
        """
        self._part = part
        self._credits: dict[abc.Hashable, float] = {}
        self._arrived: float = 0
        self._admitted: float = 0

    def record_arrival(self, kind: abc.Hashable) -> None:
        """Count an attempt that asks for admission."""
        self._arrived += 1
        if self._arrived > _WINDOW:
            self._arrived /= 2
            self._admitted /= 2
        if kind not in self._credits and len(self._credits) >= const.MAX_KINDS:
            self._credits.clear()
        known = self._credits.get(kind, 0)
        gained = self._compute_gain(kind)
        self._credits[kind] = min(known + gained, _MAX_CREDIT)

    def record_admission(self, kind: abc.Hashable) -> None:
        """Count an attempt that was admitted."""
        self._admitted += 1
        known = self._credits.get(kind, 0)
        self._credits[kind] = max(known - 1, -1)

    def is_owed(self, kind: abc.Hashable) -> bool:
        """Return whether the kind was served less than its guaranteed part."""
        return self._credits.get(kind, 0) >= 1

    def read_credit(self, kind: abc.Hashable) -> float:
        """Return how many admissions the kind is owed."""
        return self._credits.get(kind, 0)

    def _compute_gain(self, kind: abc.Hashable) -> float:
        return self._part * min(self._admitted / self._arrived, 1)


class EqualShares(Shares):
    """Guaranteed parts that are larger for kinds with little demand.

    Answers one tenant that sends many times its usual load: each tenant gets up
    to an equal part of what its rank gets, so that those who ask for less than
    that lose little, and the hot one loses most.
    """

    __slots__ = ('_demand',)

    def __init__(self, part: float) -> None:
        """Create it without demand; see `Shares`."""
        super().__init__(part)
        self._demand: dict[abc.Hashable, float] = {}

    def record_arrival(self, kind: abc.Hashable) -> None:
        """Count an attempt that asks for admission."""
        before = self._arrived
        self._demand[kind] = self._demand.get(kind, 0) + 1
        super().record_arrival(kind)
        if self._arrived < before:
            self._demand = {
                known: count / 2
                for known, count in self._demand.items()
                if count > 1
            }

    def _compute_gain(self, kind: abc.Hashable) -> float:
        equal = self._admitted / max(len(self._demand), 1)
        gain = equal / max(self._demand.get(kind, 1), 1)
        return max(min(gain, _MAX_GAIN), super()._compute_gain(kind))


# Arrivals that the mean served share covers: about one second of the demand
# at an overloaded upstream with a few slots.
_WINDOW: typing.Final = 100
# A kind that could not use its part does not get it all at once. With 2, the
# least urgent of several owed ranks lost some of its part.
_MAX_CREDIT: typing.Final = 3.0
# A kind that asks for little is not refused while others get more.
_MAX_GAIN: typing.Final = 0.9
