"""Retry budget of a pool."""

from shallotwharf.components.call import const
from shallotwharf.core import bucket, records


class Limits(records.Record):
    """Limits of the retries of one pool.

    Attributes:
        per_call: tokens for retries that each call adds.
        per_second: tokens that are added per second regardless of calls.
        cap: largest number of tokens that can accumulate.
        is_shared: whether `per_second` and `cap` are totals over all nodes,
            to be divided among them.
        free_refusals: refusals per call, before an upstream is reached,
            that do not count as retries.
        repeats_errors: whether an idempotent call is retried after an
            upstream responded with a server error.
    """

    __slots__ = (
        'per_call',
        'per_second',
        'cap',
        'is_shared',
        'free_refusals',
        'repeats_errors',
    )

    def __init__(
        self,
        per_call: float = const.BUDGET_PER_CALL,
        per_second: float = const.BUDGET_PER_SECOND,
        cap: float = const.BUDGET_CAP,
        is_shared: bool = False,
        free_refusals: int = 0,
        repeats_errors: bool = False,
    ) -> None:
        self.per_call = per_call
        self.per_second = per_second
        self.cap = cap
        self.is_shared = is_shared
        self.free_refusals = free_refusals
        self.repeats_errors = repeats_errors

    def divide(self, nodes: int) -> 'Limits':
        """Return the limits of one node when `nodes` share them."""
        if not self.is_shared:
            return self
        parts = max(nodes, 1)
        return Limits(
            self.per_call,
            self.per_second / parts,
            max(self.cap / parts, 1),
            free_refusals=self.free_refusals,
            repeats_errors=self.repeats_errors,
        )


class RetryBudget:
    """Token bucket filled by a fraction of the calls and a rate per second.

    Within any period, retries are at most `per_call` times its calls, plus
    `per_second` times its seconds, plus `cap`.

    Attributes:
        limits: limits of this node.
    """

    __slots__ = ('limits', '_bucket')

    def __init__(self, now: int, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._bucket = bucket.TokenBucket(
            min(self.limits.per_second, self.limits.cap),
            now,
        )

    def record_call(self) -> None:
        """Add the tokens of a call that is not itself a retry."""
        self._bucket.add(self.limits.per_call, self.limits.cap)

    def take(self, now: int) -> bool:
        """Take a token; return False if there is none."""
        return self._bucket.take(now, self.limits.per_second, self.limits.cap)
