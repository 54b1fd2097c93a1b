"""Edits of the tables: differences, application and waiting."""

import random
import time
import typing

import typer

from shallotwharf.cli import client, output
from shallotwharf.components.tables import document
from shallotwharf.core import clock, identifiers
from shallotwharf.roles import const
from shallotwharf.roles.settings import files

_POLL_SECONDS: typing.Final = 0.2
_HTTP_UNAVAILABLE: typing.Final = 503


def read_tables(routes: str, pools: str) -> dict[str, typing.Any]:
    """Return the two documents of the files after checking them.

    Raises:
        ShallotwharfError: if a file cannot be read.
        ExceptionGroup: of `TablesError`, one for each fault.
    """
    written = document.write_tables(
        document.read_tables(
            files.read_document(routes),
            files.read_document(pools),
        ),
    )
    return {'routes': written[0], 'pools': written[1]}


def list_changes(
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
) -> list[dict[str, typing.Any]]:
    """Return one row for each entry that is added, removed or changed."""
    changes = []
    for table in ('routes', 'pools'):
        old = {row['name']: row for row in before[table][table]}
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
    """Return a new request id."""
    return identifiers.make_identifier(
        clock.SystemClock().read_wall(),
        random.SystemRandom(),
    )


def send_edit(
    control: client.Client,
    path: str,
    edit: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Send an edit and return its accepted outcome.

    Leaves with an exit status if it is not accepted; the request id is
    printed, so that the outcome can be asked for.
    """
    resend = (
        'outcome unknown; to learn it, repeat the command with '
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
    """Return the status once a version is in force everywhere.

    Prints a progress line while it waits and leaves with an exit status
    after the timeout, having printed which nodes lack the version.
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
    """Return one line that says how far a version has come."""
    return (
        f'version {status.get("number", "?")}: '
        f'{status.get("active", 0)} of {status.get("nodes", 0)} nodes'
    )
