"""HTTP interface of a control process for operators."""

import json
import types
import typing

from tornado import web

from shallotwharf.adapters import admin
from shallotwharf.components.ledger import const as ledger_const
from shallotwharf.components.ledger import messages as ledger
from shallotwharf.components.replica import messages as replica
from shallotwharf.components.tables import version
from shallotwharf.core import clock, documents, errors, logs, messages
from shallotwharf.platform import checks, document, sites
from shallotwharf.roles.control import operations
from shallotwharf.roles.control import seeded as control_process

_OK: typing.Final = 200
_REDIRECT: typing.Final = 307
_INVALID: typing.Final = 400
_NOT_FOUND: typing.Final = 404
_CONFLICT: typing.Final = 412
_LAST: typing.Final = 409
_UNAVAILABLE: typing.Final = 503

# HTTP status by the outcome of a command. Any other outcome is reported as
# unavailable: the command was not proposed, or it may still take effect.
_STATUSES: typing.Final = types.MappingProxyType(
    {
        ledger.EditAccepted: _OK,
        ledger.EditConflict: _CONFLICT,
    },
)
# HTTP status of a refused command by its reason; any other one is invalid.
_REFUSALS: typing.Final = types.MappingProxyType(
    {
        ledger_const.REASON_UNKNOWN_DATACENTRE: _NOT_FOUND,
        ledger_const.REASON_LAST_DATACENTRE: _LAST,
    },
)
# Reasons why no control process will ever accept a command.
_FINAL_REASONS: typing.Final = frozenset(('too_large', 'not_encodable'))
# Rollout states by the final states of a move; any other move is still running.
_ENDED: typing.Final = types.MappingProxyType(
    {
        version.STATE_DONE: 'completed',
        version.STATE_TAKEN_BACK: 'rolled_back',
    },
)
_RUNNING: typing.Final = 'running'
_REASON: typing.Final = 'reason'
_MAX_PERIOD_MS: typing.Final = 24 * clock.HOUR_MS


class _Handler(web.RequestHandler):
    """Base of the request handlers for operators."""

    def initialize(
        self, control: operations.Operations, known: sites.Sites
    ) -> None:
        self._control = control
        self._known = known

    def log_exception(self, *exc_info: typing.Any) -> None:
        logs.warn('operator_failed', path=self.request.path, error=exc_info[1])

    async def _async_submit(self, command: ledger.Command) -> None:
        outcome = await self._control.async_submit(command)
        logs.write(
            'order_answered',
            order=command.tag,
            outcome=outcome.tag,
            detail=getattr(outcome, 'detail', ''),
        )
        if isinstance(outcome, replica.NotLeader):
            self._redirect()
            return
        self._reply(_find_status(outcome), _describe(outcome))

    def _check_leading(self) -> bool:
        leading = self._control.is_leading()
        if not leading:
            self._redirect()
        return leading

    def _redirect(self) -> None:
        leader = self._control.find_leader()
        if leader is None:
            self._reply(_UNAVAILABLE, {_REASON: 'no_leader'})
            return
        origin = f'http://{leader.host}:{leader.admin_port}'
        self.set_header('Location', f'{origin}{self.request.uri}')
        self._reply(_REDIRECT, {_REASON: 'not_leader'})

    def _reply(self, status: int, body: typing.Any) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body))


class ConfigHandler(_Handler):
    """Handler that replaces and returns the configuration."""

    async def put(self) -> None:
        """Submit a configuration and reply with the outcome."""
        if not self._check_leading():
            return
        try:
            command = document.read_command(
                self.request.body,
                self.request.remote_ip or '',
                self._control.read_wall(),
                self._known,
            )
        except errors.ProtocolError as error:
            logs.write('order_refused', error=error)
            self._reply(_INVALID, {_REASON: error.detail})
            return
        await self._async_submit(command)

    def get(self) -> None:
        """Reply with the latest configuration, or 404 if there is none."""
        if not self._check_leading():
            return
        stored = self._control.read_document()
        if not stored:
            self._reply(_NOT_FOUND, {_REASON: 'no_configuration'})
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(document.write_document(stored))


class RolloutsHandler(_Handler):
    """Handler that starts moves."""

    async def post(self) -> None:
        """Submit the move of a service to a version."""
        try:
            command = read_move(self.request.body, self._control.read_wall())
        except checks.PARSE_ERRORS as error:
            self._reply(_INVALID, {_REASON: repr(error)})
            return
        await self._async_submit(command)


