"""Limit on the requests that reach a cold upstream in any second.

Every request to an upstream passes the gate beside it, so that the gate keeps
the limit for all nodes together.
"""

import collections
import math
import sys
import typing

from shallotwharf.components.tables import version
from shallotwharf.components.upstream import const
from shallotwharf.core import clock, records

# Why an upstream counts as cold; for logs.
CAUSE_START: typing.Final = 'start'
CAUSE_REPORT: typing.Final = 'report'
CAUSE_PROBE: typing.Final = 'probe'
CAUSE_RESTORED: typing.Final = 'restored'


class ColdRule(records.Record):
    """What the pools of a service state about cold upstreams.

    Attributes:
        per_second: requests a second that a cold one tolerates; 0: no limit.
        start_ms: time for which one is cold after its start.
        health_path: path that reports whether it is cold; empty if none.
    """

    __slots__ = ('per_second', 'start_ms', 'health_path')

    def __init__(
        self,
        per_second: float = 0,
        start_ms: int = 0,
        health_path: str = '',
    ) -> None:
        self.per_second = per_second
        self.start_ms = start_ms
        self.health_path = health_path


class ColdState:
    """What is known about whether the upstream is cold.

    Check-ins may arrive late, so they can show that it is cold, but not that
    it is warm. Only the response to a probe shows that, for the time at which
    the probe was sent, unless news of a cold upstream arrived since.
    """

    __slots__ = ('cause', '_cold_until', '_news_at', '_warm_at', '_is_start')

    def __init__(self) -> None:
        self.cause = ''
        self._cold_until = 0
        # When the latest news arrived that it is cold.
        self._news_at = -1
        self._warm_at: int | None = None
        # Whether only the start is known, not what the upstream says itself.
        self._is_start = False

    def mark_start(self, cold_ms: int, now: int) -> None:
        """Assume that a start or a return to service is cold."""
        self._set(now + cold_ms, CAUSE_START, now)
        self._is_start = True

    def mark_restored(self, cold_ms: int, now: int) -> None:
        """Assume that an upstream is cold whose data centre was restored."""
        self._set(now + cold_ms, CAUSE_RESTORED, now)

    def apply_report(self, remaining_ms: int, now: int) -> None:
        """Apply what a check-in states; a late one overstates the time."""
        if self._is_start:
            self._is_start = False
            self._cold_until = now + remaining_ms
        elif remaining_ms:
            until = max(self._cold_until, now + remaining_ms)
            self._set(until, CAUSE_REPORT, now)

    def apply_probe(self, sent_at: int, remaining_ms: int, now: int) -> None:
        """Apply the response to a probe that was sent at `sent_at`."""
        if remaining_ms:
            self._set(now + remaining_ms, CAUSE_PROBE, now)
        elif sent_at >= self._news_at:
            self._cold_until = now
            self._warm_at = sent_at
            self._is_start = False

    def is_cold(self, now: int) -> bool:
        """Return whether the upstream is cold as far as known."""
        return now < self._cold_until

    def is_warm(self, now: int, age_ms: int = const.WARM_LIFETIME_MS) -> bool:
        """Return whether evidence of this age shows that it is warm."""
        return (
            not self.is_cold(now)
            and self._warm_at is not None
            and now - self._warm_at <= age_ms
        )

    def _set(self, cold_until: int, cause: str, now: int) -> None:
        self._cold_until = cold_until
        self._news_at = now
        self._warm_at = None
        self.cause = cause


