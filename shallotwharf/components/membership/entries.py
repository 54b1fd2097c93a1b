"""Merge of received and local entries, and the effects of changes."""

import random
import typing
from collections import abc

from shallotwharf.components.membership import (
    alarms,
    const,
    gossip,
    knowledge,
    messages,
    own,
    suspicions,
    wire,
)
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


Watch: typing.TypeAlias = abc.Callable[
    [list[knowledge.Key], int],
    Effects,
]


class Entries:
    """The membership as this node sees it, and the changes still to send.

    Attributes:
        known: the newest entry of each key.
        own: the entries that only this node writes.
        alarms: timers of the aggregate.
        suspicions: members that may be declared dead.
        live: live members of the local data centre, ordered by name.
        others: names of the other live members.
        factor: factor on the time that a suspected member has to refute.
    """

    __slots__ = (
        'known',
        'own',
        'alarms',
        'suspicions',
        'live',
        'others',
        'factor',
        '_gossip',
        '_random',
        '_pushed_at',
        '_published_at',
        '_published',
        '_watch',
    )

    def __init__(
        self,
        own_entries: own.OwnEntries,
        source: random.Random,
    ) -> None:
        self.known = knowledge.Knowledge()
        self.own = own_entries
        self.alarms = alarms.Alarms()
        self.suspicions = suspicions.Suspicions()
        self.live: tuple[messages.Member, ...] = ()
        self.others: tuple[str, ...] = ()
        self.factor = 1
        self._gossip = gossip.Gossip(self.known)
        self._random = source
        self._pushed_at: int | None = None
        self._published_at: int | None = None
        self._published = messages.AnnouncementsChanged(())
        self._watch: Watch | None = None

    def watch(self, watch: Watch) -> None:
        """Set the function called with changed keys and the current time."""
        self._watch = watch

    def is_stale_changed(self, now: int) -> bool:
        """Return whether the stale data centres differ from those published."""
        datacentre = self.own.state.member.datacentre
        stale = self.known.list_stale(datacentre, now)
        return stale != self._published.stale_datacentres

    def merge(self, batch: wire.Batch, now: int) -> Effects:
        """Apply entries and return the effects of those that were newer."""
        before = {
            state.member.name: self.known.states.get(state.member.name)
            for state in batch.states
        }
        changed = self.known.merge(batch, now)
        if not changed:
            return []
        step: Effects = []
        kinds = {kind for kind, _ in changed}
        if const.KIND_STATE in kinds:
            changed.extend(self._refute(now))
            self._watch_suspects(changed, now)
            step.extend(self._set_suspicion_timer(now))
            step.extend(self._find_peers(before))
            step.extend(self._publish_members())
        step.extend(self._publish_spreads(changed, now))
        for key in changed:
            self._gossip.add(key, len(self.live), now)
        step.extend(self._schedule(changed, now))
        if self._watch is not None:
            step.extend(self._watch(changed, now))
        return step

    def enter_own_state(self, now: int) -> Effects:
        """Merge the state of this node."""
        return self.merge(wire.Batch(states=(self.own.state,)), now)

    def take_gossip(self, now: int) -> wire.Batch:
        """Return entries to piggyback on a message."""
        return self._gossip.take(now)

    def pick_others(self, count: int, but: str = '') -> list[str]:
        """Return up to `count` random live members other than `but`."""
        candidates = [name for name in self.others if name != but]
        return self._random.sample(candidates, min(count, len(candidates)))

    def push(self, now: int, _late_ms: int) -> Effects:
        """Send urgent entries to random members."""
        self._pushed_at = now
        batch = self._gossip.take(now, urgent_only=True)
        if batch == wire.Batch():
            return []
        step: Effects = [
            effects.Send(peer, wire.Push(batch))
            for peer in self.pick_others(const.PUSH_FANOUT)
        ]
        if self._gossip.has_fresh():
            at = now + const.PUSH_PERIOD_MS
            step.extend(self.alarms.hasten('push', at))
        return step

    def publish(self, now: int, _late_ms: int) -> Effects:
        """Publish the announcements and stale data centres if they changed."""
        self._published_at = now
        current = messages.AnnouncementsChanged(
            self.known.list_announcements(),
            self.known.list_stale(self.own.state.member.datacentre, now),
        )
        if current == self._published:
            return []
        self._published = current
        return [effects.Publish(current)]

    def end_suspicions(self, now: int, late_ms: int) -> Effects:
        """Declare members dead that did not refute a suspicion in time."""
        if late_ms > const.LATE_TIMER_MS:
            # Refutations may wait behind this timer in the queue.
            self.suspicions.postpone(late_ms + const.GRACE_MS)
        dead = tuple(
            self.known.states[name].replace(status=const.STATUS_DEAD)
            for name in self.suspicions.take_due(now)
        )
        return [
            *self.merge(wire.Batch(states=dead), now),
            *self._set_suspicion_timer(now),
            effects.Count('membership.declared_dead', len(dead)),
        ]

    def _refute(self, now: int) -> list[knowledge.Key]:
        name = self.own.state.member.name
        claimed = self.known.states.get(name)
        if claimed is None or not self.own.refute(claimed):
            return []
        self.known.apply_state(self.own.state, now)
        return [(const.KIND_STATE, name)]

    def _watch_suspects(self, changed: list[knowledge.Key], now: int) -> None:
        deadline = now + const.SUSPICION_MS * self.factor
        datacentre = self.own.state.member.datacentre
        for kind, name in changed:
            state = self.known.states.get(name)
            if kind != const.KIND_STATE or state is None:
                continue
            if state.status != const.STATUS_SUSPECT:
                self.suspicions.end(name)
            elif state.member.datacentre == datacentre:
                self.suspicions.begin(name, deadline)

    def _set_suspicion_timer(self, now: int) -> Effects:
        at = self.suspicions.find_next()
        if at is None:
            return []
        return self.alarms.hasten('suspicion', max(at, now))

    def _find_peers(
        self,
        before: dict[str, wire.MemberState | None],
    ) -> Effects:
        found = tuple(
            self.known.states[name].member
            for name, state in before.items()
            if state is None or state.member != self.known.states[name].member
        )
        if not found:
            return []
        return [effects.Publish(messages.PeersFound(found))]

    def _publish_members(self) -> Effects:
        own_member = self.own.state.member
        live = self.known.list_live(own_member.datacentre)
        if live == self.live:
            return []
        self.live = live
        self.others = tuple(
            member.name for member in live if member.name != own_member.name
        )
        return [effects.Publish(messages.MembersChanged(live))]

    def _publish_spreads(
        self,
        changed: list[knowledge.Key],
        now: int,
    ) -> Effects:
        step: Effects = []
        for kind, name in changed:
            if kind == const.KIND_SPREAD:
                spread = self.known.spreads.read(name, now)
                if spread is not None:
                    step.append(effects.Publish(spread.message))
        return step

    def _schedule(self, changed: list[knowledge.Key], now: int) -> Effects:
        publish_at = now + const.PUBLISH_PERIOD_MS
        step: Effects = []
        if any(gossip.is_urgent(key) for key in changed):
            push_at = now + const.PUSH_DELAY_MS
            if self._pushed_at is not None:
                push_at = max(push_at, self._pushed_at + const.PUSH_PERIOD_MS)
            publish_at = now
            if self._published_at is not None:
                publish_at = max(now, self._published_at + const.MERGE_MS)
            step.extend(self.alarms.hasten('push', push_at))
        step.extend(self.alarms.hasten('publish', publish_at))
        return step
