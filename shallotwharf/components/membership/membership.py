"""Membership of a data centre by SWIM with Lifeguard's local health.

Sources: Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol" (2002); Dadgar, Phillips,
Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2017).
"""

import random
import types
import typing
from collections import abc

from shallotwharf.components.membership import (
    announcer,
    const,
    exchange,
    failure_detector,
    local_entries,
    membership_view,
    messages,
    relay_messages,
    reporter,
    syncer,
    wire,
)
from shallotwharf.components.roster import messages as roster
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]
Seeds: typing.TypeAlias = abc.Mapping[str, tuple[str, ...]]


class _TimerHandler:
    """The part of the aggregate, and its method, that handle a timer."""

    __slots__ = ('part', 'method')

    def __init__(self, part: str, method: str) -> None:
        self.part = part
        self.method = method


_TIMER_HANDLERS: typing.Final = types.MappingProxyType(
    {
        'probe': _TimerHandler('_failure_detector', 'probe'),
        'indirect': _TimerHandler('_failure_detector', 'probe_indirectly'),
        'suspicion': _TimerHandler('_view', 'expire_suspicions'),
        'push': _TimerHandler('_view', 'push'),
        'publish': _TimerHandler('_view', 'publish'),
        'load': _TimerHandler('_announcer', 'gossip_load'),
        'sync': _TimerHandler('_syncer', 'sync'),
        'join': _TimerHandler('_syncer', 'join'),
        'exchange': _TimerHandler('_exchange', 'renew'),
        'changes': _TimerHandler('_exchange', 'send_changes'),
        'report': _TimerHandler('_reporter', 'report'),
    },
)
_NO_SEEDS: typing.Final[Seeds] = types.MappingProxyType({})


