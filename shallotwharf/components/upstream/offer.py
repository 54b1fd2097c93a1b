"""Number of slots that a gate offers in each state of its upstream."""

from shallotwharf.components.membership import messages as membership
from shallotwharf.components.upstream import const
from shallotwharf.core import call_interfaces, calls


class Offer:
    """Announced state of the upstream.

    Attributes:
        description: description of the upstream; None if there is none.
        state: one of the `UPSTREAM_` constants of the membership.
    """

    __slots__ = ('description', 'state', '_warmup_started_at', '_ends_at')

    def __init__(self) -> None:
        self.description: call_interfaces.UpstreamDescription | None = None
        self.state = membership.UPSTREAM_GONE
        self._warmup_started_at = 0
        # End of the shutdown of the node, in clock milliseconds.
        self._ends_at: int | None = None

    def start(
        self, description: call_interfaces.UpstreamDescription, now: int
    ) -> bool:
        """Start the warm-up; return False for a repeated description."""
        if description == self.description:
            return False
        self.description = description
        self.state = membership.UPSTREAM_WARMING
        if self._ends_at is not None:
            self.state = membership.UPSTREAM_DRAINING
        self._warmup_started_at = now
        return True

    def drain(self) -> bool:
        """Stop offering slots; return False if nothing changed."""
        if self.description is None:
            return False
        if self.state == membership.UPSTREAM_DRAINING:
            return False
        self.state = membership.UPSTREAM_DRAINING
        return True

    def limit(self, ends_at: int) -> None:
        """Take no attempt that may outlast the shutdown of the node.

        Slots of an upstream that starts from now on are not offered.

        Args:
            ends_at: end of the shutdown, in clock milliseconds.
        """
        self._ends_at = ends_at

    def has_room(self, running: int, now: int) -> bool:
        """Return whether a slot is free beside `running` requests."""
        return running < self.count_slots(now)

    def count_slots(self, now: int) -> int:
        """Return the offered slots, which increase linearly while warming.

        Also sets the state to ready once the warm-up has ended.
        """
        if (
            self.description is None
            or self.state == membership.UPSTREAM_DRAINING
        ):
            return 0
        slots = self.description.slots
        if self.state != membership.UPSTREAM_WARMING:
            return slots
        warm_ms = now - self._warmup_started_at
        if warm_ms >= self.description.warmup_ms:
            self.state = membership.UPSTREAM_READY
            return slots
        return max(1, slots * warm_ms // self.description.warmup_ms)

    def find_next_growth(self, now: int) -> int | None:
        """Return the time of the next additional slot; None if not warming."""
        if (
            self.description is None
            or self.state != membership.UPSTREAM_WARMING
        ):
            return None
        warmup_ms = self.description.warmup_ms
        step_ms = -(-warmup_ms // self.description.slots)
        return now + max(
            1, min(step_ms, self._warmup_started_at + warmup_ms - now)
        )

    def find_shortage_reason(self, queue_limit: int, now: int) -> str:
        """Return the reason to refuse an attempt for lack of room."""
        # Updates the state if the warm-up has ended.
        self.count_slots(now)
        if self.state == membership.UPSTREAM_WARMING:
            return const.REASON_WARMING
        if queue_limit:
            return const.REASON_QUEUE_FULL
        return const.REASON_SLOTS_FULL

    def find_refusal(self, step: calls.Enter) -> str:
        """Return why this upstream cannot take an attempt; empty if it can."""
        if self.description is None:
            return const.REASON_NO_UPSTREAM
        if self.state == membership.UPSTREAM_DRAINING:
            return const.REASON_DRAINING
        if (
            step.service != self.description.service
            or step.version != self.description.version
        ):
            return const.REASON_WRONG_UPSTREAM
        if self._ends_at is not None and step.deadline_at > self._ends_at:
            return const.REASON_STOPPING
        return ''
