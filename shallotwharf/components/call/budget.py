"""Retry budget of a pool, and the nodes that share it."""

from shallotwharf.components.call import const
from shallotwharf.components.membership import messages as membership
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
        """Return the limits of one node when `nodes` share them.

        While it knows no node, it has no part of what is independent of calls.
        """
        if not self.is_shared:
            return self
        return Limits(
            self.per_call,
            self.per_second / nodes if nodes else 0,
            max(self.cap / nodes, 1) if nodes else 1,
            is_shared=True,
            free_refusals=self.free_refusals,
            repeats_errors=self.repeats_errors,
        )


class Sharers:
    """Nodes that announced an upstream, by the time it was last seen.

    A node that no longer hears of others may be cut off from them, and they
    go on with their parts. They count until `SHARER_RETENTION_MS` after they
    were last seen, so that the parts of both sides never exceed the whole.
    """

    __slots__ = ('_seen_at',)

    def __init__(self) -> None:
        self._seen_at: dict[str, int] = {}

    def update(
        self,
        announcements: tuple[membership.Announcement, ...],
        now: int,
    ) -> int:
        """Record the announced upstreams; return the number of nodes."""
        for announcement in announcements:
            self._seen_at[announcement.node.name] = now
        oldest = now - const.SHARER_RETENTION_MS
        for name, seen_at in list(self._seen_at.items()):
            if seen_at < oldest:
                self._seen_at.pop(name)
        return len(self._seen_at)


class RetryBudget:
    """Token bucket filled by a fraction of the calls and a rate per second.

    Within any period, retries are at most `per_call` times its calls, plus
    `per_second` times its seconds, plus `cap`. A bucket of shared limits
    begins empty, so that nodes that start together exceed nothing.

    Attributes:
        limits: limits of this node.
    """

    __slots__ = ('limits', '_bucket')

    def __init__(self, now: int, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        initial = min(self.limits.per_second, self.limits.cap)
        self._bucket = bucket.TokenBucket(
            0 if self.limits.is_shared else initial,
            now,
        )

    def record_call(self) -> None:
        """Add the tokens of a call that is not itself a retry."""
        self._bucket.add(self.limits.per_call, self.limits.cap)

    def take(self, now: int) -> bool:
        """Take a token; return False if there is none."""
        return self._bucket.take(now, self.limits.per_second, self.limits.cap)
