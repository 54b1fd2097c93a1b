"""Routes, upstreams and fences as one node knows them."""

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
    sizes,
    targets,
)
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.move import messages as move
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.tables import version
from shallotwharf.core import call_interfaces, calls, direct, effects

CountSpare: typing.TypeAlias = collections_abc.Callable[[int], int]


class Caller(
    direct.DirectAggregate, call_interfaces.CallPlanner, context.Context
):
    """Makes the plan of each call."""

    __slots__ = (
        'own_node',
        'directory',
        'random',
        'observer',
        'sizes',
        '_id_prefix',
        '_call_count',
        '_version',
        '_index',
        '_fences',
        '_limits',
        '_nodes',
        '_applied_at',
        '_count_own_spare',
    )

    name = 'call'
    handlers: typing.ClassVar = {
        tables.VersionApplied: 'apply_version',
        membership.AnnouncementsChanged: 'apply_announcements',
        move.FenceRaised: 'apply_fence',
    }

    def __init__(
        self,
        node: membership.Member,
        id_prefix: str,
        source: random.Random,
        observer: call_interfaces.Observer,
        limits: budget.Limits | None = None,
        count_own_spare: CountSpare | None = None,
    ) -> None:
        """Create the caller of a node that has no version yet.

        Args:
            node: the own node.
            id_prefix: start of all call ids; differs after a restart.
            source: of random choices.
            observer: gets the result of each attempt.
            limits: of retries.
            count_own_spare: returns the free slots of the own gate, which
                is exact where an announcement is late.
        """
        super().__init__()
        self.own_node = node.name
        self.directory = targets.Directory(node)
        self.random = source
        self.observer = observer
        self.sizes = sizes.AnswerSizes()
        self._id_prefix = id_prefix
        self._call_count = 0
        self._version = version.EMPTY
        self._fences = fences.Fences()
        self._index = index.RouteIndex(version.EMPTY, {})
        self._limits = limits or budget.Limits()
        self._nodes = 1
        self._count_own_spare = count_own_spare
        self._applied_at: int | None = None

    def start(self, now: int) -> list[effects.Effect]:
        """Do nothing until a version is applied."""
        return []

    def apply_version(
        self,
        message: tables.VersionApplied,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Build the index of a version and use it from the next call on."""
        applied = message.applied
        self._fences.replace_version(self._version, applied)
        pools: dict[str, index.PoolEntry] = {}
        for row in applied.tables.pools:
            known = self._index.pools.get(row.name)
            pool_move = applied.find_move(row.name)
            pools[row.name] = index.PoolEntry(
                row,
                pool_move,
                known.budget if known else self._make_budget(now),
                self._fences.find_fenced(row.name, pool_move),
            )
        self._index = index.RouteIndex(applied, pools)
        if self._applied_at is None and applied.number:
            self._applied_at = now
        self._version = applied
        return []

    def apply_announcements(
        self,
        message: membership.AnnouncementsChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Take all upstreams that are announced."""
        self.directory.replace(message.announcements, now)
        if len(message.announcements) != self._nodes:
            self._nodes = len(message.announcements)
            for entry in self._index.pools.values():
                entry.budget.limits = self._limits.divide(self._nodes)
        return []

    def apply_fence(
        self,
        message: move.FenceRaised,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Give the version no more traffic, from the next attempt on."""
        self._fences.add(message)
        entry = self._index.pools.get(message.pool)
        if entry is not None:
            entry.apply_fences(
                self._fences.find_fenced(message.pool, entry.move),
            )
        return []

    def plan(self, request: calls.Request) -> call_interfaces.Plan:
        """Return the plan of a request."""
        if request.forwarded:
            return forwarded.ForwardedPlan(request)
        return plan.CallPlan(self, request)

    def explain(
        self,
        method: str,
        path: str,
        now: int,
    ) -> explain.Explanation:
        """Tell where a request would go and why."""
        return explain.explain_route(
            self.find_route(method, path),
            self.directory,
            now,
        )

    def find_route(
        self,
        method: str,
        path: str,
        host: str = '',
    ) -> index.RouteEntry | None:
        """Return the route of a request in the current version."""
        return self._index.find(method, path, host)

    def refresh_own(self, now: int) -> None:
        """Note the spare slots of the upstream beside this node."""
        own = self.directory.find_target(self.own_node)
        if own is not None and self._count_own_spare is not None:
            own.note_spare(self._count_own_spare(now), now)

    def has_version(self) -> bool:
        """Tell whether a version was applied."""
        return self._version.number > 0

    def is_able(self, now: int) -> bool:
        """Tell whether calls can be served.

        That needs a version and an upstream of each pool, unless some are
        still unknown after `const.ABLE_PATIENCE_MS`.
        """
        if self._applied_at is None:
            return False
        if now - self._applied_at >= const.ABLE_PATIENCE_MS:
            return True
        return all(
            self.directory.find_any(entry.row.service, frozenset())
            for entry in self._index.pools.values()
        )

    def make_call_id(self) -> str:
        """Return a new id."""
        self._call_count += 1
        return f'{self._id_prefix}-{self._call_count}'

    def report(
        self,
        event: str,
        fields: collections_abc.Mapping[str, object],
    ) -> None:
        """Log a decision on a call, with the version that was in force."""
        numbered = {**fields, 'number': self._version.number}
        self.outbox.append(effects.Report(event, numbered, is_call=True))

    def count(self, name: str) -> None:
        """Add to a counter."""
        self.outbox.append(effects.Count(name))

    def _make_budget(self, now: int) -> budget.RetryBudget:
        return budget.RetryBudget(now, self._limits.divide(self._nodes))
