"""Membership of a data centre after SWIM, with local health (Lifeguard).

Sources: Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol" (2002); Dadgar, Phillips,
Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2017).
"""

import random
import types
import typing

from shallotwharf.components.membership import (
    const,
    entries,
    messages,
    own,
    prober,
    syncer,
    wire,
)
from shallotwharf.core import aggregate, effects
from shallotwharf.core import messages as core_messages

Effects: typing.TypeAlias = list[effects.Effect]

_TIMERS: typing.Final = types.MappingProxyType(
    {
        'probe': 'probe',
        'indirect': 'probe_indirectly',
        'suspicion': 'end_suspicions',
        'push': 'push',
        'load': 'spread_load',
        'publish': 'publish',
        'sync': 'sync',
        'join': 'join',
    }
)


class Membership(aggregate.Aggregate):
    """Members of the own data centre and announcements of all.

    Args:
        member: the own node.
        run: start of the process, in milliseconds since the epoch.
        seeds: names of nodes and control processes that may know members.
        source: source of randomness.
    """

    name = 'membership'
    handlers = {
        core_messages.TimerFired: 'fire',
        core_messages.LinkDown: 'suspect_link',
        messages.Announce: 'announce',
        messages.Spread: 'spread',
        messages.Leave: 'leave',
        wire.Ping: 'answer_ping',
        wire.Ack: 'accept_ack',
        wire.PingRequest: 'forward_ping',
        wire.Push: 'accept_push',
        wire.Sync: 'answer_sync',
        wire.Snapshot: 'accept_snapshot',
    }

    __slots__ = ('_entries', '_prober', '_syncer', '_random', '_spare')

    def __init__(
        self,
        member: messages.Member,
        run: int,
        seeds: tuple[str, ...],
        source: random.Random,
    ) -> None:
        self._entries = entries.Entries(own.OwnEntries(member, run), source)
        self._prober = prober.Prober(source)
        self._syncer = syncer.Syncer(self._entries, seeds, source)
        self._random = source
        self._spare = 0

    def start(self, now: int) -> Effects:
        """Enter the own state and look for other members."""
        first_probe = now + self._random.randrange(const.PROBE_PERIOD_MS)
        return [
            *self._entries.enter_own_state(now),
            *self._syncer.start(now),
            self._entries.alarms.set_timer('probe', first_probe),
        ]

    def fire(
        self,
        message: core_messages.TimerFired,
        _sender: str,
        now: int,
    ) -> Effects:
        """Do what a timer stands for."""
        late_ms = self._entries.alarms.fire(message.name, now)
        step: Effects = getattr(self, _TIMERS[message.name])(now, late_ms)
        return step

    def announce(
        self,
        message: messages.Announce,
        _sender: str,
        now: int,
    ) -> Effects:
        """Spread the own announcement: at once, or later if only load."""
        own_entries = self._entries.own
        known = self._entries.known.read_announcement(
            own_entries.state.member.name,
        )
        announced = message.announcement
        self._spare = announced.spare
        if known is not None and announced == known.replace(
            spare=announced.spare,
            generation=announced.generation,
        ):
            load_at = own_entries.find_load_time(now)
            return self._entries.alarms.hasten('load', load_at)
        newest = known.generation if known is not None else 0
        batch = wire.Batch(
            announcements=(own_entries.announce(announced, newest),),
        )
        return [
            *self._entries.merge(batch, now),
            *self.spread_load(now, 0),
        ]

    def spread_load(self, now: int, _late_ms: int) -> Effects:
        """Spread the own spare slots if they changed."""
        own_entries = self._entries.own
        known = self._entries.known.read_load(own_entries.state.member.name)
        if known is not None and known.spare == self._spare:
            return []
        newest = known.number if known is not None else 0
        load = own_entries.build_load(self._spare, newest, now)
        return self._entries.merge(wire.Batch(loads=(load,)), now)

    def spread(
        self,
        message: messages.Spread,
        _sender: str,
        now: int,
    ) -> Effects:
        """Publish a message on each node of its scope."""
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
        """Tell the others that this node departs."""
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
        """Probe the peer of a lost connection next."""
        if sender in self._entries.others:
            self._prober.hasten(sender)
        return []

    def probe(self, now: int, late_ms: int) -> Effects:
        """Judge the probe before and begin the next one."""
        step: Effects = []
        if late_ms > const.LATE_TIMER_MS:
            # Answers may wait behind this timer in the queue.
            self._prober.slow_down()
        elif self._prober.target:
            step.extend(self._suspect(self._prober.target, now))
        factor = self._prober.factor
        self._entries.factor = factor
        probe_at = now + const.PROBE_PERIOD_MS * factor
        step.append(self._entries.alarms.set_timer('probe', probe_at))
        target = self._prober.begin(self._entries.others)
        if target:
            batch = self._entries.take_gossip(now)
            ping = wire.Ping(self._prober.number, batch)
            indirect_at = now + const.DIRECT_TIMEOUT_MS * factor
            step.append(effects.Send(target, ping))
            step.append(
                self._entries.alarms.set_timer('indirect', indirect_at),
            )
        return step

    def probe_indirectly(self, _now: int, _late_ms: int) -> Effects:
        """Probe again, also through other members."""
        target = self._prober.target
        if not target:
            return []
        number = self._prober.number
        through = self._entries.pick_others(const.INDIRECT_PROBES, target)
        request = wire.PingRequest(number, target)
        return [
            effects.Send(target, wire.Ping(number, wire.Batch())),
            *(effects.Send(peer, request) for peer in through),
        ]

    def answer_ping(
        self,
        message: wire.Ping,
        sender: str,
        now: int,
    ) -> Effects:
        """Answer a probe."""
        step = self._entries.merge(message.batch, now)
        ack = wire.Ack(message.number, self._entries.take_gossip(now))
        return [effects.Send(sender, ack), *step]

    def accept_ack(
        self,
        message: wire.Ack,
        _sender: str,
        now: int,
    ) -> Effects:
        """Note the answer to an own probe or pass it on."""
        step = self._entries.merge(message.batch, now)
        if message.number == self._prober.number and self._prober.target:
            self._prober.succeed()
        origin = self._prober.find_origin(message.number)
        if origin is not None:
            ack = wire.Ack(origin.number, wire.Batch())
            step.append(effects.Send(origin.name, ack))
        return step

    def forward_ping(
        self,
        message: wire.PingRequest,
        sender: str,
        _now: int,
    ) -> Effects:
        """Probe a member on behalf of another one."""
        number = self._prober.forward(sender, message.number)
        ping = wire.Ping(number, wire.Batch())
        return [effects.Send(message.target, ping)]

    def end_suspicions(self, now: int, late_ms: int) -> Effects:
        """Declare dead who did not refute the suspicion in time."""
        return self._entries.end_suspicions(now, late_ms)

    def accept_push(
        self,
        message: wire.Push,
        _sender: str,
        now: int,
    ) -> Effects:
        """Merge urgent entries."""
        return self._entries.merge(message.batch, now)

    def push(self, now: int, _late_ms: int) -> Effects:
        """Send urgent entries."""
        return self._entries.push(now)

    def publish(self, now: int, _late_ms: int) -> Effects:
        """Publish the announcements if they changed."""
        return self._entries.publish(now)

    def sync(self, now: int, _late_ms: int) -> Effects:
        """Compare knowledge with a member."""
        return self._syncer.sync(now)

    def join(self, now: int, _late_ms: int) -> Effects:
        """Look for members that are not known as live."""
        return self._syncer.join(now)

    def answer_sync(
        self,
        message: wire.Sync,
        sender: str,
        now: int,
    ) -> Effects:
        """Send what differs."""
        return self._syncer.answer(message, sender, now)

    def accept_snapshot(
        self,
        message: wire.Snapshot,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge what differed and send what is wanted in return."""
        return self._syncer.accept(message, sender, now)

    def _suspect(self, name: str, now: int) -> Effects:
        state = self._entries.known.states[name]
        self._prober.slow_down()
        if state.status != const.STATUS_ALIVE:
            return []
        suspected = state.replace(status=const.STATUS_SUSPECT)
        batch = wire.Batch(states=(suspected,))
        return [
            effects.Count('membership.suspected'),
            *self._entries.merge(batch, now),
            effects.Send(name, wire.Push(batch)),
        ]
