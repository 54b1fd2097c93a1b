"""Reads, checks and writes the JSON documents of the tables."""

import datetime
import itertools
import typing
from collections import abc

import voluptuous

from shallotwharf.components.tables import (
    const,
    fields,
    pool,
    route,
    tenant,
    tenants_document,
    version,
)
from shallotwharf.core import clock, errors, schema

_STEP: typing.Final = 'tables.check'


def _check_due(raw: typing.Any) -> int:
    try:
        due = datetime.datetime.fromisoformat(str(raw))
    except ValueError:
        raise voluptuous.Invalid('expected an RFC 3339 time') from None
    if due.tzinfo is None:
        raise voluptuous.Invalid('expected a time with its UTC offset')
    return round(due.timestamp() * clock.SECOND_MS)


def _check_weights(raw: dict[str, int]) -> dict[str, int]:
    total = sum(raw.values())
    if raw and total != const.WEIGHT_SUM:
        raise voluptuous.Invalid(
            f'the weights sum to {total}, not {const.WEIGHT_SUM}',
        )
    return raw


_ROUTE: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.NAME,
        voluptuous.Required(const.CONF_PATH_PREFIX): fields.PATH,
        voluptuous.Optional(
            const.CONF_METHODS,
            default=list(const.DEFAULT_METHODS),
        ): voluptuous.All(
            [voluptuous.In(const.METHODS)],
            voluptuous.Length(min=1),
        ),
        voluptuous.Exclusive(const.CONF_POOL, 'pools'): fields.NAME,
        voluptuous.Exclusive(const.CONF_SHARES, 'pools'): voluptuous.All(
            {fields.NAME: fields.check_int(0, const.MAX_SHARE)},
            voluptuous.Length(min=1),
        ),
        voluptuous.Optional(const.CONF_HOST, default=''): str,
        voluptuous.Optional(const.CONF_AIM_MS, default=0): fields.check_int(
            0,
            const.MAX_TIMEOUT_MS,
        ),
        voluptuous.Optional(
            const.CONF_PRIORITY,
            default=const.DEFAULT_PRIORITY,
        ): voluptuous.In(const.PRIORITIES),
        voluptuous.Optional(
            const.CONF_TIMEOUT_MS,
            default=const.DEFAULT_TIMEOUT_MS,
        ): fields.check_int(1, const.MAX_TIMEOUT_MS),
        voluptuous.Optional(const.CONF_IDEMPOTENT): bool,
        voluptuous.Optional(const.CONF_ONCE_ONLY, default=False): bool,
        voluptuous.Optional(
            const.CONF_RETRIES,
            default=const.DEFAULT_RETRIES,
        ): fields.check_int(0, const.MAX_RETRIES),
        voluptuous.Optional(
            const.CONF_REGIONS, default=list
        ): fields.check_regions,
        voluptuous.Optional(const.CONF_PUBLIC, default=False): bool,
    },
)

_POOL: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.NAME,
        voluptuous.Required(const.CONF_SERVICE): fields.NAME,
        voluptuous.Optional(
            const.CONF_WEIGHTS,
            default=dict,
        ): voluptuous.All(
            {fields.NAME: fields.check_int(0, const.WEIGHT_SUM)},
            _check_weights,
        ),
        voluptuous.Optional(
            const.CONF_SLOW_MS,
            default=const.DEFAULT_SLOW_MS,
        ): fields.check_int(1, const.MAX_TIMEOUT_MS),
        voluptuous.Optional(const.CONF_HEALTH_PATH, default=''): voluptuous.Any(
            '', fields.PATH
        ),
        voluptuous.Optional(
            const.CONF_COLD_START_MS, default=0
        ): fields.check_int(0, const.MAX_TIMEOUT_MS),
        voluptuous.Optional(
            const.CONF_COLD_PER_SECOND, default=0
        ): fields.check_amount,
        voluptuous.Optional(const.CONF_MOVE): {
            voluptuous.Required(const.CONF_TO_VERSION): fields.NAME,
            voluptuous.Required(const.CONF_DUE): _check_due,
        },
    },
)

_ROUTES: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_ROUTES): schema.Rows(_ROUTE),
        voluptuous.Optional(const.CONF_REVISION, default=0): fields.check_int(
            0,
            const.MAX_REVISION,
        ),
    },
)
_POOLS: typing.Final = voluptuous.Schema(
    {voluptuous.Required(const.CONF_POOLS): schema.Rows(_POOL)},
)


