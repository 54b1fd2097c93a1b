"""Configurations as operators send them, and the two tables of the product."""

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
# Kinds of requests that may run more than once.
_REPEATABLE: typing.Final = frozenset(('idempotent', 'download'))
_KINDS: typing.Final = _REPEATABLE | {'non_idempotent'}
_METHODS: typing.Final = tuple(sorted(tables_const.METHODS))

_Json: typing.TypeAlias = dict[str, typing.Any]


def read_order(
    body: bytes, operator: str, wall_now: int
) -> ledger.ApplyRevision:
    """Return the command of a configuration.

    Raises:
        ProtocolError: if it is not valid.
    """
    try:
        found = json.loads(body)
        order = ledger.ApplyRevision(
            operator,
            _read_number(found, 'baseVersion'),
            _read_tables(found),
            zlib.compress(body),
            _compute_digest(found),
            wall_now,
        )
    except checks.FAULTS as error:
        raise errors.ProtocolError(
            f'not a configuration: {error!r}',
            _STEP,
            operator,
        ) from error
    return order


def write_document(document: bytes) -> bytes:
    """Return a configuration as its operator sent it."""
    return zlib.decompress(document)


def _compute_digest(found: _Json) -> bytes:
    canonical = json.dumps(found, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(canonical.encode()).digest()


def _read_tables(found: _Json) -> version.Tables:
    pools = tuple(_read_pool(row) for row in found['clusters'])
    names = {row.name for row in pools}
    routes = tuple(
        _read_route(listener, rule, names)
        for listener in found['listeners']
        for rule in listener['rules']
    )
    return version.Tables(routes, pools, _read_number(found, 'version'))


def _read_pool(row: _Json) -> pool.Pool:
    # The configuration names no versions of a service: all of them serve.
    return pool.Pool(checks.check_text(row['name']), row['name'], {})


def _read_route(
    listener: _Json,
    rule: _Json,
    pools: abc.Set[str],
) -> route.Route:
    host = checks.check_text(listener['host'])
    action = rule['action']
    shares = _read_shares(action)
    checks.check(set(shares) <= pools, 'unknown service')
    timeout_ms = _read_ms(action['timeoutS'])
    checks.check(0 < timeout_ms <= tables_const.MAX_TIMEOUT_MS, 'timeout')
    attempts = action['maxAttempts']
    checks.check(type(attempts) is int and attempts > 0, 'attempts')
    checks.check(rule['routeType'] in _KINDS, 'kind')
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
        aim_ms=_read_ms(rule['aimS']),
    )


def _read_shares(action: _Json) -> dict[str, int]:
    parts = action.get('weightedServices')
    if parts is None:
        return {checks.check_text(action['service']): 1}
    shares = {
        checks.check_text(part['service']): part['weight'] for part in parts
    }
    checks.check(bool(shares), 'no service')
    for weight in shares.values():
        checks.check(type(weight) is int and weight >= 0, 'weight')
    return shares


def _find_priority(rank: typing.Any) -> str:
    checks.check(type(rank) is int and rank >= 0, 'priority')
    last = len(tables_const.PRIORITIES) - 1
    return tables_const.PRIORITIES[min(rank, last)]


def _read_number(found: _Json, name: str) -> int:
    raw = found[name]
    # The first configuration may name its base as a plain 0.
    if raw == 0 and type(raw) is int:
        return 0
    return int(checks.check_text(raw), _HEX)


def _read_ms(seconds: typing.Any) -> int:
    checks.check(type(seconds) in {int, float}, 'time')
    return int(round(seconds * clock.SECOND_MS))
