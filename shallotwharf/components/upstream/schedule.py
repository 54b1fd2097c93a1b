"""Order and feasibility of waiting attempts under overload."""

import heapq
import typing

from shallotwharf.components.upstream import (
    const,
    jobs,
    offer,
    order,
    shortage,
    usage,
    waiting,
    work,
)
from shallotwharf.core import calls

# Time, revision of the run times, and slots; then the order.
_Sorted: typing.TypeAlias = tuple[tuple[int, int, int], order.Order]


class ScheduledPolicy(waiting.Policy):
    """Delays and refuses what costs callers least.

    Answers more demand than slots: attempts of different urgency and length,
    of many tenants, each with a deadline and a latency target. Nothing waits
    that is not expected to be in time.
    """

    __slots__ = (
        '_limit',
        '_offer',
        '_work',
        '_shortage',
        '_jobs',
        '_ranking',
        '_usage',
        '_sorted',
    )

    def __init__(
        self,
        limit: int,
        offered: offer.Offer,
        known: work.Work,
        short: shortage.Shortage,
    ) -> None:
        """Create an empty queue.

        Args:
            limit: maximum number of waiting attempts.
            offered: slots of the upstream.
            known: run times of the upstream.
            short: whether there is too little room.
        """
        self._limit = limit
        self._offer = offered
        self._work = known
        self._shortage = short
        self._jobs: list[jobs.Job] = []
        self._ranking = order.Ranking()
        self._usage = usage.Usage()
        # The latest order, and what it was computed from.
        self._sorted: _Sorted | None = None

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._jobs)

    def __contains__(self, attempt: str) -> bool:
        """Return whether an attempt waits."""
        return any(job.step.attempt == attempt for job in self._jobs)

    def find_lateness(self, step: calls.Enter, now: int) -> str:
        """Return a reason if the usual run does not end in time.

        The reason differs if the run could end in time at another upstream.
        """
        if now >= step.start_by:
            return const.REASON_DEADLINE
        margin_ms = self._work.estimate_margin(step)
        here_ms = self._work.estimate(step) + margin_ms
        here_ms = int(here_ms * self._work.compute_confidence(step, now))
        if now + here_ms < step.deadline_at:
            return ''
        elsewhere_ms = self._work.estimate_usual(step)
        if step.work_ms:
            elsewhere_ms = min(elsewhere_ms, step.work_ms)
        if now + elsewhere_ms < step.deadline_at:
            return const.REASON_SLOW
        return const.REASON_DEADLINE

    def record_arrival(self, step: calls.Enter) -> None:
        """Count the demand of a rank and of a tenant."""
        self._sorted = None
        self._ranking.record_arrival(step)

    def record_admission(self, step: calls.Enter, now: int) -> None:
        """Count what a rank and a tenant got."""
        self._sorted = None
        self._ranking.record_admission(step)
        self._usage.record(step.rank, self._work.estimate(step), now)

    def push(
        self, step: calls.Enter, request: calls.Request, now: int
    ) -> list[waiting.Removed]:
        """Let an attempt wait if it is expected to start in time."""
        added = jobs.Job(step, request, self._work, now)
        self._jobs.append(added)
        self._sorted = None
        starts = self._estimate_starts(now)
        reason = self._find_refusal(added, starts, now)
        if reason:
            self._drop(added)
            return [waiting.Removed(added, reason)]
        removed = self._bound(added, now)
        if not removed:
            return self._trim(starts, now)
        if removed[0].entry is not added:
            removed.extend(self._trim(self._estimate_starts(now), now))
        return removed

    def pop(self, now: int) -> waiting.Entry:
        """Remove and return the attempt to admit next.

        Raises:
            IndexError: if none waits.
        """
        ordered, owed = self._sort(now)
        first = ordered[0]
        self._ranking.record_pop(first in owed)
        self._drop(first)
        return first

    def remove(self, attempt: str) -> bool:
        """Remove the entry of an attempt; return whether it existed."""
        kept = [job for job in self._jobs if job.step.attempt != attempt]
        is_removed = len(kept) < len(self._jobs)
        self._jobs = kept
        self._sorted = None
        return is_removed

    def pop_expired(self, now: int) -> list[waiting.Removed]:
        """Remove what cannot end in time at the present speed."""
        for waiting_job in self._jobs:
            waiting_job.revise(self._work)
        expired = [job for job in self._jobs if self._is_expired(job, now)]
        if expired:
            self._jobs = [job for job in self._jobs if job not in expired]
            self._sorted = None
        removed = [
            waiting.Removed(
                job,
                self.find_lateness(job.step, now)
                or self._offer.find_wait_reason(now),
            )
            for job in expired
        ]
        if any(job.may_give_way(now) for job in self._jobs):
            removed.extend(self._trim(self._estimate_starts(now), now))
        return removed

    def drain_all(self) -> list[waiting.Entry]:
        """Remove and return all entries, the longest wait first."""
        drained: list[waiting.Entry] = list(self._jobs)
        self._jobs = []
        self._sorted = None
        return drained

    def find_next_expiry(self) -> int:
        """Return the earliest expiry of an entry."""
        is_short = self._shortage.is_active
        return min(
            job.give_up_at if is_short else job.expires_at for job in self._jobs
        )

    def _drop(self, dropped: jobs.Job) -> None:
        self._jobs.remove(dropped)
        self._sorted = None

    def _is_expired(self, job: jobs.Job, now: int) -> bool:
        """Return whether a job cannot end in time, or only waits in vain."""
        if job.expires_at <= now:
            return True
        return self._shortage.is_active and now >= job.give_up_at

    def _find_refusal(
        self, added: jobs.Job, starts: dict[jobs.Job, float], now: int
    ) -> str:
        """Return why an attempt that was just added must not wait."""
        if self._limit < 1:
            return const.REASON_SLOTS_FULL
        is_slow = self._work.speed > work.USUAL_SPEED
        if added.latest_start <= now and is_slow:
            return const.REASON_SLOW
        starts_at = starts[added]
        # Others that can be in time arrive as long as the shortage lasts.
        in_vain = added.arrived_late and self._shortage.is_active
        if starts_at <= added.latest_start and not in_vain:
            return ''
        return self._offer.find_wait_reason(now)

    def _sort(self, now: int) -> order.Order:
        """Return the order of the jobs; see `order.Ranking.sort`."""
        slots = self._offer.count_slots(now)
        known = (now, self._work.revision, slots)
        if self._sorted is None or self._sorted[0] != known:
            found = self._ranking.sort(self._jobs, slots, now)
            self._sorted = (known, found)
        return self._sorted[1]

    def _count_slots(self, now: int) -> int:
        return max(self._offer.count_slots(now), 1)

    def _estimate_starts(self, now: int) -> dict[jobs.Job, float]:
        """Return when each job is expected to start."""
        ends = self._work.list_ends(self._count_slots(now), now)
        allowed = self._offer.cold.list_starts(len(self._jobs), now)
        period_ms = self._offer.rate.compute_period()
        earliest: float = now
        if not self._offer.rate.count_tokens(now):
            earliest += period_ms
        ordered, owed = self._sort(now)
        factors = self._find_wait_factors(now)
        starts: dict[jobs.Job, float] = {}
        for job in ordered:
            starts_at = ends[0] if ends[0] > earliest else earliest
            if allowed:
                starts_at = max(starts_at, allowed.pop(0))
            heapq.heapreplace(ends, starts_at + job.usual_ms)
            earliest = starts_at + period_ms
            if job not in owed:
                starts_at = now + (starts_at - now) * factors[job.step.rank]
            starts[job] = starts_at
        return starts

    def _find_wait_factors(self, now: int) -> dict[int, float]:
        """Return by which factor the jobs of each rank wait longer.

        More urgent ones arrive in the meantime.
        """
        slots = self._count_slots(now)
        ranks = {job.step.rank for job in self._jobs}
        return {
            rank: const.WAIT_FACTOR / self._usage.compute_rest(rank, slots, now)
            for rank in ranks
        }

    def _bound(self, added: jobs.Job, now: int) -> list[waiting.Removed]:
        """Give up the job that costs least if the queue is full."""
        held: dict[str, int] = {}
        for waiting_job in self._jobs:
            name = waiting_job.step.tenant
            held[name] = held.get(name, 0) + 1
        tenant = added.step.tenant
        crowded = len(self._jobs) > self._limit // const.TENANT_QUEUE_DIVISOR
        part = max(self._limit // const.TENANT_QUEUE_DIVISOR, 1)
        is_hot = crowded and len(held) > 1 and held[tenant] > part
        if is_hot and not added.is_inner:
            candidates = [
                job
                for job in self._jobs
                if job.step.tenant == tenant and not job.is_inner
            ]
        elif len(self._jobs) > self._limit:
            protected = self._ranking.list_protected(self._jobs, now)
            candidates = [
                job for job in self._jobs if job not in protected
            ] or self._jobs
        else:
            return []
        # Of equal ones, the newest.
        given_up = max(
            reversed(candidates),
            key=lambda one: one.compute_cost(held[one.step.tenant], now),
        )
        self._drop(given_up)
        return [waiting.Removed(given_up, const.REASON_QUEUE_FULL)]

    def _trim(
        self, starts: dict[jobs.Job, float], now: int
    ) -> list[waiting.Removed]:
        """Refuse what an attempt that goes first has made late.

        One that waited long already stays: it cannot be in time elsewhere.
        """
        removed: list[waiting.Removed] = []
        while True:
            missing = [
                job
                for job, starts_at in starts.items()
                if starts_at > job.latest_start and job.may_give_way(now)
            ]
            if not missing:
                return removed
            given_up = missing[-1]
            self._drop(given_up)
            reason = self._offer.find_wait_reason(now)
            removed.append(waiting.Removed(given_up, reason))
            starts = self._estimate_starts(now)
