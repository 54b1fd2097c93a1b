"""What a gate offers in each state of its upstream: slots and requests."""

from shallotwharf.components.membership import messages as membership
from shallotwharf.components.tables import version
from shallotwharf.components.upstream import (
    cold,
    const,
    occupancy,
    probing,
    rate_limit,
    settings,
    speed,
)
from shallotwharf.components.upstream import messages as upstream
from shallotwharf.core import call_interfaces, calls, effects, upstream_notices


class Offer:
    """Announced state of the upstream.

    Attributes:
        description: description of the upstream; None if there is none.
        state: one of the `UPSTREAM_` constants of the membership.
        starts: number of starts of the upstream seen so far.
        rate: limit that the upstream names on the requests a second.
        admitted: number of requests admitted so far.
        is_leaving: whether the upstream stated that it leaves.
        speed: present and usual speed of the upstream.
        cold: limit on the requests to a cold upstream.
        probing: probes that show whether the upstream is cold.
    """

    __slots__ = (
        'description',
        'state',
        'starts',
        'rate',
        'admitted',
        'is_leaving',
        'speed',
        'cold',
        'probing',
        '_was_cold',
        '_occupancy',
        '_has_notices',
        '_is_proven',
        '_warmup_started_at',
        '_ends_at',
    )

    def __init__(
        self, limits: settings.GateSettings, datacentre: str = ''
    ) -> None:
        """Create the offer of a gate whose upstream has not started.

        Args:
            limits: settings of the gate.
            datacentre: name of the local data centre.
        """
        self.description: call_interfaces.UpstreamDescription | None = None
        self.state = membership.UPSTREAM_GONE
        self.starts = 0
        self.rate = rate_limit.RateLimit()
        self.admitted = 0
        self.is_leaving = False
        self.speed = speed.Speed()
        self.cold = cold.ColdLimit(
            datacentre, limits.cold_overage, limits.cold_slack
        )
        self.probing = probing.Probing(self.cold)
        self._was_cold = False
        self._occupancy = occupancy.Occupancy()
        self._has_notices = limits.has_notices
        self._is_proven = True
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
        self.starts += 1
        self.is_leaving = False
        self.rate = rate_limit.RateLimit()
        self.speed.restart()
        self.cold.start(description.service, now)
        self.probing.restart()
        self._occupancy = occupancy.Occupancy()
        self._is_proven = not self._has_notices
        return True

    def record_admission(self, step: calls.Enter, now: int) -> None:
        """Count a request that is sent to the upstream."""
        self.admitted += 1
        self.rate.take(now)
        self.cold.record_admission(step.attempt, now)
        self.speed.begin(step.attempt, step.work_ms, now)

    def record_end(
        self, attempt: str, ended: calls.Result, running: int, now: int
    ) -> None:
        """Learn the speed and the free slots from the end of a request.

        `running` is the number of running requests, this one included.
        """
        self.speed.end(attempt, ended, now)
        self._occupancy.record_end(ended, running, now)
        if ended.reason == calls.REASON_UPSTREAM_OTHER:
            self.cold.withdraw(attempt)

    def apply_probe(
        self, message: upstream.ProbeAnswered, running: int, now: int
    ) -> None:
        """Apply the response to a probe while `running` requests run."""
        if self.probing.apply(message, now) and message.load is not None:
            self._occupancy.record_load(message.load, running, now)

    def apply_version(self, applied: version.Version, now: int) -> None:
        """Apply the limits of a version.

        With tenants, learned speeds are announced as well.
        """
        self.speed.use_learned(bool(applied.tables.tenants))
        self.cold.apply_version(applied, now)

    def request_probe(self, now: int) -> list[effects.Effect]:
        """Return the effects that ask whether it is cold, if needed."""
        return self.probing.request(self.description, now)

    def watch_cold(self, now: int) -> list[effects.Effect]:
        """Log that the upstream is cold, or no longer; probe it if needed."""
        if not (self.cold.rule.per_second or self._was_cold):
            # There is neither a limit nor a health path.
            return []
        return [*self.report_cold(now), *self.request_probe(now)]

    def report_cold(self, now: int) -> list[effects.Effect]:
        """Log that the upstream is cold, or no longer."""
        is_cold = self._is_cold(now)
        if is_cold == self._was_cold or self.description is None:
            return []
        self._was_cold = is_cold
        return [
            effects.Report(
                const.EVENT_COLD if is_cold else const.EVENT_WARM,
                {
                    'instance': self.description.instance,
                    'service': self.description.service,
                    'cause': self.cold.state.cause,
                    'per_second': self.cold.rule.per_second,
                },
            ),
        ]

    def count_tokens(self, now: int) -> int:
        """Return how many requests the limits on their rate allow now."""
        tokens = self.rate.count_tokens(now)
        if self.cold.rule.per_second:
            return min(tokens, self.cold.count_room(now))
        return tokens

    def describe(self, now: int) -> upstream_notices.Standing:
        """Return what other nodes should know about the upstream."""
        leaving = ''
        if self.description is not None and self.is_leaving:
            leaving = self.description.incarnation
        return upstream_notices.Standing(leaving, self.read_condition(now))

    def read_condition(self, now: int) -> upstream_notices.Condition:
        """Return the speed of the upstream at `now`."""
        condition = self.speed.read_condition(now)
        if self._is_cold(now):
            return condition.replace(is_cold=True)
        return condition

    def apply_notice(
        self, notice: upstream_notices.UpstreamNotice, now: int
    ) -> bool:
        """Apply a notice; return whether the upstream begins to drain."""
        if notice.is_load_only:
            return False
        self._is_proven = True
        self.rate.change(notice.rate_limit, now)
        self.is_leaving = self.is_leaving or notice.is_leaving
        return notice.is_leaving and self.drain()

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
        """Return whether a request may be sent beside `running` others."""
        return running < self.count_slots(now) and bool(self.count_tokens(now))

    def estimate_period(self, mean_ms: float, now: int) -> float:
        """Return the mean time between two admissions under full load.

        Args:
            mean_ms: mean run time of a request.
            now: current time in milliseconds.
        """
        slots = max(self.count_slots(now), 1)
        return max(
            mean_ms / slots,
            self.rate.compute_period(),
            self.cold.compute_period(now),
        )

    def count_slots(self, now: int) -> int:
        """Return the offered slots, which increase linearly while warming.

        Also sets the state to ready once the warm-up has ended.
        """
        if (
            self.description is None
            or self.state == membership.UPSTREAM_DRAINING
        ):
            return 0
        taken = self._occupancy.count(now)
        slots = max(self.description.slots - taken, 0)
        if not self._is_proven:
            slots = min(slots, const.UNPROVEN_SLOTS)
        if self.state != membership.UPSTREAM_WARMING:
            return slots
        warm_ms = now - self._warmup_started_at
        if warm_ms >= self.description.warmup_ms:
            self.state = membership.UPSTREAM_READY
            return slots
        return max(min(1, slots), slots * warm_ms // self.description.warmup_ms)

    def find_next_room(self, now: int) -> int | None:
        """Return when another request may be sent although none ends.

        This is the time of the next additional slot while warming, or of the
        next request within the rate limit; None if there is no such time.
        """
        times = (
            self._find_next_growth(now),
            self.rate.find_next(now),
            self.cold.find_next(now),
        )
        return min((at for at in times if at is not None), default=None)

    def find_wait_reason(self, now: int) -> str:
        """Return the reason to refuse an attempt that would wait too long."""
        if not self.rate.count_tokens(now):
            return const.REASON_LIMITED
        if not self.cold.count_room(now):
            return const.REASON_COLD
        return const.REASON_QUEUE_FULL

    def find_shortage_reason(self, queue_limit: int, now: int) -> str:
        """Return the reason to refuse an attempt for lack of room."""
        if not self.rate.count_tokens(now):
            return const.REASON_LIMITED
        if not self.cold.count_room(now):
            return const.REASON_COLD
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

    def _is_cold(self, now: int) -> bool:
        return bool(self.cold.rule.per_second) and self.cold.state.is_cold(now)

    def _find_next_growth(self, now: int) -> int | None:
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
