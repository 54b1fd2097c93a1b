"""Settings of a process, read from JSON; the templates are in `deploy/`."""

import typing

import voluptuous

from shallotwharf.components.call import budget
from shallotwharf.components.quota import settings as quota_settings
from shallotwharf.components.upstream import const as upstream
from shallotwharf.core import clock, errors, locations, records, schema
from shallotwharf.platform import sites
from shallotwharf.roles import seeds
from shallotwharf.roles.settings import files, seeded

_STEP: typing.Final = 'platform.settings'

# Share of the platform's retry limits that nodes use. The rest is left for the
# calls that an upstream makes again when it runs a retried request.
_RETRY_LIMIT_SHARE: typing.Final = 0.5
# Refusals per call, before an upstream is reached, that do not count as
# retries; each costs a hop of about 1 ms.
_FREE_REFUSALS_PER_CALL: typing.Final = 6
# Callers stop using a node after two failed readiness probes, which are sent
# once a second.
_LEAVE_MS: typing.Final = 2500
# Time left for a shutdown to end before the platform kills the process.
_STOP_MARGIN_MS: typing.Final = 800
# Rules out infinity.
_MAX_OPTION: typing.Final = 1_000_000_000
# Time without control after which a node with strict revocation refuses keys.
_REVOCATION_S: typing.Final = 5


def _check_address(raw: typing.Any) -> tuple[str, int]:
    host, _, port = str(raw).rpartition(':')
    if not host or not port.isdecimal():
        raise voluptuous.Invalid('expected HOST:PORT')
    return host, int(port)


_WINDOW: typing.Final = 'quota_window_s'
_OVERAGE: typing.Final = 'quota_overage'
_SLACK: typing.Final = 'quota_slack'
# Null stands for the default, as a missing key does.
_OPTIONAL: typing.Final = voluptuous.Any(
    None,
    voluptuous.All(
        voluptuous.Any(int, float),
        voluptuous.Coerce(float),
        voluptuous.Range(min=0, max=_MAX_OPTION),
    ),
)
_COMMON: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('label'): str,
        voluptuous.Required('host'): str,
        voluptuous.Required('datacentre'): str,
        voluptuous.Required('region'): str,
        voluptuous.Required('ports'): [voluptuous.Coerce(int)],
        voluptuous.Required('seeds'): [_check_address],
        voluptuous.Optional(_WINDOW): _OPTIONAL,
        voluptuous.Optional(_OVERAGE): _OPTIONAL,
        voluptuous.Optional(_SLACK): _OPTIONAL,
    },
)
# The settings that a running process reads again.
_SEEDS: typing.Final = voluptuous.Schema(
    {
        voluptuous.Required('ports'): [voluptuous.Coerce(int)],
        voluptuous.Required('seeds'): [_check_address],
    },
    extra=voluptuous.ALLOW_EXTRA,
)
_CONTROL: typing.Final = _COMMON.extend(
    {
        voluptuous.Required('operators'): _check_address,
        voluptuous.Required('may_found'): bool,
        voluptuous.Required('lost_disks'): voluptuous.Coerce(int),
        voluptuous.Required('data_folder'): str,
        # Region by data centre. Releases of the platform differ in whether
        # they name them.
        voluptuous.Optional('datacentres', default=dict): voluptuous.Any(
            {str: str}, voluptuous.All(None, lambda _: {})
        ),
    },
)
_NODE: typing.Final = _COMMON.extend(
    {
        voluptuous.Required('callers'): _check_address,
        voluptuous.Required('nodes'): _check_address,
        voluptuous.Required('readiness'): _check_address,
        voluptuous.Required('reports'): _check_address,
        voluptuous.Required('upstream'): _check_address,
        voluptuous.Required('service'): str,
        voluptuous.Required('retry_ratio'): voluptuous.Coerce(float),
        voluptuous.Required('retry_extra'): voluptuous.Coerce(float),
        voluptuous.Required('retry_window_s'): voluptuous.Coerce(float),
        voluptuous.Required('stop_s'): voluptuous.Coerce(float),
        voluptuous.Optional('strict_revocation'): voluptuous.Any(None, bool),
        voluptuous.Optional('revocation_s'): _OPTIONAL,
        voluptuous.Optional(
            'cold_overage', default=upstream.DEFAULT_COLD_OVERAGE
        ): voluptuous.All(voluptuous.Coerce(float), voluptuous.Range(0)),
        voluptuous.Optional(
            'cold_slack', default=upstream.DEFAULT_COLD_SLACK
        ): voluptuous.All(voluptuous.Coerce(float), voluptuous.Range(0)),
    },
)