def read_tables(
    routes_document: typing.Any,
    pools_document: typing.Any,
    tenants: typing.Any = None,
) -> version.Tables:
    """Return the tables from decoded JSON documents.

    Args:
        routes_document: table of routes.
        pools_document: table of pools.
        tenants: table of tenants; None for no tenants.

    Raises:
        ExceptionGroup: of `TablesError`, one for each fault with its path.
    """
    faults: list[Exception] = []
    routes = _collect(_check_routes, routes_document, faults)
    pools = _collect(_check_pools, pools_document, faults)
    rows: tuple[tenant.Tenant, ...] = ()
    if tenants is not None:
        rows = _collect(tenants_document.read_tenants, tenants, faults)
    _raise_faults(faults)
    tables = version.Tables(
        tuple(_build_route(row) for row in routes[const.CONF_ROUTES]),
        tuple(_build_pool(row) for row in pools[const.CONF_POOLS]),
        routes[const.CONF_REVISION],
        rows,
    )
    check_tables(tables)
    return tables


def check_tables(
    tables: version.Tables, checked: version.Tables = version.EMPTY.tables
) -> None:
    """Check rules that span rows: names, references and moves.

    Args:
        tables: the tables.
        checked: tables that were found valid. Routes that both share are not
            checked again, if all pools are still there.

    Raises:
        ExceptionGroup: of `TablesError`, one for each fault with its path.
    """
    found = itertools.islice(_find_faults(tables, checked), schema.MAX_FAULTS)
    _raise_faults(tuple(found))


def _find_faults(
    tables: version.Tables, checked: version.Tables
) -> abc.Iterator[errors.TablesError]:
    pools = {row.name for row in tables.pools}
    yield from _find_duplicates(const.CONF_ROUTES, tables.routes)
    yield from _find_duplicates(const.CONF_POOLS, tables.pools)
    yield from _find_duplicates(const.CONF_TENANTS, tables.tenants)
    yield from tenants_document.check_tenants(tables.tenants)
    for table_route in _list_unchecked(tables, checked, pools):
        yield from _check_route(table_route, pools)
    for table_pool in tables.pools:
        yield from _check_move(table_pool)


def _list_unchecked(
    tables: version.Tables, checked: version.Tables, pools: set[str]
) -> abc.Iterable[route.Route]:
    if not pools.issuperset(row.name for row in checked.pools):
        return tables.routes
    # Different rows cannot have the same id, because both tables exist.
    known = set(map(id, checked.routes))
    return [row for row in tables.routes if id(row) not in known]


def write_tables(
    tables: version.Tables,
) -> tuple[dict[str, typing.Any], dict[str, typing.Any]]:
    """Return the JSON documents of routes and pools."""
    routes: dict[str, typing.Any] = {
        const.CONF_ROUTES: [_write_route(row) for row in tables.routes],
    }
    if tables.revision:
        routes[const.CONF_REVISION] = tables.revision
    return (
        routes,
        {const.CONF_POOLS: [_write_pool(row) for row in tables.pools]},
    )


def _collect(
    read: abc.Callable[[typing.Any], typing.Any],
    document: typing.Any,
    faults: list[Exception],
) -> typing.Any:
    """Return what is read from a document; None if it has faults."""
    try:
        return read(document)
    except ExceptionGroup as group:
        faults.extend(group.exceptions)
    return None


def _check_routes(document: typing.Any) -> typing.Any:
    return schema.check_document(_ROUTES, document, errors.TablesError, _STEP)


def _check_pools(document: typing.Any) -> typing.Any:
    return schema.check_document(_POOLS, document, errors.TablesError, _STEP)


def _raise_faults(faults: abc.Sequence[Exception]) -> None:
    if faults:
        raise ExceptionGroup('the tables are not valid', list(faults))


def _build_route(row: dict[str, typing.Any]) -> route.Route:
    once_only = row[const.CONF_ONCE_ONLY]
    return route.Route(
        row[const.CONF_NAME],
        row[const.CONF_PATH_PREFIX],
        tuple(sorted(row[const.CONF_METHODS])),
        row.get(const.CONF_POOL, ''),
        row[const.CONF_PRIORITY],
        row[const.CONF_TIMEOUT_MS],
        row.get(const.CONF_IDEMPOTENT, _has_only_safe_methods(row)),
        once_only,
        row[const.CONF_RETRIES],
        row[const.CONF_HOST],
        row.get(const.CONF_SHARES, const.NO_SHARES),
        row[const.CONF_AIM_MS],
        tuple(row[const.CONF_REGIONS]),
        row[const.CONF_PUBLIC],
    )


