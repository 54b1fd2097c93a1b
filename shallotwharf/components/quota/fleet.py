"""Usage and demand of one tenant over the whole fleet."""

import typing

from shallotwharf.components.quota import (
    const,
    demand,
    messages,
    settings,
    window,
)
from shallotwharf.core import clock, effects

_NO_DEMAND: typing.Final = 0.01


class TenantUsage:
    """Usage, demand and state of one tenant at a control process.

    Its usage is the number of calls in a window over all nodes. It may go
    beyond the limit, since nodes report what they already admitted; then less
    is granted until the calls in excess have left the window.

    Attributes:
        rate, burst: limit of the tenant.
        total: calls admitted at the nodes of this process.
        unshared: calls of these since the peers were last heard.
        state: one of the `const.STATE_` numbers.
        state_at: time of the last change of the state.
        sent: share as last sent, by node.
    """

    __slots__ = (
        'rate',
        'burst',
        'total',
        'unshared',
        'state',
        'state_at',
        'sent',
        '_settings',
        '_window',
        '_admitted',
        '_local',
        '_nodes',
        '_peers',
        '_calm_at',
        '_reserved',
    )

    def __init__(
        self,
        rate: float,
        burst: float,
        chosen: settings.QuotaSettings,
        now: int,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.total = 0
        self.unshared = 0
        self.state: int = const.STATE_FREE
        self.state_at = now
        self.sent: dict[str, messages.Share] = {}
        self._settings = chosen
        self._window = window.UsageWindow(chosen.window_ms)
        self._admitted = demand.Flow()
        self._local = demand.Flow()
        self._nodes: dict[str, demand.Flow] = {}
        self._peers: dict[str, demand.PeerUsage] = {}
        self._calm_at: int | None = None
        # Calls that nodes of peers out of contact may have admitted.
        self._reserved: float = 0

    def change_limit(self, rate: float, burst: float) -> None:
        """Set another limit; the window of usage stays."""
        self.rate = rate
        self.burst = burst

    def add_node(
        self, node: str, admitted: int, requested: int, now: int
    ) -> None:
        """Add calls of a node of this process."""
        self.total += admitted
        self.unshared += admitted
        flow = self._nodes.get(node)
        if flow is None:
            flow = demand.Flow()
            self._nodes[node] = flow
        flow.add(requested, now)
        self._local.add(requested, now)
        self._admitted.add(admitted, now)
        self._window.add(admitted, now)

    def remove_node(self, node: str) -> None:
        """Remove a node that is served by another process."""
        self._nodes.pop(node, None)
        self.sent.pop(node, None)

    def add_peer(
        self,
        peer: str,
        row: messages.Sum,
        is_known: bool,
        learns: bool,
        now: int,
    ) -> None:
        """Add the sum of another control process.

        Args:
            peer: incarnation of the process.
            row: the sum.
            is_known: whether an earlier message of it was received; otherwise
                its count starts with this sum.
            learns: whether this process has just started and takes over what
                its peers know.
            now: clock milliseconds.
        """
        known = self._peers.get(peer)
        if known is None:
            known = demand.PeerUsage(0 if is_known else row.admitted)
            self._peers[peer] = known
        added = known.update(row.admitted, row.per_second, row.demand, now)
        self._window.add(added, now)
        if learns:
            self._window.add(max(row.used - self._window.used, 0), now)

    def reserve_calls(
        self, processes: int, late: int, nodes: int, now: int
    ) -> None:
        """Reserve what nodes out of contact may admit in advance.

        Assumes that peers out of contact have as many nodes, and as much
        demand, as the other control processes.

        Args:
            processes: control processes.
            late: those of them that are out of contact.
            nodes: nodes of this process.
            now: clock milliseconds.
        """
        if not late:
            self._reserved = 0
            return
        fleet_nodes = nodes * processes
        ahead = nodes * self._settings.compute_advance(
            self.rate, self.burst, fleet_nodes
        )
        wanted = self.read_demand(now) / max(processes - late, 1)
        wanted *= const.PEER_AHEAD_MS / clock.SECOND_MS
        self._reserved = late * min(ahead, wanted)

    def update_state(self, now: int) -> bool:
        """Set the state; return whether it changed."""
        for peer in self._peers.values():
            assumed = peer.assume(now)
            if assumed:
                self._window.add(assumed, now)
        self._window.expire(now)
        wanted = self._find_state(now)
        if wanted >= self.state:
            self._calm_at = None
            return self._change_state(wanted, now)
        if self._calm_at is None:
            self._calm_at = now
        if now - self._calm_at < const.RESTORE_MS:
            return False
        return self._change_state(wanted, now)

    def read_demand(self, now: int) -> float:
        """Return the calls requested a second at all nodes."""
        return self._local.read(now) + sum(
            peer.demand for peer in self._peers.values()
        )

    def is_idle(self, now: int) -> bool:
        """Return whether there is nothing to tell the peers."""
        return self._local.read(now) < _NO_DEMAND

    def is_over(self, now: int) -> bool:
        """Return whether the tenant is neither in use nor hot or limited."""
        return self.state == const.STATE_FREE and self.is_idle(now)

    def build_sum(self, tenant: str, now: int) -> messages.Sum:
        """Return the usage at the nodes of this process."""
        is_idle = self.is_idle(now)
        return messages.Sum(
            tenant,
            self.total,
            0 if is_idle else self._admitted.read(now),
            0 if is_idle else self._local.read(now),
            round(self._window.used),
        )

    def count_unshared_limit(self, now: int) -> float:
        """Return the calls to admit before a majority of peers is heard."""
        excess = self._settings.compute_excess(self.rate, self.burst)
        usual = min(self._admitted.read(now), self.rate)
        seconds = const.UNSHARED_MS / clock.SECOND_MS
        return usual * seconds + excess * const.UNSHARED_PART

    def is_unshared(self, now: int) -> bool:
        """Return whether over half of the calls of that limit are admitted."""
        return self.unshared * 2 > self.count_unshared_limit(now)

    def compute_rate(self, now: int) -> float:
        """Return the calls a second that all nodes may admit now."""
        limit = self._settings.compute_limit(self.rate, self.burst)
        leaving = self._window.count_leaving(const.LEAVING_MS, now)
        free = limit - self._reserved - self._window.used
        wanted = free / const.REPAY_MS + leaving / const.LEAVING_MS
        highest = limit * clock.SECOND_MS / self._settings.window_ms
        return min(max(wanted * clock.SECOND_MS, 0), highest)

    def compute_terms(self, now: int) -> tuple[float, int]:
        """Return the part of calls to admit, and the time until credit."""
        total_rate = self.compute_rate(now)
        if not total_rate:
            limit = self._settings.compute_limit(self.rate, self.burst)
            return 0, self._window.compute_wait_ms(limit, now)
        return total_rate / max(self.read_demand(now), total_rate), 0

    def build_share(
        self, tenant: str, node: str, terms: tuple[float, int], now: int
    ) -> messages.Share:
        """Return the share of a node, in proportion to its demand."""
        if self.state != const.STATE_LIMITED:
            return messages.Share(tenant, self.state)
        fraction, wait_ms = terms
        flow = self._nodes.get(node)
        rate: float = 0
        if flow is not None and fraction < 1:
            rate = fraction * flow.read(now)
        return messages.Share(
            tenant, self.state, round(rate, 2), round(fraction, 4), wait_ms
        )

    def report_change(
        self, tenant: str, lasted_ms: int, now: int
    ) -> list[effects.Effect]:
        """Return the log line and count of a limit that began or ended.

        Args:
            tenant: name of the tenant.
            lasted_ms: how long the previous state lasted.
            now: clock milliseconds.
        """
        is_limited = self.state == const.STATE_LIMITED
        event = const.EVENT_LIMITED if is_limited else const.EVENT_RESTORED
        counter = (
            const.COUNTER_LIMITED if is_limited else const.COUNTER_RESTORED
        )
        fields: dict[str, object] = {
            'tenant': tenant,
            'demand': round(self.read_demand(now), 1),
            'rate': self.rate,
        }
        if not is_limited:
            fields['limited_ms'] = lasted_ms
        return [effects.Count(counter), effects.Report(event, fields)]

    def _find_state(self, now: int) -> int:
        limit = self._settings.compute_limit(self.rate, self.burst)
        wanted = self.read_demand(now)
        coming = wanted * const.REACTION_MS / clock.SECOND_MS
        allowed = limit + self._settings.slack * const.SLACK_PART
        allowed -= self._reserved
        used = self._window.used
        if wanted > self.rate and used + coming >= allowed:
            return const.STATE_LIMITED
        if self.state == const.STATE_LIMITED:
            steady = limit * clock.SECOND_MS / self._settings.window_ms
            if wanted > steady or used + coming > limit:
                return const.STATE_LIMITED
        if used >= limit * const.HOT_PART or wanted > 2 * self.rate:
            return const.STATE_HOT
        return const.STATE_FREE

    def _change_state(self, wanted: int, now: int) -> bool:
        if wanted == self.state:
            return False
        self.state = wanted
        self.state_at = now
        self._calm_at = None
        return True
