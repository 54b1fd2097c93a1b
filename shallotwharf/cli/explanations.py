"""Table of where a request would go."""

import typing

import typer

from shallotwharf.cli import output

# Headings and fields of a candidate.
_COLUMNS: typing.Final = (
    ('node', 'node'),
    ('version', 'version'),
    ('datacentre', 'datacentre'),
    ('region', 'region'),
    ('latency', 'latency_ms'),
    ('spare', 'spare'),
    ('speed', 'speed'),
    ('cold', 'is_cold'),
    ('expected_ms', 'expected_ms'),
    ('reason', 'reason'),
)
_ROWS: typing.Final = 'candidates'
_NONE: typing.Final = 'none'
_UNKNOWN: typing.Final = 'unknown'


def print_explanation(body: dict[str, typing.Any]) -> None:
    """Print the verdict, the facts behind it and the candidates."""
    typer.echo(body['verdict']['text'])
    for label, fact in _list_facts(body):
        typer.echo(f'{label}: {fact}')
    headings, names = zip(*_COLUMNS, strict=True)
    for branch in body['branches']:
        typer.echo('')
        typer.echo(_format_branch(branch))
        rows: list[list[object]] = [
            [_format(row[field]) for field in names] for row in branch[_ROWS]
        ]
        output.print_rows(list(headings), rows)
        if any(row['reason'] == 'within_scatter' for row in branch[_ROWS]):
            typer.echo('others within the scatter may be chosen at random')


def _list_facts(body: dict[str, typing.Any]) -> list[tuple[str, object]]:
    regions = body['regions']
    tenant_rank = body['tenant_rank']
    return [
        ('route', body['route'] or _NONE),
        ('public', _format(body['is_public'])),
        ('tenant', body['tenant'] or _NONE),
        ('tenant_rank', _NONE if tenant_rank < 0 else tenant_rank),
        ('route_rank', body['route_rank']),
        ('quota', _format_quota(body['quota'])),
        ('regions', 'all' if regions is None else ' '.join(regions) or _NONE),
        ('evacuated', ' '.join(body['evacuated']) or _NONE),
        ('scheduled', _format(body['is_scheduled'])),
        ('work_ms', body['work_ms'] or _UNKNOWN),
        ('aim_ms', body['aim_ms'] or _NONE),
        ('deadline_ms', body['deadline_ms'] or _NONE),
    ]


def _format_quota(quota: dict[str, typing.Any] | None) -> str:
    if quota is None:
        return _NONE
    rate = f'{quota["rate"]:g}/s' if quota['rate'] else 'unlimited'
    if quota['fraction']:
        rate = f'{quota["fraction"]:.0%} of the calls'
    wait_ms = quota['wait_ms']
    return f'{quota["state"]}, by {quota["basis"]}, {rate}, wait {wait_ms} ms'


def _format_branch(branch: dict[str, typing.Any]) -> str:
    served = branch['version'] or _NONE
    return (
        f'pool {branch["pool"]}, version {served}, '
        f'share {branch["share"]:.0%}: {branch["verdict"]["text"]}'
    )


def _format(part: object) -> str:
    if isinstance(part, bool):
        return 'yes' if part else 'no'
    return str(part)
