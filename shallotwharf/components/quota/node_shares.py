"""Shares of limits that a control process grants to its nodes."""

import typing

from shallotwharf.components.quota import (
    const,
    fleet,
    messages,
    node_totals,
    peers,
)
from shallotwharf.core import effects

# A node without reports for this time is served by another process or gone.
_NODE_GONE_MS: typing.Final = 60_000


class NodeShares:
    """The nodes of a control process and the shares that they are sent.

    Attributes:
        is_ready: whether the process knows the usage of the fleet.
    """

    __slots__ = ('is_ready', '_usage', '_contacts', '_nodes', '_waiting')

    def __init__(
        self,
        usage: dict[str, fleet.TenantUsage],
        contacts: peers.PeerContacts,
    ) -> None:
        """Create shares without nodes.

        Args:
            usage: tenants with a limit, which the allocator keeps up to date.
            contacts: contact with the peers, which the allocator records.
        """
        self.is_ready = False
        self._usage = usage
        self._contacts = contacts
        self._nodes: dict[str, node_totals.NodeTotals] = {}
        # Nodes whose shares are withheld.
        self._waiting: set[str] = set()

    def has_node(self, node: str) -> bool:
        """Return whether a node has reported."""
        return node in self._nodes

    def count_nodes(self) -> int:
        """Return the number of nodes that have reported."""
        return len(self._nodes)

    def record_report(
        self, message: messages.Report, node: str, now: int
    ) -> node_totals.NodeTotals:
        """Record that a node was heard; return its totals before."""
        known = self._nodes.get(node)
        if known is None or known.run != message.run:
            run = message.run if message.is_new else 0
            known = node_totals.NodeTotals(run)
            self._nodes[node] = known
        known.heard_at = now
        return known

    def answer(
        self, node: str, rows: tuple[messages.Usage, ...], now: int
    ) -> list[effects.Effect]:
        """Answer a node now, or once a majority of peers is heard."""
        if self._may_answer(rows, now):
            return [effects.Send(node, messages.Grant(()))]
        self._waiting.add(node)
        return []

    def send_changes(
        self, tenants: tuple[str, ...], now: int
    ) -> list[effects.Effect]:
        """Send the shares that changed to the nodes concerned."""
        if not self.has_contact(now):
            return []
        terms = {name: self._usage[name].compute_terms(now) for name in tenants}
        step: list[effects.Effect] = []
        for node in self._nodes:
            changed = []
            for tenant in tenants:
                usage = self._usage[tenant]
                share = usage.build_share(tenant, node, terms[tenant], now)
                if _differs(usage.sent.get(node), share):
                    usage.sent[node] = share
                    changed.append(share)
            if changed:
                step.append(effects.Send(node, messages.Grant(tuple(changed))))
        return step

    def has_contact(self, now: int) -> bool:
        """Return whether it knows enough to tell nodes what they may admit.

        One that is cut off sends nothing, so that its nodes admit no more
        than before.
        """
        return self.is_ready and self._contacts.has_majority(now)

    def repeat(self, tenant: str, node: str, now: int) -> effects.Effect:
        """Send a share to a node that does not know the state."""
        usage = self._usage[tenant]
        terms = usage.compute_terms(now)
        share = usage.build_share(tenant, node, terms, now)
        usage.sent[node] = share
        return effects.Send(node, messages.Grant((share,)))

    def answer_waiting(
        self, active: set[str], now: int
    ) -> list[effects.Effect]:
        """Send all shares to the nodes that wait for an answer."""
        waiting = self._waiting & self._nodes.keys()
        self._waiting = set()
        step: list[effects.Effect] = []
        for node in sorted(waiting):
            step.extend(self.send_all(node, active, now))
        return step

    def send_all(
        self, node: str, active: set[str], now: int
    ) -> list[effects.Effect]:
        """Send all shares of a node, once there is contact with peers."""
        if not self.has_contact(now):
            self._waiting.add(node)
            return []
        shares = []
        for tenant in sorted(active):
            usage = self._usage[tenant]
            if usage.state != const.STATE_FREE:
                terms = usage.compute_terms(now)
                share = usage.build_share(tenant, node, terms, now)
                usage.sent[node] = share
                shares.append(share)
        run = self._nodes[node].run
        grant = messages.Grant(tuple(shares), is_whole=True, run=run)
        return [effects.Send(node, grant)]

    def remove_gone(self, now: int) -> None:
        """Remove nodes that have not reported for `_NODE_GONE_MS`."""
        gone = [
            node
            for node, known in self._nodes.items()
            if now - known.heard_at > _NODE_GONE_MS
        ]
        for node in gone:
            self._nodes.pop(node)
            for usage in self._usage.values():
                usage.remove_node(node)

    def _may_answer(self, rows: tuple[messages.Usage, ...], now: int) -> bool:
        """Return whether nodes may admit more before the peers are heard."""
        known = [
            self._usage[row.tenant] for row in rows if row.tenant in self._usage
        ]
        return self.has_contact(now) and all(
            usage.unshared <= usage.count_unshared_limit(now) for usage in known
        )


def _differs(sent: messages.Share | None, share: messages.Share) -> bool:
    """Return whether a share differs enough from the one sent."""
    if sent is None:
        return share.state != const.STATE_FREE
    if sent.state != share.state:
        return True
    return _is_far(sent.rate, share.rate) or _is_far(
        sent.fraction, share.fraction
    )


def _is_far(before: float, after: float) -> bool:
    return abs(after - before) > const.CHANGE_PART * max(before, after)
