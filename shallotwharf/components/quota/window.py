"""Calls of a sliding window of time."""

import collections

from shallotwharf.components.quota import const


class UsageWindow:
    """Number of calls in the last `window_ms`, in slots of time.

    Attributes:
        used: calls in the window at the last operation.
    """

    __slots__ = ('used', '_window_ms', '_slots')

    def __init__(self, window_ms: int) -> None:
        self.used: float = 0
        self._window_ms = window_ms
        # Start of the slot and its calls, the oldest first.
        self._slots: collections.deque[list[float]] = collections.deque()

    def add(self, count: float, now: int) -> None:
        """Add calls; negative ones take back calls that were assumed."""
        self.expire(now)
        slot_at = now - now % const.SLOT_MS
        if self._slots and self._slots[-1][0] == slot_at:
            self._slots[-1][1] += count
        else:
            self._slots.append([slot_at, count])
        self.used += count

    def expire(self, now: int) -> None:
        """Remove the slots that are out of the window."""
        slots = self._slots
        while slots and slots[0][0] + const.SLOT_MS <= now - self._window_ms:
            self.used -= slots.popleft()[1]
        if not slots:
            self.used = 0

    def count_leaving(self, span_ms: int, now: int) -> float:
        """Return the calls that leave the window in the next `span_ms`."""
        ends_at = now + span_ms - self._window_ms - const.SLOT_MS
        leaving: float = 0
        for slot_at, count in self._slots:
            if slot_at > ends_at:
                break
            leaving += count
        return leaving

    def compute_wait_ms(self, limit: float, now: int) -> int:
        """Return the time until fewer calls than `limit` are in the window."""
        left = self.used
        wait_ms = 0
        for slot_at, count in self._slots:
            if left < limit:
                break
            left -= count
            wait_ms = int(slot_at) + const.SLOT_MS + self._window_ms - now
        return max(wait_ms, 0)
