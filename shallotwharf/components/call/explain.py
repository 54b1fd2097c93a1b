"""Explanation of where a request would go now, and why."""

import typing

from shallotwharf.components.call import attempts as call_attempts
from shallotwharf.components.call import (
    candidates,
    chooser,
    const,
    context,
    dry_run,
    expectation,
    index,
    places,
    plan,
    steps,
    targets,
)
from shallotwharf.components.tables import tenant, version
from shallotwharf.core import access_interfaces, call_replies, calls, records

# Valid key of a once-only request; it reaches no upstream.
_ONCE_KEY: typing.Final = '00000000-0000-7000-8000-000000000000'


class Question(records.Record):
    """A request to explain.

    Attributes:
        method: HTTP method.
        path: path of the request.
        host: host that the request is for; empty for none.
        tenant: name of the caller's tenant; empty for a caller without a key.
        deadline_ms: milliseconds until its deadline; None if not stated.
    """

    __slots__ = ('method', 'path', 'host', 'tenant', 'deadline_ms')

    def __init__(
        self,
        method: str,
        path: str,
        host: str = '',
        tenant: str = '',
        deadline_ms: int | None = None,
    ) -> None:
        self.method = method
        self.path = path
        self.host = host
        self.tenant = tenant
        self.deadline_ms = deadline_ms


class Verdict(records.Record):
    """What the node would do with the request.

    Attributes:
        text: `sent to NODE` or `refused STATUS REASON`.
        node: node beside the chosen upstream; empty if refused.
        status: HTTP status of the refusal; 0 if sent.
        reason: reason of the refusal; empty if sent.
        retry_after_ms: time that the caller is told to wait; 0 if none.
    """

    __slots__ = ('text', 'node', 'status', 'reason', 'retry_after_ms')

    def __init__(
        self,
        node: str,
        status: int = 0,
        reason: str = '',
        retry_after_ms: int = 0,
    ) -> None:
        self.text = f'refused {status} {reason}'
        if node:
            self.text = f'sent to {node}'
        self.node = node
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Branch(records.Record):
    """A pool and version that the request may get, with its verdict.

    Attributes:
        pool: name of the pool.
        version: version of the service by share; empty if all are fenced, `*`
            for any version.
        share: part of such requests, 0 to 1.
        verdict: what would happen to the request.
        candidates: upstreams of the service, nearest first.
    """

    __slots__ = ('pool', 'version', 'share', 'verdict', 'candidates')

    def __init__(
        self,
        pool: str,
        served: str,
        share: float,
        verdict: Verdict,
        rows: tuple[candidates.Candidate, ...],
    ) -> None:
        self.pool = pool
        self.version = served
        self.share = share
        self.verdict = verdict
        self.candidates = rows


class Explanation(records.Record):
    """What a node would do with a request.

    Attributes:
        verdict: that of the branch with the largest share.
        route: name of the route; empty if none matches.
        is_public: whether the route needs no key.
        tenant: name of the caller's tenant; empty if there is none.
        tenant_rank: rank of the tenant; -1 if it has none.
        route_rank: rank of the route; 0 is served first.
        rank: rank in the queue of a gate, from both.
        quota: state of the tenant's quota; None if it does not apply.
        regions: allowed regions; None for all.
        evacuated: evacuated data centres.
        is_scheduled: whether gates schedule the calls.
        work_ms: expected run time; 0 if unknown.
        aim_ms: latency target; 0 if there is none.
        deadline_ms: time until the deadline; 0 without a route.
        branches: pools and versions that may serve the request.
    """

    __slots__ = (
        'verdict',
        'route',
        'is_public',
        'tenant',
        'tenant_rank',
        'route_rank',
        'rank',
        'quota',
        'regions',
        'evacuated',
        'is_scheduled',
        'work_ms',
        'aim_ms',
        'deadline_ms',
        'branches',
    )

    def __init__(
        self,
        verdict: Verdict,
        entry: index.RouteEntry | None,
        owner: tenant.Tenant | None,
        is_scheduled: bool,
        evacuated: tuple[str, ...],
    ) -> None:
        self.verdict = verdict
        self.route = entry.row.name if entry else ''
        self.is_public = entry is not None and entry.row.is_public
        self.tenant = owner.name if owner else ''
        self.tenant_rank = owner.rank if owner else tenant.NO_RANK
        self.route_rank = entry.row.rank if entry else 0
        self.rank = tenant.compute_rank(owner, entry.row) if entry else 0
        self.quota: access_interfaces.QuotaStanding | None = None
        self.regions: tuple[str, ...] | None = None
        self.evacuated = evacuated
        self.is_scheduled = is_scheduled
        self.work_ms = 0
        self.aim_ms = entry.row.aim_ms if entry else 0
        self.deadline_ms = 0
        self.branches: tuple[Branch, ...] = ()


