"""Commands that query control or a node."""

import typing

import typer

from shallotwharf.cli import (
    checks,
    client,
    edits,
    explanations,
    options,
    output,
)


def check(
    paths: typing.Annotated[list[str], typer.Argument(metavar='FILE...')],
    as_json: options.JsonOption = False,
) -> None:
    """Validate settings or tables; print each fault with its path.

    Exit status 2 if a file has a fault.
    Example: shallotwharf check routes.json pools.json
    """
    checks.check_files(paths)
    if as_json:
        output.print_document({'valid': True, 'files': list(paths)})
    else:
        typer.echo(f'valid: {" ".join(paths)}')


def diff(
    addresses: options.ControlOption,
    routes: options.RoutesOption,
    pools: options.PoolsOption,
    tenants: options.TenantsOption = '',
    as_json: options.JsonOption = False,
) -> None:
    """Show what `apply` would change.

    Example: shallotwharf diff --routes routes.json --pools pools.json
    """
    after = edits.read_tables(routes, pools, tenants)
    before = client.read_body(addresses, '/v1/tables')
    changes = edits.list_changes(before, after)
    if as_json:
        output.print_document({'base': before['number'], 'changes': changes})
        return
    rows = [[_name_change(row), row['entry']] for row in changes]
    output.print_rows(['change', 'entry'], rows)


def status(
    addresses: options.ControlOption,
    number: typing.Annotated[
        int | None,
        typer.Option('--number', help='Version; default: the current one.'),
    ] = None,
    as_json: options.JsonOption = False,
) -> None:
    """Show where a version is in force and which nodes lack it.

    Example: shallotwharf status --json
    """
    body = client.read_body(addresses, '/v1/status', {'number': number})
    if as_json:
        output.print_document(body)
        return
    typer.echo(edits.format_progress(body))
    typer.echo(f'leader: {body.get("leader") or "none"}')
    for lacking in body.get('lacking', []):
        typer.echo(f'lacking: {lacking}')


def moves(
    addresses: options.ControlOption,
    as_json: options.JsonOption = False,
) -> None:
    """Show moves: done, under way, held or taken back, with the reason.

    Example: shallotwharf moves
    """
    body = client.read_body(addresses, '/v1/moves')
    if as_json:
        output.print_document(body)
        return
    headings = [
        'pool',
        'from',
        'to',
        'state',
        'share',
        'due',
        'forecast',
        'reason',
    ]
    rows = [[row[name] for name in headings] for row in body['moves']]
    output.print_rows(headings, rows)


def history(
    addresses: options.ControlOption,
    as_json: options.JsonOption = False,
) -> None:
    """Show accepted versions, newest first.

    Example: shallotwharf history
    """
    body = client.read_body(addresses, '/v1/history')
    if as_json:
        output.print_document(body)
        return
    headings = ['number', 'at', 'change', 'operator', 'request_id']
    rows = [[row[name] for name in headings] for row in body['versions']]
    output.print_rows(headings, rows)


def members(
    addresses: options.ControlOption,
    add: typing.Annotated[
        str,
        typer.Option(
            help='Process to add as a learner, which becomes a voter later.'
        ),
    ] = '',
    remove: typing.Annotated[
        str,
        typer.Option(help='Process to remove.'),
    ] = '',
    as_json: options.JsonOption = False,
) -> None:
    """Show the control processes, or add or remove one of them.

    Example: shallotwharf members --remove control-3
    """
    for change, name in (('add', add), ('remove', remove)):
        if name:
            reply = client.Client(addresses).write(
                '/v1/members',
                {'change': change, 'name': name},
            )
            output.check_reply(reply.status, reply.body)
    body = client.read_body(addresses, '/health')
    if as_json:
        output.print_document(body)
        return
    rows = [
        *([voter, 'voter'] for voter in body['voters']),
        *([learner, 'learner'] for learner in body['learners']),
    ]
    output.print_rows(['name', 'role'], rows)


def explain(
    path: typing.Annotated[str, typer.Argument(help='Path of a request.')],
    address: typing.Annotated[
        str,
        typer.Option('--node', help='Admin address of a node, HOST:PORT.'),
    ],
    method: typing.Annotated[
        str,
        typer.Option('--method', help='HTTP method.'),
    ] = 'GET',
    host: typing.Annotated[
        str,
        typer.Option('--host', help='Host that the request is for.'),
    ] = '',
    tenant: typing.Annotated[
        str,
        typer.Option('--tenant', help="Name of the caller's tenant."),
    ] = '',
    deadline_ms: typing.Annotated[
        int | None,
        typer.Option('--deadline-ms', help='Milliseconds to the deadline.'),
    ] = None,
    as_json: options.JsonOption = False,
) -> None:
    """Show where a node would send a request now, without sending it.

    Example: shallotwharf explain /menu --node 127.0.0.1:7112
    """
    question = {
        'method': method,
        'path': path,
        'host': host,
        'tenant': tenant,
        'deadline_ms': deadline_ms,
    }
    body = client.read_body([address], '/v1/explain', question)
    if as_json:
        output.print_document(body)
    else:
        explanations.print_explanation(body)


def _name_change(row: dict[str, typing.Any]) -> str:
    if row['before'] is None:
        return 'add'
    return 'remove' if row['after'] is None else 'change'
