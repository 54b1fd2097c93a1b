"""Bounded priority queue of attempts."""

import collections

from shallotwharf.core import calls


class Entry:
    """A queued attempt.

    Attributes:
        step: step of the call plan that entered the gate.
        request: request of the attempt.
        expires_at: time when it is refused, in clock milliseconds.
        is_deadline: whether that time is a limit of the call, not of the queue.
    """

    __slots__ = ('step', 'request', 'expires_at', 'is_deadline')

    def __init__(
        self,
        step: calls.Enter,
        request: calls.Request,
        expires_at: int,
        is_deadline: bool,
    ) -> None:
        self.step = step
        self.request = request
        self.expires_at = expires_at
        self.is_deadline = is_deadline


class AdmissionQueue:
    """Queue by lowest rank, first in first out within a rank.

    It holds at most `limit` entries, so that scans are short.
    """

    __slots__ = ('_limit', '_ranks', '_length')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._ranks: dict[int, collections.deque[Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __contains__(self, attempt: str) -> bool:
        return any(
            entry.step.attempt == attempt
            for waiting in self._ranks.values()
            for entry in waiting
        )

    def estimate_wait(self, rank: int, period_ms: float) -> float:
        """Return the expected wait of a new entry in milliseconds.

        Args:
            rank: rank of the new entry.
            period_ms: mean time between two removals from the queue.
        """
        before = sum(
            len(waiting)
            for other, waiting in self._ranks.items()
            if other <= rank
        )
        return (before + 1) * period_ms

    def push(self, entry: Entry) -> Entry | None:
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
        last = max(rank for rank, waiting in self._ranks.items() if waiting)
        return self._ranks[last].pop()

    def pop(self) -> Entry:
        """Remove and return the first entry.

        Raises:
            IndexError: if the queue is empty.
        """
        for rank in sorted(self._ranks):
            waiting = self._ranks[rank]
            if waiting:
                self._length -= 1
                return waiting.popleft()
        raise IndexError('the queue is empty')

    def remove(self, attempt: str) -> bool:
        """Remove the entry of an attempt; return whether it existed."""
        for waiting in self._ranks.values():
            for entry in waiting:
                if entry.step.attempt == attempt:
                    waiting.remove(entry)
                    self._length -= 1
                    return True
        return False

    def pop_expired(self, now: int) -> list[Entry]:
        """Remove and return the expired entries."""
        expired: list[Entry] = []
        for rank, waiting in self._ranks.items():
            late = [entry for entry in waiting if entry.expires_at <= now]
            if late:
                expired.extend(late)
                self._ranks[rank] = collections.deque(
                    entry for entry in waiting if entry.expires_at > now
                )
        self._length -= len(expired)
        return expired

    def drain_all(self) -> list[Entry]:
        """Remove and return all entries in order."""
        return [self.pop() for _ in range(self._length)]

    def find_next_expiry(self) -> int:
        """Return the earliest expiry of an entry.

        Raises:
            ValueError: if the queue is empty.
        """
        return min(
            entry.expires_at
            for waiting in self._ranks.values()
            for entry in waiting
        )
