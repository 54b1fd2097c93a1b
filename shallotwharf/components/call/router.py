"""Plans calls from the routes, upstreams and fences known at one node."""

import random
import typing
from collections import abc as collections_abc

from shallotwharf.components.call import (
    budget,
    const,
    context,
    explain,
    fences,
    forwarded,
    index,
    plan,
    shutdown,
    sizes,
    targets,
    timing,
)
from shallotwharf.components.call import inner_calls as inner
from shallotwharf.components.call import messages as call_messages
from shallotwharf.components.call import shortages as unmet
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.move import messages as move
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.tables import version
from shallotwharf.components.tenants import keyring, refusals
from shallotwharf.core import (
    access_interfaces,
    call_interfaces,
    calls,
    direct,
    effects,
    upstream_notices,
)

CountSpare: typing.TypeAlias = collections_abc.Callable[[int], int]


class CallRouter(
    direct.DirectAggregate, call_interfaces.CallPlanner, context.Context
):
    """Aggregate that makes the plan of each call at a node."""

    __slots__ = (
        'local_node',
        'directory',
        'random',
        'observer',
        'sizes',
        'timings',
        'keyring',
        'quotas',
        'inner_calls',
        'shortages',
        'is_scheduled',
        '_has_speeds',
        'key_trust',
        '_refusals',
        '_id_prefix',
        '_call_count',
        '_version',
        '_index',
        '_fences',
        '_limits',
        '_sharers',
        '_node_count',
        '_first_applied_at',
        '_count_local_spare',
        '_shutdown',
    )

    name = 'call'
    handlers: typing.ClassVar = {
        tables.VersionApplied: 'apply_version',
        membership.AnnouncementsChanged: 'apply_announcements',
        move.FenceRaised: 'apply_fence',
        call_messages.StopBegan: 'apply_stop',
    }

    def __init__(
        self,
        node: membership.Member,
        id_prefix: str,
        source: random.Random,
        observer: call_interfaces.Observer,
        limits: budget.Limits | None = None,
        count_local_spare: CountSpare | None = None,
        quotas: access_interfaces.Quotas | None = None,
        key_trust: access_interfaces.KeyTrust | None = None,
        count_local_running: inner.CountRunning = inner.count_none,
    ) -> None:
        """Create the aggregate without a version.

        Args:
            node: the local node.
            id_prefix: prefix of all call ids; must differ after a restart.
            source: random number generator of all choices.
            observer: receives the result of each attempt.
            limits: limits of retries.
            count_local_spare: returns the free slots of the local gate, which
                are exact, unlike announcements, which lag.
            quotas: limits on the calls of tenants; None for no limits.
            key_trust: whether keys may be relied on; None for always.
            count_local_running: returns how many requests run at the local
                upstream.
        """
        super().__init__()
        self.local_node = node.name
        self.directory = targets.Directory(node)
        self.random = source
        self.observer = observer
        self.sizes = sizes.ResponseSizes()
        self.timings = timing.Timings()
        self.keyring = keyring.Keyring()
        self.quotas = quotas or access_interfaces.UnlimitedQuotas()
        self.inner_calls = inner.InnerCalls(count_local_running)
        self.shortages = unmet.Shortages()
        self.is_scheduled = False
        # Whether an upstream reports its speed.
        self._has_speeds = False
        self.key_trust = key_trust or access_interfaces.UnlimitedKeyTrust()
        self._refusals = refusals.RefusalLog()
        self._id_prefix = id_prefix
        self._call_count = 0
        self._version = version.EMPTY
        self._fences = fences.Fences()
        self._index = index.RouteIndex(version.EMPTY, {})
        self._limits = limits or budget.Limits()
        self._sharers = budget.Sharers()
        self._node_count = 0
        self._count_local_spare = count_local_spare
        self._first_applied_at: int | None = None
        self._shutdown = shutdown.Shutdown()

    def start(self, now: int) -> list[effects.Effect]:
        """Do nothing until a version is applied."""
        return []

    def apply_version(
        self,
        message: tables.VersionApplied,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Build the route index of a version; later calls use it."""
        applied = message.applied
        self._fences.remove_replaced(self._version, applied)
        pools: dict[str, index.PoolEntry] = {}
        for row in applied.tables.pools:
            previous = self._index.pools.get(row.name)
            pool_move = applied.find_move(row.name)
            pools[row.name] = index.PoolEntry(
                row,
                pool_move,
                previous.budget if previous else self._make_budget(now),
                self._fences.find_fenced(row.name, pool_move),
            )
        self._index = index.RouteIndex(applied, pools, self._index)
        if self._first_applied_at is None and applied.has_tables():
            self._first_applied_at = now
        self._version = applied
        self.timings.retain(applied.tables.routes)
        self.keyring = keyring.Keyring(applied.tables.tenants)
        self._update_scheduling()
        return self.directory.apply_version(applied, now)

    def apply_announcements(
        self,
        message: membership.AnnouncementsChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Replace the announced upstreams and adjust the retry limits."""
        self.directory.replace(message.announcements, now)
        self._has_speeds = self.directory.has_speeds()
        self._update_scheduling()
        node_count = self._sharers.update(message.announcements, now)
        if node_count != self._node_count:
            self._node_count = node_count
            for entry in self._index.pools.values():
                entry.budget.limits = self._limits.divide(self._node_count)
        return []

    def apply_fence(
        self,
        message: move.FenceRaised,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Exclude the fenced version from all later attempts."""
        self._fences.add(message)
        entry = self._index.pools.get(message.pool)
        if entry is not None:
            entry.apply_fences(
                self._fences.find_fenced(message.pool, entry.move),
            )
        return []

    def apply_stop(
        self,
        message: call_messages.StopBegan,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Refuse new calls that may not end before the process does."""
        self._shutdown.begin(message)
        return []

    def note_condition(self, condition: upstream_notices.Condition) -> None:
        """Apply the rules of scheduling if a gate states a speed.

        A gate states one only while it schedules attempts.
        """
        if condition.speed and not self._has_speeds:
            self._has_speeds = True
            self._update_scheduling()

    def plan(self, request: calls.Request) -> call_interfaces.Plan:
        """Return the plan of a request."""
        if request.forwarded:
            return forwarded.ForwardedPlan(request)
        return plan.CallPlan(self, request)

    def find_room(
        self, request: calls.Request, now: int
    ) -> call_interfaces.Room:
        """Return whether upstreams have room for a request.

        Beside earlier requests of its caller only a request of an idempotent
        route may run, and only in a free slot: what runs ahead of its turn
        would take the place of calls of others in the queues. A forwarded
        request is alone on its connection and has a place at this gate.
        """
        entry = None
        if not request.forwarded:
            entry = self.find_route(request.method, request.path, request.host)
        if entry is None:
            return call_interfaces.Room.FREE
        self.refresh_local_spare(now)
        service = entry.pool.row.service
        spares = [
            target.estimate_spare(now)
            for group in self.directory.find_any(service, frozenset())
            for target in group.targets
        ]
        if spares and max(spares) <= 0:
            return call_interfaces.Room.CROWDED
        if spares and entry.row.idempotent and not entry.row.once_only:
            return call_interfaces.Room.OVERLAP
        return call_interfaces.Room.FREE

    def explain(
        self,
        question: explain.Question,
        now: int,
    ) -> explain.Explanation | None:
        """Return where a request would go; None if its tenant is unknown.

        Changes nothing.
        """
        owner = None
        if question.tenant:
            rows = self._version.tables.tenants
            owner = next(
                (row for row in rows if row.name == question.tenant), None
            )
            if owner is None:
                return None
        return explain.Explainer(
            self, question, owner, self._count_local_spare
        ).explain(self._version, now)

    def find_route(
        self,
        method: str,
        path: str,
        host: str = '',
    ) -> index.RouteEntry | None:
        """Return the route of a request in the current version."""
        return self._index.find(method, path, host)

    def refresh_local_spare(self, now: int) -> None:
        """Update the spare slots of the local upstream from its gate."""
        local = self.directory.find_target(self.local_node)
        if local is not None and self._count_local_spare is not None:
            local.update_spare(self._count_local_spare(now), now)

    def admits(self, deadline_at: int, now: int) -> bool:
        """Return whether a call with this deadline may begin."""
        return self._shutdown.admits(deadline_at, now)

    def has_version(self) -> bool:
        """Return whether a version with tables was applied."""
        return self._version.has_tables()

    def is_ready(self, now: int) -> bool:
        """Return whether calls can be served.

        This requires a version and an upstream of each pool. After
        `const.READY_TIMEOUT_MS` pools without an upstream are tolerated.
        """
        if self._first_applied_at is None:
            return False
        if now - self._first_applied_at >= const.READY_TIMEOUT_MS:
            return True
        return all(
            self.directory.find_any(entry.row.service, frozenset())
            for entry in self._index.pools.values()
        )

    def make_call_id(self) -> str:
        """Return a new call id."""
        self._call_count += 1
        return f'{self._id_prefix}-{self._call_count}'

    def log_refusal(
        self, reason: str, tenant: str, route: str, now: int
    ) -> None:
        """Log that calls are refused for their tenant, once a second."""
        self.outbox.extend(self._refusals.record(reason, tenant, route, now))

    def report(
        self,
        event: str,
        fields: collections_abc.Mapping[str, object],
    ) -> None:
        """Log a decision on a call with the number of the current version."""
        numbered = {**fields, 'number': self._version.number}
        self.outbox.append(effects.Report(event, numbered, is_call=True))

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.outbox.append(effects.Count(name))

    def _update_scheduling(self) -> None:
        has_tenants = bool(self._version.tables.tenants)
        self.is_scheduled = has_tenants or self._has_speeds

    def _make_budget(self, now: int) -> budget.RetryBudget:
        return budget.RetryBudget(now, self._limits.divide(self._node_count))
