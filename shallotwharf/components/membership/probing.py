"""Failure detection by direct and indirect probes."""

import random
import typing

from shallotwharf.components.membership import const, entries, prober, wire
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Probing:
    """SWIM failure detector: one probe each period, a suspicion if it fails."""

    __slots__ = ('_entries', '_prober', '_random')

    def __init__(
        self,
        known_entries: entries.Entries,
        source: random.Random,
    ) -> None:
        self._entries = known_entries
        self._prober = prober.Prober(source)
        self._random = source

    def start(self, now: int) -> Effects:
        """Start at a random time, so that nodes do not probe in step."""
        first_probe = now + self._random.randrange(const.PROBE_PERIOD_MS)
        return [self._entries.alarms.set_timer('probe', first_probe)]

    def hasten(self, member: str) -> None:
        """Make a live member the next probe target."""
        if member in self._entries.others:
            self._prober.hasten(member)

    def probe(self, now: int, late_ms: int) -> Effects:
        """Evaluate the previous probe and begin the next one."""
        step: Effects = []
        if late_ms > const.LATE_TIMER_MS:
            # Answers may be queued behind this timer.
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
        """Probe again, directly and through other members."""
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

    def answer(
        self,
        message: wire.Ping,
        sender: str,
        now: int,
    ) -> Effects:
        """Acknowledge a probe."""
        step = self._entries.merge(message.batch, now)
        ack = wire.Ack(message.number, self._entries.take_gossip(now))
        return [effects.Send(sender, ack), *step]

    def accept(self, message: wire.Ack, now: int) -> Effects:
        """Record the answer to a probe, or forward it to the requester."""
        step = self._entries.merge(message.batch, now)
        if message.number == self._prober.number and self._prober.target:
            self._prober.succeed()
        origin = self._prober.find_origin(message.number)
        if origin is not None:
            ack = wire.Ack(origin.number, wire.Batch())
            step.append(effects.Send(origin.name, ack))
        return step

    def forward(self, message: wire.PingRequest, sender: str) -> Effects:
        """Probe a member on behalf of the sender."""
        number = self._prober.forward(sender, message.number)
        ping = wire.Ping(number, wire.Batch())
        return [effects.Send(message.target, ping)]

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
