"""HTTP API of a node for operators."""

import typing

from shallotwharf.adapters import admin
from shallotwharf.components.call import explain, router
from shallotwharf.components.delivery import subscriber
from shallotwharf.components.upstream import gate
from shallotwharf.core import aggregate, records
from shallotwharf.roles import process
from shallotwharf.roles.settings import model

_OK: typing.Final = 200
_INVALID: typing.Final = 400
_NOT_FOUND: typing.Final = 404


class NodeAggregates:
    """The aggregates of a node; `others` are reached only by messages."""

    __slots__ = ('router', 'gate', 'subscriber', 'others')

    def __init__(
        self,
        node_router: router.CallRouter,
        node_gate: gate.Gate,
        node_subscriber: subscriber.Subscriber,
        others: tuple[aggregate.Aggregate, ...],
    ) -> None:
        self.router = node_router
        self.gate = node_gate
        self.subscriber = node_subscriber
        self.others = others

    def list_all(self) -> tuple[aggregate.Aggregate, ...]:
        """Return all, in start order: consumers of events before sources."""
        return (self.router, self.subscriber, *self.others, self.gate)


class NodeApi:
    """Request handlers of the admin server by method and path."""

    __slots__ = ('table', '_settings', '_runtime', '_aggregates')

    def __init__(
        self,
        settings: model.NodeSettings,
        runtime: process.Runtime,
        aggregates: NodeAggregates,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._aggregates = aggregates
        self.table: admin.AdminTable = {
            ('GET', '/health'): self.async_read_health,
            ('GET', '/metrics'): self.async_read_metrics,
            ('GET', '/v1/explain'): self.async_explain,
        }

    async def async_read_health(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return the name of the node and the version in force on it."""
        active = self._aggregates.subscriber.active
        return admin.AdminReply(
            _OK,
            {
                'name': self._settings.name,
                'datacentre': self._settings.datacentre,
                'number': active.number,
                'digest': active.compute_digest().hex(),
            },
        )

    async def async_read_metrics(
        self,
        _request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return all counters as text."""
        return admin.AdminReply(_OK, self._runtime.counters.render())

    async def async_explain(
        self,
        request: admin.AdminRequest,
    ) -> admin.AdminReply:
        """Return what would happen to a request now, without sending it."""
        query = request.query
        try:
            deadline_ms = _parse_deadline(query.get('deadline_ms', ''))
        except ValueError:
            return admin.AdminReply(_INVALID, {'reason': 'deadline_invalid'})
        question = explain.Question(
            query.get('method', 'GET'),
            query.get('path', '/'),
            query.get('host', '').lower(),
            query.get('tenant', ''),
            deadline_ms,
        )
        found = self._aggregates.router.explain(
            question, self._runtime.clock.read()
        )
        if found is None:
            return admin.AdminReply(_NOT_FOUND, {'reason': 'unknown_tenant'})
        return admin.AdminReply(_OK, _describe(found))


def _parse_deadline(text: str) -> int | None:
    if not text:
        return None
    parsed = int(text)
    if parsed < 0:
        raise ValueError(f'{parsed} is below 0')
    return parsed


def _describe(part: typing.Any) -> typing.Any:
    """Return a record as a document."""
    if isinstance(part, records.Record):
        names = records.list_fields(type(part))
        return {name: _describe(getattr(part, name)) for name in names}
    if isinstance(part, tuple):
        return [_describe(row) for row in part]
    return part
