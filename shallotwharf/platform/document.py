"""Conversion of operators' configurations to routes and pools."""

import hashlib
import json
import typing
import zlib
from collections import abc

from shallotwharf.components.ledger import messages as ledger
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import pool, route, version
from shallotwharf.core import clock, errors
from shallotwharf.platform import checks

_STEP: typing.Final = 'platform.document'
_HEX: typing.Final = 16
# Route types whose requests may run more than once.
_REPEATABLE: typing.Final = frozenset(('idempotent', 'download'))
_ROUTE_TYPES: typing.Final = _REPEATABLE | {'non_idempotent'}
# First byte of a zlib stream.
_ZLIB_MARK: typing.Final = b'\x78'
_METHODS: typing.Final = tuple(sorted(tables_const.METHODS))

_Json: typing.TypeAlias = dict[str, typing.Any]


def read_command(
    body: bytes, operator: str, wall_now: int
) -> ledger.ApplyRevision:
    """Return the ledger command that applies a configuration.

    Raises:
        ProtocolError: if the configuration is not valid.
    """
    try:
        config = json.loads(body)
        command = ledger.ApplyRevision(
            operator,
            _read_number(config, 'baseVersion'),
            _read_tables(config),
            body,
            _compute_digest(config),
            wall_now,
        )
    except checks.PARSE_ERRORS as error:
        raise errors.ProtocolError(
            f'invalid configuration: {error!r}',
            _STEP,
            operator,
        ) from error
    return command


def write_document(document: bytes) -> bytes:
    """Return a stored configuration byte for byte as it was sent.

    Earlier releases stored it compressed; no JSON text begins like that.
    """
    if document.startswith(_ZLIB_MARK):
        return zlib.decompress(document)
    return document


def _compute_digest(config: _Json) -> bytes:
    canonical = json.dumps(config, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(canonical.encode()).digest()


def _read_tables(config: _Json) -> version.Tables:
    pools = tuple(_read_pool(row) for row in config['clusters'])
    names = {row.name for row in pools}
    routes = tuple(
        _read_route(listener, rule, names)
        for listener in config['listeners']
        for rule in listener['rules']
    )
    return version.Tables(routes, pools, _read_number(config, 'version'))


def _read_pool(row: _Json) -> pool.Pool:
    # A configuration does not name versions of a service, so all of them
    # receive requests.
    return pool.Pool(checks.check_text(row['name']), row['name'], {})


def _read_route(
    listener: _Json,
    rule: _Json,
    pools: abc.Set[str],
) -> route.Route:
    host = checks.check_text(listener['host'])
    action = rule['action']
    shares = _read_shares(action)
    checks.check(set(shares) <= pools, 'a route refers to an unknown service')
    timeout_ms = _read_ms(action['timeoutS'])
    checks.check(
        0 < timeout_ms <= tables_const.MAX_TIMEOUT_MS,
        'timeoutS is out of range',
    )
    attempts = action['maxAttempts']
    checks.check(
        type(attempts) is int and attempts > 0,
        'maxAttempts must be an integer above 0',
    )
    checks.check(rule['routeType'] in _ROUTE_TYPES, 'unknown routeType')
    single = len(shares) == 1
    return route.Route(
        f'{host}/{checks.check_text(rule["name"])}',
        checks.check_text(rule['match']['pathPrefix']),
        _METHODS,
        next(iter(shares)) if single else '',
        _find_priority(rule['priority']),
        timeout_ms,
        rule['routeType'] in _REPEATABLE,
        retries=attempts - 1,
        host=host.lower(),
        shares=tables_const.NO_SHARES if single else shares,
        aim_ms=min(max(_read_ms(rule['aimS']), 0), tables_const.MAX_TIMEOUT_MS),
    )


def _read_shares(action: _Json) -> dict[str, int]:
    parts = action.get('weightedServices')
    if parts is None:
        return {checks.check_text(action['service']): 1}
    shares = {
        checks.check_text(part['service']): part['weight'] for part in parts
    }
    checks.check(bool(shares), 'weightedServices is empty')
    for weight in shares.values():
        checks.check(
            type(weight) is int and 0 <= weight <= tables_const.MAX_SHARE,
            f'weight must be an integer from 0 to {tables_const.MAX_SHARE}',
        )
    return shares


def _find_priority(rank: typing.Any) -> str:
    checks.check(
        type(rank) is int and rank >= 0,
        'priority must be a non-negative integer',
    )
    last = len(tables_const.PRIORITIES) - 1
    return tables_const.PRIORITIES[min(rank, last)]


def _read_number(config: _Json, name: str) -> int:
    raw = config[name]
    # The first configuration may have the integer 0 as its base version.
    if raw == 0 and type(raw) is int:
        return 0
    number = int(checks.check_text(raw), _HEX)
    # Eight hexadecimal digits. The number of a version that control accepts is
    # written as text by each process that applies it, so it must be bounded.
    checks.check(
        0 <= number <= tables_const.MAX_REVISION, f'{name} is out of range'
    )
    return number


def _read_ms(seconds: typing.Any) -> int:
    checks.check(type(seconds) in {int, float}, 'expected a number of seconds')
    return int(round(seconds * clock.SECOND_MS))
