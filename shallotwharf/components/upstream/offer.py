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

    __slots__ = ('description', 'state', '_warmup_started_at')

    def __init__(self) -> None:
        self.description: call_interfaces.UpstreamDescription | None = None
        self.state = membership.UPSTREAM_GONE
        self._warmup_started_at = 0

    def start(
        self, description: call_interfaces.UpstreamDescription, now: int
    ) -> bool:
        """Start the warm-up; return False for a repeated description."""
        if description == self.description:
            return False
        self.description = description
        self.state = membership.UPSTREAM_WARMING
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

    def count_slots(self) -> int:
        """Return the slots that requests may take."""
        if (
            self.description is None
            or self.state == membership.UPSTREAM_DRAINING
        ):
            return 0
        return self.description.slots

    def count_announced(self, now: int) -> int:
        """Return the announced slots, which increase linearly while warming.

        Callers prefer upstreams with spare slots, so that a warming one gets
        few requests as long as others have room. If none has, it may take as
        many as its slots: a slow response is better than none, above all after
        a restart of all upstreams of a service.

        Also sets the state to ready once the warm-up has ended.
        """
        slots = self.count_slots()
        if (
            self.description is None
            or self.state != membership.UPSTREAM_WARMING
        ):
            return slots
        warm_ms = now - self._warmup_started_at
        if warm_ms >= self.description.warmup_ms:
            self.state = membership.UPSTREAM_READY
            return slots
        return max(1, slots * warm_ms // self.description.warmup_ms)

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
        return ''