class ColdLimit:
    """Admissions in the last second, and whether more are allowed.

    Attributes:
        state: what is known about the upstream.
        rule: what the pools of its service state.
    """

    __slots__ = (
        'state',
        'rule',
        '_datacentre',
        '_overage',
        '_slack',
        '_applied',
        '_service',
        '_admitted',
        '_full_until',
        '_tokens',
        '_refilled_at',
    )

    def __init__(self, datacentre: str, overage: float, slack: float) -> None:
        """Create the limit of a gate without a version.

        Args:
            datacentre: name of the local data centre.
            overage: factor of the rate of the pool.
            slack: requests a second above it.
        """
        self.state = ColdState()
        self.rule = ColdRule()
        self._datacentre = datacentre
        self._overage = overage
        self._slack = slack
        self._applied = version.EMPTY
        self._service = ''
        # Time and attempt of each admission in the window.
        self._admitted: collections.deque[tuple[int, str]] = collections.deque()
        self._full_until = 0
        self._tokens: float = 0
        self._refilled_at = 0

    def begin(self, now: int) -> None:
        """Count the last second as used up by an earlier process."""
        self._full_until = now + const.COLD_WINDOW_MS

    def start(self, service: str, now: int) -> None:
        """Count a start of the upstream as cold."""
        self._service = service
        self._find_rule()
        self.state.mark_start(self.rule.start_ms, now)

    def apply_version(self, applied: version.Version, now: int) -> None:
        """Apply the limits of a version, and the end of an evacuation."""
        was_evacuated = self._datacentre in self._applied.evacuated
        had_limit = bool(self.rule.per_second)
        self._applied = applied
        self._find_rule()
        is_restored = (
            was_evacuated and self._datacentre not in applied.evacuated
        )
        if is_restored:
            self.state.mark_restored(self.rule.start_ms, now)
        elif self.rule.per_second and not had_limit and self._service:
            # The start of the upstream preceded the version.
            self.state.mark_start(self.rule.start_ms, now)
            self.begin(now)

    def count_room(self, now: int) -> int:
        """Return how many requests may be sent now."""
        if not self.rule.per_second or self.state.is_warm(now):
            return sys.maxsize
        if now < self._full_until:
            return 0
        room = self._limit - self.count_admitted(now, const.COLD_WINDOW_MS)
        if self.state.is_cold(now):
            self._refill(now)
            room = min(room, int(self._tokens))
        return max(room, 0)

    def count_admitted(self, now: int, window_ms: int) -> int:
        """Return the number of requests sent in the last `window_ms`."""
        while self._admitted and self._is_past(self._admitted[0][0], now):
            self._admitted.popleft()
        return sum(1 for at, _ in self._admitted if now - at < window_ms)

    def record_admission(self, attempt: str, now: int) -> None:
        """Count a request that is sent to the upstream."""
        if not self.rule.per_second:
            return
        self._refill(now)
        self._tokens = max(self._tokens - 1, 0)
        self._admitted.append((now, attempt))

    def withdraw(self, attempt: str) -> None:
        """Remove a request that the upstream refused as not its own."""
        for entry in self._admitted:
            if entry[1] == attempt:
                self._admitted.remove(entry)
                return

    def compute_period(self, now: int) -> float:
        """Return the mean time between two requests in milliseconds."""
        if self.count_room(now):
            return 0
        return clock.SECOND_MS / self._limit

    def find_next(self, now: int) -> int | None:
        """Return when the next request may be sent; None if now."""
        if self.count_room(now):
            return None
        times = [now + 1, self._full_until]
        self.count_admitted(now, const.COLD_WINDOW_MS)
        excess = len(self._admitted) - self._limit
        if excess >= 0:
            times.append(self._admitted[excess][0] + const.COLD_WINDOW_MS)
        if self.state.is_cold(now) and self._tokens < 1:
            missing = (1 - self._tokens) * clock.SECOND_MS
            times.append(now + math.ceil(missing / self._refill_rate))
        return max(times)

    def list_starts(self, count: int, now: int) -> list[float]:
        """Return when each of the next requests may be sent; empty if now.

        Only an upstream that is known to be cold delays them: evidence that it
        is warm ends the limit soon otherwise.
        """
        if not self.rule.per_second or not self.state.is_cold(now):
            return []
        room = min(self.count_room(now), count)
        period_ms = clock.SECOND_MS / self._refill_rate
        next_at: float = self.find_next(now) or now + period_ms
        starts = [float(now) for _ in range(room)]
        starts.extend(next_at + at * period_ms for at in range(count - room))
        return starts

    def is_near_limit(self, now: int) -> bool:
        """Return whether evidence that it is warm may be needed soon."""
        if not self.rule.per_second:
            return False
        if now < self._full_until:
            return True
        admitted = self.count_admitted(now, const.COLD_WINDOW_MS)
        return admitted >= self._limit * const.PROBE_PART

    @property
    def _limit(self) -> int:
        """Return the requests allowed in a window, with a margin."""
        bound = self.rule.per_second * self._overage + self._slack
        return max(int(bound) - const.COLD_MARGIN, 1)

    @property
    def _refill_rate(self) -> float:
        """Return the tokens a second, so that a window keeps the limit."""
        burst = min(const.COLD_BURST, self._limit)
        window_s = const.COLD_WINDOW_MS / clock.SECOND_MS
        return max((self._limit - burst) / window_s, 1)

    def _refill(self, now: int) -> None:
        passed_s = (now - self._refilled_at) / clock.SECOND_MS
        self._refilled_at = now
        self._tokens = min(
            self._tokens + passed_s * self._refill_rate,
            min(const.COLD_BURST, self._limit),
        )

    def _is_past(self, at: int, now: int) -> bool:
        return now - at >= const.COLD_WINDOW_MS

    def _find_rule(self) -> None:
        """Use the strictest limit of the pools of the service."""
        limited = [
            row
            for row in self._applied.tables.pools
            if row.service == self._service and row.cold_per_second
        ]
        if not limited:
            self.rule = ColdRule()
            self._admitted.clear()
            return
        self.rule = ColdRule(
            min(row.cold_per_second for row in limited),
            max(row.cold_start_ms for row in limited),
            max(row.health_path for row in limited),
        )
