"""What the commands print, and their exit statuses."""

import json
import typing

import typer

from shallotwharf.core import schema
from shallotwharf.roles import const

# Exit status by HTTP status of an answer that is not a success.
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
    """Print a table with columns as wide as their longest entry."""
    texts = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*texts)]
    for line in texts:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        typer.echo('  '.join(padded).rstrip())


def print_error(error: BaseException) -> None:
    """Print one line for each single error on standard error."""
    for line in schema.format_errors(error):
        typer.echo(f'error: {line}', err=True)


def check_reply(status: int, body: dict[str, typing.Any]) -> None:
    """Leave with the exit status of an answer that is not a success."""
    if status < _HTTP_ERROR:
        return
    for fault in body.get('faults', []):
        typer.echo(f'error: {fault}', err=True)
    pairs = ' '.join(
        f'{name}={part}' for name, part in body.items() if name != 'faults'
    )
    typer.echo(f'error: status={status} {pairs}', err=True)
    raise typer.Exit(_EXITS.get(status, const.EXIT_FAILED))
