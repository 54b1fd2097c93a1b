"""Entry point of the processes that run on the users' platform."""

import gc
import importlib
import os
import sys
import types
import typing

from shallotwharf.core import errors, logs, schema

# Environment variable with the path of the settings file, which the platform
# renders from the template of the role.
_SETTINGS_VARIABLE: typing.Final = 'SHALLOTWHARF_NODE_FILE'
_LOG_LEVEL: typing.Final = 'INFO'
_EXIT_INVALID: typing.Final = 2
# Modules of this package. Only the module of the role is imported, because the
# platform measures memory from the start of the process.
_ROLES: typing.Final = ('control', 'node')


def main(arguments: list[str]) -> int:
    """Run a role until it stops, and return the exit status."""
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        sys.stderr.write(f'usage: shallotwharf.platform {"|".join(_ROLES)}\n')
        return _EXIT_INVALID
    role = _import_role(arguments[0])
    try:
        role.run(os.environ.get(_SETTINGS_VARIABLE, ''), _LOG_LEVEL)
    except (errors.ShallotwharfError, ExceptionGroup) as error:
        logs.configure()
        for line in schema.format_errors(error):
            logs.warn('start_failed', error=line)
        return _EXIT_INVALID
    return 0


def _import_role(name: str) -> types.ModuleType:
    """Return the module of a role, whose objects are not collected later.

    Imports leave no garbage, and collections took 12 of their 103 ms.
    """
    gc.disable()
    role = importlib.import_module(f'shallotwharf.platform.{name}')
    gc.freeze()
    gc.enable()
    return role


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
