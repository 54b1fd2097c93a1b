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
    entries,
    exchange,
    messages,
    own,
    probing,
    relays,
    reporter,
    syncer,
    wire,
)
from shallotwharf.components.roster import messages as roster
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]
Seeds: typing.TypeAlias = abc.Mapping[str, tuple[str, ...]]


class _Alarm:
    """The part of the aggregate, and its method, that handle a timer."""

    __slots__ = ('part', 'method')

    def __init__(self, part: str, method: str) -> None:
        self.part = part
        self.method = method


_ALARMS: typing.Final = types.MappingProxyType(
    {
        'probe': _Alarm('_probing', 'probe'),
        'indirect': _Alarm('_probing', 'probe_indirectly'),
        'suspicion': _Alarm('_entries', 'end_suspicions'),
        'push': _Alarm('_entries', 'push'),
        'publish': _Alarm('_entries', 'publish'),
        'load': _Alarm('_announcer', 'spread_load'),
        'sync': _Alarm('_syncer', 'sync'),
        'join': _Alarm('_syncer', 'join'),
        'exchange': _Alarm('_exchange', 'renew'),
        'changes': _Alarm('_exchange', 'send_changes'),
        'report': _Alarm('_reporter', 'report'),
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
        messages.Broadcast: 'spread',
        messages.Leave: 'leave',
        wire.Ping: 'answer_ping',
        wire.Ack: 'accept_ack',
        wire.PingRequest: 'forward_ping',
        wire.Push: 'accept_push',
        wire.Sync: 'answer_sync',
        wire.Snapshot: 'accept_snapshot',
        relays.Subscribe: 'answer_subscription',
        relays.Changes: 'accept_changes',
        relays.DirectoryAnswer: 'accept_members',
        roster.ControlChanged: 'change_control',
    }

    __slots__ = (
        '_entries',
        '_probing',
        '_announcer',
        '_syncer',
        '_exchange',
        '_reporter',
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
        self._entries = entries.Entries(own.OwnEntries(member, run), source)
        self._probing = probing.Probing(self._entries, source)
        self._announcer = announcer.Announcer(self._entries)
        self._syncer = syncer.Syncer(self._entries, seeds, source)
        self._exchange = exchange.Exchange(
            self._entries,
            remote_seeds,
            source,
        )
        self._reporter = reporter.Reporter(self._entries, controls)

    def start(self, now: int) -> Effects:
        """Publish this node as a member and look for other members."""
        return [
            *self._entries.enter_own_state(now),
            *self._syncer.start(now),
            *self._exchange.renew(now, 0),
            *self._reporter.report(now, 0),
            *self._probing.start(now),
        ]

    def fire(
        self,
        message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Call the method that handles a timer."""
        late_ms = self._entries.alarms.fire(message.name, now)
        alarm = _ALARMS[message.name]
        method = getattr(getattr(self, alarm.part), alarm.method)
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

    def spread(
        self,
        message: messages.Broadcast,
        _sender: str,
        now: int,
    ) -> Effects:
        """Broadcast a message to each node of its scope."""
        spread = wire.SpreadItem(
            message.key,
            message.scope,
            message.message,
            message.lifetime_ms,
        )
        step = self._entries.merge(wire.Batch(spreads=(spread,)), now)
        if self._entries.known.spreads.has_key(message.key):
            return step
        return [effects.Count('membership.spread.refused'), *step]

    def leave(
        self,
        _message: messages.Leave,
        _sender: str,
        now: int,
    ) -> Effects:
        """Notify other members that this node departs."""
        self._entries.own.leave()
        step = self._entries.enter_own_state(now)
        push = wire.Push(wire.Batch(states=(self._entries.own.state,)))
        told = self._entries.pick_others(const.LEAVE_FANOUT)
        step.extend(effects.Send(peer, push) for peer in told)
        return step

    def suspect_link(
        self,
        _message: core_messages.LinkDown,
        sender: str,
        _now: int,
    ) -> Effects:
        """Make the peer of a lost connection the next probe target."""
        self._probing.hasten(sender)
        return []

    def answer_ping(
        self,
        message: wire.Ping,
        sender: str,
        now: int,
    ) -> Effects:
        """Acknowledge a probe."""
        return self._probing.answer(message, sender, now)

    def accept_ack(
        self,
        message: wire.Ack,
        _sender: str,
        now: int,
    ) -> Effects:
        """Record the answer to a probe, or forward it to the requester."""
        return self._probing.accept(message, now)

    def forward_ping(
        self,
        message: wire.PingRequest,
        sender: str,
        _now: int,
    ) -> Effects:
        """Probe a member on behalf of the sender."""
        return self._probing.forward(message, sender)

    def accept_push(
        self,
        message: wire.Push,
        _sender: str,
        now: int,
    ) -> Effects:
        """Merge urgent entries."""
        return self._entries.merge(message.batch, now)

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
        return self._syncer.accept(message, sender, now)

    def answer_subscription(
        self,
        message: relays.Subscribe,
        sender: str,
        now: int,
    ) -> Effects:
        """Send changes to a relay of another data centre."""
        return self._exchange.answer(message, sender, now)

    def accept_changes(
        self,
        message: relays.Changes,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge changes of another data centre."""
        return self._exchange.accept(message, sender, now)

    def change_control(
        self,
        message: roster.ControlChanged,
        _sender: str,
        now: int,
    ) -> Effects:
        """Replace the control processes; contact them if no member is known."""
        names = message.roster.list_names()
        self._reporter.change_control(names)
        self._syncer.change_seeds(names)
        if self._entries.others:
            return []
        return [*self._syncer.join(now, 0), *self._reporter.report(now, 0)]

    def accept_members(
        self,
        message: relays.DirectoryAnswer,
        sender: str,
        now: int,
    ) -> Effects:
        """Store members received from control; send it the local ones."""
        step: Effects = []
        if message.members:
            is_new = self._exchange.find(message.members)
            self._syncer.find(message.members)
            step.append(
                effects.Publish(messages.PeersFound(message.members)),
            )
            if is_new:
                step.append(self._entries.alarms.set_timer('exchange', now))
            if not self._entries.others:
                step.append(self._entries.alarms.set_timer('join', now))
        if message.wanted:
            step.extend(self._reporter.send_members(sender, now))
        return step
