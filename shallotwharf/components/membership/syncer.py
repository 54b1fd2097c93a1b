"""Anti-entropy with single members, and the search for members."""

import random
import typing

from shallotwharf.components.membership import const, entries, messages, wire
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Syncer:
    """Anti-entropy for entries that gossip missed, and joining of groups.

    Seeds that are not live members, and members that were declared dead, are
    contacted periodically, so that two groups merge again after a partition.
    """

    __slots__ = ('_entries', '_seeds', '_found', '_random')

    def __init__(
        self,
        known_entries: entries.Entries,
        seeds: tuple[str, ...],
        source: random.Random,
    ) -> None:
        own_name = known_entries.own.state.member.name
        self._entries = known_entries
        self._seeds = tuple(seed for seed in seeds if seed != own_name)
        self._found: tuple[str, ...] = ()
        self._random = source

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the processes that are asked for members."""
        self._seeds = seeds

    def find(self, members: tuple[messages.Member, ...]) -> None:
        """Store members of the local data centre, as received from control."""
        datacentre = self._entries.own.state.member.datacentre
        self._found = tuple(
            member.name for member in members if member.datacentre == datacentre
        )[: const.FOUND_MEMBERS]

    def start(self, now: int) -> Effects:
        """Ask seeds for members."""
        sync_at = now + self._random.randrange(const.SYNC_PERIOD_MS)
        return [
            *self.join(now, 0),
            self._entries.alarms.set_timer('sync', sync_at),
        ]

    def join(self, now: int, _late_ms: int) -> Effects:
        """Contact some seeds and dead members, more if no peer is live."""
        live = set(self._entries.others)
        own_member = self._entries.own.state.member
        sought = sorted(
            {
                *self._seeds,
                *self._found,
                *self._entries.known.list_ended(own_member.datacentre),
            }
            - live
            - {own_member.name},
        )
        count = const.JOIN_TARGETS if live else const.FIRST_JOIN_TARGETS
        targets = self._random.sample(sought, min(count, len(sought)))
        join_at = now + const.JOIN_PERIOD_MS
        return [
            *self._ask(targets),
            self._entries.alarms.set_timer('join', join_at),
        ]

    def sync(self, now: int, _late_ms: int) -> Effects:
        """Compare entries with one random live member."""
        self._entries.known.forget(now)
        sync_at = now + const.SYNC_PERIOD_MS
        return [
            *self._ask(self._entries.pick_others(1)),
            self._entries.alarms.set_timer('sync', sync_at),
        ]

    def answer(
        self,
        message: wire.Sync,
        sender: str,
        now: int,
    ) -> Effects:
        """Send the entries of data centres that differ; request the peer's."""
        own_datacentre = self._entries.own.state.member.datacentre
        if message.state.member.datacentre != own_datacentre:
            return []
        step = self._entries.merge(wire.Batch(states=(message.state,)), now)
        digests = self._entries.known.compute_digests()
        differing = tuple(
            name
            for name in sorted({*digests, *message.digests})
            if digests.get(name) != message.digests.get(name)
        )
        wanted = tuple(name for name in differing if name in message.digests)
        return [*step, *self._send(sender, differing, wanted, now)]

    def accept(
        self,
        message: wire.Snapshot,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge a part of the peer's entries; send those it requests."""
        return [
            *self._entries.merge(message.batch, now),
            *self._send(sender, message.wanted, (), now),
        ]

    def _ask(self, targets: list[str]) -> Effects:
        if not targets:
            return []
        digests = self._entries.known.compute_digests()
        message = wire.Sync(self._entries.own.state, digests)
        return [effects.Send(target, message) for target in targets]

    def _send(
        self,
        peer: str,
        datacentres: tuple[str, ...],
        wanted: tuple[str, ...],
        now: int,
    ) -> Effects:
        if not datacentres:
            return []
        batches = self._entries.known.export(datacentres, now)
        first = [wire.Snapshot(_find_first(batches), wanted)]
        rest = [wire.Snapshot(batch, ()) for batch in batches[1:]]
        return [effects.Send(peer, message) for message in (*first, *rest)]


def _find_first(batches: list[wire.Batch]) -> wire.Batch:
    return batches[0] if batches else wire.Batch()
