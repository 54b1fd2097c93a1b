"""Queue of entries to gossip."""

import heapq
import math
import typing
from collections import abc

from shallotwharf.components.membership import (
    const,
    entry_store,
    messages,
    sizes,
    wire,
)
from shallotwharf.core import records

Kind = typing.TypeVar('Kind', bound=records.Record)


class _Queued:
    __slots__ = ('total', 'remaining', 'urgent', 'size')

    def __init__(self, total: int, urgent: bool, size: int) -> None:
        self.total = total
        self.size = size
        self.remaining = total
        self.urgent = urgent


class GossipQueue:
    """Keys of changed entries, with the number of transmissions left.

    Queuing a key again resets that number. The entry is read when it is sent,
    so that only the newest one is sent.
    """

    __slots__ = ('_store', '_queue')

    def __init__(self, store: entry_store.EntryStore) -> None:
        self._store = store
        self._queue: dict[entry_store.Key, _Queued] = {}

    def add(self, key: entry_store.Key, members: int, now: int) -> None:
        """Queue an entry for a group of `members` members."""
        urgent = is_urgent(key)
        transmissions = const.LOAD_TRANSMISSIONS
        if urgent:
            transmissions = const.GOSSIP_FACTOR * math.ceil(
                math.log10(members + 2)
            )
        size = sizes.estimate_bytes(self._store.read_entry(key, now))
        self._queue[key] = _Queued(transmissions, urgent, size)

    def select_batch(self, now: int, urgent_only: bool = False) -> wire.Batch:
        """Return the next entries to send, up to `MAX_GOSSIP_BYTES` in all.

        Urgent entries come first, then those with the most transmissions
        left. A single entry above the limit is returned alone.
        """
        free_bytes = const.MAX_GOSSIP_BYTES
        selected: list[records.Record] = []
        for key in self._rank(urgent_only):
            size = self._queue[key].size
            if size > free_bytes and selected:
                continue
            entry = self._store.read_entry(key, now)
            self._count_transmission(key)
            if entry is not None:
                selected.append(entry)
                free_bytes -= size
        return build_batch(selected)

    def has_unsent_urgent(self) -> bool:
        """Return whether an urgent entry has not been sent yet."""
        return any(
            queued.urgent and queued.remaining == queued.total
            for queued in self._queue.values()
        )

    def _rank(self, urgent_only: bool) -> list[entry_store.Key]:
        keys = [
            key
            for key, queued in self._queue.items()
            if queued.urgent or not urgent_only
        ]
        return heapq.nlargest(
            const.MAX_GOSSIP_ENTRIES,
            keys,
            key=lambda key: (
                self._queue[key].urgent,
                self._queue[key].remaining,
            ),
        )

    def _count_transmission(self, key: entry_store.Key) -> None:
        queued = self._queue[key]
        queued.remaining -= 1
        if queued.remaining <= 0:
            self._queue.pop(key)


def is_urgent(key: entry_store.Key) -> bool:
    """Return whether an entry is pushed without waiting for a probe."""
    return key[0] not in {const.KIND_LOAD, const.KIND_HEARTBEAT}


def build_batch(entries: abc.Iterable[records.Record]) -> wire.Batch:
    """Return entries of any kind as a batch."""
    listed = tuple(entries)
    return wire.Batch(
        _select(listed, wire.MemberState),
        _select(listed, messages.Announcement),
        _select(listed, wire.Load),
        _select(listed, wire.BroadcastItem),
        _select(listed, wire.Heartbeat),
    )


def _select(
    entries: tuple[records.Record, ...],
    kind: type[Kind],
) -> tuple[Kind, ...]:
    return tuple(entry for entry in entries if isinstance(entry, kind))
