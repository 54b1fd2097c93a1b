"""Index of the routes of one version."""

import random
from collections import abc

from shallotwharf.components.call import budget
from shallotwharf.components.tables import const as tables
from shallotwharf.components.tables import pool, route, version


class PoolEntry:
    """A pool with the shares of its versions.

    Attributes:
        row: the row of the table.
        move: progress of its move, if any.
        budget: tokens for retries; outlives the version.
        fenced: versions without traffic.
        shares: versions with traffic and their share, in hundredths of a
            percent; they need not sum to `FULL_SHARE`.
    """

    __slots__ = ('row', 'move', 'budget', 'fenced', 'shares')

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
        self.apply_fences(fenced)

    def apply_fences(self, fenced: frozenset[str]) -> None:
        """Give the shares of fenced versions to the others."""
        self.fenced = fenced
        open_shares = [
            (name, share)
            for name, share in version.compute_shares(
                self.row,
                self.move,
            ).items()
            if name not in fenced
        ]
        served = [pair for pair in open_shares if pair[1] > 0]
        # A move may have given everything to the fenced version.
        self.shares = tuple(
            served or [(name, tables.FULL_SHARE) for name, _ in open_shares],
        )

    def pick_version(self, source: random.Random) -> str | None:
        """Return a version by share; none if all are fenced."""
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
    """A route with its pool and rank."""

    __slots__ = ('row', 'pool', 'rank')

    def __init__(self, row: route.Route, pool_entry: PoolEntry) -> None:
        self.row = row
        self.pool = pool_entry
        self.rank = row.rank


class RouteIndex:
    """Finds the route with the longest path prefix for a method."""

    __slots__ = ('pools', '_prefixes', '_lengths')

    def __init__(
        self,
        applied: version.Version,
        pools: abc.Mapping[str, PoolEntry],
    ) -> None:
        self.pools = pools
        self._prefixes: dict[str, dict[str, RouteEntry]] = {}
        for row in applied.tables.routes:
            entry = RouteEntry(row, pools[row.pool])
            methods = self._prefixes.setdefault(row.path_prefix, {})
            for method in row.methods:
                methods.setdefault(method, entry)
        lengths = {len(prefix) for prefix in self._prefixes}
        self._lengths = tuple(sorted(lengths, reverse=True))

    def find(self, method: str, path: str) -> RouteEntry | None:
        """Return the route of a request."""
        for length in self._lengths:
            methods = self._prefixes.get(path[:length])
            if methods is not None and method in methods:
                return methods[method]
        return None
