"""Entry point of the program."""

import sys

from shallotwharf.cli import app, output
from shallotwharf.core import errors
from shallotwharf.roles import const

# Exit status by class of error.
_EXITS = (
    (errors.SettingsError, const.EXIT_INVALID),
    (errors.TablesError, const.EXIT_INVALID),
)


def main() -> None:
    """Run a command; exit with a non-zero status if it fails."""
    try:
        app.build_app()()
    except (errors.ShallotwharfError, ExceptionGroup) as error:
        output.print_error(error)
        sys.exit(_find_exit(error))


def _find_exit(error: BaseException) -> int:
    for single in errors.iterate_errors(error):
        for error_type, status in _EXITS:
            if isinstance(single, error_type):
                return status
    return const.EXIT_FAILED


if __name__ == '__main__':
    main()
