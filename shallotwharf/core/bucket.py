"""Token bucket: a rate with a burst."""

from shallotwharf.core import clock


class TokenBucket:
    """Tokens that grow with time up to a cap.

    The rate and the cap are given at each use, since they may change while
    the tokens stay.

    Attributes:
        tokens: those that are left.
    """

    __slots__ = ('tokens', '_read_at')

    def __init__(self, tokens: float, now: int | None = None) -> None:
        """Create a bucket.

        Args:
            tokens: those that it begins with.
            now: when they begin to grow; at the first use by default.
        """
        self.tokens = tokens
        self._read_at = now

    def add(self, amount: float, cap: float) -> None:
        """Add tokens up to the cap."""
        self.tokens = min(self.tokens + amount, cap)

    def take(self, now: int, per_second: float, cap: float) -> bool:
        """Take a token; return False if there is none."""
        if self._read_at is not None:
            elapsed = now - self._read_at
            self.add(elapsed * per_second / clock.SECOND_MS, cap)
        self._read_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
