"""Admission to the slots of an upstream, and the attempts that wait for one."""

import types
import typing

from shallotwharf.components.upstream import (
    const,
    offer,
    plain,
    schedule,
    settings,
    shortage,
    tracker,
    waiting,
    work,
)
from shallotwharf.core import call_interfaces, call_replies, calls, effects


class Room:
    """Admits attempts, lets them wait or refuses them.

    Attributes:
        work: run times and present speed of the upstream.
        policy: rules by which attempts wait.
    """

    __slots__ = (
        'work',
        'policy',
        '_limits',
        '_offer',
        '_tracker',
        '_shortage',
        '_outbox',
        '_timer_at',
    )

    def __init__(
        self,
        limits: settings.GateSettings,
        offered: offer.Offer,
        tracked: tracker.RequestTracker,
    ) -> None:
        """Create it without scheduling."""
        self.work = work.Work()
        self._limits = limits
        self._offer = offered
        self._tracker = tracked
        self._shortage = shortage.Shortage()
        self._outbox: list[effects.Effect] = []
        self._timer_at: int | None = None
        self.policy: waiting.Policy = plain.PlainPolicy(
            limits, offered, tracked
        )

    @property
    def is_scheduled(self) -> bool:
        """Return whether attempts are scheduled."""
        return isinstance(self.policy, schedule.ScheduledPolicy)

    def drain(self) -> list[effects.Effect]:
        """Return the effects of the calls since the last one."""
        taken = self._outbox
        self._outbox = []
        return taken

    def schedule(self, is_scheduled: bool, now: int) -> None:
        """Switch scheduling on or off; what waits is queued again."""
        if is_scheduled == self.is_scheduled:
            return
        entries = self.policy.drain_all()
        if is_scheduled:
            self.policy = schedule.ScheduledPolicy(
                self._limits.queue_limit,
                self._offer,
                self.work,
                self._shortage,
            )
        else:
            self.policy = plain.PlainPolicy(
                self._limits, self._offer, self._tracker
            )
        for entry in entries:
            self._refuse_removed(
                self.policy.push(entry.step, entry.request, now), now
            )

    def enter(
        self, step: calls.Enter, request: calls.Request, now: int
    ) -> call_replies.Admission:
        """Admit, queue or refuse an attempt that may run here."""
        self.policy.record_arrival(step)
        if self.policy:
            self.process(now)
        if not self.policy and self._has_room(now):
            return self._admit(step, request, now)
        return self._enqueue(step, request, now)

    def leave(self, attempt: str, is_answered: bool, now: int) -> None:
        """Record the end of an attempt that was admitted."""
        self.work.end(attempt, is_answered, now)

    def process(self, now: int) -> None:
        """Refuse expired attempts, then admit as many as there is room for."""
        self._refuse_removed(self.policy.pop_expired(now), now)
        if not self._tracker.health.admits(now):
            self.refuse_queued(const.REASON_UNHEALTHY)
        while self.policy and self._has_room(now):
            entry = self.policy.pop(now)
            admitted = self._admit(entry.step, entry.request, now)
            self._outbox.append(effects.Answer(entry.step.attempt, admitted))
            if not self._tracker.health.healthy:
                return

    def forget_timer(self) -> None:
        """Forget the timer, which has fired."""
        self._timer_at = None

    def update_shortage(self, now: int) -> None:
        """End a shortage that is over."""
        if not self._shortage.is_active:
            return
        self._outbox.extend(self._shortage.update(now, self._describe(now)))

    def set_timer(self, now: int) -> None:
        """Set the timer of the next expiry or the next room."""
        if not self.policy:
            return
        due = self.policy.find_next_expiry()
        room_at = self._offer.find_next_room(now)
        if room_at is not None:
            due = min(due, room_at)
        if self._timer_at is None or due < self._timer_at:
            self._timer_at = due
            self._outbox.append(effects.SetTimer(const.TIMER_QUEUE, due))

    def refuse(self, reason: str) -> call_replies.Refused:
        """Return a refusal, and count it."""
        self._outbox.append(effects.Count(f'{const.COUNTER_REFUSED}{reason}'))
        return call_replies.Refused(reason)

    def refuse_queued(self, reason: str) -> None:
        """Refuse all that wait."""
        for entry in self.policy.drain_all():
            refused = self.refuse(reason)
            self._outbox.append(effects.Answer(entry.step.attempt, refused))

    def _has_room(self, now: int) -> bool:
        return self._offer.has_room(len(self._tracker.running), now)

    def _admit(
        self, step: calls.Enter, request: calls.Request, now: int
    ) -> call_replies.Admission:
        self._tracker.begin(step.attempt, request, self._offer.starts, now)
        self.work.begin(step, now)
        self.policy.record_admission(step, now)
        self._offer.record_admission(step, now)
        self._outbox.append(effects.Count(const.COUNTER_ADMITTED))
        description = typing.cast(
            call_interfaces.UpstreamDescription,
            self._offer.description,
        )
        return call_replies.Admitted(
            description.host, description.port, description.instance
        )

    def _enqueue(
        self, step: calls.Enter, request: calls.Request, now: int
    ) -> call_replies.Admission:
        removed = self.policy.push(step, request, now)
        others = [one for one in removed if one.entry.step is not step]
        self._refuse_removed(others, now)
        for one in removed:
            if one.entry.step is step:
                # One that is too slow for the attempt may have room.
                if one.reason != const.REASON_SLOW:
                    self._record_shortage(one, now)
                return self.refuse(one.reason)
        self._outbox.append(effects.Count(const.COUNTER_QUEUED))
        self.set_timer(now)
        return call_replies.Queued()

    def _refuse_removed(self, removed: list[waiting.Removed], now: int) -> None:
        for one in removed:
            self._record_shortage(one, now)
            refused = self.refuse(one.reason)
            self._outbox.append(effects.Answer(one.entry.step.attempt, refused))

    def _record_shortage(self, removed: waiting.Removed, now: int) -> None:
        """Record a refusal of what could have been in time."""
        step = removed.entry.step
        usual_ms = self.work.estimate_usual(step)
        is_late = step.aim_at and now + usual_ms > step.aim_at
        if is_late or not self.is_scheduled:
            return
        state = {'reason': removed.reason, **self._describe(now)}
        self._outbox.extend(self._shortage.record(now, state))
        # What waits is given up earlier during a shortage.
        self.set_timer(now)

    def _describe(self, now: int) -> types.MappingProxyType[str, object]:
        return types.MappingProxyType(
            {
                'waiting': len(self.policy),
                'running': len(self._tracker.running),
                'slots': self._offer.count_slots(now),
                'speed': self.work.speed,
            }
        )
