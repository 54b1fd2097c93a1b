"""Calls of a tenant at one node, as it reports them."""

import collections

from shallotwharf.components.quota import const


class NodeUsage:
    """Totals of calls since the node joined its control process.

    Attributes:
        admitted: calls within the quota.
        requested: all calls.
    """

    __slots__ = ('admitted', 'requested', '_recent')

    def __init__(self) -> None:
        self.admitted = 0
        self.requested = 0
        # Start of a slot of time and the calls admitted in it.
        self._recent: collections.deque[list[int]] = collections.deque()

    def add(self, count: int, now: int) -> None:
        """Add admitted calls; negative ones if they were given back."""
        self.admitted += count
        recent = self._recent
        slot_at = now - now % const.REPORT_MS
        if recent and recent[-1][0] == slot_at:
            recent[-1][1] += count
            return
        recent.append([slot_at, count])
        while now - recent[0][0] > const.DEFAULT_WINDOW_MS:
            recent.popleft()

    def restart(self, span_ms: int, now: int) -> None:
        """Start the totals again, with the calls of the last `span_ms`."""
        counted = sum(
            count for slot_at, count in self._recent if now - slot_at <= span_ms
        )
        self.admitted = max(counted, 0)
        self.requested = self.admitted
