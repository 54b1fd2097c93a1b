"""Processes of the product with the platform's front ends."""

from shallotwharf.platform import operators, settings, upstreams, vocabulary
from shallotwharf.roles import process
from shallotwharf.roles.control import seeded as control_process
from shallotwharf.roles.node import seeded as node_process

_LOG_LEVEL = 'INFO'


def run_control(path: str) -> None:
    """Run a control process until it is told to stop.

    Raises:
        SettingsError: if the settings file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    found = settings.read_control(path)
    address = (found.place.host, found.place.admin_port)
    process.run(
        lambda: control_process.SeededControlProcess(
            found,
            operators.OperatorsFrontEnd(address),
        ),
        _LOG_LEVEL,
    )


def run_node(path: str) -> None:
    """Run a node until it is told to stop; raises as `run_control` does."""
    found, ports = settings.read_node(path)
    process.run(
        lambda: node_process.SeededNodeProcess(
            found,
            upstreams.UpstreamsFrontEnd(ports),
            vocabulary.PlatformVocabulary(ports.service),
        ),
        _LOG_LEVEL,
    )
