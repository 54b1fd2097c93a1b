"""Merge of received and local entries, and the effects of changes."""

import random
import typing
from collections import abc

from shallotwharf.components.membership import (
    const,
    entry_store,
    gossip,
    local_entries,
    messages,
    suspicions,
    timers,
    validity,
    wire,
)
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


ChangeListener: typing.TypeAlias = abc.Callable[
    [list[entry_store.Key], int],
    Effects,
]


class MembershipView:
    """The membership as this node sees it, and the changes still to send.

    Attributes:
        store: the newest entry of each key.
        local: the entries that only this node writes.
        timers: timers of the aggregate.
        suspicions: members that may be declared dead.
        live: live members of the local data centre, ordered by name.
        peers: names of the other live members.
        health_factor: factor on the time that a suspected member has to refute.
    """

    __slots__ = (
        'store',
        'local',
        'timers',
        'suspicions',
        'live',
        'peers',
        'health_factor',
        '_gossip_queue',
        '_random',
        '_pushed_at',
        '_published_at',
        '_published',
        '_change_listener',
    )

    def __init__(
        self,
        local: local_entries.LocalEntries,
        source: random.Random,
    ) -> None:
        self.store = entry_store.EntryStore()
        self.local = local
        self.timers = timers.Timers()
        self.suspicions = suspicions.Suspicions()
        self.live: tuple[messages.Member, ...] = ()
        self.peers: tuple[str, ...] = ()
        self.health_factor = 1
        self._gossip_queue = gossip.GossipQueue(self.store)
        self._random = source
        self._pushed_at: int | None = None
        self._published_at: int | None = None
        self._published = messages.AnnouncementsChanged(())
        self._change_listener: ChangeListener | None = None

    def register_listener(self, listener: ChangeListener) -> None:
        """Set the function called with changed keys and the current time."""
        self._change_listener = listener

    def has_stale_changed(self, now: int) -> bool:
        """Return whether the stale data centres differ from those published."""
        datacentre = self.local.state.member.datacentre
        stale = self.store.list_stale(datacentre, now)
        return stale != self._published.stale_datacentres

    def merge_received(self, batch: wire.Batch, now: int) -> Effects:
        """Apply the valid entries of another process."""
        valid, refused = validity.select_valid(batch)
        step = [*self.merge(valid, now), *self._reclaim(now)]
        if refused:
            step.append(effects.Count('membership.entries_refused', refused))
        return step

    def merge(self, batch: wire.Batch, now: int) -> Effects:
        """Apply entries and return the effects of those that were newer."""
        before = {
            state.member.name: self.store.states.get(state.member.name)
            for state in batch.states
        }
        changed = self.store.merge(batch, now)
        if not changed:
            return []
        step: Effects = []
        kinds = {kind for kind, _ in changed}
        if const.KIND_STATE in kinds:
            changed.extend(self._refute(now))
            self._update_suspicions(changed, now)
            step.extend(self._set_suspicion_timer(now))
            step.extend(self._publish_peers(before))
            step.extend(self._publish_members())
        step.extend(self._publish_broadcasts(changed, now))
        for key in changed:
            self._gossip_queue.add(key, len(self.live), now)
        step.extend(self._schedule(changed, now))
        if self._change_listener is not None:
            step.extend(self._change_listener(changed, now))
        return step

    def merge_local_state(self, now: int) -> Effects:
        """Merge the state of this node."""
        return self.merge(wire.Batch(states=(self.local.state,)), now)

    def select_gossip(self, now: int) -> wire.Batch:
        """Return entries to piggyback on a message."""
        return self._gossip_queue.select_batch(now)

    def pick_peers(self, count: int, exclude: str = '') -> list[str]:
        """Return up to `count` random live members other than `exclude`."""
        candidates = [name for name in self.peers if name != exclude]
        return self._random.sample(candidates, min(count, len(candidates)))

    def push(self, now: int, _late_ms: int) -> Effects:
        """Send urgent entries to random members."""
        self._pushed_at = now
        batch = self._gossip_queue.select_batch(now, urgent_only=True)
        if batch == wire.Batch():
            return []
        step: Effects = [
            effects.Send(peer, wire.Push(batch))
            for peer in self.pick_peers(const.PUSH_FANOUT)
        ]
        if self._gossip_queue.has_unsent_urgent():
            push_at = now + const.PUSH_PERIOD_MS
            step.extend(self.timers.advance_timer('push', push_at))
        return step

    def publish(self, now: int, _late_ms: int) -> Effects:
        """Publish the announcements and stale data centres if they changed."""
        self._published_at = now
        current = messages.AnnouncementsChanged(
            self.store.list_announcements(),
            self.store.list_stale(self.local.state.member.datacentre, now),
        )
        if current == self._published:
            return []
        self._published = current
        return [effects.Publish(current)]

    def expire_suspicions(self, now: int, late_ms: int) -> Effects:
        """Declare members dead that did not refute a suspicion in time."""
        if late_ms > const.LATE_TIMER_MS:
            # Refutations may wait behind this timer in the queue.
            self.suspicions.postpone(late_ms + const.LATE_TIMER_GRACE_MS)
        dead = tuple(
            self.store.states[name].replace(status=const.STATUS_DEAD)
            for name in self.suspicions.pop_due(now)
        )
        return [
            *self.merge(wire.Batch(states=dead), now),
            *self._set_suspicion_timer(now),
            effects.Count('membership.declared_dead', len(dead)),
        ]

    def _reclaim(self, now: int) -> Effects:
        """Replace an announcement of an earlier process of this node.

        Its clock was ahead, so that it would hide those of this process, or
        show an upstream that this process has not found.
        """
        stored = self.store.read_announcement(self.local.state.member.name)
        if stored is None or not self.local.is_foreign(stored):
            return []
        return self.merge(self.local.reclaim(stored), now)

    def _refute(self, now: int) -> list[entry_store.Key]:
        name = self.local.state.member.name
        claimed = self.store.states.get(name)
        if claimed is None or not self.local.refute(claimed):
            return []
        self.store.apply_state(self.local.state, now)
        return [(const.KIND_STATE, name)]

    def _update_suspicions(
        self, changed: list[entry_store.Key], now: int
    ) -> None:
        deadline = now + const.SUSPICION_MS * self.health_factor
        datacentre = self.local.state.member.datacentre
        for kind, name in changed:
            state = self.store.states.get(name)
            if kind != const.KIND_STATE or state is None:
                continue
            if state.status != const.STATUS_SUSPECT:
                self.suspicions.end(name)
            elif state.member.datacentre == datacentre:
                self.suspicions.begin(name, deadline)

    def _set_suspicion_timer(self, now: int) -> Effects:
        deadline = self.suspicions.find_next_deadline()
        if deadline is None:
            return []
        return self.timers.advance_timer('suspicion', max(deadline, now))

    def _publish_peers(
        self,
        before: dict[str, wire.MemberState | None],
    ) -> Effects:
        found = tuple(
            self.store.states[name].member
            for name, state in before.items()
            if state is None or state.member != self.store.states[name].member
        )
        if not found:
            return []
        return [effects.Publish(messages.PeersFound(found))]

    def _publish_members(self) -> Effects:
        local_member = self.local.state.member
        live = self.store.list_live(local_member.datacentre)
        if live == self.live:
            return []
        self.live = live
        self.peers = tuple(
            member.name for member in live if member.name != local_member.name
        )
        return [effects.Publish(messages.MembersChanged(live))]

    def _publish_broadcasts(
        self,
        changed: list[entry_store.Key],
        now: int,
    ) -> Effects:
        step: Effects = []
        for kind, name in changed:
            if kind == const.KIND_BROADCAST:
                broadcast = self.store.broadcasts.read(name, now)
                if broadcast is not None:
                    step.append(effects.Publish(broadcast.message))
        return step

    def _schedule(self, changed: list[entry_store.Key], now: int) -> Effects:
        publish_at = now + const.LOAD_PUBLISH_PERIOD_MS
        step: Effects = []
        if any(gossip.is_urgent(key) for key in changed):
            push_at = now + const.PUSH_DELAY_MS
            if self._pushed_at is not None:
                push_at = max(push_at, self._pushed_at + const.PUSH_PERIOD_MS)
            publish_at = now
            if self._published_at is not None:
                publish_at = max(
                    now, self._published_at + const.PUBLISH_BATCH_MS
                )
            step.extend(self.timers.advance_timer('push', push_at))
        step.extend(self.timers.advance_timer('publish', publish_at))
        return step
