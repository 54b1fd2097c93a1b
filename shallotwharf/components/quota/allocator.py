"""Quotas at a control process."""

import typing

from shallotwharf.components.quota import (
    const,
    fleet,
    messages,
    node_shares,
    node_totals,
    peers,
    settings,
)
from shallotwharf.components.roster import messages as roster
from shallotwharf.components.tables import messages as tables
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

_TICK: typing.Final = 'tick'
_START: typing.Final = 'start'


class Allocator(aggregate.Aggregate):
    """Divides the limit of each tenant among the nodes that it serves.

    Every process counts the calls of the whole fleet and divides the limit
    among its own nodes by their part of the whole demand, so that no process
    decides for the others. It has no timer and sends nothing while no tenant
    with a limit is in use.
    """

    __slots__ = (
        '_local_name',
        '_settings',
        '_incarnation',
        '_usage',
        '_active',
        '_told',
        '_asked_at',
        '_peers_heard',
        '_shares',
        '_ready_at',
        '_has_learned',
        '_must_learn',
        '_started_at',
        '_learns_until',
        '_due_at',
        '_sent_at',
    )

    name = 'quota'
    handlers: typing.ClassVar = {
        tables.VersionAccepted: 'apply_version',
        roster.ControlChanged: 'change_control',
        messages.Report: 'receive_report',
        messages.Sums: 'receive_sums',
        core_messages.TimerFired: 'fire',
    }

    def __init__(
        self,
        local_name: str,
        incarnation: int,
        chosen: settings.QuotaSettings,
    ) -> None:
        """Create an allocator.

        Args:
            local_name: name of this process.
            incarnation: random number of this process.
            chosen: settings.
        """
        self._local_name = local_name
        self._settings = chosen
        self._incarnation = incarnation
        self._usage: dict[str, fleet.TenantUsage] = {}
        # Tenants with demand, or that are limited.
        self._active: set[str] = set()
        # Tenants with demand in the last sums.
        self._told: set[str] = set()
        # Time of the first sums that a majority has not answered yet.
        self._asked_at: int | None = None
        self._peers_heard = peers.PeerContacts()
        self._shares = node_shares.NodeShares(self._usage, self._peers_heard)
        self._ready_at: int | None = None
        self._has_learned = False
        # Whether nodes may have used limits before this process started.
        self._must_learn = True
        self._started_at: int | None = None
        self._learns_until = 0
        self._due_at: int | None = None
        self._sent_at = 0

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for a version with limits."""
        self._started_at = now
        return []

    def apply_version(
        self,
        message: tables.VersionAccepted,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply the limits of a version at once; usage stays."""
        previous = self._usage.copy()
        self._usage.clear()
        for row in message.accepted.tables.tenants:
            rate = row.rate_per_second
            if rate <= 0:
                continue
            known = previous.get(row.name)
            if known is None:
                known = fleet.TenantUsage(rate, row.burst, self._settings, now)
            known.change_limit(rate, row.burst)
            self._usage[row.name] = known
        self._active.intersection_update(self._usage)
        if not self._usage or self._ready_at is not None:
            return []
        self._ready_at = now + const.START_MS
        self._learns_until = now + const.LEARN_MS
        started_at = now if self._started_at is None else self._started_at
        self._must_learn = now - started_at < const.LEARN_MS
        return [
            effects.SetTimer(_START, self._ready_at),
            *self._send_to_peers((), now),
        ]

    def change_control(
        self,
        message: roster.ControlChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Exchange sums with the processes of a roster."""
        known = self._peers_heard.names
        self._peers_heard.names = tuple(
            name
            for name in message.roster.list_names()
            if name != self._local_name
        )
        if self._ready_at is None:
            return []
        is_settled = now >= self._learns_until
        joined = messages.Sums(
            self._incarnation, (), is_settled, is_answer=False
        )
        return [
            effects.Send(peer, joined)
            for peer in self._peers_heard.names
            if peer not in known
        ]

    def receive_report(
        self,
        message: messages.Report,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Count the calls of a node; send the shares that change."""
        is_new = message.is_new or not self._shares.has_node(sender)
        known = self._shares.record_report(message, sender, now)
        step: list[effects.Effect] = []
        if known.run:
            step.extend(self._count_calls(message, sender, known, now))
        if is_new:
            step.extend(self._shares.send_all(sender, self._active, now))
        elif message.wants_answer:
            step.extend(self._shares.answer(sender, message.rows, now))
        return [*step, *self._schedule(now)]

    def receive_sums(
        self,
        message: messages.Sums,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Count the calls at the nodes of a peer."""
        step: list[effects.Effect] = []
        is_known = self._peers_heard.record(sender, message.incarnation, now)
        if not is_known:
            step.append(effects.Send(sender, self._build_sums(now)))
        elif not message.is_answer:
            settled = now >= self._learns_until
            answer = messages.Sums(self._incarnation, (), settled, True)
            step.append(effects.Send(sender, answer))
        learns = message.is_settled and now < self._learns_until
        self._has_learned = self._has_learned or learns
        peer = f'{sender}/{message.incarnation}'
        for row in message.rows:
            usage = self._usage.get(row.tenant)
            if usage is not None:
                usage.add_peer(peer, row, is_known, learns, now)
                step.extend(self._update(row.tenant, now))
                if usage.state != const.STATE_FREE:
                    self._active.add(row.tenant)
        return [*step, *self._apply_contact(now), *self._schedule(now)]

    def fire(
        self,
        message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Exchange sums and update shares, or end the start."""
        if message.name == _START:
            return self._become_ready(now)
        self._due_at = None
        self._sent_at = now
        self._shares.remove_gone(now)
        step = self._send_sums(now)
        for name in sorted(self._active):
            step.extend(self._update(name, now))
        step.extend(self._send_shares(now))
        self._active = {
            tenant
            for tenant in self._active
            if not self._usage[tenant].is_over(now)
        }
        return [*step, *self._schedule(now)]

    def _count_calls(
        self,
        message: messages.Report,
        node: str,
        totals: node_totals.NodeTotals,
        now: int,
    ) -> list[effects.Effect]:
        """Count the calls since the last report of a node.

        Those from before the start of this process are in the sums that it
        took over from its peers.
        """
        step: list[effects.Effect] = []
        is_counted = self._has_learned and now < self._learns_until
        for row in message.rows:
            admitted, requested, is_first = totals.update(row)
            usage = self._usage.get(row.tenant)
            if usage is None:
                continue
            if is_first and is_counted:
                admitted = 0
            usage.add_node(node, admitted, requested, now)
            self._active.add(row.tenant)
            step.extend(self._update(row.tenant, now))
            if row.state != usage.state and self._shares.has_contact(now):
                step.append(self._shares.repeat(row.tenant, node, now))
        return step

    def _update(self, tenant: str, now: int) -> list[effects.Effect]:
        """Set the state of a tenant; tell all nodes and log a change."""
        usage = self._usage[tenant]
        before = usage.state
        since = usage.state_at
        late = self._peers_heard.count_late(now)
        processes = len(self._peers_heard.names) + 1
        usage.reserve_calls(processes, late, self._shares.count_nodes(), now)
        if not usage.update_state(now):
            return []
        step: list[effects.Effect] = []
        if const.STATE_LIMITED in {before, usage.state}:
            step.extend(usage.report_change(tenant, now - since, now))
        return [*step, *self._shares.send_changes((tenant,), now)]

    def _send_shares(self, now: int) -> list[effects.Effect]:
        limited = tuple(
            name
            for name in sorted(self._active)
            if self._usage[name].state == const.STATE_LIMITED
        )
        return self._shares.send_changes(limited, now) if limited else []

    def _apply_contact(self, now: int) -> list[effects.Effect]:
        """Answer nodes that waited, if a majority of peers is heard."""
        step: list[effects.Effect] = []
        # After a restart of all, nodes must first report their usage.
        is_heard = self._peers_heard.has_majority(now)
        if is_heard and (self._has_learned or not self._must_learn):
            step.extend(self._become_ready(now))
        asked_at = self._asked_at
        if asked_at is None:
            return step
        if self._peers_heard.has_answers(asked_at):
            self._asked_at = None
            for usage in self._usage.values():
                usage.unshared = 0
            step.extend(self._shares.answer_waiting(self._active, now))
        return step

    def _become_ready(self, now: int) -> list[effects.Effect]:
        if self._shares.is_ready or self._ready_at is None:
            return []
        self._shares.is_ready = True
        return self._shares.answer_waiting(self._active, now)

    def _build_sums(self, now: int) -> messages.Sums:
        rows = tuple(
            self._usage[name].build_sum(name, now)
            for name in sorted(self._active)
        )
        is_settled = now >= self._learns_until
        return messages.Sums(
            self._incarnation, rows, is_settled, is_answer=True
        )

    def _send_sums(self, now: int) -> list[effects.Effect]:
        """Send the sums of tenants in use, and once more after that."""
        in_use = {
            tenant
            for tenant in self._active
            if not self._usage[tenant].is_idle(now)
        }
        told = sorted((in_use | self._told) & self._usage.keys())
        self._told = in_use
        if not told:
            return []
        self._peers_heard.record_question(now)
        if self._asked_at is None:
            self._asked_at = now
        return self._send_to_peers(
            tuple(self._usage[name].build_sum(name, now) for name in told),
            now,
        )

    def _send_to_peers(
        self, rows: tuple[messages.Sum, ...], now: int
    ) -> list[effects.Effect]:
        is_settled = now >= self._learns_until
        sums = messages.Sums(
            self._incarnation, rows, is_settled, is_answer=False
        )
        return [effects.Send(peer, sums) for peer in self._peers_heard.names]

    def _schedule(self, now: int) -> list[effects.Effect]:
        """Set the timer while a tenant is in use."""
        if not self._active:
            return []
        state = max(self._usage[name].state for name in self._active)
        interval_ms = const.INTERVALS_MS[state]
        if any(self._usage[name].is_unshared(now) for name in self._active):
            interval_ms = const.ANSWER_MS
        due_at = max(self._sent_at + interval_ms, now)
        if self._due_at is not None and self._due_at <= due_at:
            return []
        self._due_at = due_at
        return [effects.SetTimer(_TICK, due_at)]
