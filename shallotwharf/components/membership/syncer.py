"""Anti-entropy with single members, and the search for members."""

import random
import typing

from shallotwharf.components.membership import (
    const,
    membership_view,
    messages,
    wire,
)
from shallotwharf.core import effects

Effects: typing.TypeAlias = list[effects.Effect]


class Syncer:
    """Anti-entropy for entries that gossip missed, and joining of groups.

    Seeds that are not live members, and members that were declared dead, are
    contacted periodically, so that two groups merge again after a partition.
    With live members, only seeds of the own region are contacted if there are
    any.
    """

    __slots__ = (
        '_view',
        '_seeds',
        '_near_seeds',
        '_discovered',
        '_search_period_ms',
        '_random',
    )

    def __init__(
        self,
        view: membership_view.MembershipView,
        seeds: tuple[str, ...],
        source: random.Random,
    ) -> None:
        local_name = view.local.state.member.name
        self._view = view
        self._seeds = tuple(seed for seed in seeds if seed != local_name)
        self._near_seeds = self._seeds
        self._discovered: tuple[str, ...] = ()
        self._search_period_ms = const.SEARCH_PERIOD_MS
        self._random = source

    def change_seeds(
        self,
        seeds: tuple[str, ...],
        near: tuple[str, ...],
    ) -> None:
        """Replace the processes that are asked for members.

        Args:
            seeds: names of all of them.
            near: names of those in the own region.
        """
        self._seeds = seeds
        self._near_seeds = near or seeds

    def replace_discovered(self, members: tuple[messages.Member, ...]) -> bool:
        """Store members of the local data centre, as received from control.

        Returns whether one of them was not known.
        """
        datacentre = self._view.local.state.member.datacentre
        known = set(self._discovered)
        self._discovered = tuple(
            member.name for member in members if member.datacentre == datacentre
        )[: const.MAX_DISCOVERED_MEMBERS]
        return not known.issuperset(self._discovered)

    def start(self, now: int) -> Effects:
        """Ask seeds for members."""
        sync_at = now + self._random.randrange(const.SYNC_PERIOD_MS)
        return [
            *self.join(now, 0),
            self._view.timers.set_timer('sync', sync_at),
        ]

    def join(self, now: int, _late_ms: int) -> Effects:
        """Contact some seeds and dead members, more if no peer is live."""
        live = set(self._view.peers)
        local_member = self._view.local.state.member
        seeds = self._near_seeds if live else self._seeds
        candidates = sorted(
            {
                *seeds,
                *self._discovered,
                *self._view.store.list_ended(local_member.datacentre),
            }
            - live
            - {local_member.name},
        )
        count = const.JOIN_TARGETS if live else const.FIRST_JOIN_TARGETS
        targets = self._random.sample(candidates, min(count, len(candidates)))
        join_at = now + self._find_join_period(bool(live))
        return [
            *self._send_sync(targets),
            self._view.timers.set_timer('join', join_at),
        ]

    def sync(self, now: int, _late_ms: int) -> Effects:
        """Compare entries with one random live member."""
        self._view.store.purge_expired(now)
        sync_at = now + const.SYNC_PERIOD_MS
        return [
            *self._send_sync(self._view.pick_peers(1)),
            self._view.timers.set_timer('sync', sync_at),
        ]

    def answer(
        self,
        message: wire.Sync,
        sender: str,
        now: int,
    ) -> Effects:
        """Send the entries of data centres that differ; request the peer's."""
        local_datacentre = self._view.local.state.member.datacentre
        if message.state.member.datacentre != local_datacentre:
            return []
        step = self._view.merge_received(
            wire.Batch(states=(message.state,)), now
        )
        digests = self._view.store.compute_digests()
        differing = tuple(
            name
            for name in sorted({*digests, *message.digests})
            if digests.get(name) != message.digests.get(name)
        )
        wanted = tuple(name for name in differing if name in message.digests)
        return [*step, *self._send_snapshots(sender, differing, wanted, now)]

    def accept(
        self,
        message: wire.Snapshot,
        sender: str,
        now: int,
    ) -> Effects:
        """Merge a part of the peer's entries; send those it requests."""
        return [
            *self._view.merge_received(message.batch, now),
            *self._send_snapshots(sender, message.wanted, (), now),
        ]

    def _find_join_period(self, has_peers: bool) -> int:
        if has_peers:
            self._search_period_ms = const.SEARCH_PERIOD_MS
            return const.JOIN_PERIOD_MS
        period_ms = self._search_period_ms
        self._search_period_ms = min(2 * period_ms, const.JOIN_PERIOD_MS)
        return period_ms

    def _send_sync(self, targets: list[str]) -> Effects:
        if not targets:
            return []
        digests = self._view.store.compute_digests()
        message = wire.Sync(self._view.local.state, digests)
        return [effects.Send(target, message) for target in targets]

    def _send_snapshots(
        self,
        peer: str,
        datacentres: tuple[str, ...],
        wanted: tuple[str, ...],
        now: int,
    ) -> Effects:
        if not datacentres:
            return []
        batches = self._view.store.export(datacentres, now)
        first = [wire.Snapshot(_pick_first(batches), wanted)]
        rest = [wire.Snapshot(batch, ()) for batch in batches[1:]]
        return [effects.Send(peer, message) for message in (*first, *rest)]


def _pick_first(batches: list[wire.Batch]) -> wire.Batch:
    return batches[0] if batches else wire.Batch()
