"""Order in which waiting attempts are admitted."""

import typing

from shallotwharf.components.upstream import const, jobs, shares
from shallotwharf.core import calls

# All waiting jobs in order, and those that are owed to their ranks.
Order: typing.TypeAlias = tuple[list[jobs.Job], list[jobs.Job]]


class Ranking:
    """Orders waiting attempts, and guarantees parts of the admissions.

    Answers calls of several ranks and tenants that ask for more than the slots
    can serve: the most urgent are first, and no rank or tenant is starved.
    """

    __slots__ = ('_ranks', '_tenants', '_since_owed')

    def __init__(self) -> None:
        self._ranks = shares.Shares(const.RANK_PART)
        self._tenants: dict[int, shares.EqualShares] = {}
        # Admissions from the queue since one was owed to a rank.
        self._since_owed = 0

    def record_arrival(self, step: calls.Enter) -> None:
        """Count the demand of a rank and of a tenant."""
        self._ranks.record_arrival(step.rank)
        self._find_tenants(step.rank).record_arrival(step.tenant)

    def record_admission(self, step: calls.Enter) -> None:
        """Count what a rank and a tenant got."""
        self._ranks.record_admission(step.rank)
        self._find_tenants(step.rank).record_admission(step.tenant)

    def record_pop(self, is_owed: bool) -> None:
        """Count an admission from the queue, which may be owed to a rank."""
        self._since_owed = 0 if is_owed else self._since_owed + 1

    def sort(self, waiting_jobs: list[jobs.Job], slots: int, now: int) -> Order:
        """Return the jobs in the order of admission, and those owed to ranks.

        What belongs to running requests is first, then what must start now and
        cannot be served elsewhere any more. Of the others, every third one may
        be owed to a rank.

        Args:
            waiting_jobs: all of them, in any order.
            slots: slots of the upstream.
            now: clock milliseconds.
        """
        ordered = self._sort_plainly(waiting_jobs, now)
        first = [job for job in ordered if job.is_inner]
        first.extend(_list_due(ordered, slots, now))
        all_owed = self._list_owed(ordered)
        taken = set(first)
        owed = [job for job in all_owed if job not in taken]
        taken.update(owed)
        others = [job for job in ordered if job not in taken]
        position = self._since_owed
        while owed and others:
            position += 1
            is_owed_next = position % const.OWED_PERIOD == 0
            first.append((owed if is_owed_next else others).pop(0))
        return first + owed + others, all_owed

    def list_protected(
        self, waiting_jobs: list[jobs.Job], now: int
    ) -> list[jobs.Job]:
        """Return what is not given up if the queue is full."""
        ordered = self._sort_plainly(waiting_jobs, now)
        inner = [job for job in ordered if job.is_inner]
        return inner + self._list_owed(ordered)

    def _sort_plainly(
        self, waiting_jobs: list[jobs.Job], now: int
    ) -> list[jobs.Job]:
        """Return the jobs by rank, lateness and latest start.

        Within a rank, one job of each tenant that is owed one goes first.
        """
        ordered = sorted(waiting_jobs, key=lambda one: one.compute_order(now))
        seen: set[tuple[int, str]] = set()
        owed: set[jobs.Job] = set()
        for waiting_job in ordered:
            kind = waiting_job.kind
            if kind in seen:
                continue
            seen.add(kind)
            if self._find_tenants(kind[0]).is_owed(kind[1]):
                owed.add(waiting_job)
        if not owed:
            return ordered
        return sorted(ordered, key=lambda one: (one.step.rank, one not in owed))

    def _find_tenants(self, rank: int) -> shares.EqualShares:
        found = self._tenants.get(rank)
        if found is None:
            if len(self._tenants) >= const.MAX_KINDS:
                self._tenants.clear()
            found = shares.EqualShares(const.TENANT_PART)
            self._tenants[rank] = found
        return found

    def _list_owed(self, ordered: list[jobs.Job]) -> list[jobs.Job]:
        """Return the first job of each rank that is owed an admission.

        The rank that is owed most is first: the least urgent one would lose its
        part otherwise while others are owed as well.
        """
        heads: dict[int, jobs.Job] = {}
        for waiting_job in ordered:
            heads.setdefault(waiting_job.step.rank, waiting_job)
        owed = [rank for rank in heads if self._ranks.is_owed(rank)]
        owed.sort(key=self._ranks.read_credit, reverse=True)
        return [heads[rank] for rank in owed]


def _list_due(ordered: list[jobs.Job], slots: int, now: int) -> list[jobs.Job]:
    periods = const.DUE_PERIODS / max(slots, 1)
    due = [
        job
        for job in ordered
        if now <= job.latest_start <= now + periods * job.usual_ms
        and not job.arrived_late
        and not job.is_inner
        and not job.may_give_way(now)
    ]
    return sorted(due, key=jobs.Job.read_limit)
