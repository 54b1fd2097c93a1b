"""Schemas of the settings files."""

import ipaddress
import typing

import voluptuous

from shallotwharf.roles import const


def _check_host(raw: typing.Any) -> str:
    try:
        return str(ipaddress.ip_address(raw))
    except ValueError:
        raise voluptuous.Invalid('expected an IP address') from None


def _check_port(raw: typing.Any) -> int:
    if type(raw) is not int or not 0 < raw <= const.MAX_PORT:
        raise voluptuous.Invalid(f'expected a port, 1 to {const.MAX_PORT}')
    return raw


_NAME: typing.Final = voluptuous.All(
    str,
    voluptuous.Match(
        r'\A[A-Za-z0-9][A-Za-z0-9_.-]*\Z',
        msg='expected letters, digits and any of "_.-"',
    ),
)
_LOG_LEVEL: typing.Final = voluptuous.Schema(
    {
        voluptuous.Optional(
            const.CONF_LOG_LEVEL,
            default=const.DEFAULT_LOG_LEVEL,
        ): voluptuous.In(const.LOG_LEVELS),
    },
)
_PROCESS: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): _NAME,
        voluptuous.Required(const.CONF_DATACENTRE): _NAME,
        voluptuous.Required(const.CONF_REGION): _NAME,
        voluptuous.Required(const.CONF_HOST): _check_host,
        voluptuous.Required(const.CONF_LINK_PORT): _check_port,
        voluptuous.Required(const.CONF_ADMIN_PORT): _check_port,
    },
)
_PEERS: typing.Final = voluptuous.All(
    [_PROCESS],
    voluptuous.Length(
        min=1,
        max=const.MAX_CONTROL_VMS,
        msg=f'expected 1 to {const.MAX_CONTROL_VMS} control processes',
    ),
)
CONTROL: typing.Final = _LOG_LEVEL.extend(
    {
        voluptuous.Required(const.CONF_NAME): _NAME,
        voluptuous.Required(const.CONF_DATA_FOLDER): str,
        voluptuous.Required(const.CONF_CONTROL): _PEERS,
        voluptuous.Optional(const.CONF_DATACENTRES): [_NAME],
    },
)
_SEED: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NAME): _NAME,
        voluptuous.Required(const.CONF_HOST): _check_host,
        voluptuous.Required(const.CONF_LINK_PORT): _check_port,
    },
)
NODE: typing.Final = _PROCESS.extend(_LOG_LEVEL.schema).extend(
    {
        voluptuous.Required(const.CONF_CALL_PORT): _check_port,
        voluptuous.Required(const.CONF_CONTROL): _PEERS,
        voluptuous.Optional(const.CONF_SEEDS, default=list): [_SEED],
        voluptuous.Optional(const.CONF_REQUEST_MEMORY_BYTES): voluptuous.All(
            int,
            voluptuous.Range(min=const.MIN_REQUEST_MEMORY_BYTES),
        ),
        voluptuous.Optional(const.CONF_MAX_CONNECTIONS): voluptuous.All(
            int,
            voluptuous.Range(min=const.MIN_CONNECTIONS),
        ),
    },
)
_UPSTREAM: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_NODE): _NAME,
        voluptuous.Required(const.CONF_PORT): _check_port,
        voluptuous.Required(const.CONF_SERVICE): _NAME,
        voluptuous.Required(const.CONF_VERSION): _NAME,
        voluptuous.Required(const.CONF_SLOTS): voluptuous.All(
            int,
            voluptuous.Range(1, const.MAX_SLOTS),
        ),
    },
)
DEV: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required(const.CONF_CONTROL): CONTROL,
        voluptuous.Required(const.CONF_NODES): [NODE],
        voluptuous.Required(const.CONF_UPSTREAMS): [_UPSTREAM],
        voluptuous.Required(const.CONF_ROUTES): str,
        voluptuous.Required(const.CONF_POOLS): str,
    },
)
