"""Failure detection by direct and indirect probes."""

import random
import typing

from shallotwharf.components.membership import (
    const,
    membership_view,
    probe_state,
    wire,
)
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class FailureDetector:
    """SWIM failure detector: one probe each period, a suspicion if it fails."""

    __slots__ = ('_view', '_probe', '_random')

    def __init__(
        self,
        view: membership_view.MembershipView,
        source: random.Random,
    ) -> None:
        self._view = view
        self._probe = probe_state.ProbeState(source)
        self._random = source

    def start(self, now: int) -> Effects:
        """Start at a random time, so that nodes do not probe in step."""
        first_probe = now + self._random.randrange(const.PROBE_PERIOD_MS)
        return [self._view.timers.set_timer('probe', first_probe)]

    def probe_next(self, member: str) -> None:
        """Make a live member the next probe target."""
        if member in self._view.peers:
            self._probe.probe_next(member)

    def probe(self, now: int, late_ms: int) -> Effects:
        """Evaluate the previous probe and begin the next one."""
        step: Effects = []
        if late_ms > const.LATE_TIMER_MS:
            # Answers may be queued behind this timer.
            self._probe.raise_health_factor()
        elif self._probe.target:
            step.extend(self._suspect(self._probe.target, now))
        health_factor = self._probe.health_factor
        self._view.health_factor = health_factor
        probe_at = now + const.PROBE_PERIOD_MS * health_factor
        step.append(self._view.timers.set_timer('probe', probe_at))
        target = self._probe.begin(self._view.peers)
        if target:
            batch = self._view.select_gossip(now)
            ping = wire.Ping(self._probe.number, batch)
            indirect_at = now + const.DIRECT_TIMEOUT_MS * health_factor
            step.append(effects.Send(target, ping))
            step.append(
                self._view.timers.set_timer('indirect', indirect_at),
            )
        return step

    def probe_indirectly(self, _now: int, _late_ms: int) -> Effects:
        """Probe again, directly and through other members."""
        target = self._probe.target
        if not target:
            return []
        number = self._probe.number
        peers = self._view.pick_peers(const.INDIRECT_PROBES, target)
        request = wire.PingRequest(number, target)
        return [
            effects.Send(target, wire.Ping(number, wire.Batch())),
            *(effects.Send(peer, request) for peer in peers),
        ]

    def answer(
        self,
        message: wire.Ping,
        sender: str,
        now: int,
    ) -> Effects:
        """Acknowledge a probe."""
        step = self._view.merge_received(message.batch, now)
        ack = wire.Ack(message.number, self._view.select_gossip(now))
        return [effects.Send(sender, ack), *step]

    def accept(self, message: wire.Ack, now: int) -> Effects:
        """Record the answer to a probe, or forward it to the requester."""
        step = self._view.merge_received(message.batch, now)
        if message.number == self._probe.number and self._probe.target:
            self._probe.complete()
        origin = self._probe.pop_origin(message.number)
        if origin is not None:
            ack = wire.Ack(origin.number, wire.Batch())
            step.append(effects.Send(origin.name, ack))
        return step

    def forward(self, message: wire.PingRequest, sender: str) -> Effects:
        """Probe a member on behalf of the sender."""
        number = self._probe.forward(sender, message.number)
        ping = wire.Ping(number, wire.Batch())
        return [effects.Send(message.target, ping)]

    def _suspect(self, name: str, now: int) -> Effects:
        state = self._view.store.states[name]
        self._probe.raise_health_factor()
        if state.status != const.STATUS_ALIVE:
            return []
        suspected = state.replace(status=const.STATUS_SUSPECT)
        batch = wire.Batch(states=(suspected,))
        return [
            effects.Count('membership.suspected'),
            *self._view.merge(batch, now),
            effects.Send(name, wire.Push(batch)),
        ]
