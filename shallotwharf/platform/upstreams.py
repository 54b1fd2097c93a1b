"""Check-ins of the upstream beside a node, and the node's readiness."""

import json
import typing

from tornado import web

from shallotwharf.adapters import admin
from shallotwharf.core import call_interfaces, logs
from shallotwharf.platform import checks, settings
from shallotwharf.roles.node import seeded as node_process

_OK: typing.Final = 200
_INVALID: typing.Final = 400
_UNAVAILABLE: typing.Final = 503
_DRAINING: typing.Final = 'draining'
_STATES: typing.Final = frozenset(('ready', _DRAINING))
# A cold upstream is slower, but runs as many requests at once.
_WARMUP_MS: typing.Final = 0


class InstanceHandler(web.RequestHandler):
    """Check-ins and the end of an upstream."""

    def initialize(
        self,
        registry: call_interfaces.UpstreamRegistry,
        ports: settings.NodePorts,
    ) -> None:
        """Keep what check-ins are handed to and compared with."""
        self._registry = registry
        self._ports = ports

    def put(self, instance: str) -> None:
        """Take a check-in."""
        try:
            report = read_report(instance, self.request.body, self._ports)
        except checks.FAULTS as error:
            logs.write('report_refused', instance=instance, error=repr(error))
            self._reply(_INVALID)
            return
        self._registry.report(report)
        self._reply(_OK)

    def delete(self, instance: str) -> None:
        """Take the end of an instance."""
        self._registry.end(instance, _read_start(self.request.body))
        self._reply(_OK)

    def _reply(self, status: int) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish('{}')


class ReadinessHandler(web.RequestHandler):
    """Tells whether callers may send requests."""

    def initialize(self, status: node_process.NodeStatus) -> None:
        """Keep whom to ask."""
        self._status = status

    def get(self) -> None:
        """Return 200 while calls are served."""
        self.set_status(_OK if self._status.is_ready() else _UNAVAILABLE)
        self.finish('')


class UpstreamsFrontEnd(node_process.FrontEnd):
    """Serves the upstream and the platform beside a node."""

    __slots__ = ('_ports', '_servers')

    def __init__(self, ports: settings.NodePorts) -> None:
        self._ports = ports
        self._servers: list[admin.WebServer] = []

    def listen(
        self,
        status: node_process.NodeStatus,
        registry: call_interfaces.UpstreamRegistry,
    ) -> None:
        """Accept requests."""
        reports = {'registry': registry, 'ports': self._ports}
        asked = {'status': status}
        counted = {'render': status.render_counters}
        self._servers = [
            admin.WebServer(
                self._ports.reports,
                [('/-/instances/([^/]+)', InstanceHandler, reports)],
            ),
            admin.WebServer(
                self._ports.readiness,
                [
                    ('/-/readiness', ReadinessHandler, asked),
                    ('/metrics', admin.MetricsHandler, counted),
                ],
            ),
        ]
        for server in self._servers:
            server.listen()

    async def async_close(self) -> None:
        """Stop and wait for the answers that are being written."""
        for server in self._servers:
            await server.async_close()


def read_report(
    instance: str,
    body: bytes,
    ports: settings.NodePorts,
) -> call_interfaces.UpstreamReport:
    """Return a check-in.

    Raises:
        ValueError: if it is not one of the upstream beside this node.
    """
    found = json.loads(body)
    host, port = ports.upstream
    checks.check(found['service'] == ports.service, 'another service')
    checks.check(found['address'] == f'{host}:{port}', 'another address')
    checks.check(found['zone'] == ports.datacentre, 'another place')
    checks.check(found['state'] in _STATES, 'unknown state')
    slots = checks.check_count(found['slots'])
    checks.check(slots > 0, 'no slots')
    checks.check(isinstance(found['version'], str), 'no version')
    return call_interfaces.UpstreamReport(
        call_interfaces.UpstreamDescription(
            found['service'],
            found['version'],
            host,
            port,
            slots,
            _WARMUP_MS,
            instance,
        ),
        found['state'] == _DRAINING,
        checks.check_count(found.get('born', 0)),
        checks.check_count(found['sequence']),
    )


def _read_start(body: bytes) -> int:
    """Return when an instance that ends started; 0 if it does not say."""
    try:
        return (
            checks.check_count(json.loads(body).get('born', 0)) if body else 0
        )
    except checks.FAULTS as error:
        logs.write('report_start_unknown', error=repr(error))
        return 0
