"""Limit on the requests a second that an upstream takes."""

import math
import sys

from shallotwharf.components.upstream import const
from shallotwharf.core import bucket, clock


class RateLimit:
    """Token bucket for the limit that an upstream names in its responses.

    Every request to an upstream passes the gate beside it, so that the gate
    keeps the limit for all nodes together.
    """

    __slots__ = ('_per_second', '_bucket')

    def __init__(self) -> None:
        self._per_second: float | None = None
        self._bucket = bucket.TokenBucket(0)

    def change(self, per_second: float | None, now: int) -> None:
        """Set the limit; None for no limit.

        A lower limit than `const.MIN_RATE_PER_SECOND` does not apply: the end
        of a limit shows in a response only.
        """
        if per_second is None:
            self._per_second = None
            return
        if self._per_second is None:
            self._bucket = bucket.TokenBucket(1, now)
        self._per_second = max(per_second, const.MIN_RATE_PER_SECOND)

    def count_tokens(self, now: int) -> int:
        """Return how many requests may be sent now."""
        if self._per_second is None:
            return sys.maxsize
        self._bucket.refill(now, self._per_second, self._cap)
        return int(self._bucket.tokens)

    def take(self, now: int) -> None:
        """Count a request that is sent."""
        if self._per_second is not None:
            self._bucket.take(now, self._per_second, self._cap)

    def compute_period(self) -> float:
        """Return the mean time between two requests in milliseconds."""
        if self._per_second is None:
            return 0
        return clock.SECOND_MS / self._per_second

    def find_next(self, now: int) -> int | None:
        """Return when the next request may be sent; None if now."""
        if self.count_tokens(now):
            return None
        missing = 1 - self._bucket.tokens
        return now + math.ceil(missing * self.compute_period())

    @property
    def _cap(self) -> float:
        rate = self._per_second or 0
        return max(rate * const.RATE_BURST_MS / clock.SECOND_MS, 1)
