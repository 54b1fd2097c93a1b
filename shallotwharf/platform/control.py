"""Control process with the platform's front end for operators."""

from shallotwharf.platform import operators, settings
from shallotwharf.roles import process
from shallotwharf.roles.control import seeded as control_process


def run(path: str, log_level: str) -> None:
    """Run a control process until it receives a stop signal.

    Raises:
        SettingsError: if the settings file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    found = settings.read_control(path)
    address = (found.location.host, found.location.admin_port)
    process.run(
        lambda: control_process.SeededControlProcess(
            found,
            operators.OperatorsFrontEnd(address),
        ),
        log_level,
    )
