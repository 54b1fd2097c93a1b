"""Node with the platform's front end and headers."""

from shallotwharf.platform import header_format, settings, upstreams
from shallotwharf.roles import process
from shallotwharf.roles.node import seeded as node_process


def run(path: str, log_level: str) -> None:
    """Run a node until it receives a stop signal.

    Raises:
        SettingsError: if the settings file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    node_settings, ports = settings.read_node(path)
    process.run(
        lambda: node_process.SeededNodeProcess(
            node_settings,
            upstreams.UpstreamsFrontEnd(ports),
            header_format.PlatformHeaderFormat(ports.service),
            settings.SettingsSeeds(path),
        ),
        log_level,
    )
