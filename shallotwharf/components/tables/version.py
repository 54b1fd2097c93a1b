"""Versions of the configuration: immutable, checked and replaced as a whole."""

import operator
import typing
from collections import abc

from shallotwharf.components.tables import (
    const,
    limits,
    pool,
    route,
    tenant,
)
from shallotwharf.core import digest, records

# States of a move.
STATE_PENDING: typing.Final = 'pending'
STATE_STEPPING: typing.Final = 'stepping'
STATE_FULL: typing.Final = 'full'
STATE_WATCHING: typing.Final = 'watching'
STATE_DONE: typing.Final = 'done'
STATE_HELD: typing.Final = 'held'
STATE_TAKEN_BACK: typing.Final = 'taken_back'


_read_name: typing.Final = operator.attrgetter('name')
_read_pool: typing.Final = operator.attrgetter('pool')

# Stands for all versions of a service except the one that a move introduces.
ANY_VERSION: typing.Final = ''


class Tables(records.Record):
    """The two tables, each sorted by name.

    Attributes:
        routes: rows of the table of routes.
        pools: rows of the table of pools.
        revision: number that the operators assign to the tables; 0 if they
            do not number them.
        tenants: rows of the table of tenants; without any, calls need no
            key.
        limits: limits of what callers may send.
    """

    __slots__ = ('routes', 'pools', 'revision', 'tenants', 'limits')

    added_defaults = ((), limits.DEFAULT)

    def __init__(
        self,
        routes: tuple[route.Route, ...] = (),
        pools: tuple[pool.Pool, ...] = (),
        revision: int = 0,
        tenants: tuple[tenant.Tenant, ...] = (),
        limits: limits.ClientLimits = limits.DEFAULT,
    ) -> None:
        self.routes = tuple(sorted(routes, key=_read_name))
        self.pools = tuple(sorted(pools, key=_read_name))
        self.revision = revision
        self.tenants = tuple(sorted(tenants, key=_read_name))
        self.limits = limits


class Move(records.Record):
    """Progress of a move that is declared in the tables or ordered.

    Attributes:
        move_id: unique for each declaration or order.
        pool: name of the pool.
        from_version: version that serves the rest of the traffic.
        to_version: version that takes over.
        due_at: when the new version must serve all traffic, in milliseconds
            since the epoch.
        share: traffic of the new version in hundredths of a percent.
        state: one of the `STATE_` names.
        reason: why the move is held or was taken back; empty otherwise.
        period_ms: time from the order until the move must be done; 0 if the
            tables declare the move with a due time.
        ordered_at: wall time of the order, in milliseconds since the epoch;
            0 if the tables declare the move.
    """

    __slots__ = (
        'move_id',
        'pool',
        'from_version',
        'to_version',
        'due_at',
        'share',
        'state',
        'reason',
        'period_ms',
        'ordered_at',
    )

    def __init__(
        self,
        move_id: str,
        pool: str,
        from_version: str,
        to_version: str,
        due_at: int,
        share: int = 0,
        state: str = STATE_PENDING,
        reason: str = '',
        period_ms: int = 0,
        ordered_at: int = 0,
    ) -> None:
        self.move_id = move_id
        self.pool = pool
        self.from_version = from_version
        self.to_version = to_version
        self.due_at = due_at
        self.share = share
        self.state = state
        self.reason = reason
        self.period_ms = period_ms
        self.ordered_at = ordered_at


class Holder(records.Record):
    """A node that stores records of once-only calls, with its address."""

    __slots__ = ('name', 'host', 'port')

    def __init__(self, name: str, host: str, port: int) -> None:
        self.name = name
        self.host = host
        self.port = port


class HolderGroup(records.Record):
    """Three nodes that store the same records of once-only calls.

    Attributes:
        name: unchanged for the lifetime of the cluster.
        members: the nodes.
        epoch: 0 at first, raised by one with each change of members, so that
            a member that left and returned can detect it.
    """

    __slots__ = ('name', 'members', 'epoch')

    def __init__(
        self,
        name: str,
        members: tuple[Holder, ...],
        epoch: int = 0,
    ) -> None:
        self.name = name
        self.members = members
        self.epoch = epoch


class Version(records.Record):
    """One accepted configuration.

    Attributes:
        number: increases by one with each accepted change; 0 is the empty
            configuration.
        tables: routes and pools.
        moves: progress of moves, sorted by pool; at most one for each pool.
        holders: holder groups, sorted by name.
        evacuated: sorted names of the data centres whose upstreams get no
            requests.
    """

    __slots__ = (
        'number',
        'tables',
        'moves',
        'holders',
        'evacuated',
        '_digest',
    )

    added_defaults = ((),)

    def __init__(
        self,
        number: int,
        tables: Tables,
        moves: tuple[Move, ...] = (),
        holders: tuple[HolderGroup, ...] = (),
        evacuated: tuple[str, ...] = (),
    ) -> None:
        self.number = number
        self.tables = tables
        self.moves = tuple(sorted(moves, key=_read_pool))
        self.holders = tuple(sorted(holders, key=_read_name))
        self.evacuated = tuple(sorted(evacuated))

    def compute_digest(self) -> bytes:
        """Return the SHA-256 digest of the whole version, 32 bytes."""
        cached: bytes | None = getattr(self, '_digest', None)
        if cached is None:
            cached = digest.compute_digest(self)
            self._digest = cached
        return cached

    def has_tables(self) -> bool:
        """Return whether the operators have sent tables.

        A data centre may be evacuated before they do.
        """
        tables = self.tables
        return bool(tables.routes or tables.pools or tables.revision)

    def find_pool(self, name: str) -> pool.Pool | None:
        """Return the pool with a name; None if there is none."""
        for candidate in self.tables.pools:
            if candidate.name == name:
                return candidate
        return None

    def find_move(self, pool_name: str) -> Move | None:
        """Return the move of a pool; None if there is none."""
        for candidate in self.moves:
            if candidate.pool == pool_name:
                return candidate
        return None


def is_next_assignment(
    current: tuple[HolderGroup, ...],
    proposed: tuple[HolderGroup, ...],
) -> bool:
    """Return whether holder groups may replace the current ones.

    The names of groups never change once there are any, so that a key always
    maps to the same group. At most one member of each group changes, and the
    epoch of the group is then raised by one.
    """
    if not current:
        return all(group.epoch == 0 for group in proposed)
    by_name = {group.name: group for group in current}
    return sorted(by_name) == sorted(group.name for group in proposed) and all(
        _is_next_group(by_name[group.name], group) for group in proposed
    )


def _is_next_group(current: HolderGroup, proposed: HolderGroup) -> bool:
    before = {member.name for member in current.members}
    after = {member.name for member in proposed.members}
    if before == after:
        return proposed.epoch == current.epoch
    return (
        proposed.epoch == current.epoch + 1
        and len(after - before) == 1
        and len(after) == len(before)
    )


def compute_shares(
    row: pool.Pool,
    move: Move | None,
) -> abc.Mapping[str, int]:
    """Return the share of each version in hundredths of a percent."""
    if move is None or move.state == STATE_TAKEN_BACK:
        if not row.weights:
            return {ANY_VERSION: const.FULL_SHARE}
        return {
            name: weight * const.FULL_SHARE // const.WEIGHT_SUM
            for name, weight in row.weights.items()
        }
    return {
        move.from_version: const.FULL_SHARE - move.share,
        move.to_version: move.share,
    }


EMPTY: typing.Final = Version(0, Tables())
