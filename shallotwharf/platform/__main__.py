"""Entry point of the processes on the users' platform."""

import os
import sys
import types
import typing

from shallotwharf.core import errors, logs, schema
from shallotwharf.platform import processes

# Names the file that the platform made from the template of the role.
_SETTINGS_VARIABLE: typing.Final = 'SHALLOTWHARF_NODE_FILE'
_EXIT_INVALID: typing.Final = 2
_ROLES: typing.Final = types.MappingProxyType(
    {
        'control': processes.run_control,
        'node': processes.run_node,
    },
)


def main(arguments: list[str]) -> int:
    """Run a role; return the exit status."""
    run = _ROLES.get(arguments[0]) if len(arguments) == 1 else None
    if run is None:
        sys.stderr.write(f'usage: shallotwharf.platform {"|".join(_ROLES)}\n')
        return _EXIT_INVALID
    try:
        run(os.environ.get(_SETTINGS_VARIABLE, ''))
    except (errors.ShallotwharfError, ExceptionGroup) as error:
        logs.configure()
        for line in schema.format_errors(error):
            logs.warn('start_failed', error=line)
        return _EXIT_INVALID
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
