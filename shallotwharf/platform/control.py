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
    control_settings = settings.read_control(path)
    address = (
        control_settings.location.host,
        control_settings.location.admin_port,
    )
    known = settings.read_sites(path)
    process.run(
        lambda: control_process.SeededControlProcess(
            control_settings,
            operators.OperatorsFrontEnd(address, known),
            settings.SettingsSeeds(path),
        ),
        log_level,
    )
