"""Requests that are running at an upstream, and their run times."""

from shallotwharf.components.upstream import const
from shallotwharf.core import calls


class _Running:
    __slots__ = ('request', 'start', 'started_at', 'crashed')

    def __init__(
        self,
        request: calls.Request,
        start: int,
        started_at: int,
    ) -> None:
        self.request = request
        self.start = start
        self.started_at = started_at
        self.crashed = False


class RunningRequests:
    """Running requests by attempt id, and estimates of the run time.

    Attributes:
        shortest_ms: recent shortest run time.
        mean_ms: moving average of the run time.
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

    def add(
        self,
        attempt: str,
        request: calls.Request,
        start: int,
        now: int,
    ) -> None:
        """Add a request to the `start`-th start of the upstream."""
        self._running[attempt] = _Running(request, start, now)

    def read_start(self, attempt: str) -> int:
        """Return at which start of the upstream a request runs."""
        return self._running[attempt].start

    def read_started_at(self, attempt: str) -> int:
        """Return when a request was admitted, in clock milliseconds."""
        return self._running[attempt].started_at

    def compute_identity(self, attempt: str) -> bytes:
        """Return the digest of a running request."""
        return self._running[attempt].request.compute_identity()

    def remove(self, attempt: str) -> None:
        """Remove a request that ended."""
        self._running.pop(attempt)

    def record_response(self, attempt: str, now: int) -> None:
        """Update the run times with a response.

        The shortest run time drops at once and rises slowly.
        """
        duration_ms = now - self._running[attempt].started_at
        self.mean_ms += (duration_ms - self.mean_ms) * const.MEAN_TIME_WEIGHT
        weight = const.RUN_TIME_WEIGHT if duration_ms > self.shortest_ms else 1
        self.shortest_ms += (duration_ms - self.shortest_ms) * weight

    def find_latest(self) -> bytes:
        """Return the digest of the running request that began last."""
        latest = next(reversed(self._running.values()))
        return latest.request.compute_identity()

    def record_crash(self, attempt: str) -> tuple[bytes, ...]:
        """Return the sorted digests of all requests that ran at a crash.

        A crash closes all connections of the process. Only the first closed
        connection returns digests; the others belong to the same crash and
        return none.
        """
        if self._running[attempt].crashed:
            return ()
        digests: set[bytes] = set()
        for running in self._running.values():
            running.crashed = True
            digests.add(running.request.compute_identity())
        return tuple(sorted(digests))
