"""Lack of room that calls of a node have just met."""

import typing
from collections import abc

from shallotwharf.components.call import const
from shallotwharf.core import records


class Need(records.Record):
    """What a call asks of an upstream.

    Attributes:
        rank: its priority; 0 is served first.
        slack_ms: longest wait with which it meets its latency target.
    """

    __slots__ = ('rank', 'slack_ms')

    def __init__(self, rank: int, slack_ms: int) -> None:
        self.rank = rank
        self.slack_ms = slack_ms


# A need, and the time at which it was not met.
_Unmet: typing.TypeAlias = tuple[Need, int]


class Shortages:
    """Needs for which there was no room, by service and tenant.

    Answers overload in which each call would ask several gates in turn, only to
    learn what the call before it has learnt.
    """

    __slots__ = ('_unmet',)

    def __init__(self) -> None:
        self._unmet: dict[abc.Hashable, list[_Unmet]] = {}

    def record(self, kind: abc.Hashable, need: Need, now: int) -> None:
        """Record a call that all gates it asked refused for lack of room."""
        if kind not in self._unmet and len(self._unmet) >= _MAX_KINDS:
            self._unmet.clear()
        fresh = [
            (known, met_at)
            for known, met_at in self._unmet.get(kind, [])
            if now - met_at < const.SHORTAGE_LIFETIME_MS
        ]
        self._unmet[kind] = [*fresh[1 - _MAX_NEEDS :], (need, now)]

    def is_hopeless(self, kind: abc.Hashable, need: Need, now: int) -> bool:
        """Return whether a need that is no easier was just not met.

        An equal tenant is required, since a gate may owe room to another.
        """
        return any(
            now - met_at < const.SHORTAGE_LIFETIME_MS
            and need.rank >= known.rank
            and need.slack_ms <= known.slack_ms
            for known, met_at in self._unmet.get(kind, ())
        )


# Limits on the memory of a node.
_MAX_KINDS: typing.Final = 1024
_MAX_NEEDS: typing.Final = 8
