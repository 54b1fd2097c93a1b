"""HTTP interface of a node for the upstream beside it and for the platform."""

import math
import typing

from tornado import web

from shallotwharf.adapters import admin
from shallotwharf.core import call_interfaces, clock, documents, logs
from shallotwharf.platform import checks, header_format, settings
from shallotwharf.roles.node import seeded as node_process

_OK: typing.Final = 200
_INVALID: typing.Final = 400
_UNAVAILABLE: typing.Final = 503
_DRAINING: typing.Final = 'draining'
_STATES: typing.Final = frozenset(('ready', _DRAINING))
# No warm-up limit: a cold upstream is slower, but runs as many requests at once
# as a warm one.
_WARMUP_MS: typing.Final = 0
_MAX_SLOTS: typing.Final = 10_000
# A check-in a second for 60 years. An odd number above it would make all later
# check-ins look old.
_MAX_SEQUENCE: typing.Final = 2_000_000_000
# A start further ahead of the local time of day is odd, and would make all
# later starts look old. Clocks of machines differ by seconds.
_MAX_START_LEAD_MS: typing.Final = 24 * clock.HOUR_MS


class InstanceHandler(web.RequestHandler):
    """Handler for check-ins and deregistration of an upstream instance."""

    def initialize(
        self,
        registry: call_interfaces.UpstreamRegistry,
        ports: settings.NodePorts,
        process_clock: clock.Clock,
    ) -> None:
        """Set the registry for check-ins, and the expected upstream."""
        self._registry = registry
        self._ports = ports
        self._clock = process_clock

    def put(self, instance: str) -> None:
        """Validate a check-in and pass it to the registry."""
        try:
            report = read_report(
                instance,
                self.request.body,
                self._ports,
                self._clock.read_wall(),
            )
        except checks.PARSE_ERRORS as error:
            logs.write('report_refused', instance=instance, error=repr(error))
            self._reply(_INVALID)
            return
        # An upstream sends a report that was not acknowledged again.
        is_settled = self._registry.report(report)
        self._reply(_OK if is_settled else _UNAVAILABLE)

    def delete(self, instance: str) -> None:
        """Mark an instance as ended."""
        started_at = _read_end(self.request.body, self._clock.read_wall())
        self._registry.end(instance, started_at)
        self._reply(_OK)

    def _reply(self, status: int) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish('{}')


class ReadinessHandler(web.RequestHandler):
    """Handler for readiness probes."""

    def initialize(self, status: node_process.NodeStatus) -> None:
        """Set the source of the node's status."""
        self._status = status

    def get(self) -> None:
        """Reply with 200 while callers should use the node, else with 503."""
        self.set_status(_OK if self._status.is_ready() else _UNAVAILABLE)
        self.finish('')


class UpstreamsFrontEnd(node_process.FrontEnd):
    """HTTP servers for check-ins, readiness probes and metrics."""

    __slots__ = ('_ports', '_servers')

    def __init__(self, ports: settings.NodePorts) -> None:
        super().__init__()
        self._ports = ports
        self._servers: list[admin.WebServer] = []

    def listen(
        self,
        status: node_process.NodeStatus,
        registry: call_interfaces.UpstreamRegistry,
    ) -> None:
        """Start to accept requests."""
        reports = {
            'registry': registry,
            'ports': self._ports,
            'process_clock': clock.SystemClock(),
        }
        readiness_arguments = {'status': status}
        metrics_arguments = {'render': status.render_counters}
        self._servers = [
            admin.WebServer(
                self._ports.reports,
                [('/-/instances/([^/]+)', InstanceHandler, reports)],
                self.capacity,
                'reports',
            ),
            admin.WebServer(
                self._ports.readiness,
                [
                    ('/-/readiness', ReadinessHandler, readiness_arguments),
                    ('/metrics', admin.MetricsHandler, metrics_arguments),
                ],
                self.capacity,
                'readiness',
            ),
        ]
        for server in self._servers:
            server.listen()

    async def async_close(self) -> None:
        """Stop the servers and wait for responses in progress."""
        for server in self._servers:
            await server.async_close()


def read_report(
    instance: str,
    body: bytes,
    ports: settings.NodePorts,
    wall_now: int,
) -> call_interfaces.UpstreamReport:
    """Return the report in the body of a check-in.

    `wall_now` is the time of day in milliseconds since the epoch.

    Raises:
        ValueError: or another of `checks.PARSE_ERRORS`, if the body is not
            valid or does not come from the upstream beside this node.
    """
    document = documents.load(body)
    host, port = ports.upstream
    checks.check(
        document['service'] == ports.service, f'service is not {ports.service}'
    )
    checks.check(
        document['address'] == f'{host}:{port}', f'address is not {host}:{port}'
    )
    checks.check(
        document['zone'] == ports.datacentre, f'zone is not {ports.datacentre}'
    )
    checks.check(
        document['state'] in _STATES, 'state is neither ready nor draining'
    )
    slots = checks.check_count(document['slots'], _MAX_SLOTS)
    checks.check(slots > 0, 'slots must be above 0')
    checks.check(
        isinstance(document['version'], str), 'version must be a string'
    )
    started_at = _read_start(document, wall_now)
    return call_interfaces.UpstreamReport(
        call_interfaces.UpstreamDescription(
            document['service'],
            document['version'],
            host,
            port,
            slots,
            _WARMUP_MS,
            instance,
            started_at,
        ),
        document['state'] == _DRAINING,
        started_at,
        checks.check_count(document['sequence'], _MAX_SEQUENCE),
        _read_cold_ms(document.get('coldRemainingS')),
    )


def _read_cold_ms(stated: typing.Any) -> int | None:
    """Return how long an upstream stays cold; None if not validly stated.

    The upstream serves although it states an odd time.
    """
    if type(stated) not in {int, float}:
        return None
    if not 0 <= stated <= header_format.MAX_COLD_MS / clock.SECOND_MS:
        return None
    return int(math.ceil(stated * clock.SECOND_MS))


def _read_start(document: typing.Any, wall_now: int) -> int:
    """Return when an instance started; 0 if it is not stated."""
    return checks.check_count(
        document.get('born', 0), wall_now + _MAX_START_LEAD_MS
    )


def _read_end(body: bytes, wall_now: int) -> int:
    """Return the start time of an ended instance; 0 if it is missing."""
    try:
        return _read_start(documents.load(body), wall_now) if body else 0
    except checks.PARSE_ERRORS as error:
        logs.write('report_start_unknown', error=repr(error))
        return 0
