"""Quotas at a node."""

import copy
import random as random_module
import typing

from shallotwharf.components.delivery import messages as delivery
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.quota import (
    allowance,
    const,
    messages,
    settings,
)
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.tables import tenant as tenant_module
from shallotwharf.core import access_interfaces, direct, effects
from shallotwharf.core import messages as core_messages

_REPORT: typing.Final = 'report'
_RUN_BITS: typing.Final = 32
_MEAN_PHASE: typing.Final = 0.5
_LONG_AGO: typing.Final = -1_000_000
_REASONS: typing.Final = (
    const.REFUSED_NODE,
    const.REFUSED_NODE,
    const.REFUSED_LIMITED,
)


class Limiter(direct.DirectAggregate, access_interfaces.Quotas):
    """Admits calls within the shares that control grants.

    It has neither timers nor messages while no tenant has a limit.
    """

    __slots__ = (
        '_settings',
        '_random',
        '_allowances',
        '_changed',
        '_nodes',
        '_control',
        '_source_run',
        '_run',
        '_is_joined',
        '_has_grant',
        '_heard_at',
        '_due_at',
        '_reported_at',
        '_wants_answer',
        '_asked_at',
    )

    name = 'quota'
    handlers: typing.ClassVar = {
        tables.VersionApplied: 'apply_version',
        membership.AnnouncementsChanged: 'count_nodes',
        delivery.SourceChanged: 'change_source',
        delivery.SourceHeard: 'record_contact',
        messages.Grant: 'receive_grant',
        core_messages.TimerFired: 'report_usage',
    }

    def __init__(
        self,
        chosen: settings.QuotaSettings,
        random: random_module.Random,
    ) -> None:
        super().__init__()
        self._settings = chosen
        self._random = random
        self._allowances: dict[str, allowance.Allowance] = {}
        self._changed: dict[str, allowance.Allowance] = {}
        self._nodes = const.DEFAULT_NODES
        self._control = ''
        # Run of the control process, and that of the membership at it.
        self._source_run = 0
        self._run = 0
        self._is_joined = False
        self._has_grant = False
        self._heard_at = _LONG_AGO
        # When the next report is due; None if nothing changed.
        self._due_at: int | None = None
        self._reported_at = _LONG_AGO
        self._wants_answer = False
        # Time of the first report whose answer is due; None if there is none.
        self._asked_at: int | None = None

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for a version with limits."""
        return []

    def read(self, tenant: str, now: int) -> access_interfaces.QuotaStanding:
        """Return the state of a tenant's quota without counting a call."""
        limit = self._allowances.get(tenant)
        if limit is None:
            return access_interfaces.UNLIMITED_STANDING
        source = self._find_source(now)
        fixed_rate = self._settings.compute_fixed_rate(limit.rate, self._nodes)
        # A copy decides on the call. The random phase counts as its mean.
        wait_ms = copy.deepcopy(limit).take(
            source, fixed_rate, _MEAN_PHASE, now
        )
        return access_interfaces.QuotaStanding(
            const.STATE_NAMES[limit.state],
            const.SOURCE_NAMES[source],
            limit.read_rate(source, fixed_rate),
            limit.read_fraction(source),
            wait_ms,
        )

    def take(self, tenant: str, now: int) -> int:
        """Count a call; return 0 if admitted, else the time to wait in ms."""
        limit = self._allowances.get(tenant)
        if limit is None:
            return 0
        source = self._find_source(now)
        fixed_rate = self._settings.compute_fixed_rate(limit.rate, self._nodes)
        wait_ms = limit.take(source, fixed_rate, self._random.random(), now)
        self._changed[tenant] = limit
        self._schedule(limit, now)
        if wait_ms:
            reason = _REASONS[limit.state]
            if source == const.SOURCE_FIXED:
                reason = const.REFUSED_FIXED
            self.outbox.append(effects.Count(const.COUNTER_REFUSED + reason))
        return wait_ms

    def give_back(self, tenant: str, now: int) -> None:
        """Uncount an admitted call; the next report tells it to control."""
        limit = self._allowances.get(tenant)
        if limit is not None:
            limit.give_back(now)
            self._changed[tenant] = limit

    def apply_version(
        self,
        message: tables.VersionApplied,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply the limits of a version at once; usage stays."""
        had_limits = bool(self._allowances)
        self._allowances = {
            row.name: self._build_allowance(row, now)
            for row in message.applied.tables.tenants
            if row.rate_per_second > 0
        }
        self._changed = {
            name: limit
            for name, limit in self._changed.items()
            if name in self._allowances
        }
        if had_limits:
            return []
        self._start_run(0, now)
        return self._join(now)

    def count_nodes(
        self,
        message: membership.AnnouncementsChanged,
        _sender: str,
        _now: int,
    ) -> list[effects.Effect]:
        """Count the nodes of the fleet; fewer may mean that it is cut off."""
        self._nodes = max(self._nodes, len(message.announcements))
        return []

    def change_source(
        self,
        message: delivery.SourceChanged,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Report to another control process, also what may be lost."""
        self._control = message.source
        self._source_run = 0
        self._start_run(const.RESEND_MS, now)
        return self._join(now)

    def record_contact(
        self,
        message: delivery.SourceHeard,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Record that the control process in charge is reachable."""
        if message.source != self._control:
            return []
        if self._source_run != message.incarnation:
            # It was restarted and does not know the usage of this node.
            is_first = not self._source_run
            self._source_run = message.incarnation
            if not is_first:
                self._start_run(const.DEFAULT_WINDOW_MS, now)
        if not self._is_joined:
            return self._join(now)
        self._renew(now)
        return []

    def receive_grant(
        self,
        message: messages.Grant,
        sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply the shares of the control process in charge.

        One that was restarted does not know the run of this node and needs
        the usage of a whole window.
        """
        if sender != self._control:
            return []
        if message.is_whole or not message.shares:
            # A change of state alone may come from a process that was cut off.
            self._renew(now)
        named = {share.tenant: share for share in message.shares}
        if message.is_whole:
            self._has_grant = True
            self._is_joined = True
            free = const.STATE_FREE
            named = {
                name: named.get(name) or messages.Share(name, free)
                for name in self._allowances
            }
        for name, share in named.items():
            limit = self._allowances.get(name)
            if limit is not None:
                limit.apply(share, self._random.random(), now)
        if not message.is_whole or message.run == self._run:
            return []
        self._start_run(const.DEFAULT_WINDOW_MS, now)
        return self._join(now)

    def report_usage(
        self,
        _message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Report the tenants whose usage changed."""
        self._due_at = None
        return self._send_report(now) if self._changed else []

    def _find_source(self, now: int) -> int:
        """Return what decides on calls, by the time without control."""
        silent_ms = now - self._heard_at
        if not self._has_grant or silent_ms > const.KEEP_MS:
            return const.SOURCE_FIXED
        is_late = (
            self._asked_at is not None
            and now - self._asked_at > const.ANSWER_LATE_MS
        )
        if is_late or silent_ms > const.STALE_MS:
            return const.SOURCE_USUAL
        return const.SOURCE_LIMIT

    def _renew(self, now: int) -> None:
        self._heard_at = now
        self._wants_answer = False
        self._asked_at = None
        for limit in self._allowances.values():
            limit.renew(now)

    def _schedule(self, limit: allowance.Allowance, now: int) -> None:
        interval_ms = const.INTERVALS_MS[limit.state]
        if limit.needs_answer():
            self._wants_answer = True
            interval_ms = const.ANSWER_MS
        due_at = max(self._reported_at + interval_ms, now)
        if self._due_at is None or due_at < self._due_at:
            self._due_at = due_at
            self.outbox.append(effects.SetTimer(_REPORT, due_at))

    def _build_allowance(
        self, row: tenant_module.Tenant, now: int
    ) -> allowance.Allowance:
        rate = row.rate_per_second
        advance = self._settings.compute_advance(rate, row.burst, self._nodes)
        # The node alone stays within the limit of a window and the slack.
        cap = row.burst + self._settings.slack * const.SLACK_PART
        limit = self._allowances.get(row.name)
        if limit is None:
            return allowance.Allowance(rate, cap, advance, now)
        limit.change_limit(rate, cap, advance)
        return limit

    def _start_run(self, span_ms: int, now: int) -> None:
        """Begin new totals, with the calls of the last `span_ms`."""
        self._run = self._random.getrandbits(_RUN_BITS)
        self._is_joined = False
        for name, limit in self._allowances.items():
            limit.usage.restart(span_ms, now)
            if limit.usage.requested:
                self._changed[name] = limit

    def _send_report(self, now: int) -> list[effects.Effect]:
        self._reported_at = now
        rows = tuple(
            messages.Usage(
                name,
                limit.usage.admitted,
                limit.usage.requested,
                limit.state,
            )
            for name, limit in self._changed.items()
        )
        self._changed = {}
        if not self._control:
            return []
        if self._wants_answer and self._asked_at is None:
            self._asked_at = now
        report = messages.Report(
            rows, self._run, not self._is_joined, self._wants_answer
        )
        return [effects.Send(self._control, report)]

    def _join(self, now: int) -> list[effects.Effect]:
        """Request the shares of all tenants."""
        if not self._allowances or not self._control:
            return []
        return self._send_report(now)
