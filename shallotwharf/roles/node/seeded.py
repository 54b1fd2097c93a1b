"""A node that finds control through seeds and subscribes to it directly."""

import abc
import asyncio
import typing

from shallotwharf.adapters import (
    capacity,
    header_format,
    health_probe,
    inbound,
    outbound,
    services,
)
from shallotwharf.components.call import messages as call_messages
from shallotwharf.components.delivery import direct
from shallotwharf.components.membership import membership
from shallotwharf.components.membership import messages as member_messages
from shallotwharf.components.roster import finder
from shallotwharf.components.upstream import messages as upstream_messages
from shallotwharf.components.upstream import settings as gate_settings
from shallotwharf.core import call_interfaces, clock, logs
from shallotwharf.roles import addresses as control_addresses
from shallotwharf.roles import callpath, process
from shallotwharf.roles import seeds as seed_settings
from shallotwharf.roles.node import (
    addresses,
    client_limits,
    prober,
    tenancy,
    wiring,
)
from shallotwharf.roles.settings import seeded

# Operators allow bodies of up to 64 MiB.
MAX_BODY_BYTES: typing.Final = 67_108_864
# Upstreams and nodes keep idle connections open for several seconds. Reusing
# them matters: accepting a new one briefly takes up a slot of the upstream.
IDLE_LIMIT_SECONDS: typing.Final = 8.0
# Within this time other nodes are notified that the upstream of this node is
# unavailable, and most running calls end.
_DRAIN_LEAD_MS: typing.Final = 700
# Time that the last responses of a shutdown have to be written.
_RESPONSE_MARGIN_MS: typing.Final = 100


