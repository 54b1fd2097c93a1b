"""Bounded priority queue of attempts."""

import collections

from shallotwharf.components.upstream import waiting


class AdmissionQueue:
    """Queue by lowest rank, first in first out within a rank.

    It holds at most `limit` entries, so that scans are short.
    """

    __slots__ = ('_limit', '_ranks', '_length')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._ranks: dict[int, collections.deque[waiting.Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __contains__(self, attempt: str) -> bool:
        return bool(self._length) and any(
            entry.step.attempt == attempt
            for queued in self._ranks.values()
            for entry in queued
        )

    def estimate_wait(self, rank: int, period_ms: float) -> float:
        """Return the expected wait of a new entry in milliseconds.

        Args:
            rank: rank of the new entry.
            period_ms: mean time between two removals from the queue.
        """
        before = sum(
            len(queued)
            for other, queued in self._ranks.items()
            if other <= rank
        )
        return (before + 1) * period_ms

    def push(self, entry: waiting.Entry) -> waiting.Entry | None:
        """Add an entry; return the entry that it displaces, if any.

        A full queue displaces the newest entry of the highest rank, which may
        be the added entry itself.
        """
        self._ranks.setdefault(
            entry.step.rank,
            collections.deque(),
        ).append(entry)
        self._length += 1
        if self._length <= self._limit:
            return None
        self._length -= 1
        last = max(rank for rank, queued in self._ranks.items() if queued)
        return self._ranks[last].pop()

    def pop(self) -> waiting.Entry:
        """Remove and return the first entry.

        Raises:
            IndexError: if the queue is empty.
        """
        for rank in sorted(self._ranks):
            queued = self._ranks[rank]
            if queued:
                self._length -= 1
                return queued.popleft()
        raise IndexError('the queue is empty')

    def remove(self, attempt: str) -> bool:
        """Remove the entry of an attempt; return whether it existed."""
        for queued in self._ranks.values():
            for entry in queued:
                if entry.step.attempt == attempt:
                    queued.remove(entry)
                    self._length -= 1
                    return True
        return False

    def pop_expired(self, now: int) -> list[waiting.Entry]:
        """Remove and return the expired entries."""
        expired: list[waiting.Entry] = []
        for rank, queued in self._ranks.items():
            late = [entry for entry in queued if entry.expires_at <= now]
            if late:
                expired.extend(late)
                self._ranks[rank] = collections.deque(
                    entry for entry in queued if entry.expires_at > now
                )
        self._length -= len(expired)
        return expired

    def drain_all(self) -> list[waiting.Entry]:
        """Remove and return all entries in order."""
        return [self.pop() for _ in range(self._length)]

    def find_next_expiry(self) -> int:
        """Return the earliest expiry of an entry.

        Raises:
            ValueError: if the queue is empty.
        """
        return min(
            entry.expires_at
            for queued in self._ranks.values()
            for entry in queued
        )
