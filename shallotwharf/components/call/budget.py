"""Budget of retries."""

from shallotwharf.components.call import const
from shallotwharf.core import bucket, records


class Limits(records.Record):
    """How many retries a pool may cause.

    Attributes:
        per_call: retries that each call allows.
        per_second: retries allowed a second besides.
        cap: retries that may be saved up.
        is_shared: whether `per_second` and `cap` are those of all nodes
            together; each node then takes its part.
        free_refusals: attempts of a call that may be refused on the way
            to an upstream without counting as retries.
        repeats_errors: whether an idempotent call is sent again after an
            upstream answered that it failed.
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
        """Return the part of one node."""
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
    """Tokens for retries: a share of the calls and a minimum per second.

    Within any period, the retries are at most `per_call` of its calls, plus
    `per_second` of its seconds, plus `cap`.

    Attributes:
        limits: of this node.
    """

    __slots__ = ('limits', '_bucket')

    def __init__(self, now: int, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._bucket = bucket.TokenBucket(
            min(self.limits.per_second, self.limits.cap),
            now,
        )

    def note_call(self) -> None:
        """Add the share of a call that is not itself a retry."""
        self._bucket.add(self.limits.per_call, self.limits.cap)

    def take(self, now: int) -> bool:
        """Take a token; return False if there is none."""
        return self._bucket.take(now, self.limits.per_second, self.limits.cap)
