"""Admission controller of the upstream beside a node."""

import types
import typing

from shallotwharf.components.call import messages as call
from shallotwharf.components.membership import messages as membership
from shallotwharf.components.tables import messages as tables
from shallotwharf.components.upstream import (
    announcer,
    checks,
    const,
    evacuation,
    learning,
    news,
    notices,
    offer,
    reports,
    room,
    settings,
    tracker,
)
from shallotwharf.components.upstream import messages as upstream
from shallotwharf.core import (
    call_interfaces,
    call_replies,
    calls,
    direct,
    effects,
    messages,
    upstream_notices,
)


class Gate(direct.DirectAggregate, call_interfaces.Gate):
    """Slots, queue, warm-up, draining and health of one upstream.

    Attributes:
        reports: order of the reports of the upstream.
    """

    __slots__ = (
        '_poison',
        '_announcer',
        '_offer',
        'reports',
        '_tracker',
        '_room',
        '_has_tenants',
        '_has_speed',
        '_notices',
        '_learning',
        '_checks',
        '_timers',
        '_evacuation',
    )

    name = 'upstream'
    handlers: typing.ClassVar = {
        upstream.UpstreamStarted: 'apply_started',
        upstream.UpstreamReported: 'apply_report',
        upstream.UpstreamEnded: 'apply_ended',
        upstream.DrainRequested: 'apply_drain',
        call.StopBegan: 'apply_news',
        upstream.UpstreamLeft: 'apply_left',
        upstream.HealthReported: 'apply_news',
        upstream.ProbeAnswered: 'apply_news',
        membership.EntriesLearned: 'finish_learning',
        tables.VersionApplied: 'apply_version',
        messages.TimerFired: 'fire_timer',
    }

    def __init__(
        self,
        node: membership.Member,
        limits: settings.GateSettings,
        poison_list: call_interfaces.PoisonList,
        generation: int,
    ) -> None:
        """Create the gate of a node whose upstream has not started.

        Args:
            node: the local node, as it is announced.
            limits: limits of the queue and of announcements.
            poison_list: digests of requests to refuse.
            generation: see `announcer.Announcer`.
        """
        super().__init__()
        self._poison = poison_list
        self._announcer = announcer.Announcer(
            node,
            limits.announce_interval_ms,
            generation,
        )
        self._offer = offer.Offer(limits, node.datacentre)
        self.reports = reports.Reports()
        self._tracker = tracker.RequestTracker(node.name)
        self._room = room.Room(limits, self._offer, self._tracker)
        # Conditions of scheduling.
        self._has_tenants = False
        self._has_speed = False
        self._notices = notices.Notices()
        self._learning = learning.Learning(limits.learn_ms)
        self._evacuation = evacuation.Evacuation(node.datacentre)
        self._checks = checks.EntryChecks(
            self._offer,
            self._learning,
            self._tracker,
            self._room,
            poison_list,
            self._evacuation,
        )
        self._timers = {
            const.TIMER_ANNOUNCE: self._announcer.handle_timer,
            const.TIMER_CRASH: self._tracker.crashes.confirm,
            const.TIMER_LEARN: self._learning.finish,
        }

    def start(self, now: int) -> list[effects.Effect]:
        """Wait for what other nodes know, but not for long."""
        self._offer.cold.begin(now)
        return self._learning.start(now)

    def finish_learning(
        self,
        _message: membership.EntriesLearned,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Admit attempts: the entries of another node have arrived."""
        self.outbox.extend(self._learning.finish())
        return self._process_changes(now)

    def apply_started(
        self,
        message: upstream.UpstreamStarted,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Offer the slots of a new upstream, increasing during its warm-up."""
        if self._offer.start(message.description, now):
            self._restart()
        return self._process_changes(now)

    def apply_report(
        self,
        message: upstream.UpstreamReported,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply a report unless a later one was applied."""
        report = message.report
        verdict = self.reports.accept(report, now)
        counter = _COUNTERS.get(verdict)
        if counter is not None:
            return [effects.Count(counter)]
        if verdict == reports.RESTARTED:
            self._offer.description = None
        if self._offer.start(report.description, now):
            self._restart()
        if report.cold_ms is not None:
            self._offer.cold.state.apply_report(report.cold_ms, now)
        if report.draining and self._offer.drain():
            self._room.refuse_queued(const.REASON_DRAINING)
        return self._process_changes(now)

    def apply_ended(
        self,
        message: upstream.UpstreamEnded,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Remove the upstream if the ended instance is the current one."""
        has_left = self.reports.end(message.instance, message.started_at, now)
        if not has_left or self._offer.description is None:
            return []
        return self.apply_left(upstream.UpstreamLeft(), _sender, now)

    def apply_drain(
        self,
        _message: upstream.DrainRequested,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Refuse queued and new attempts; running requests finish."""
        if self._offer.drain():
            self._room.refuse_queued(const.REASON_DRAINING)
        return self._process_changes(now)

    def apply_left(
        self,
        _message: upstream.UpstreamLeft,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Announce that the upstream is gone; running requests finish."""
        self._room.refuse_queued(const.REASON_NO_UPSTREAM)
        self._offer.state = membership.UPSTREAM_GONE
        self._announce(now)
        self._offer.description = None
        return self.drain_effects()

    def apply_version(
        self,
        message: tables.VersionApplied,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Use the limits of a version; schedule attempts if it has tenants.

        Queued and new attempts in an evacuated data centre are refused.
        """
        self._offer.apply_version(message.applied, now)
        if self._evacuation.apply(message.applied):
            self._room.refuse_queued(const.REASON_EVACUATED)
        self._has_tenants = bool(message.applied.tables.tenants)
        self._schedule(now)
        return self._process_changes(now)

    def apply_news(
        self,
        message: messages.Message,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Apply what changes the admission of attempts, then continue."""
        news.apply(message, self._offer, self._tracker, now)
        return self._process_changes(now)

    def fire_timer(
        self,
        message: messages.TimerFired,
        _sender: str,
        now: int,
    ) -> list[effects.Effect]:
        """Run the method of a timer, then process what has changed."""
        if message.name == const.TIMER_QUEUE:
            self._room.forget_timer()
        self._room.update_shortage(now)
        handle = self._timers.get(message.name)
        if handle is not None:
            self.outbox.extend(handle())
        return self._process_changes(now)

    def enter(
        self,
        step: calls.Enter,
        request: calls.Request,
        now: int,
    ) -> call_replies.Admission:
        """Admit, queue or refuse an attempt."""
        self._refresh_speed(now)
        reason = self._checks.find_refusal(step, request, now)
        if reason:
            refused = self._room.refuse(reason)
            self.outbox.extend(self._room.drain())
            return refused
        admission = self._room.enter(step, request, now)
        self.outbox.extend(self._room.drain())
        if isinstance(admission, call_replies.Admitted):
            self._announce(now)
        else:
            self.outbox.extend(self._offer.request_probe(now))
        return admission

    def leave(self, attempt: str, result: calls.Result, now: int) -> None:
        """Record the end of an attempt that was admitted or queued."""
        if attempt not in self._tracker.running:
            self._room.policy.remove(attempt)
            return
        answered = result.outcome == calls.OUTCOME_ANSWERED
        if answered:
            digest = self._tracker.running.compute_identity(attempt)
            self.outbox.extend(self._poison.clear(digest, now))
        is_current = (
            self._tracker.running.read_start(attempt) == self._offer.starts
        )
        self._offer.record_end(attempt, result, self.count_running(), now)
        self.outbox.extend(self._tracker.end(attempt, result.outcome, now))
        self._room.leave(attempt, answered, now)
        notice = result.notice
        if notice is not None and is_current:
            self.outbox.extend(
                self._notices.record(
                    notice, self.count_running(), self._offer.admitted
                ),
            )
            if self._offer.apply_notice(notice, now):
                self._room.refuse_queued(const.REASON_DRAINING)
        self._refresh_speed(now)
        if self._room.policy:
            self._room.process(now)
        self.outbox.extend(self._room.drain())
        self._announce(now)

    def drain_effects(self) -> list[effects.Effect]:
        """Return the effects since the last call, those of the room first."""
        return self._room.drain() + super().drain_effects()

    def apply_speed(self, percent: int, now: int) -> None:
        """Apply the speed that the upstream reports; schedule attempts.

        Args:
            percent: how long runs take at present in percent of the usual
                time.
            now: current time in milliseconds.
        """
        if self._has_speed and percent == self._room.work.speed:
            return
        self._room.work.speed = max(percent, 1)
        self._has_speed = True
        self._schedule(now)
        if self._room.policy:
            self._room.process(now)
            self._room.set_timer(now)
        self.outbox.extend(self._room.drain())

    def count_spare_slots(self, now: int) -> int:
        """Return the number of free slots; 0 if the upstream is unhealthy."""
        is_closed = self._learning.is_active or self._evacuation.is_active
        if is_closed or not self._tracker.health.healthy:
            return 0
        queued = len(self._room.policy)
        slots = self._offer.count_slots(now) - self.count_running()
        spare = min(slots, self._offer.count_tokens(now))
        return max(spare - queued, 0)

    def describe_upstream(self, now: int) -> upstream_notices.Standing:
        """Return what other nodes should know about the upstream."""
        return self._offer.describe(now)

    def count_running(self) -> int:
        """Return the number of running requests."""
        return len(self._tracker.running)

    def _refresh_speed(self, now: int) -> None:
        """Apply the stated speed, which decays while nothing is stated."""
        if self._offer.speed.has_statement():
            self.apply_speed(self._offer.speed.estimate_percent(now), now)

    def _restart(self) -> None:
        """Forget what is known of an earlier start of the upstream."""
        self._room.work.reset()
        self.outbox.extend(self._tracker.restart())

    def _schedule(self, now: int) -> None:
        self._room.schedule(self._has_tenants or self._has_speed, now)

    def _process_changes(self, now: int) -> list[effects.Effect]:
        if self._room.policy:
            self._room.process(now)
            self._room.set_timer(now)
        self._announce(now)
        return self.drain_effects()

    def _announce(self, now: int) -> None:
        description = self._offer.description
        if description is None:
            return
        is_warming = self._offer.state == membership.UPSTREAM_WARMING
        if not is_warming and self._announcer.is_waiting(
            description, self._offer.state
        ):
            # The load is read when the timer fires.
            self.outbox.extend(self._offer.watch_cold(now))
            return
        # May end the warm-up.
        spare = self.count_spare_slots(now)
        self.outbox.extend(self._offer.watch_cold(now))
        self.outbox.extend(
            self._announcer.update(
                description,
                self._offer.state,
                spare,
                now,
                self._offer.read_condition(now),
            ),
        )


# Counter of each verdict on a report that is not applied.
_COUNTERS: typing.Final = types.MappingProxyType(
    {
        reports.LATE: const.COUNTER_STALE,
        reports.PENDING: const.COUNTER_PENDING,
    },
)
