"""HTTP API of a node for operators."""

import typing

from shallotwharf.adapters import admin
from shallotwharf.components.call import explain, router
from shallotwharf.components.delivery import subscriber
from shallotwharf.components.upstream import gate
from shallotwharf.core import aggregate
from shallotwharf.roles import process
from shallotwharf.roles.settings import model

_OK: typing.Final = 200
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
        """Return the route and the candidates that a request would get."""
        found = self._aggregates.router.explain(
            request.query.get('method', 'GET'),
            request.query.get('path', '/'),
            self._runtime.clock.read(),
        )
        if not found.route:
            return admin.AdminReply(_NOT_FOUND, {'reason': 'no_route'})
        return admin.AdminReply(_OK, _describe(found))


def _describe(found: explain.Explanation) -> dict[str, typing.Any]:
    return {
        'route': found.route,
        'pool': found.pool,
        'candidates': [
            {
                'node': candidate.node,
                'version': candidate.version,
                'datacentre': candidate.datacentre,
                'latency_ms': candidate.latency_ms,
                'spare': candidate.spare,
                'reason': candidate.reason,
            }
            for candidate in found.candidates
        ],
    }
