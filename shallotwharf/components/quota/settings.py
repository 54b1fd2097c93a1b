"""Settings of quotas."""

import math

from shallotwharf.components.quota import const
from shallotwharf.core import clock, records


class QuotaSettings(records.Record):
    """What the calls of a tenant may exceed its limit by.

    Attributes:
        window_ms: length of the windows in which calls are counted.
        overage: allowed part beyond the limit.
        slack: allowed number of calls beyond the limit, in each window.
    """

    __slots__ = ('window_ms', 'overage', 'slack')

    def __init__(
        self,
        window_ms: int = const.DEFAULT_WINDOW_MS,
        overage: float = const.DEFAULT_OVERAGE,
        slack: float = const.DEFAULT_SLACK,
    ) -> None:
        self.window_ms = window_ms
        self.overage = overage
        self.slack = slack

    def compute_limit(self, rate: float, burst: float) -> float:
        """Return the calls of a tenant in a window."""
        return rate * self.window_ms / clock.SECOND_MS + burst

    def compute_excess(self, rate: float, burst: float) -> float:
        """Return the calls in a window that are allowed beyond the limit."""
        return self.overage * self.compute_limit(rate, burst) + self.slack

    def compute_advance(self, rate: float, burst: float, nodes: int) -> float:
        """Return the calls of a node that need no answer of control."""
        part = burst / max(nodes, 1)
        wanted = part + const.SPREAD * math.sqrt(part) + 1
        moved = rate * const.MOVE_SECONDS
        return max(wanted, moved, const.LEAST_ADVANCE)

    def compute_fixed_rate(self, rate: float, nodes: int) -> float:
        """Return the calls a second of a node without control."""
        return self.overage * rate / max(nodes, 1)
