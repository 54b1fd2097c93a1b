"""Output and exit statuses of the commands."""

import json
import typing

import typer

from shallotwharf.core import schema
from shallotwharf.roles import const

# Exit status by the HTTP status of an error response.
_EXITS: typing.Final = {  # noqa: WPS407
    400: const.EXIT_INVALID,
    404: const.EXIT_INVALID,
    409: const.EXIT_CONFLICT,
    422: const.EXIT_REFUSED,
}
_HTTP_ERROR: typing.Final = 400


def print_document(document: typing.Any) -> None:
    """Print a document as indented JSON on standard output."""
    typer.echo(json.dumps(document, indent=2, sort_keys=True))


def print_rows(headings: list[str], rows: list[list[object]]) -> None:
    """Print a table; each column is as wide as its longest cell."""
    texts = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*texts)]
    for line in texts:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        typer.echo('  '.join(padded).rstrip())


def print_error(error: BaseException) -> None:
    """Print a line for each error of a group on standard error."""
    for line in schema.format_errors(error):
        typer.echo(f'error: {line}', err=True)


def check_reply(status: int, body: dict[str, typing.Any]) -> None:
    """Print an error response and exit with its exit status."""
    if status < _HTTP_ERROR:
        return
    for fault in body.get('faults', []):
        typer.echo(f'error: {fault}', err=True)
    pairs = ' '.join(
        f'{name}={part}' for name, part in body.items() if name != 'faults'
    )
    typer.echo(f'error: status={status} {pairs}', err=True)
    raise typer.Exit(_EXITS.get(status, const.EXIT_FAILED))