class RolloutHandler(_Handler):
    """Handler that reports the progress of a service's move."""

    def get(self, service: str) -> None:
        """Reply with the state of the latest move, or 404 without one."""
        if not self._check_leading():
            return
        moves = self._control.list_moves(service)
        if not moves:
            self._reply(_NOT_FOUND, {_REASON: 'no_rollout'})
            return
        latest = max(moves, key=_read_ordered_at)
        self._reply(
            _OK,
            {
                'state': _ENDED.get(latest.state, _RUNNING),
                'toVersion': latest.to_version,
            },
        )


class EvacuationsHandler(_Handler):
    """Handler that lists the evacuated data centres."""

    def get(self) -> None:
        """Reply with the evacuated data centres."""
        if not self._check_leading():
            return
        rows = self._control.list_evacuations()
        self._reply(_OK, {'evacuations': [row.datacentre for row in rows]})


class EvacuationHandler(_Handler):
    """Handler that evacuates and restores a data centre."""

    async def post(self, datacentre: str) -> None:
        """Evacuate a data centre; it may be evacuated already."""
        if self._check_known(datacentre):
            await self._async_submit(
                ledger.EvacuateDatacentre(
                    datacentre,
                    self._known.list_datacentres(),
                    self.request.remote_ip or '',
                    self._control.read_wall(),
                )
            )

    async def delete(self, datacentre: str) -> None:
        """Restore a data centre; it need not be evacuated."""
        if self._is_evacuated(datacentre) or self._check_known(datacentre):
            await self._async_submit(
                ledger.RestoreDatacentre(
                    datacentre,
                    self.request.remote_ip or '',
                    self._control.read_wall(),
                )
            )

    def _is_evacuated(self, datacentre: str) -> bool:
        # The settings may no longer name it.
        rows = self._control.list_evacuations()
        return any(row.datacentre == datacentre for row in rows)

    def _check_known(self, datacentre: str) -> bool:
        is_known = self._known.has_datacentre(datacentre)
        if not is_known:
            self._reply(
                _NOT_FOUND, {_REASON: ledger_const.REASON_UNKNOWN_DATACENTRE}
            )
        return is_known


class OperatorsFrontEnd(control_process.FrontEnd):
    """HTTP server for operators and for the scraper of metrics."""

    __slots__ = ('_address', '_known', '_server')

    def __init__(
        self,
        address: tuple[str, int],
        known: sites.Sites = sites.UNKNOWN,
    ) -> None:
        super().__init__()
        self._address = address
        self._known = known
        self._server: admin.WebServer | None = None

    def listen(self, control: operations.Operations) -> None:
        """Start to accept requests."""
        arguments = {'control': control, 'known': self._known}
        self._server = admin.WebServer(
            self._address,
            [
                ('/-/config', ConfigHandler, arguments),
                ('/-/rollouts', RolloutsHandler, arguments),
                ('/-/rollouts/([^/]+)', RolloutHandler, arguments),
                ('/-/evacuations', EvacuationsHandler, arguments),
                ('/-/evacuations/([^/]+)', EvacuationHandler, arguments),
                (
                    '/metrics',
                    admin.MetricsHandler,
                    {'render': control.render_counters},
                ),
            ],
            self.capacity,
        )
        self._server.listen()

    async def async_close(self) -> None:
        """Stop the server and wait for responses in progress."""
        if self._server is not None:
            await self._server.async_close()


def read_move(body: bytes, wall_now: int) -> ledger.OrderMove:
    """Return the ledger command for a move.

    Raises:
        ValueError: or another of `checks.PARSE_ERRORS`, if the body is not
            valid.
    """
    request = documents.load(body)
    period_ms = round(float(request['periodS']) * clock.SECOND_MS)
    checks.check(
        0 < period_ms <= _MAX_PERIOD_MS,
        'periodS must be above 0 and at most a day',
    )
    return ledger.OrderMove(
        checks.check_text(request['service']),
        checks.check_text(request['toVersion']),
        period_ms,
        wall_now,
    )


def _find_status(outcome: messages.Message) -> int:
    if isinstance(outcome, replica.ProposalRefused):
        is_final = outcome.reason in _FINAL_REASONS
        return _INVALID if is_final else _UNAVAILABLE
    if isinstance(outcome, ledger.EditRefused):
        return _REFUSALS.get(outcome.reason, _INVALID)
    return _STATUSES.get(type(outcome), _UNAVAILABLE)


def _describe(outcome: messages.Message) -> dict[str, typing.Any]:
    body = {'result': outcome.tag}
    detail = getattr(outcome, 'detail', '')
    return body | {'detail': detail} if detail else body


def _read_ordered_at(move: version.Move) -> int:
    return move.ordered_at
