"""Reads, checks and writes the JSON documents of the tables."""

import datetime
import typing
from collections import abc

import voluptuous

from shallotwharf.components.tables import const, pool, route, version
from shallotwharf.core import clock, errors, schema

_STEP: typing.Final = 'tables.check'

_NAME: typing.Final = voluptuous.All(
    str,
    voluptuous.Match(
        r'\A[A-Za-z0-9][A-Za-z0-9_.-]*\Z',
        msg='expected letters, digits and any of "_.-"',
    ),
    voluptuous.Length(max=const.MAX_NAME_LENGTH),
)


def _check_int(low: int, high: int) -> voluptuous.All:
    return voluptuous.All(
        _check_whole_number,
        voluptuous.Range(low, high, msg=f'expected {low} to {high}'),
    )


def _check_whole_number(raw: typing.Any) -> int:
    # In Python, `bool` is a subclass of `int`.
    if isinstance(raw, bool) or not isinstance(raw, int):
        raise voluptuous.Invalid('expected a whole number')
    return raw


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
        voluptuous.Required(const.CONF_NAME): _NAME,
        voluptuous.Required(const.CONF_PATH_PREFIX): voluptuous.All(
            str,
            voluptuous.Match('/', msg='expected a path that starts with "/"'),
        ),
        voluptuous.Optional(
            const.CONF_METHODS,
            default=list(const.DEFAULT_METHODS),
        ): voluptuous.All(
            [voluptuous.In(const.METHODS)],
            voluptuous.Length(min=1),
        ),
        voluptuous.Exclusive(const.CONF_POOL, 'pools'): _NAME,
        voluptuous.Exclusive(const.CONF_SHARES, 'pools'): voluptuous.All(
            {_NAME: _check_int(0, const.MAX_SHARE)},
            voluptuous.Length(min=1),
        ),
        voluptuous.Optional(const.CONF_HOST, default=''): str,
        voluptuous.Optional(const.CONF_AIM_MS, default=0): _check_int(
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
        ): _check_int(1, const.MAX_TIMEOUT_MS),
        voluptuous.Optional(const.CONF_IDEMPOTENT): bool,
        voluptuous.Optional(const.CONF_ONCE_ONLY, default=False): bool,
        voluptuous.Optional(
            const.CONF_RETRIES,
            default=const.DEFAULT_RETRIES,
        ): _check_int(0, const.MAX_RETRIES),
    },
)

_POOL: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): _NAME,
        voluptuous.Required(const.CONF_SERVICE): _NAME,
        voluptuous.Optional(
            const.CONF_WEIGHTS,
            default=dict,
        ): voluptuous.All(
            {_NAME: _check_int(0, const.WEIGHT_SUM)},
            _check_weights,
        ),
        voluptuous.Optional(
            const.CONF_SLOW_MS,
            default=const.DEFAULT_SLOW_MS,
        ): _check_int(1, const.MAX_TIMEOUT_MS),
        voluptuous.Optional(const.CONF_MOVE): {
            voluptuous.Required(const.CONF_TO_VERSION): _NAME,
            voluptuous.Required(const.CONF_DUE): _check_due,
        },
    },
)

_ROUTES: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_ROUTES): [_ROUTE],
        voluptuous.Optional(const.CONF_REVISION, default=0): _check_int(
            0,
            const.MAX_REVISION,
        ),
    },
)
_POOLS: typing.Final = voluptuous.Schema(
    {voluptuous.Required(const.CONF_POOLS): [_POOL]},
)


def read_tables(
    routes_document: typing.Any,
    pools_document: typing.Any,
) -> version.Tables:
    """Return the tables from two decoded JSON documents.

    Raises:
        ExceptionGroup: of `TablesError`, one for each fault with its path.
    """
    faults: list[Exception] = []
    parsed: list[typing.Any] = []
    for table, document in (
        (_ROUTES, routes_document),
        (_POOLS, pools_document),
    ):
        try:
            parsed.append(
                schema.check_document(
                    table,
                    document,
                    errors.TablesError,
                    _STEP,
                ),
            )
        except ExceptionGroup as group:
            faults.extend(group.exceptions)
    _raise_faults(faults)
    tables = version.Tables(
        tuple(_build_route(row) for row in parsed[0][const.CONF_ROUTES]),
        tuple(_build_pool(row) for row in parsed[1][const.CONF_POOLS]),
        parsed[0][const.CONF_REVISION],
    )
    check_tables(tables)
    return tables


def check_tables(tables: version.Tables) -> None:
    """Check rules that span rows: names, references and moves.

    Raises:
        ExceptionGroup: of `TablesError`, one for each fault with its path.
    """
    pools = {row.name for row in tables.pools}
    faults = [
        *_find_duplicates(const.CONF_ROUTES, tables.routes),
        *_find_duplicates(const.CONF_POOLS, tables.pools),
    ]
    for table_route in tables.routes:
        faults.extend(_check_route(table_route, pools))
    for table_pool in tables.pools:
        faults.extend(_check_move(table_pool))
    _raise_faults(faults)


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
    )


def _find_duplicates(
    table: str,
    rows: abc.Iterable[route.Route | pool.Pool],
) -> list[errors.TablesError]:
    seen: set[str] = set()
    faults = []
    for row in rows:
        if row.name in seen:
            faults.append(_build_error('duplicate name', table, row.name))
        seen.add(row.name)
    return faults


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
    return written


def _write_pool(row: pool.Pool) -> dict[str, typing.Any]:
    written: dict[str, typing.Any] = {
        const.CONF_NAME: row.name,
        const.CONF_SERVICE: row.service,
        const.CONF_WEIGHTS: dict(row.weights),
        const.CONF_SLOW_MS: row.slow_ms,
    }
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
