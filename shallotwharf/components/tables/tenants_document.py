"""Reads, checks and writes the JSON document of tenants."""

import typing
from collections import abc

import voluptuous

from shallotwharf.components.tables import const, fields, tenant
from shallotwharf.core import credentials, errors, schema

_STEP: typing.Final = 'tables.check'


def _check_digest(raw: typing.Any) -> bytes:
    try:
        digest = bytes.fromhex(raw)
    except (TypeError, ValueError):
        digest = b''
    if len(digest) != credentials.DIGEST_BYTES:
        raise voluptuous.Invalid(
            f'expected {2 * credentials.DIGEST_BYTES} hexadecimal digits'
        )
    return digest


_TENANT: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): fields.NAME,
        voluptuous.Optional(const.CONF_KEY_DIGESTS, default=list): [
            _check_digest
        ],
        voluptuous.Optional(const.CONF_KEYS, default=list): [
            voluptuous.All(str, voluptuous.Length(min=1))
        ],
        voluptuous.Optional(
            const.CONF_RANK, default=tenant.NO_RANK
        ): fields.check_int(tenant.NO_RANK, tenant.MAX_RANK),
        voluptuous.Optional(
            const.CONF_RATE_PER_SECOND, default=0
        ): fields.check_amount,
        voluptuous.Optional(const.CONF_BURST, default=0): fields.check_amount,
        voluptuous.Optional(
            const.CONF_REGIONS, default=list
        ): fields.check_regions,
    },
)
_TENANTS: typing.Final = voluptuous.Schema(
    {voluptuous.Required(const.CONF_TENANTS): schema.Rows(_TENANT)},
)


def read_tenants(document: typing.Any) -> tuple[tenant.Tenant, ...]:
    """Return the tenants of a decoded JSON document; keys become digests.

    Raises:
        ExceptionGroup: of `TablesError`, one for each fault with its path.
            The errors contain no key.
    """
    checked = schema.check_document(
        _TENANTS, document, errors.TablesError, _STEP
    )
    return tuple(_build_tenant(row) for row in checked[const.CONF_TENANTS])


def check_tenants(
    rows: abc.Iterable[tenant.Tenant],
) -> list[errors.TablesError]:
    """Return a fault for each key that two tenants have."""
    holders: dict[bytes, str] = {}
    faults = []
    for row in rows:
        for digest in row.key_digests:
            holder = holders.setdefault(digest, row.name)
            if holder != row.name:
                faults.append(
                    errors.TablesError(
                        f'tenant {holder} has the same key',
                        _STEP,
                        f'{const.CONF_TENANTS}.{row.name}',
                    )
                )
    return faults


def write_tenants(
    rows: abc.Iterable[tenant.Tenant],
) -> dict[str, typing.Any]:
    """Return the JSON document of tenants, with digests of their keys."""
    return {const.CONF_TENANTS: [_write_tenant(row) for row in rows]}


def _build_tenant(row: dict[str, typing.Any]) -> tenant.Tenant:
    digests = set(row[const.CONF_KEY_DIGESTS])
    digests.update(map(credentials.compute_key_digest, row[const.CONF_KEYS]))
    return tenant.Tenant(
        row[const.CONF_NAME],
        tuple(sorted(digests)),
        row[const.CONF_RANK],
        row[const.CONF_RATE_PER_SECOND],
        row[const.CONF_BURST],
        tuple(row[const.CONF_REGIONS]),
    )


def _write_tenant(row: tenant.Tenant) -> dict[str, typing.Any]:
    return {
        const.CONF_NAME: row.name,
        const.CONF_KEY_DIGESTS: [digest.hex() for digest in row.key_digests],
        const.CONF_RANK: row.rank,
        const.CONF_RATE_PER_SECOND: row.rate_per_second,
        const.CONF_BURST: row.burst,
        const.CONF_REGIONS: list(row.regions),
    }
