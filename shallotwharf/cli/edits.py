"""Comparing and sending edits of the tables, and waiting for them."""

import random
import time
import typing

import typer

from shallotwharf.cli import client, output
from shallotwharf.components.tables import document, tenants_document
from shallotwharf.core import clock, identifiers
from shallotwharf.roles import const
from shallotwharf.roles.settings import files

_POLL_SECONDS: typing.Final = 0.2
_HTTP_UNAVAILABLE: typing.Final = 503


def read_tables(
    routes: str, pools: str, tenants: str = ''
) -> dict[str, typing.Any]:
    """Return the validated tables of the files by their keys.

    Keys of tenants are replaced by their digests. Without a file of tenants,
    those in force remain.

    Raises:
        ShallotwharfError: if a file cannot be read.
        ExceptionGroup: of `TablesError`, one for each fault.
    """
    tables = document.read_tables(
        files.read_document(routes),
        files.read_document(pools),
        files.read_document(tenants) if tenants else None,
    )
    written = document.write_tables(tables)
    documents = {'routes': written[0], 'pools': written[1]}
    if tenants:
        rows = tenants_document.write_tenants(tables.tenants)
        documents['tenants'] = rows
    return documents


def list_changes(
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
) -> list[dict[str, typing.Any]]:
    """Return a row for each entry that was added, removed or changed."""
    changes = []
    for table in after:
        listed = before.get(table, {}).get(table, [])
        old = {row['name']: row for row in listed}
        new = {row['name']: row for row in after[table][table]}
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                changes.append(
                    {
                        'entry': f'{table}/{name}',
                        'before': old.get(name),
                        'after': new.get(name),
                    },
                )
    return changes


def make_request_id() -> str:
    """Return a new UUIDv7."""
    return identifiers.make_identifier(
        clock.SystemClock().read_wall(),
        random.SystemRandom(),
    )


def send_edit(
    control: client.Client,
    path: str,
    edit: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Send an edit and return the body of the response that accepts it.

    Exits if the edit is not accepted. If the outcome is unknown, prints the
    request id first, so that the operator can repeat the command.
    """
    resend = (
        'outcome unknown; to query it, repeat the command with '
        f'--request-id {edit["request_id"]} --base {edit["base"]}'
    )
    try:
        reply = control.write(path, edit)
    except Exception:
        typer.echo(resend, err=True)
        raise
    if reply.status == _HTTP_UNAVAILABLE:
        typer.echo(resend, err=True)
    output.check_reply(reply.status, reply.body)
    return reply.body


def wait_everywhere(
    control: client.Client,
    number: int,
    timeout_seconds: int,
) -> dict[str, typing.Any]:
    """Return the status as soon as a version is in force everywhere.

    Prints progress while it waits. After the timeout, prints which nodes lack
    the version and exits.
    """
    deadline = time.monotonic() + timeout_seconds
    status: dict[str, typing.Any] = {}
    while time.monotonic() < deadline:
        status = control.read('/v1/status', {'number': number}).body
        if status.get('everywhere'):
            typer.echo('', err=True)
            return status
        typer.echo(f'\r{format_progress(status)}', nl=False, err=True)
        time.sleep(_POLL_SECONDS)
    typer.echo('', err=True)
    for lacking in status.get('lacking', []):
        typer.echo(f'error: lacking {lacking}', err=True)
    raise typer.Exit(const.EXIT_TIMEOUT)


def format_progress(status: dict[str, typing.Any]) -> str:
    """Return a line with the number of nodes that apply a version."""
    return (
        f'version {status.get("number", "?")}: '
        f'{status.get("active", 0)} of {status.get("nodes", 0)} nodes'
    )
