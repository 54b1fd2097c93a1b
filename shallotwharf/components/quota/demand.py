"""Calls a second, smoothed, and what control processes know of a peer."""

import math

from shallotwharf.components.quota import const
from shallotwharf.core import clock


class Flow:
    """Calls a second, smoothed over `span_ms`."""

    __slots__ = ('_span_ms', '_per_second', '_changed_at')

    def __init__(self, span_ms: int = const.DEMAND_MS) -> None:
        self._span_ms = span_ms
        self._per_second: float = 0
        self._changed_at = 0

    def add(self, count: int, now: int) -> None:
        """Add calls."""
        self._per_second = self.read(now)
        self._per_second += count * clock.SECOND_MS / self._span_ms
        self._changed_at = now

    def read(self, now: int) -> float:
        """Return the calls a second."""
        elapsed = now - self._changed_at
        if elapsed > max(const.IDLE_MS, self._span_ms):
            return 0
        return self._per_second * math.exp(-elapsed / self._span_ms)


class PeerUsage:
    """Usage of a tenant at the nodes of another control process.

    Attributes:
        demand: calls requested a second.
    """

    __slots__ = ('demand', '_total', '_per_second', '_heard_at', '_assumed')

    def __init__(self, total: int) -> None:
        self.demand: float = 0
        self._total = total
        self._per_second: float = 0
        self._heard_at = 0
        self._assumed: float = 0

    def update(
        self, total: int, per_second: float, demand: float, now: int
    ) -> float:
        """Return the calls since the last message, less the assumed ones."""
        added = max(total - self._total, 0) - self._assumed
        self._total = max(total, self._total)
        self._per_second = per_second
        self.demand = demand
        self._heard_at = now
        self._assumed = 0
        return added

    def assume(self, now: int) -> float:
        """Return the calls to assume since the last ones, while it is silent.

        It counts with its last usage for `const.PEER_SILENT_MS`.
        """
        silent_ms = now - self._heard_at
        if silent_ms < const.PEER_LATE_MS:
            return 0
        if silent_ms > const.PEER_SILENT_MS:
            self.demand = 0
            silent_ms = const.PEER_SILENT_MS
        assumed = self._per_second * silent_ms / clock.SECOND_MS
        added = max(assumed - self._assumed, 0)
        self._assumed += added
        return added
