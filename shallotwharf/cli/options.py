"""Options shared by several commands."""

import typing

import typer

ControlOption: typing.TypeAlias = typing.Annotated[
    list[str],
    typer.Option(
        '--control',
        help='Admin address of a control process, HOST:PORT; repeatable.',
        envvar='SHALLOTWHARF_CONTROL',
    ),
]
JsonOption: typing.TypeAlias = typing.Annotated[
    bool,
    typer.Option('--json', help='Print JSON.'),
]
RoutesOption: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option('--routes', help='File with the table of routes.'),
]
PoolsOption: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option('--pools', help='File with the table of pools.'),
]
TenantsOption: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option(
        '--tenants',
        help='File with the table of tenants; default: as they are.',
    ),
]
OperatorOption: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option(
        '--operator',
        help='Operator who makes the change; shown in the history.',
        envvar='USER',
    ),
]
RequestOption: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option(
        '--request-id',
        help='UUIDv7 of an earlier attempt, to query its outcome.',
    ),
]
BaseOption: typing.TypeAlias = typing.Annotated[
    int,
    typer.Option(
        '--base',
        help='Version that the change is based on; default: the current one.',
    ),
]
WaitOption: typing.TypeAlias = typing.Annotated[
    bool,
    typer.Option(
        '--wait', help='Wait until the version is in force everywhere.'
    ),
]
TimeoutOption: typing.TypeAlias = typing.Annotated[
    int,
    typer.Option('--timeout', help='Maximum time to wait in seconds.'),
]
SettingsOption: typing.TypeAlias = typing.Annotated[
    str,
    typer.Option('--settings', help='Settings file of the process.'),
]

CURRENT_VERSION: typing.Final = -1
DEFAULT_TIMEOUT_SECONDS: typing.Final = 30
