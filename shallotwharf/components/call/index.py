"""Index of the routes and pools of one version."""

import random
import typing
from collections import abc

from shallotwharf.components.call import budget
from shallotwharf.components.tables import const as tables
from shallotwharf.components.tables import pool, route, version

_Routes: typing.TypeAlias = tuple[route.Route, ...]
# Routes by path prefix and method.
_Prefixes: typing.TypeAlias = dict[str, dict[str, route.Route]]


class PoolEntry:
    """A pool with the traffic shares of its versions.

    Attributes:
        row: row of the pool table.
        move: state of its move, if any.
        budget: retry budget; kept when a new version is applied.
        fenced: versions that get no traffic.
        shares: versions with traffic and their shares in hundredths of a
            per cent; they need not add up to `FULL_SHARE`.
        excluded: versions that `version.ANY_VERSION` does not include.
        last_rank: rank of the least urgent route that uses it.
    """

    __slots__ = (
        'row',
        'move',
        'budget',
        'fenced',
        'shares',
        'excluded',
        'last_rank',
    )

    def __init__(
        self,
        row: pool.Pool,
        move: version.Move | None,
        retry_budget: budget.RetryBudget,
        fenced: frozenset[str],
    ) -> None:
        self.row = row
        self.move = move
        self.budget = retry_budget
        self.last_rank = 0
        self.apply_fences(fenced)

    def apply_fences(self, fenced: frozenset[str]) -> None:
        """Set the fenced versions; their shares go to the others."""
        self.fenced = fenced
        self.excluded = fenced
        if self.move is not None and self.move.state != version.STATE_DONE:
            self.excluded = fenced | {self.move.to_version}
        open_shares = [
            (name, share)
            for name, share in version.compute_shares(
                self.row,
                self.move,
            ).items()
            if name not in fenced
        ]
        served = [pair for pair in open_shares if pair[1] > 0]
        # A move may have given the full share to the fenced version.
        self.shares = tuple(
            served or [(name, tables.FULL_SHARE) for name, _ in open_shares],
        )

    def pick_version(self, source: random.Random) -> str | None:
        """Return a random version by share; None if all are fenced."""
        if len(self.shares) < 2:
            return self.shares[0][0] if self.shares else None
        total = sum(share for _, share in self.shares)
        position = source.random() * total
        for name, share in self.shares:
            position -= share
            if position < 0:
                return name
        return self.shares[-1][0]


class RouteEntry:
    """A route with its pools and priority rank."""

    __slots__ = ('row', 'rank', '_pools', '_weights')

    def __init__(
        self,
        row: route.Route,
        pools: abc.Mapping[str, PoolEntry],
    ) -> None:
        self.row = row
        self.rank = row.rank
        self._pools = [pools[name] for name in row.list_pools()]
        self._weights = list(row.shares.values())

    @property
    def pool(self) -> PoolEntry:
        """Return the first of its pools, for explanations."""
        return self._pools[0]

    def list_pools(self) -> list[tuple[PoolEntry, float]]:
        """Return its pools with the parts of the calls they get, 0 to 1."""
        total = sum(self._weights)
        if len(self._pools) == 1 or not total:
            return [(self._pools[0], 1)]
        return [
            (entry, weight / total)
            for entry, weight in zip(self._pools, self._weights, strict=True)
        ]

    def pick_pool(self, source: random.Random) -> PoolEntry:
        """Return a random pool by weight."""
        if len(self._pools) == 1 or not any(self._weights):
            return self._pools[0]
        return source.choices(self._pools, self._weights)[0]


class RouteIndex:
    """Index of routes by host, longest path prefix and method.

    Versions share most of their routes, so that only what differs from the
    index of the version before is built. Entries are built as they are used.
    """

    __slots__ = ('pools', '_routes', '_hosts', '_entries')

    def __init__(
        self,
        applied: version.Version,
        pools: abc.Mapping[str, PoolEntry],
        before: 'RouteIndex | None' = None,
    ) -> None:
        """Index the routes of a version.

        Args:
            applied: the version.
            pools: its pools by name.
            before: index of the version before; None if there is none.
        """
        self.pools = pools
        self._routes = applied.tables.routes
        self._hosts: dict[str, _PrefixIndex] = {}
        if before is None:
            self._index((), self._routes)
        else:
            self._hosts.update(before._hosts)
            self._index(before._routes, self._routes)
        self._entries: dict[str, RouteEntry] = {}
        ranks = {
            (name, row.rank)
            for row in self._routes
            for name in row.list_pools()
        }
        for name, rank in ranks:
            pools[name].last_rank = max(pools[name].last_rank, rank)

    def find(
        self,
        method: str,
        path: str,
        host: str = '',
    ) -> RouteEntry | None:
        """Return the route of a request; routes of its host take precedence.

        None if no route matches.
        """
        for name in (host, '') if host else ('',):
            prefixes = self._hosts.get(name)
            found = prefixes.find(method, path) if prefixes else None
            if found is not None:
                return self._find_entry(found)
        return None

    def _find_entry(self, row: route.Route) -> RouteEntry:
        entry = self._entries.get(row.name)
        if entry is None:
            entry = RouteEntry(row, self.pools)
            self._entries[row.name] = entry
        return entry

    def _index(self, before: _Routes, after: _Routes) -> None:
        """Replace the prefixes of the routes that are not in both tables."""
        touched = _find_prefixes(after, before) | _find_prefixes(before, after)
        names = {host for host, _ in touched}
        hosts = {name: self._copy_prefixes(name) for name in names}
        for host, prefix in touched:
            hosts[host].pop(prefix, None)
        for row in after:
            if (row.host, row.path_prefix) in touched:
                # The first route of a prefix and method takes precedence.
                methods = dict.fromkeys(row.methods, row)
                methods.update(hosts[row.host].get(row.path_prefix, {}))
                hosts[row.host][row.path_prefix] = methods
        for host, prefixes in hosts.items():
            self._hosts[host] = _PrefixIndex(prefixes)

    def _copy_prefixes(self, host: str) -> _Prefixes:
        indexed = self._hosts.get(host)
        return {} if indexed is None else dict(indexed.prefixes)


class _PrefixIndex:
    """Routes of one host by path prefix and method."""

    __slots__ = ('prefixes', '_lengths')

    def __init__(self, prefixes: _Prefixes) -> None:
        self.prefixes = prefixes
        self._lengths = tuple(sorted(set(map(len, prefixes)), reverse=True))

    def find(self, method: str, path: str) -> route.Route | None:
        """Return the route with the longest matching prefix, or None."""
        for length in self._lengths:
            methods = self.prefixes.get(path[:length])
            if methods is not None and method in methods:
                return methods[method]
        return None


def _find_prefixes(rows: _Routes, others: _Routes) -> set[tuple[str, str]]:
    """Return host and prefix of the rows that are not shared with others.

    Versions share the objects of unchanged rows.
    """
    shared = set(map(id, others))
    return {
        (row.host, row.path_prefix) for row in rows if id(row) not in shared
    }
