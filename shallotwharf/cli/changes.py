"""Commands that change the configuration."""

import typing

import typer

from shallotwharf.cli import client, edits, options, output


def apply(
    addresses: options.ControlOption,
    routes: options.RoutesOption,
    pools: options.PoolsOption,
    tenants: options.TenantsOption = '',
    operator: options.OperatorOption = 'unknown',
    base: options.BaseOption = options.CURRENT_VERSION,
    request_id: options.RequestOption = '',
    wait: options.WaitOption = False,
    timeout: options.TimeoutOption = options.DEFAULT_TIMEOUT_SECONDS,
    as_json: options.JsonOption = False,
) -> None:
    """Apply the tables in two files as the next version.

    Exit status 0 accepted, 2 invalid, 3 conflict, 4 refused, 5 not in force
    everywhere before the timeout, 1 any other failure.
    Example: shallotwharf apply --routes routes.json --pools pools.json --wait
    """
    tables = edits.read_tables(routes, pools, tenants)
    _edit(
        client.Client(addresses),
        '/v1/edits',
        tables | _describe_edit(addresses, operator, base, request_id),
        timeout if wait else 0,
        as_json,
    )


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
    """Create a new version from the tables of an earlier one.

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


def _describe_edit(
    addresses: list[str],
    operator: str,
    base: int,
    request_id: str,
) -> dict[str, typing.Any]:
    if base == options.CURRENT_VERSION:
        base = client.read_body(addresses, '/v1/tables')['number']
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
