"""The commands."""

import asyncio
import typing
from collections import abc

import typer

from shallotwharf.cli import checks, client, edits, options, output
from shallotwharf.roles import dev, sample
from shallotwharf.roles.control import process as control_process
from shallotwharf.roles.node import process as node_process
from shallotwharf.roles.settings import files

app = typer.Typer(
    help='Configuration distribution for a service mesh.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)


@app.command()
def control(settings: options.SettingsOption) -> None:
    """Run a control process.

    Example: shallotwharf control --settings control-1.json
    """
    control_process.run(files.read_control(settings))


@app.command()
def node(settings: options.SettingsOption) -> None:
    """Run the node of an upstream VM.

    Example: shallotwharf node --settings node-1.json
    """
    node_process.run(files.read_node(settings))


@app.command(name='dev')
def run_dev(settings: options.SettingsOption) -> None:
    """Run control, nodes and sample upstreams in one process.

    Example: shallotwharf dev --settings examples/dev/settings.json
    """
    dev.run(files.read_dev(settings))


@app.command(name='sample')
def run_sample(
    node_admin: typing.Annotated[
        str,
        typer.Option('--admin', help='Admin address of its node, HOST:PORT.'),
    ],
    service: typing.Annotated[str, typer.Option(help='Name of the service.')],
    version: typing.Annotated[str, typer.Option(help='Its version.')],
    port: typing.Annotated[int, typer.Option(help='Port; 0 for any.')] = 0,
    slots: typing.Annotated[int, typer.Option(help='Requests at once.')] = 9,
    delay_ms: typing.Annotated[int, typer.Option(help='Time of one.')] = 0,
    warmup_ms: typing.Annotated[int, typer.Option(help='Cold start.')] = 0,
) -> None:
    """Run a sample upstream beside a node, for trials.

    Example: shallotwharf sample --admin 127.0.0.1:7112 --service menu
    --version v1
    """
    host = node_admin.partition(':')[0]
    asyncio.run(
        sample.async_run(
            sample.SampleSettings(
                service,
                version,
                host,
                port,
                node_admin,
                slots,
                warmup_ms,
                delay_ms,
            ),
        ),
    )


@app.command()
def check(
    paths: typing.Annotated[list[str], typer.Argument(metavar='FILE...')],
    as_json: options.JsonOption = False,
) -> None:
    """Check settings or tables; print every fault with its path.

    Exit status 2 if there is a fault.
    Example: shallotwharf check routes.json pools.json
    """
    checks.check_files(paths)
    if as_json:
        output.print_document({'valid': True, 'files': list(paths)})
    else:
        typer.echo(f'valid: {" ".join(paths)}')


@app.command()
def diff(
    addresses: options.ControlOption,
    routes: options.RoutesOption,
    pools: options.PoolsOption,
    as_json: options.JsonOption = False,
) -> None:
    """Show what `apply` would change.

    Example: shallotwharf diff --routes routes.json --pools pools.json
    """
    after = edits.read_tables(routes, pools)
    before = _read(addresses, '/v1/tables')
    changes = edits.list_changes(before, after)
    if as_json:
        output.print_document({'base': before['number'], 'changes': changes})
        return
    rows = [[_name_change(row), row['entry']] for row in changes]
    output.print_rows(['change', 'entry'], rows)


@app.command()
def apply(
    addresses: options.ControlOption,
    routes: options.RoutesOption,
    pools: options.PoolsOption,
    operator: options.OperatorOption = 'unknown',
    base: options.BaseOption = options.CURRENT_VERSION,
    request_id: options.RequestOption = '',
    wait: options.WaitOption = False,
    timeout: options.TimeoutOption = options.DEFAULT_TIMEOUT_SECONDS,
    as_json: options.JsonOption = False,
) -> None:
    """Make the tables in two files the next version.

    Exit status 0 accepted, 2 invalid, 3 conflict, 4 refused, 5 not in force
    everywhere in time, 1 anything else.
    Example: shallotwharf apply --routes routes.json --pools pools.json --wait
    """
    tables = edits.read_tables(routes, pools)
    _edit(
        client.Client(addresses),
        '/v1/edits',
        tables | _describe_edit(addresses, operator, base, request_id),
        timeout if wait else 0,
        as_json,
    )


@app.command()
def revert(
    number: typing.Annotated[int, typer.Argument(help='Version to restore.')],
    addresses: options.ControlOption,
    operator: options.OperatorOption = 'unknown',
    base: options.BaseOption = options.CURRENT_VERSION,
    request_id: options.RequestOption = '',
    wait: options.WaitOption = False,
    timeout: options.TimeoutOption = options.DEFAULT_TIMEOUT_SECONDS,
    as_json: options.JsonOption = False,
) -> None:
    """Make a new version with the tables of an old one.

    Example: shallotwharf revert 41 --wait
    """
    _edit(
        client.Client(addresses),
        '/v1/reverts',
        {'number': number}
        | _describe_edit(addresses, operator, base, request_id),
        timeout if wait else 0,
        as_json,
    )


@app.command()
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
    found = _read(addresses, '/v1/status', {'number': number})
    if as_json:
        output.print_document(found)
        return
    typer.echo(edits.format_progress(found))
    typer.echo(f'leader: {found.get("leader") or "none"}')
    for lacking in found.get('lacking', []):
        typer.echo(f'lacking: {lacking}')


@app.command()
def moves(
    addresses: options.ControlOption,
    as_json: options.JsonOption = False,
) -> None:
    """Show moves: done, under way, held or taken back, with the reason.

    Example: shallotwharf moves
    """
    found = _read(addresses, '/v1/moves')
    if as_json:
        output.print_document(found)
        return
    headings = ['pool', 'from', 'to', 'state', 'share', 'due', 'reason']
    rows = [[row[name] for name in headings] for row in found['moves']]
    output.print_rows(headings, rows)


@app.command()
def history(
    addresses: options.ControlOption,
    as_json: options.JsonOption = False,
) -> None:
    """Show accepted versions, newest first.

    Example: shallotwharf history
    """
    found = _read(addresses, '/v1/history')
    if as_json:
        output.print_document(found)
        return
    headings = ['number', 'at', 'change', 'operator', 'request_id']
    rows = [[row[name] for name in headings] for row in found['versions']]
    output.print_rows(headings, rows)


@app.command()
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
) -> None:
    """Show what a node would do with a request, as JSON.

    Example: shallotwharf explain /menu --node 127.0.0.1:7112
    """
    output.print_document(
        _read([address], '/v1/explain', {'method': method, 'path': path}),
    )