class NodePorts(records.Record):
    """Settings of a node that only this adapter uses.

    Attributes:
        readiness: address that serves the platform's readiness probes.
        reports: address that receives the upstream's check-ins.
        upstream: address at which the upstream listens.
        service: name of the upstream's service.
        datacentre: name of the machine's data centre.
    """

    __slots__ = ('readiness', 'reports', 'upstream', 'service', 'datacentre')

    def __init__(
        self,
        readiness: tuple[str, int],
        reports: tuple[str, int],
        upstream: tuple[str, int],
        service: str,
        datacentre: str,
    ) -> None:
        self.readiness = readiness
        self.reports = reports
        self.upstream = upstream
        self.service = service
        self.datacentre = datacentre


class SettingsSeeds(seeds.SeedSource):
    """The seeds that a settings file names.

    Args:
        path: the settings file of a node or of a control process.
    """

    __slots__ = ('_path',)

    def __init__(self, path: str) -> None:
        self._path = path

    def read(self) -> tuple[locations.Location, ...]:
        """Return the seeds that the file names now."""
        document = _read(self._path, _SEEDS)
        port = document['seeds'][0][1] if document['seeds'] else 0
        return _build_seeds(document, port)


def read_control(path: str) -> seeded.SeededControl:
    """Return the settings of a control process.

    Raises:
        SettingsError: if the file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    document = _read(path, _CONTROL)
    port = document['operators'][1]
    return seeded.SeededControl(
        seeded.build_process_name(document['host']),
        _build_location(document, port),
        _build_seeds(document, port),
        document['may_found'],
        2 * document['lost_disks'] + 1,
        document['data_folder'],
        _build_quotas(document),
    )


def read_sites(path: str) -> sites.Sites:
    """Return the data centres that the settings of control name.

    Raises:
        SettingsError: if the file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    return sites.Sites(_read(path, _CONTROL)['datacentres'])


def read_node(path: str) -> tuple[seeded.SeededNode, NodePorts]:
    """Return the settings of a node and of its adapter.

    Raises:
        SettingsError: if the file cannot be read.
        ExceptionGroup: of `SettingsError`, one for each fault.
    """
    document = _read(path, _NODE)
    node = seeded.SeededNode(
        seeded.build_process_name(document['host']),
        _build_location(document, document['reports'][1]),
        document['nodes'][1],
        document['callers'][1],
        _build_seeds(document, document['reports'][1]),
        _build_retries(document),
        _LEAVE_MS,
        round(document['stop_s'] * clock.SECOND_MS) - _STOP_MARGIN_MS,
        _build_quotas(document),
        _compute_revocation_ms(document),
        document['cold_overage'],
        document['cold_slack'],
    )
    ports = NodePorts(
        document['readiness'],
        document['reports'],
        document['upstream'],
        document['service'],
        document['datacentre'],
    )
    return node, ports


def _read(path: str, table: voluptuous.Schema) -> dict[str, typing.Any]:
    checked: dict[str, typing.Any] = schema.check_document(
        table,
        files.read_document(path),
        errors.SettingsError,
        _STEP,
    )
    return checked


def _build_location(
    document: dict[str, typing.Any], port: int
) -> locations.Location:
    return locations.Location(
        document['datacentre'],
        document['region'],
        document['host'],
        document['ports'][0],
        port,
    )


def _build_seeds(
    document: dict[str, typing.Any],
    port: int,
) -> tuple[locations.Location, ...]:
    # All machines use the same ports, so the ports in `seeds` are not needed.
    return tuple(
        locations.Location('', '', host, document['ports'][0], port)
        for host, _ in document['seeds']
    )


def _build_retries(document: dict[str, typing.Any]) -> budget.Limits:
    extra = document['retry_extra'] * _RETRY_LIMIT_SHARE
    return budget.Limits(
        document['retry_ratio'] * _RETRY_LIMIT_SHARE,
        extra / document['retry_window_s'] / 2,
        extra / 2,
        is_shared=True,
        free_refusals=_FREE_REFUSALS_PER_CALL,
        repeats_errors=True,
    )


def _build_quotas(
    document: dict[str, typing.Any],
) -> quota_settings.QuotaSettings:
    window_s = document.get(_WINDOW)
    overage = document.get(_OVERAGE)
    slack = document.get(_SLACK)
    chosen = quota_settings.QuotaSettings()
    if window_s:
        chosen = chosen.replace(window_ms=round(window_s * clock.SECOND_MS))
    if overage is not None:
        chosen = chosen.replace(overage=overage)
    if slack is not None:
        chosen = chosen.replace(slack=slack)
    return chosen


def _compute_revocation_ms(document: dict[str, typing.Any]) -> int:
    if not document.get('strict_revocation'):
        return 0
    seconds = document.get('revocation_s')
    if seconds is None:
        seconds = _REVOCATION_S
    return max(round(seconds * clock.SECOND_MS), 1)
