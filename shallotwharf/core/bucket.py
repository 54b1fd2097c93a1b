"""Token bucket for rate limits with a burst."""

from shallotwharf.core import clock


class TokenBucket:
    """Tokens that are refilled at a rate up to a cap.

    The rate and the cap are arguments of each call, so that they can change
    without resetting the tokens.

    Attributes:
        tokens: number of tokens left.
    """

    __slots__ = ('tokens', '_refilled_at')

    def __init__(self, tokens: float, now: int | None = None) -> None:
        """Create a bucket.

        Args:
            tokens: initial number of tokens.
            now: start of the refill in clock milliseconds; by default the
                first call of `refill` or `take`.
        """
        self.tokens = tokens
        self._refilled_at = now

    def add(self, amount: float, cap: float) -> None:
        """Add tokens up to the cap."""
        self.tokens = min(self.tokens + amount, cap)

    def refill(self, now: int, per_second: float, cap: float) -> None:
        """Add the tokens of the time since the last refill."""
        if self._refilled_at is not None:
            elapsed = now - self._refilled_at
            self.add(elapsed * per_second / clock.SECOND_MS, cap)
        self._refilled_at = now

    def take(self, now: int, per_second: float, cap: float) -> bool:
        """Refill, then remove one token; return False if there is none."""
        self.refill(now, per_second, cap)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