def _has_only_safe_methods(row: dict[str, typing.Any]) -> bool:
    return set(row[const.CONF_METHODS]) <= {'GET', 'HEAD', 'OPTIONS'}


def _build_pool(row: dict[str, typing.Any]) -> pool.Pool:
    declared = row.get(const.CONF_MOVE)
    move = None
    if declared is not None:
        move = pool.MoveDeclaration(
            declared[const.CONF_TO_VERSION],
            declared[const.CONF_DUE],
        )
    return pool.Pool(
        row[const.CONF_NAME],
        row[const.CONF_SERVICE],
        row[const.CONF_WEIGHTS],
        row[const.CONF_SLOW_MS],
        move,
        row[const.CONF_HEALTH_PATH],
        row[const.CONF_COLD_START_MS],
        row[const.CONF_COLD_PER_SECOND],
    )


def _find_duplicates(
    table: str,
    rows: abc.Iterable[route.Route | pool.Pool | tenant.Tenant],
) -> abc.Iterator[errors.TablesError]:
    seen: set[str] = set()
    for row in rows:
        if row.name in seen:
            yield _build_error('duplicate name', table, row.name)
        seen.add(row.name)


def _check_route(
    row: route.Route,
    pools: abc.Container[str],
) -> list[errors.TablesError]:
    key = const.CONF_SHARES if row.shares else const.CONF_POOL
    faults = [
        _build_error(
            f'pool {name} is not in the table of pools',
            const.CONF_ROUTES,
            row.name,
            key,
        )
        for name in row.list_pools()
        if name not in pools
    ]
    if row.once_only and row.idempotent:
        faults.append(
            _build_error(
                'a once-only route cannot be idempotent: '
                'it would allow retries after a run',
                const.CONF_ROUTES,
                row.name,
                const.CONF_IDEMPOTENT,
            ),
        )
    return faults


def _check_move(row: pool.Pool) -> list[errors.TablesError]:
    if row.move is None or not row.weights:
        return []
    served = [name for name, weight in row.weights.items() if weight]
    detail = ''
    if len(served) != 1:
        detail = 'a move needs a pool with one version at weight 100'
    elif served[0] == row.move.to_version:
        detail = f'version {served[0]} is already in force'
    if not detail:
        return []
    return [_build_error(detail, const.CONF_POOLS, row.name, const.CONF_MOVE)]


def _build_error(detail: str, *path: str) -> errors.TablesError:
    return errors.TablesError(detail, _STEP, '.'.join(path))


def _write_route(row: route.Route) -> dict[str, typing.Any]:
    return _write_conditional_keys(row) | {
        const.CONF_NAME: row.name,
        const.CONF_PATH_PREFIX: row.path_prefix,
        const.CONF_METHODS: list(row.methods),
        const.CONF_PRIORITY: row.priority,
        const.CONF_TIMEOUT_MS: row.timeout_ms,
        const.CONF_IDEMPOTENT: row.idempotent,
        const.CONF_ONCE_ONLY: row.once_only,
        const.CONF_RETRIES: row.retries,
    }


def _write_conditional_keys(row: route.Route) -> dict[str, typing.Any]:
    written: dict[str, typing.Any] = {const.CONF_POOL: row.pool}
    if row.shares:
        written = {const.CONF_SHARES: dict(row.shares)}
    if row.host:
        written[const.CONF_HOST] = row.host
    if row.aim_ms:
        written[const.CONF_AIM_MS] = row.aim_ms
    if row.regions:
        written[const.CONF_REGIONS] = list(row.regions)
    if row.is_public:
        written[const.CONF_PUBLIC] = True
    return written


def _write_pool(row: pool.Pool) -> dict[str, typing.Any]:
    written: dict[str, typing.Any] = {
        const.CONF_NAME: row.name,
        const.CONF_SERVICE: row.service,
        const.CONF_WEIGHTS: dict(row.weights),
        const.CONF_SLOW_MS: row.slow_ms,
    }
    if row.health_path:
        written[const.CONF_HEALTH_PATH] = row.health_path
    if row.cold_start_ms:
        written[const.CONF_COLD_START_MS] = row.cold_start_ms
    if row.cold_per_second:
        written[const.CONF_COLD_PER_SECOND] = row.cold_per_second
    if row.move is not None:
        due = datetime.datetime.fromtimestamp(
            row.move.due_at / clock.SECOND_MS,
            datetime.UTC,
        )
        written[const.CONF_MOVE] = {
            const.CONF_TO_VERSION: row.move.to_version,
            const.CONF_DUE: due.isoformat(),
        }
    return written