class NodeStatus(abc.ABC):
    """Status of a node, as a front end reads it."""

    __slots__ = ()

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether callers should use the node.

        False from the start of a shutdown, although calls are still served.
        """

    @abc.abstractmethod
    def render_counters(self) -> str:
        """Return all counters as text."""


class FrontEnd(abc.ABC):
    """Interface to the platform and to the upstream beside the node.

    Attributes:
        capacity: what the process holds for its clients, set before `listen`;
            None if the front end is the only one.
    """

    __slots__ = ('capacity',)

    def __init__(self) -> None:
        self.capacity: capacity.Capacity | None = None

    @abc.abstractmethod
    def listen(
        self,
        status: NodeStatus,
        registry: call_interfaces.UpstreamRegistry,
    ) -> None:
        """Accept requests.

        Raises:
            LinkError: if an address cannot be bound.
        """

    @abc.abstractmethod
    async def async_close(self) -> None:
        """Stop accepting requests."""


class SeededNodeProcess(process.Process, NodeStatus):
    """A node that is configured with seeds only."""

    __slots__ = (
        '_settings',
        '_front_end',
        '_runtime',
        '_path',
        '_subscriber',
        '_others',
        '_services',
        '_servers',
        '_is_stopping',
    )

    def __init__(
        self,
        settings: seeded.SeededNode,
        front_end: FrontEnd,
        chosen_format: header_format.HeaderFormat,
        seed_source: seed_settings.SeedSource,
    ) -> None:
        self._settings = settings
        self._front_end = front_end
        self._is_stopping = False
        self._runtime = process.Runtime(
            settings.name,
            settings.location,
        )
        self._build_aggregates(
            gate_settings.GateSettings(
                has_notices=chosen_format.has_notices,
                cold_overage=settings.cold_overage,
                cold_slack=settings.cold_slack,
            ),
            seed_source,
            self._build_prober(chosen_format),
        )
        self._services = self._build_services(chosen_format)
        self._servers = (
            inbound.CallServer(
                self._services,
                MAX_BODY_BYTES,
                is_public=True,
            ),
            inbound.CallServer(self._services, MAX_BODY_BYTES),
        )

    async def async_start(self) -> None:
        """Start the search for control and members, then accept calls."""
        settings = self._settings
        control_addresses.set_seeds(self._runtime.links, settings.seeds)
        dispatcher = self._runtime.dispatcher
        self._front_end.capacity = self._runtime.capacity
        self._front_end.listen(
            self, callpath.DispatchedRegistry(dispatcher, self._path.gate)
        )
        await self._runtime.async_start(
            self._path.router,
            self._subscriber,
            *self._others,
            self._path.gate,
            client_limits.ClientLimitsListener(
                *(server.limits for server in self._servers)
            ),
        )
        host = settings.location.host
        public, private = self._servers
        await public.async_listen(host, settings.caller_port)
        await private.async_listen(host, settings.call_port)
        logs.write('node_started', name=settings.name)

    def is_ready(self) -> bool:
        """Return whether a version is in force and no shutdown has begun."""
        now = self._runtime.clock.read()
        return not self._is_stopping and self._path.router.is_ready(now)

    def render_counters(self) -> str:
        """Return all counters as text."""
        return self._runtime.counters.render()

    async def async_stop(self) -> None:
        """Shut down while callers beside the node are still served.

        Callers need some time to notice that the node is not ready. Those who
        stay, because most other nodes are down, are rejected at once then: the
        sooner the node is back with its upstream, the more of their calls are
        served. Until shortly before callers leave, other nodes may still use
        the upstream: it may keep running, and its slots would be missed.
        """
        self._is_stopping = True
        local_name = self._runtime.name
        dispatcher = self._runtime.dispatcher
        for server in self._servers:
            server.closing = True
        now = self._runtime.clock.read()
        ends_at = now + self._settings.stop_ms
        # With a short grace period, half of it is left for calls to run.
        leaves_at = now + min(
            self._settings.leave_ms, self._settings.stop_ms // 2
        )
        dispatcher.deliver(
            call_messages.StopBegan(
                leaves_at, leaves_at, ends_at - _RESPONSE_MARGIN_MS
            ),
            local_name,
        )
        await asyncio.sleep(
            self._compute_remaining_seconds(leaves_at - _DRAIN_LEAD_MS)
        )
        dispatcher.deliver(upstream_messages.DrainRequested(), local_name)
        await asyncio.sleep(self._compute_remaining_seconds(leaves_at))
        public, private = self._servers
        await public.async_wait_until_quiet(
            self._compute_remaining_seconds(ends_at)
        )
        finished = [
            await closed.async_close(self._compute_remaining_seconds(ends_at))
            for closed in (public, private)
        ]
        logs.write(
            'calls_finished',
            all=all(finished),
            running=self._services.active,
        )
        dispatcher.deliver(member_messages.Leave(), local_name)
        await self._front_end.async_close()
        await self._runtime.links.async_close()

    def _compute_remaining_seconds(self, ends_at: int) -> float:
        left_ms = max(ends_at - self._runtime.clock.read(), 0)
        return left_ms / clock.SECOND_MS

    def _build_aggregates(
        self,
        limits: gate_settings.GateSettings,
        seed_source: seed_settings.SeedSource,
        health_prober: prober.Prober,
    ) -> None:
        runtime = self._runtime
        settings = self._settings
        location = settings.location
        started_at = runtime.clock.read_wall()
        member = member_messages.Member(
            settings.name,
            location.datacentre,
            location.region,
            location.host,
            location.link_port,
            settings.call_port,
        )
        seeds = tuple(
            seeded.build_process_name(seed.host) for seed in settings.seeds
        )
        tenants = tenancy.Tenancy(
            runtime, settings.quotas, settings.revocation_ms
        )
        self._path = wiring.CallPath(
            member,
            (),
            runtime,
            started_at,
            settings.retries,
            limits,
            tenants,
        )
        self._subscriber = direct.DirectSubscriber(member, runtime.random)
        self._others = (
            addresses.AddressBook(runtime.links),
            control_addresses.ControlAddressBook(runtime.links),
            self._path.watcher,
            self._path.poison_list,
            *tenants.aggregates,
            membership.Membership(
                member,
                started_at,
                seeds,
                runtime.random,
                seeds,
            ),
            finder.Finder(seeds, runtime.random),
            seed_settings.SeedWatcher(seed_source, settings.seeds),
            health_prober,
        )

    def _build_prober(
        self, chosen_format: header_format.HeaderFormat
    ) -> prober.Prober:
        sender = outbound.Outbound(
            self._runtime.counters, idle_limit_seconds=IDLE_LIMIT_SECONDS
        )
        return prober.Prober(
            health_probe.HealthProbe(sender, chosen_format),
            self._runtime.dispatcher,
        )

    def _build_services(
        self,
        chosen_format: header_format.HeaderFormat,
    ) -> services.Services:
        runtime = self._runtime
        return callpath.build_services(
            runtime.dispatcher,
            self._path.router,
            self._path.gate,
            runtime.requests,
            runtime.clock,
            runtime.counters,
            chosen_format,
            outbound.Outbound(
                runtime.counters,
                idle_limit_seconds=IDLE_LIMIT_SECONDS,
            ),
            runtime.capacity,
        )
