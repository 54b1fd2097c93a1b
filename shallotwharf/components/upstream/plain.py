"""Queue by rank for deployments without scheduling."""

from shallotwharf.components.upstream import (
    const,
    offer,
    queue,
    settings,
    tracker,
    waiting,
)
from shallotwharf.core import calls


class PlainPolicy(waiting.Policy):
    """First in, first out within a rank, with a fixed longest wait."""

    __slots__ = ('_limits', '_offer', '_tracker', '_queue')

    def __init__(
        self,
        limits: settings.GateSettings,
        offered: offer.Offer,
        tracked: tracker.RequestTracker,
    ) -> None:
        self._limits = limits
        self._offer = offered
        self._tracker = tracked
        self._queue = queue.AdmissionQueue(limits.queue_limit)

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._queue)

    def __contains__(self, attempt: str) -> bool:
        """Return whether an attempt waits."""
        return attempt in self._queue

    def find_lateness(self, step: calls.Enter, now: int) -> str:
        """Return a reason if not even the shortest run ends in time."""
        earliest = now + self._tracker.running.shortest_ms
        if earliest >= step.deadline_at or now >= step.start_by:
            return const.REASON_DEADLINE
        return ''

    def record_arrival(self, step: calls.Enter) -> None:
        """Do nothing: no part of the admissions is guaranteed."""

    def record_admission(self, step: calls.Enter, now: int) -> None:
        """Do nothing: no part of the admissions is guaranteed."""

    def push(
        self, step: calls.Enter, request: calls.Request, now: int
    ) -> list[waiting.Removed]:
        """Let an attempt wait unless the expected wait is too long."""
        limits = (
            (int(step.deadline_at - self._tracker.running.shortest_ms), True),
            (step.start_by, True),
            (now + self._limits.queue_wait_ms, False),
        )
        expires_at, is_deadline = min(limits)
        entry = waiting.Entry(step, request, expires_at, is_deadline)
        period_ms = self._offer.estimate_period(
            self._tracker.running.mean_ms, now
        )
        wait_ms = self._queue.estimate_wait(step.rank, period_ms)
        if wait_ms > self._limits.queue_wait_ms:
            reason = self._offer.find_wait_reason(now)
            return [waiting.Removed(entry, reason)]
        displaced = self._queue.push(entry)
        if displaced is None:
            return []
        reason = const.REASON_QUEUE_FULL
        if displaced is entry:
            reason = self._offer.find_shortage_reason(
                self._limits.queue_limit, now
            )
        return [waiting.Removed(displaced, reason)]

    def pop(self, now: int) -> waiting.Entry:
        """Remove and return the attempt to admit next."""
        return self._queue.pop()

    def remove(self, attempt: str) -> bool:
        """Remove the entry of an attempt; return whether it existed."""
        return self._queue.remove(attempt)

    def pop_expired(self, now: int) -> list[waiting.Removed]:
        """Remove and return the expired entries."""
        return [
            waiting.Removed(
                late,
                const.REASON_DEADLINE
                if late.is_deadline
                else const.REASON_SLOTS_FULL,
            )
            for late in self._queue.pop_expired(now)
        ]

    def drain_all(self) -> list[waiting.Entry]:
        """Remove and return all entries in order."""
        return self._queue.drain_all()

    def find_next_expiry(self) -> int:
        """Return the earliest expiry of an entry."""
        return self._queue.find_next_expiry()
