"""Differences between two versions."""

import typing
from collections import abc

from shallotwharf.components.tables import (
    limits,
    pool,
    route,
    tenant,
    version,
)
from shallotwharf.core import errors, records

# Kinds of rows in the keys of removals.
_ROUTE: typing.Final = 'route'
_POOL: typing.Final = 'pool'
_TENANT: typing.Final = 'tenant'
_MOVE: typing.Final = 'move'
_HOLDERS: typing.Final = 'holders'
# Rows of each kind by name.
_Rows: typing.TypeAlias = dict[str, dict[str, typing.Any]]

_STEP: typing.Final = 'difference.apply'


class Difference(records.Record):
    """Changes that turn the version `base` into the version `number`.

    Attributes:
        base: number of the version that the difference applies to.
        base_digest: digest of that version.
        number: number of the result.
        digest: digest of the result.
        routes, pools, moves, holders: entries that are new or changed.
        removals: keys of removed entries, such as `route/order-status`.
        revision: the operators' revision number of the resulting tables.
        tenants: tenants that are new or changed.
        limits: limits of callers in the result.
        evacuated: evacuated data centres of the result.
    """

    __slots__ = (
        'base',
        'base_digest',
        'number',
        'digest',
        'routes',
        'pools',
        'moves',
        'holders',
        'removals',
        'revision',
        'tenants',
        'limits',
        'evacuated',
    )

    # Each field of a record is an argument.
    def __init__(  # noqa: WPS211
        self,
        base: int,
        base_digest: bytes,
        number: int,
        digest: bytes,
        routes: tuple[route.Route, ...],
        pools: tuple[pool.Pool, ...],
        moves: tuple[version.Move, ...],
        holders: tuple[version.HolderGroup, ...],
        removals: tuple[str, ...],
        revision: int = 0,
        tenants: tuple[tenant.Tenant, ...] = (),
        limits: limits.ClientLimits = limits.DEFAULT,
        evacuated: tuple[str, ...] = (),
    ) -> None:
        self.base = base
        self.base_digest = base_digest
        self.number = number
        self.digest = digest
        self.routes = routes
        self.pools = pools
        self.moves = moves
        self.holders = holders
        self.removals = removals
        self.revision = revision
        self.tenants = tenants
        self.limits = limits
        self.evacuated = evacuated


class Step(records.Record):
    """A difference and the version that results from it.

    Attributes:
        change: the difference.
        result: the target; it shares unchanged rows with the base.
    """

    __slots__ = ('change', 'result')

    def __init__(self, change: Difference, result: version.Version) -> None:
        self.change = change
        self.result = result


def compute_difference(
    base: version.Version,
    target: version.Version,
) -> Difference:
    """Return the difference from one version to another."""
    return compute_step(base, target).change


def compute_step(base: version.Version, target: version.Version) -> Step:
    """Return the difference from one version to another, and the target.

    The target shares equal rows of the base, whose canonical JSON is cached.
    """
    before = _index_rows(base)
    after = {
        kind: _share_rows(before[kind], rows)
        for kind, rows in _index_rows(target).items()
    }
    rebuilt = _build_version(target, after)
    changed = {
        kind: _find_changed(before[kind], rows) for kind, rows in after.items()
    }
    removals = [
        f'{kind}/{name}'
        for kind, rows in before.items()
        for name in rows.keys() - after[kind].keys()
    ]
    change = Difference(
        base.number,
        base.compute_digest(),
        target.number,
        rebuilt.compute_digest(),
        changed[_ROUTE],
        changed[_POOL],
        changed[_MOVE],
        changed[_HOLDERS],
        tuple(sorted(removals)),
        target.tables.revision,
        changed[_TENANT],
        target.tables.limits,
        target.evacuated,
    )
    return Step(change, rebuilt)


def apply_difference(
    base: version.Version,
    change: Difference,
) -> version.Version:
    """Return the version that results from a difference.

    Raises:
        ProtocolError: if the difference has another base or the digest of
            the result does not match; the base is unchanged.
    """
    if base.number != change.base:
        raise errors.ProtocolError(
            f'difference is for version {change.base}, not {base.number}',
            _STEP,
        )
    rows = _index_rows(base)
    for key in change.removals:
        kind, _, name = key.partition('/')
        rows.get(kind, {}).pop(name, None)
    rows[_ROUTE].update(_index(change.routes))
    rows[_POOL].update(_index(change.pools))
    rows[_MOVE].update({row.pool: row for row in change.moves})
    rows[_HOLDERS].update(_index(change.holders))
    rows[_TENANT].update(_index(change.tenants))
    outline = version.Version(
        change.number,
        version.Tables(revision=change.revision, limits=change.limits),
        evacuated=change.evacuated,
    )
    target = _build_version(outline, rows)
    if target.compute_digest() != change.digest:
        raise errors.ProtocolError(
            f'digest of version {change.number} does not match',
            _STEP,
        )
    return target


def count_rows(source: version.Version) -> int:
    """Return the number of rows that the difference to `EMPTY` has."""
    return sum(len(rows) for rows in _index_rows(source).values())


def _build_version(outline: version.Version, rows: _Rows) -> version.Version:
    """Return a version like `outline` with other rows."""
    return version.Version(
        outline.number,
        version.Tables(
            tuple(rows[_ROUTE].values()),
            tuple(rows[_POOL].values()),
            outline.tables.revision,
            tuple(rows[_TENANT].values()),
            outline.tables.limits,
        ),
        tuple(rows[_MOVE].values()),
        tuple(rows[_HOLDERS].values()),
        outline.evacuated,
    )


def _index_rows(source: version.Version) -> _Rows:
    """Return the rows of each kind by the names that removals use."""
    return {
        _ROUTE: _index(source.tables.routes),
        _POOL: _index(source.tables.pools),
        _TENANT: _index(source.tables.tenants),
        _MOVE: {row.pool: row for row in source.moves},
        _HOLDERS: _index(source.holders),
    }


def _share_rows(
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Return the rows after a change, those before it where they are equal."""
    return {
        name: known if (known := before.get(name)) == row else row
        for name, row in after.items()
    }


def _find_changed(
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
) -> tuple[typing.Any, ...]:
    """Return the rows that are not shared with those before."""
    return tuple(
        row for name, row in after.items() if before.get(name) is not row
    )


def _index(rows: abc.Iterable[typing.Any]) -> dict[str, typing.Any]:
    return {row.name: row for row in rows}
