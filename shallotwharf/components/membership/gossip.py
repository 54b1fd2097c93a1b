"""Queue of entries to gossip."""

import heapq
import math
import typing
from collections import abc

from shallotwharf.components.membership import (
    const,
    knowledge,
    messages,
    sizes,
    wire,
)
from shallotwharf.core import records

Kind = typing.TypeVar('Kind', bound=records.Record)


class _Queued:
    __slots__ = ('total', 'left', 'urgent', 'size')

    def __init__(self, total: int, urgent: bool, size: int) -> None:
        self.total = total
        self.size = size
        self.left = total
        self.urgent = urgent


class Gossip:
    """Keys of changed entries, with the number of transmissions left.

    Queuing a key again resets that number. The entry is read when it is sent,
    so that only the newest one is sent.
    """

    __slots__ = ('_known', '_queue')

    def __init__(self, known: knowledge.Knowledge) -> None:
        self._known = known
        self._queue: dict[knowledge.Key, _Queued] = {}

    def add(self, key: knowledge.Key, members: int, now: int) -> None:
        """Queue an entry for a group of `members` members."""
        urgent = is_urgent(key)
        left = const.LOAD_TRANSMISSIONS
        if urgent:
            left = const.GOSSIP_FACTOR * math.ceil(math.log10(members + 2))
        size = sizes.estimate_bytes(self._known.read_entry(key, now))
        self._queue[key] = _Queued(left, urgent, size)

    def take(self, now: int, urgent_only: bool = False) -> wire.Batch:
        """Return the next entries to send, up to `GOSSIP_BYTES` in all.

        Urgent entries come first, then those with the most transmissions
        left. A single entry above the limit is returned alone.
        """
        room = const.GOSSIP_BYTES
        taken: list[records.Record] = []
        for key in self._rank(urgent_only):
            size = self._queue[key].size
            if size > room and taken:
                continue
            entry = self._known.read_entry(key, now)
            self._use(key)
            if entry is not None:
                taken.append(entry)
                room -= size
        return build_batch(taken)

    def has_fresh(self) -> bool:
        """Return whether an urgent entry has not been sent yet."""
        return any(
            queued.urgent and queued.left == queued.total
            for queued in self._queue.values()
        )

    def _rank(self, urgent_only: bool) -> list[knowledge.Key]:
        keys = [
            key
            for key, queued in self._queue.items()
            if queued.urgent or not urgent_only
        ]
        return heapq.nlargest(
            const.GOSSIP_ENTRIES,
            keys,
            key=lambda key: (self._queue[key].urgent, self._queue[key].left),
        )

    def _use(self, key: knowledge.Key) -> None:
        queued = self._queue[key]
        queued.left -= 1
        if queued.left <= 0:
            self._queue.pop(key)


def is_urgent(key: knowledge.Key) -> bool:
    """Return whether an entry is pushed without waiting for a probe."""
    return key[0] not in {const.KIND_LOAD, const.KIND_BEAT}


def build_batch(entries: abc.Iterable[records.Record]) -> wire.Batch:
    """Return entries of any kind as a batch."""
    listed = tuple(entries)
    return wire.Batch(
        _select(listed, wire.MemberState),
        _select(listed, messages.Announcement),
        _select(listed, wire.Load),
        _select(listed, wire.SpreadItem),
        _select(listed, wire.Beat),
    )


def _select(
    entries: tuple[records.Record, ...],
    kind: type[Kind],
) -> tuple[Kind, ...]:
    return tuple(entry for entry in entries if isinstance(entry, kind))