def _read(
    addresses: list[str],
    path: str,
    query: abc.Mapping[str, object] | None = None,
) -> dict[str, typing.Any]:
    reply = client.Client(addresses).read(path, query)
    output.check_reply(reply.status, reply.body)
    return reply.body


def _describe_edit(
    addresses: list[str],
    operator: str,
    base: int,
    request_id: str,
) -> dict[str, typing.Any]:
    if base == options.CURRENT_VERSION:
        base = _read(addresses, '/v1/tables')['number']
    return {
        'request_id': request_id or edits.make_request_id(),
        'operator': operator,
        'base': base,
    }


def _edit(
    control_client: client.Client,
    path: str,
    edit: dict[str, typing.Any],
    timeout_seconds: int,
    as_json: bool,
) -> None:
    accepted = edits.send_edit(control_client, path, edit)
    if timeout_seconds:
        accepted['status'] = edits.wait_everywhere(
            control_client,
            accepted['number'],
            timeout_seconds,
        )
    if as_json:
        output.print_document(accepted | {'request_id': edit['request_id']})
        return
    where = ' in force everywhere' if timeout_seconds else ' accepted'
    typer.echo(f'version {accepted["number"]}{where}')


def _name_change(row: dict[str, typing.Any]) -> str:
    if row['before'] is None:
        return 'add'
    return 'remove' if row['after'] is None else 'change'
