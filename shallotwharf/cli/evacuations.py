"""Commands that evacuate and restore data centres."""

import typing
from urllib import parse as url_parse

import typer

from shallotwharf.cli import client, options, output

_PATH: typing.Final = '/v1/evacuations'
_UNKNOWN: typing.Final = 'unknown'

_Datacentre: typing.TypeAlias = typing.Annotated[
    str, typer.Argument(help='Name of the data centre.')
]


def evacuate(
    datacentre: _Datacentre,
    addresses: options.ControlOption,
    operator: options.OperatorOption = _UNKNOWN,
    as_json: options.JsonOption = False,
) -> None:
    """Send no more requests to the upstreams of a data centre.

    Requests that run there finish. May be repeated. Exit status 2 if the data
    centre is unknown, 3 if it is the last one.
    Example: shallotwharf evacuate milan-1
    """
    reply = client.Client(addresses).change(
        'POST', _PATH, {'datacentre': datacentre, 'operator': operator}
    )
    _print_outcome(reply, f'{datacentre} is evacuated', as_json)


def restore(
    datacentre: _Datacentre,
    addresses: options.ControlOption,
    operator: options.OperatorOption = _UNKNOWN,
    as_json: options.JsonOption = False,
) -> None:
    """Send requests to the upstreams of a data centre again.

    May be repeated. Example: shallotwharf restore milan-1
    """
    query = url_parse.urlencode(
        {'datacentre': datacentre, 'operator': operator}
    )
    reply = client.Client(addresses).change('DELETE', f'{_PATH}?{query}')
    _print_outcome(reply, f'{datacentre} is not evacuated', as_json)


def evacuations(
    addresses: options.ControlOption,
    as_json: options.JsonOption = False,
) -> None:
    """Show the evacuated data centres, since when, and what is known of them.

    `refusing` counts the nodes that have the version in force, and so start no
    requests at their upstreams. Control does not know how many requests still
    run: the nodes' metrics show it.
    Example: shallotwharf evacuations --json
    """
    body = client.read_body(addresses, _PATH)
    if as_json:
        output.print_document(body)
        return
    headings = [
        'datacentre',
        'since',
        'operator',
        'nodes',
        'refusing',
        'busy_slots',
    ]
    rows = [
        [_format(row[name]) for name in headings] for row in body['evacuations']
    ]
    output.print_rows(headings, rows)


def _print_outcome(reply: client.Reply, text: str, as_json: bool) -> None:
    output.check_reply(reply.status, reply.body)
    if as_json:
        output.print_document(reply.body)
        return
    typer.echo(f'{text} since version {reply.body["number"]} or earlier')


def _format(cell: object) -> object:
    return 'not known' if cell is None else cell
