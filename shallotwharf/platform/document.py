"""Conversion of operators' configurations to routes and pools."""

import hashlib
import json
import typing
import zlib

from shallotwharf.components.ledger import messages as ledger
from shallotwharf.components.tables import const as tables_const
from shallotwharf.components.tables import (
    limits,
    pool,
    route,
    tenant,
    version,
)
from shallotwharf.core import clock, credentials, documents, errors, schema
from shallotwharf.platform import checks, form, forms, references, sites

_STEP: typing.Final = 'platform.document'
_HEX: typing.Final = 16
# Route types whose requests may run more than once.
_REPEATABLE: typing.Final = frozenset(('idempotent', 'download'))
# RFC 8259 forbids to send a byte order mark before JSON.
_BYTE_ORDER_MARK: typing.Final = b'\xef\xbb\xbf'
# First byte of a zlib stream.
_ZLIB_MARK: typing.Final = b'\x78'
_METHODS: typing.Final = tuple(sorted(tables_const.METHODS))

_Json: typing.TypeAlias = dict[str, typing.Any]


def read_command(
    body: bytes,
    operator: str,
    wall_now: int,
    known: sites.Sites = sites.UNKNOWN,
) -> ledger.ApplyRevision:
    """Return the ledger command that applies a configuration.

    Args:
        body: the configuration as it was sent.
        operator: who sent it.
        wall_now: time in milliseconds since the epoch.
        known: the data centres, whose regions the configuration may name.

    Raises:
        ProtocolError: if the configuration is not valid.
    """
    try:
        config = _load(body)
        check_form(config, operator, known)
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


def _load(body: bytes) -> typing.Any:
    checks.check(
        not body.startswith(_BYTE_ORDER_MARK), 'it has a byte order mark'
    )
    return documents.load(body)


def check_form(config: typing.Any, operator: str, known: sites.Sites) -> None:
    """Check the form of a configuration and the references in it.

    Raises:
        ProtocolError: that names every fault with its path.
    """
    faults = form.CONFIGURATION.find_faults(config)
    if not faults:
        faults = references.find_faults(config, known)
    if faults:
        described = '; '.join(map(_describe_fault, faults))
        raise errors.ProtocolError(
            f'invalid configuration: {described}', _STEP, operator
        )


def _describe_fault(fault: forms.Fault) -> str:
    return f'{schema.format_path(fault.path)}: {fault.detail}'


def _compute_digest(config: _Json) -> bytes:
    canonical = json.dumps(config, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(canonical.encode()).digest()


def _read_tables(config: _Json) -> version.Tables:
    # A configuration does not name versions of a service, so all of them
    # receive requests.
    pools = tuple(_read_pool(row) for row in config['clusters'])
    names = frozenset(row.name for row in pools)
    routes = tuple(
        _read_route(listener, rule, names)
        for listener in config['listeners']
        for rule in listener['rules']
    )
    return version.Tables(
        routes,
        pools,
        _read_number(config, 'version'),
        _read_tenants(config.get('tenants') or []),
        _read_limits(config['limits']),
    )


def _read_pool(cluster: _Json) -> pool.Pool:
    return pool.Pool(
        cluster['name'],
        cluster['name'],
        {},
        health_path=cluster.get('healthPath', ''),
        cold_start_ms=_read_ms(cluster.get('coldStartS') or 0),
        cold_per_second=cluster.get('coldPerS') or 0,
    )


def _read_tenants(rows: list[_Json]) -> tuple[tenant.Tenant, ...]:
    return tuple(_read_tenant(row) for row in rows)


def _read_tenant(row: _Json) -> tenant.Tenant:
    digests = {credentials.compute_key_digest(key) for key in row['apiKeys']}
    rank = row.get('priority')
    return tenant.Tenant(
        row['name'],
        tuple(sorted(digests)),
        tenant.NO_RANK if rank is None else min(rank, tenant.MAX_RANK),
        row.get('ratePerS') or 0,
        row.get('burst') or 0,
        _read_regions(row),
    )


def _read_regions(row: _Json) -> tuple[str, ...]:
    return tuple(sorted(set(row.get('allowedRegions') or ())))


def _read_limits(row: _Json) -> limits.ClientLimits:
    return limits.ClientLimits(
        row.get('maxHeaderBytes', 0),
        row.get('maxBodyBytes', 0),
        _read_ms(row.get('headerTimeoutS', 0)),
        _read_ms(row.get('idleTimeoutS', 0)),
    )


def _read_route(
    listener: _Json,
    rule: _Json,
    pools: frozenset[str],
) -> route.Route:
    host = listener['host']
    action = rule['action']
    shares = _read_shares(action, pools)
    single = len(shares) == 1
    return route.Route(
        f'{host}/{rule["name"]}',
        rule['match']['pathPrefix'],
        _METHODS,
        next(iter(shares)) if single else '',
        _find_priority(rule['priority']),
        max(_read_ms(action['timeoutS']), 1),
        rule['routeType'] in _REPEATABLE,
        retries=action['maxAttempts'] - 1,
        host=host.lower(),
        shares=tables_const.NO_SHARES if single else shares,
        aim_ms=min(max(_read_ms(rule['aimS']), 0), tables_const.MAX_TIMEOUT_MS),
        regions=_read_regions(action),
        is_public=bool(rule.get('public')),
    )


def _read_shares(action: _Json, pools: frozenset[str]) -> dict[str, int]:
    """Return the weights of the services of a route.

    A service that is listed twice gets the sum of its weights.
    """
    parts = action.get('weightedServices')
    named = action.get('service')
    if parts is None:
        parts = [{'service': checks.check_text(named), 'weight': 1}]
    shares: dict[str, int] = {}
    for part in parts:
        weight = shares.get(part['service'], 0) + part['weight']
        checks.check(weight <= tables_const.MAX_SHARE, 'weight is out of range')
        shares[part['service']] = weight
    known = [*shares, *filter(None, (named,))]
    checks.check(
        pools.issuperset(known), 'a route refers to an unknown service'
    )
    return shares


def _find_priority(rank: int) -> str:
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


def _read_ms(seconds: float) -> int:
    return int(round(seconds * clock.SECOND_MS))
