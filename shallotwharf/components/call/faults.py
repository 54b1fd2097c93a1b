"""How often attempts at one target failed lately."""

import typing

# Weight of one attempt: two failures in a row pass the limit, single ones do
# not.
_WEIGHT: typing.Final = 0.1
# Share of failures from which other targets are preferred. It lies above the
# few per cent that a loaded service may lose, and below the share at which
# retries, a tenth to a fifth of the calls, can no longer make up for it.
_LIMIT: typing.Final = 0.15
# The share halves in this time, so that a target which got no attempts is
# tried again after a few seconds.
_HALF_LIFE_MS: typing.Final = 2000


class FaultShare:
    """Moving share of the attempts that failed at a target, 0 to 1."""

    __slots__ = ('_share', '_noted_at')

    def __init__(self) -> None:
        self._share: float = 0
        self._noted_at = 0

    def note(self, failed: bool, now: int) -> None:
        """Take the end of an attempt into account."""
        if not (failed or self._share):
            return
        share = self.read(now)
        self._share = share + _WEIGHT * (failed - share)
        self._noted_at = now

    def read(self, now: int) -> float:
        """Return the share, smaller the longer ago the last attempt was."""
        if not self._share:
            return 0
        age_ms = max(now - self._noted_at, 0)
        return float(self._share * 0.5 ** (age_ms / _HALF_LIFE_MS))

    def is_high(self, now: int) -> bool:
        """Tell whether other targets should be preferred."""
        return self.read(now) > _LIMIT
