"""Number of slots that a gate offers in each state of its upstream."""

from shallotwharf.components.membership import messages as membership
from shallotwharf.components.upstream import const
from shallotwharf.core import callports, calls


class Offer:
    """Announced state of the upstream.

    Attributes:
        started: description of the upstream; None if there is none.
        state: one of the `UPSTREAM_` constants of the membership.
    """

    __slots__ = ('started', 'state', '_warm_from')

    def __init__(self) -> None:
        self.started: callports.UpstreamDescription | None = None
        self.state = membership.UPSTREAM_GONE
        self._warm_from = 0

    def start(self, started: callports.UpstreamDescription, now: int) -> bool:
        """Start the warm-up; return False for a repeated description."""
        if started == self.started:
            return False
        self.started = started
        self.state = membership.UPSTREAM_WARMING
        self._warm_from = now
        return True

    def drain(self) -> bool:
        """Stop offering slots; return False if nothing changed."""
        if self.started is None:
            return False
        if self.state == membership.UPSTREAM_DRAINING:
            return False
        self.state = membership.UPSTREAM_DRAINING
        return True

    def count(self, now: int) -> int:
        """Return the offered slots, which increase linearly while warming."""
        if self.started is None or self.state == membership.UPSTREAM_DRAINING:
            return 0
        slots = self.started.slots
        if self.state != membership.UPSTREAM_WARMING:
            return slots
        warm_ms = now - self._warm_from
        if warm_ms >= self.started.warmup_ms:
            self.state = membership.UPSTREAM_READY
            return slots
        return max(1, slots * warm_ms // self.started.warmup_ms)

    def find_next_growth(self, now: int) -> int | None:
        """Return the time of the next additional slot; None if not warming."""
        if self.started is None or self.state != membership.UPSTREAM_WARMING:
            return None
        warmup_ms = self.started.warmup_ms
        step_ms = -(-warmup_ms // self.started.slots)
        return now + max(1, min(step_ms, self._warm_from + warmup_ms - now))

    def name_shortage(self, queue_limit: int, now: int) -> str:
        """Return the reason to refuse an attempt for lack of room."""
        self.count(now)
        if self.state == membership.UPSTREAM_WARMING:
            return const.REASON_WARMING
        if queue_limit:
            return const.REASON_QUEUE_FULL
        return const.REASON_SLOTS_FULL

    def find_refusal(self, step: calls.Enter) -> str:
        """Return why this upstream cannot take an attempt; empty if it can."""
        if self.started is None:
            return const.REASON_NO_UPSTREAM
        if self.state == membership.UPSTREAM_DRAINING:
            return const.REASON_DRAINING
        if (
            step.service != self.started.service
            or step.version != self.started.version
        ):
            return const.REASON_WRONG_UPSTREAM
        return ''
