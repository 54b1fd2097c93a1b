"""Budget of retries."""

from shallotwharf.components.call import const
from shallotwharf.core import clock


class RetryBudget:
    """Tokens for retries: a share of the calls and a minimum per second.

    Within any period, the retries are at most `BUDGET_PER_CALL` of its
    calls, plus `BUDGET_PER_SECOND` of its seconds, plus `BUDGET_CAP`.
    """

    __slots__ = ('_tokens', '_read_at')

    def __init__(self, now: int) -> None:
        self._tokens = const.BUDGET_PER_SECOND
        self._read_at = now

    def note_call(self) -> None:
        """Add the share of a call that is not itself a retry."""
        self._tokens = min(
            self._tokens + const.BUDGET_PER_CALL,
            const.BUDGET_CAP,
        )

    def take(self, now: int) -> bool:
        """Take a token; return False if there is none."""
        seconds = (now - self._read_at) / clock.SECOND_MS
        self._read_at = now
        self._tokens = min(
            self._tokens + seconds * const.BUDGET_PER_SECOND,
            const.BUDGET_CAP,
        )
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
