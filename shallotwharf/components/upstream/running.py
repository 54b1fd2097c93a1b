"""Requests that an upstream runs, and what they say when it crashes."""

from shallotwharf.components.upstream import const
from shallotwharf.core import calls


class _Running:
    __slots__ = ('request', 'started_at', 'crashed')

    def __init__(self, request: calls.Request, started_at: int) -> None:
        self.request = request
        self.started_at = started_at
        self.crashed = False


class RunningRequests:
    """Requests by attempt, and the time that those before took.

    Attributes:
        shortest_ms: the shortest time that one took lately.
        mean_ms: the mean of them.
    """

    __slots__ = ('shortest_ms', 'mean_ms', '_running')

    def __init__(self) -> None:
        self.shortest_ms: float = 0
        self.mean_ms: float = 0
        self._running: dict[str, _Running] = {}

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._running

    def add(self, attempt: str, request: calls.Request, now: int) -> None:
        """Add a request that starts now."""
        self._running[attempt] = _Running(request, now)

    def compute_digest(self, attempt: str) -> bytes:
        """Return the digest of a request that runs."""
        return self._running[attempt].request.compute_digest()

    def remove(self, attempt: str) -> None:
        """Remove a request."""
        self._running.pop(attempt)

    def note_answer(self, attempt: str, now: int) -> None:
        """Adjust the run times; slower answers raise the shortest slowly."""
        duration_ms = now - self._running[attempt].started_at
        self.mean_ms += (duration_ms - self.mean_ms) * const.MEAN_TIME_WEIGHT
        weight = const.RUN_TIME_WEIGHT if duration_ms > self.shortest_ms else 1
        self.shortest_ms += (duration_ms - self.shortest_ms) * weight

    def note_crash(self, attempt: str) -> tuple[bytes, ...]:
        """Return the digests of all that ran when a connection closed.

        All connections of a process close when it crashes: those that
        follow the first belong to the same crash, and return nothing.
        """
        if self._running[attempt].crashed:
            return ()
        digests: set[bytes] = set()
        for running in self._running.values():
            running.crashed = True
            digests.add(running.request.compute_digest())
        return tuple(sorted(digests))
