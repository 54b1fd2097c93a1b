"""The command line application."""

import typing

import typer

from shallotwharf.cli import changes, evacuations, processes, queries

_COMMANDS: typing.Final = (
    processes.control,
    processes.node,
    queries.check,
    queries.diff,
    changes.apply,
    changes.revert,
    queries.status,
    queries.moves,
    queries.history,
    queries.members,
    queries.explain,
    evacuations.evacuate,
    evacuations.restore,
    evacuations.evacuations,
)


def build_app() -> typer.Typer:
    """Return the application with all commands."""
    app = typer.Typer(
        help='Configuration distribution for a service mesh.',
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        add_completion=False,
    )
    for command in _COMMANDS:
        app.command()(command)
    app.command(name='dev')(processes.run_dev)
    app.command(name='sample')(processes.run_sample)
    return app