class Membership(aggregate.Aggregate):
    """Members of the local data centre, and announcements of all data centres.

    Args:
        member: this node.
        run: start of the process, in milliseconds since the epoch.
        seeds: names of nodes and control processes that may know members.
        source: source of randomness.
        controls: names of the control processes to report to.
        remote_seeds: names of some nodes of other data centres, by data
            centre; not needed while control is reachable.
    """

    name = 'membership'
    handlers = {
        core_messages.TimerFired: 'fire',
        core_messages.LinkDown: 'suspect_link',
        messages.Announce: 'announce',
        messages.Broadcast: 'broadcast',
        messages.Leave: 'leave',
        wire.Ping: 'answer_ping',
        wire.Ack: 'accept_ack',
        wire.PingRequest: 'forward_ping',
        wire.Push: 'accept_push',
        wire.Sync: 'answer_sync',
        wire.Snapshot: 'accept_snapshot',
        relay_messages.Subscribe: 'answer_subscription',
        relay_messages.Changes: 'accept_changes',
        relay_messages.DirectoryAnswer: 'accept_members',
        roster.ControlChanged: 'change_control',
    }

    __slots__ = (
        '_view',
        '_failure_detector',
        '_announcer',
        '_syncer',
        '_exchange',
        '_reporter',
        '_has_learned',
    )

    def __init__(
        self,
        member: messages.Member,
        run: int,
        seeds: tuple[str, ...],
        source: random.Random,
        controls: tuple[str, ...] = (),
        remote_seeds: Seeds = _NO_SEEDS,
    ) -> None:
        self._view = membership_view.MembershipView(
            local_entries.LocalEntries(member, run), source
        )
        self._failure_detector = failure_detector.FailureDetector(
            self._view, source
        )
        self._announcer = announcer.Announcer(self._view)
        self._syncer = syncer.Syncer(self._view, seeds, source)
        self._exchange = exchange.Exchange(
            self._view,
            remote_seeds,
            source,
        )
        self._reporter = reporter.Reporter(self._view, controls)
        self._has_learned = False

    def start(self, now: int) -> Effects:
        """Publish this node as a member and look for other members."""
        return [
            *self._view.merge_local_state(now),
            *self._syncer.start(now),
            *self._exchange.renew(now, 0),
            *self._reporter.report(now, 0),
            *self._failure_detector.start(now),
        ]

    def fire(
        self,
        message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Call the method that handles a timer."""
        late_ms = self._view.timers.fire(message.name, now)
        handler = _TIMER_HANDLERS[message.name]
        method = getattr(getattr(self, handler.part), handler.method)
        step: Effects = method(now, late_ms)
        return step

    def announce(
        self,
        message: messages.Announce,
        _sender: str,
        now: int,
    ) -> Effects:
        """Gossip the announcement of this node."""
        return self._announcer.announce(message.announcement, now)

    def broadcast(
        self,
        message: messages.Broadcast,
        _sender: str,
        now: int,
    ) -> Effects:
        """Broadcast a message to each node of its scope."""
        broadcast = wire.BroadcastItem(
            message.key,
            message.scope,
            message.message,
            message.lifetime_ms,
        )
        step = self._view.merge(wire.Batch(broadcasts=(broadcast,)), now)
        if self._view.store.broadcasts.has_key(message.key):
            return step
        return [effects.Count('membership.spread.refused'), *step]

    def leave(
        self,
        _message: messages.Leave,
        _sender: str,
        now: int,
    ) -> Effects:
        """Notify other members that this node departs."""
        self._view.local.leave()
        step = self._view.merge_local_state(now)
        push = wire.Push(wire.Batch(states=(self._view.local.state,)))
        peers = self._view.pick_peers(const.LEAVE_FANOUT)
        step.extend(effects.Send(peer, push) for peer in peers)
        return step

    def suspect_link(
        self,
        _message: core_messages.LinkDown,
        sender: str,
        _now: int,
    ) -> Effects:
        """Make the peer of a lost connection the next probe target."""
        self._failure_detector.probe_next(sender)
        return []

    def answer_ping(
        self,
        message: wire.Ping,
        sender: str,
        now: int,
    ) -> Effects:
        """Acknowledge a probe."""
        return self._failure_detector.answer(message, sender, now)

    def accept_ack(
        self,
        message: wire.Ack,
        _sender: str,
        now: int,
    ) -> Effects:
        """Record the answer to a probe, or forward it to the requester."""
        return self._failure_detector.accept(message, now)

    def forward_ping(
        self,
        message: wire.PingRequest,
        sender: str,
        _now: int,
    ) -> Effects:
        """Probe a member on behalf of the sender."""
        return self._failure_detector.forward(message, sender)

    def accept_push(
        self,
        message: wire.Push,
        _sender: str,
        now: int,
    ) -> Effects:
        """Merge urgent entries."""
        return self._view.merge_received(message.batch, now)

    def answer_sync(
        self,
        message: wire.Sync,
        sender: str,
        now: int,
    ) -> Effects:
        """Send the entries that differ from those of the sender."""
        return self._syncer.answer(message, sender, now)

    def accept_snapshot(
        self,
        message: wire.Snapshot,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge entries that differed and send those the sender requests."""
        step = self._syncer.accept(message, sender, now)
        return [*step, *self._publish_learned()]

    def answer_subscription(
        self,
        message: relay_messages.Subscribe,
        sender: str,
        now: int,
    ) -> Effects:
        """Send changes to a relay of another data centre."""
        return self._exchange.answer(message, sender, now)

    def accept_changes(
        self,
        message: relay_messages.Changes,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge changes of another data centre."""
        step = self._exchange.accept(message, sender, now)
        if message.more:
            return step
        return [*step, *self._publish_learned()]

    def change_control(
        self,
        message: roster.ControlChanged,
        _sender: str,
        now: int,
    ) -> Effects:
        """Replace the control processes; contact them if no member is known."""
        names = message.roster.list_names()
        self._reporter.change_control(names)
        region = self._view.local.state.member.region
        self._syncer.change_seeds(names, message.roster.list_near(region))
        if self._view.peers:
            return []
        return [*self._syncer.join(now, 0), *self._reporter.report(now, 0)]

    def accept_members(
        self,
        message: relay_messages.DirectoryAnswer,
        sender: str,
        now: int,
    ) -> Effects:
        """Store members received from control; send it the local ones."""
        step: Effects = []
        if message.members:
            is_new = self._exchange.add_discovered(message.members)
            has_new_peer = self._syncer.replace_discovered(message.members)
            step.append(
                effects.Publish(messages.PeersFound(message.members)),
            )
            if is_new:
                step.append(self._view.timers.set_timer('exchange', now))
            if has_new_peer and not self._view.peers:
                step.append(self._view.timers.set_timer('join', now))
        if message.wanted:
            step.extend(self._reporter.send_members(sender, now))
        return step

    def _publish_learned(self) -> Effects:
        if self._has_learned:
            return []
        self._has_learned = True
        return [effects.Publish(messages.EntriesLearned())]
