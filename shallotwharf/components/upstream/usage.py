"""Part of the slots that attempts of each rank have taken lately."""

import math
import typing

from shallotwharf.components.upstream import const


class Usage:
    """Work admitted by rank, with exponential decay.

    Answers urgent calls that keep arriving: what waits behind them gets only
    the rest of the slots, however few of them wait at present.
    """

    __slots__ = ('_work', '_updated_at')

    def __init__(self) -> None:
        self._work: dict[int, float] = {}
        self._updated_at = 0

    def record(self, rank: int, work_ms: int, now: int) -> None:
        """Record an admission with its run time."""
        factor = math.exp((self._updated_at - now) / const.USAGE_WINDOW_MS)
        self._updated_at = now
        self._work = {
            known: left_ms * factor
            for known, left_ms in self._work.items()
            if left_ms * factor > 1
        }
        self._work[rank] = self._work.get(rank, 0) + work_ms

    def compute_rest(self, rank: int, slots: int, now: int) -> float:
        """Return which part of the slots more urgent ranks leave to a rank."""
        used_ms: float = 0
        for known, work_ms in self._work.items():
            if known < rank:
                used_ms += work_ms
        factor = math.exp((self._updated_at - now) / const.USAGE_WINDOW_MS)
        used = used_ms * factor / (slots * const.USAGE_WINDOW_MS)
        return max(1 - used, _MIN_REST)


# Keeps estimates finite while urgent attempts take all slots.
_MIN_REST: typing.Final = 0.05
