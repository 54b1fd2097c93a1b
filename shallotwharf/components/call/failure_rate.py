"""Recent failure rate of the attempts at one target."""

import typing

# Weight of one attempt in the average: two failures in a row exceed the limit,
# a single one does not.
_WEIGHT: typing.Final = 0.1
# Failure rate above which other targets are preferred. It lies above the few
# per cent that a loaded service may lose, and below the rate for which retries,
# 10% to 20% of the calls, can no longer compensate.
_HIGH_RATE: typing.Final = 0.15
# The rate halves in this time, so that a target without attempts is tried
# again after a few seconds.
_HALF_LIFE_MS: typing.Final = 2000


class FailureRate:
    """Decaying average of the attempts that failed at a target, 0 to 1."""

    __slots__ = ('_rate', '_updated_at')

    def __init__(self) -> None:
        self._rate: float = 0
        self._updated_at = 0

    def record(self, failed: bool, now: int) -> None:
        """Record the end of an attempt."""
        if not (failed or self._rate):
            return
        rate = self.read(now)
        self._rate = rate + _WEIGHT * (failed - rate)
        self._updated_at = now

    def read(self, now: int) -> float:
        """Return the rate, decayed by the time since the last attempt."""
        if not self._rate:
            return 0
        age_ms = max(now - self._updated_at, 0)
        return float(self._rate * 0.5 ** (age_ms / _HALF_LIFE_MS))

    def is_high(self, now: int) -> bool:
        """Return whether other targets should be preferred."""
        return self.read(now) > _HIGH_RATE
