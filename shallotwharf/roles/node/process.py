"""A node: calls, gate, membership, delivery, moves and once-only records."""

import typing

from shallotwharf.adapters import admin, inbound, services, upstreams
from shallotwharf.components.call import messages as call_messages
from shallotwharf.components.delivery import messages as delivery
from shallotwharf.components.delivery import relay, subscriber
from shallotwharf.components.membership import membership
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.once import coordinator, holder
from shallotwharf.components.upstream import messages as upstream_messages
from shallotwharf.core import clock, logs
from shallotwharf.roles import callpath, process
from shallotwharf.roles.node import addresses, api, client_limits, wiring
from shallotwharf.roles.settings import model

# Maximum time that a shutdown waits for calls in flight.
DRAIN_LIMIT_SECONDS: typing.Final = 30.0


class NodeProcess(process.Process):
    """A node with a fixed list of control processes."""

    __slots__ = (
        '_settings',
        '_runtime',
        '_aggregates',
        '_services',
        '_server',
        '_admin',
    )

    def __init__(self, settings: model.NodeSettings) -> None:
        self._settings = settings
        self._runtime = process.Runtime(
            settings.name,
            settings.location,
        )
        self._aggregates = _build_aggregates(settings, self._runtime)
        self._services = _build_services(self._runtime, self._aggregates)
        if settings.request_memory_bytes:
            memory = self._runtime.capacity.memory
            memory.limit_bytes = settings.request_memory_bytes
        self._server = inbound.CallServer(self._services)
        if settings.max_connections:
            self._server.limits.max_connections = settings.max_connections
        self._admin = admin.AdminServer(
            settings.host,
            settings.admin_port,
            api.NodeApi(settings, self._runtime, self._aggregates).table,
            upstreams.build_rules(
                callpath.DispatchedRegistry(
                    self._runtime.dispatcher, self._aggregates.gate
                ),
            ),
            self._runtime.capacity,
        )

    async def async_start(self) -> None:
        """Start the aggregates, which join the members, then accept calls."""
        set_address = self._runtime.links.set_address
        for peer in self._settings.control:
            set_address(peer.name, peer.host, peer.link_port)
        for seed in self._settings.seeds:
            set_address(seed.name, seed.host, seed.link_port)
        self._admin.listen()
        await self._runtime.async_start(
            *self._aggregates.list_all(),
            client_limits.ClientLimitsListener(self._server.limits),
        )
        await self._server.async_listen(
            self._settings.host,
            self._settings.call_port,
        )
        logs.write(
            'node_started',
            name=self._settings.name,
            calls=f'{self._settings.host}:{self._settings.call_port}',
        )

    def is_ready(self) -> bool:
        """Return whether calls are served."""
        return self._aggregates.router.is_ready(self._runtime.clock.read())

    async def async_stop(self) -> None:
        """Drain the upstream, finish running calls, then leave the members."""
        local_name = self._runtime.name
        dispatcher = self._runtime.dispatcher
        now = self._runtime.clock.read()
        ends_at = now + int(DRAIN_LIMIT_SECONDS * clock.SECOND_MS)
        dispatcher.deliver(
            call_messages.StopBegan(now, ends_at, ends_at), local_name
        )
        dispatcher.deliver(upstream_messages.DrainRequested(), local_name)
        finished = await self._server.async_close(DRAIN_LIMIT_SECONDS)
        logs.write(
            'calls_finished',
            all=finished,
            running=self._services.active,
        )
        dispatcher.deliver(member_messages.Leave(), local_name)
        await self._admin.async_close()
        await self._runtime.links.async_close()


def _build_aggregates(
    settings: model.NodeSettings,
    runtime: process.Runtime,
) -> api.NodeAggregates:
    started_at = runtime.clock.read_wall()
    member = member_messages.Member(
        settings.name,
        settings.datacentre,
        settings.region,
        settings.host,
        settings.link_port,
        settings.call_port,
    )
    control = tuple(
        delivery.ControlProcess(peer.name, peer.datacentre, peer.region)
        for peer in settings.control
    )
    names = tuple(peer.name for peer in settings.control)
    path = wiring.CallPath(member, names, runtime, started_at)
    return api.NodeAggregates(
        path.router,
        path.gate,
        subscriber.Subscriber(member, control, runtime.random),
        (
            addresses.AddressBook(runtime.links),
            path.watcher,
            path.poison_list,
            holder.Holder(
                settings.name,
                started_at,
                started_at - runtime.clock.read(),
                names,
            ),
            coordinator.Coordinator(runtime.random),
            relay.Relay(member, control, runtime.random),
            membership.Membership(
                member,
                started_at,
                names + tuple(seed.name for seed in settings.seeds),
                runtime.random,
                names,
            ),
        ),
    )


def _build_services(
    runtime: process.Runtime,
    aggregates: api.NodeAggregates,
) -> services.Services:
    return callpath.build_services(
        runtime.dispatcher,
        aggregates.router,
        aggregates.gate,
        runtime.requests,
        runtime.clock,
        runtime.counters,
        shared_capacity=runtime.capacity,
    )


def run(settings: model.NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT."""
    process.run(lambda: NodeProcess(settings), settings.log_level)