class Explainer:
    """Explains one request by planning it on copies of a node's state."""

    __slots__ = ('_context', '_entry', '_owner', '_request', '_count_spare')

    def __init__(
        self,
        call_context: context.Context,
        question: Question,
        owner: tenant.Tenant | None,
        count_spare: dry_run.CountSpare | None,
    ) -> None:
        """Create an explainer.

        Args:
            call_context: context of the node; it is not changed.
            question: the request.
            owner: tenant of the caller; None for a caller without a key.
            count_spare: returns the free slots of the local gate.
        """
        self._context = call_context
        self._owner = owner
        self._count_spare = count_spare
        self._entry = call_context.find_route(
            question.method, question.path, question.host
        )
        self._request = calls.Request(
            question.method,
            question.path,
            deadline_ms=question.deadline_ms,
            key=_ONCE_KEY,
            host=question.host,
            key_digest=_read_digest(owner),
        )

    def explain(self, applied: version.Version, now: int) -> Explanation:
        """Return the explanation under a version of the tables."""
        branches = self._list_branches(now)
        if branches:
            verdict = max(branches, key=lambda row: row.share).verdict
        else:
            verdict = self._make_unmatched_verdict(now)
        made = Explanation(
            verdict,
            self._entry,
            self._owner,
            self._context.is_scheduled,
            applied.evacuated,
        )
        made.branches = branches
        if self._entry is None:
            return made
        row = self._entry.row
        regions = places.find_regions(row, self._owner)
        made.regions = None if regions is None else tuple(sorted(regions))
        if self._owner is not None and not row.is_public:
            made.quota = self._context.quotas.read(self._owner.name, now)
        timings = self._context.timings.copy_route(row.name)
        made.work_ms = timings.find(row.name).estimate_work(now)
        made.deadline_ms = row.timeout_ms
        if self._request.deadline_ms is not None:
            made.deadline_ms = min(row.timeout_ms, self._request.deadline_ms)
        return made

    def _make_unmatched_verdict(self, now: int) -> Verdict:
        dry = self._make_context(dry_run.FixedSource())
        return _read_verdict(plan.CallPlan(dry, self._request).start(now), '')

    def _list_branches(self, now: int) -> tuple[Branch, ...]:
        if self._entry is None:
            return ()
        branches = []
        for position, (pool, part) in enumerate(self._entry.list_pools()):
            for point, share in _list_points(pool):
                source = dry_run.FixedSource(position, point)
                branches.append(
                    self._explain_branch(position, source, part * share, now)
                )
        return tuple(branches)

    def _explain_branch(
        self,
        position: int,
        source: dry_run.FixedSource,
        share: float,
        now: int,
    ) -> Branch:
        dry = self._make_context(source)
        entry = dry.find_matched()
        pool = entry.list_pools()[position][0]
        regions = places.find_regions(entry.row, self._owner)
        dry.refresh_local_spare(now)
        served = chooser.choose_version(
            pool, dry.directory, source.copy(), regions
        )
        groups = chooser.find_groups(pool, dry.directory, served or '', regions)
        candidates.sort_targets(groups, now)
        step = self._plan(dry, now)
        chosen = self._find_chosen(dry, pool)
        if chosen is not None:
            # Its free slots are listed as they are before the attempt.
            chosen.in_flight -= 1
        review = candidates.Review(
            dry.directory,
            pool,
            served,
            regions,
            dry.sizes.filter_groups(entry.row.name, groups),
            self._build_demand(dry, entry, now),
            now,
        )
        node = chosen.announcement.node.name if chosen else ''
        return Branch(
            pool.row.name,
            served or '',
            share,
            _read_verdict(step, node),
            review.list_candidates(chosen),
        )

    def _make_context(self, source: dry_run.FixedSource) -> dry_run.DryContext:
        return dry_run.DryContext(
            self._context, self._entry, source, self._count_spare
        )

    def _plan(self, dry: dry_run.DryContext, now: int) -> calls.Step:
        """Return the first decision; a once-only call counts as granted."""
        planned = plan.CallPlan(dry, self._request)
        step = planned.start(now)
        if isinstance(step, calls.Guard):
            granted = call_replies.Granted(const.NO_LIMIT_AT)
            return planned.handle_guard_reply(granted, now)
        return step

    def _find_chosen(
        self, dry: dry_run.DryContext, pool: index.PoolEntry
    ) -> targets.Target | None:
        """Return the target whose copy has an attempt more, if any."""
        for target in dry.directory.list_targets(pool.row.service):
            name = target.announcement.node.name
            before = self._context.directory.find_target(name)
            if before is not None and target.in_flight > before.in_flight:
                return target
        return None

    def _build_demand(
        self, dry: dry_run.DryContext, entry: index.RouteEntry, now: int
    ) -> expectation.Demand:
        timing = dry.timings.find(entry.row.name)
        made = call_attempts.Attempts()
        made.began_at = now
        age_ms = timing.record_deadline(self._request.deadline_ms, now)
        return expectation.Demand(
            timing.run_ms, steps.find_aim(entry.row, made, age_ms)
        )


def _read_digest(owner: tenant.Tenant | None) -> bytes:
    return owner.key_digests[0] if owner and owner.key_digests else b''


def _list_points(pool: index.PoolEntry) -> list[tuple[float, float]]:
    """Return a random number that picks each version, and its share."""
    if len(pool.shares) < 2:
        # No random number is taken.
        return [(0, 1)]
    total = sum(share for _, share in pool.shares)
    points: list[tuple[float, float]] = []
    passed = 0
    for _, share in pool.shares:
        points.append(((passed + share / 2) / total, share / total))
        passed += share
    return points


def _read_verdict(step: calls.Step, node: str) -> Verdict:
    if isinstance(step, calls.Respond):
        return Verdict('', step.status, step.reason, step.retry_after_ms)
    return Verdict(node)
