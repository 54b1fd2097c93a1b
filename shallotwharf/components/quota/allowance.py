"""Decision on the calls of one tenant at one node."""

import math

from shallotwharf.components.quota import const, demand, messages, usage
from shallotwharf.core import bucket, clock


class Allowance:
    """Credit of a tenant at a node.

    It begins without credit, so that nodes that restart admit no extra calls.

    A node admits the calls of a tenant that is not limited in advance, up to
    `advance` and its usual calls; each word of control renews that. Without
    any it admits its usual calls only, then a fixed share.

    Attributes:
        rate: calls a second of the tenant.
        state: one of the `const.STATE_` numbers.
        usage: calls to report.
    """

    __slots__ = (
        'rate',
        'state',
        'usage',
        '_cap',
        '_advance',
        '_usual',
        '_usual_rate',
        '_habit',
        '_burst',
        '_spent',
        '_renewed_at',
        '_share',
        '_bucket',
        '_fraction',
        '_passed',
        '_source',
        '_free_at',
    )

    def __init__(
        self, rate: float, cap: float, advance: float, now: int
    ) -> None:
        """Create an allowance.

        Args:
            rate: calls a second of the tenant.
            cap: calls that one node may admit together.
            advance: calls that need no answer of control.
            now: clock milliseconds.
        """
        self.rate = rate
        self.state = const.STATE_FREE
        self.usage = usage.NodeUsage()
        self._cap = cap
        self._advance = advance
        self._usual = demand.Flow(const.USUAL_MS)
        self._usual_rate: float = 0
        self._habit = demand.Flow(const.HABIT_MS)
        # Calls of a burst that need no answer, by the habit of the node.
        self._burst: float = 0
        # Calls since the last word of control.
        self._spent = 0
        self._renewed_at = now
        self._share: float = 0
        self._bucket = bucket.TokenBucket(0, now)
        self._fraction: float = 0
        # Sum of the fractions of calls, less the calls that were admitted.
        self._passed: float = 0
        # What fills the bucket: one of the `const.SOURCE_` numbers.
        self._source = const.SOURCE_LIMIT
        self._free_at = 0

    def change_limit(self, rate: float, cap: float, advance: float) -> None:
        """Set another limit; the credit stays, up to the new one."""
        self.rate = rate
        self._cap = cap
        self._advance = advance
        self._bucket.add(0, self._find_cap())

    def renew(self, now: int) -> None:
        """Renew the calls that need no answer, since control was heard."""
        self._spent = 0
        self._renewed_at = now
        self._usual_rate = self._usual.read(now)
        part = self._habit.read(now) / self.rate
        self._burst = 0
        if part >= const.HABIT_PART:
            self._burst = self._cap * min(part * const.HABIT_FACTOR, 1)

    def apply(self, share: messages.Share, phase: float, now: int) -> None:
        """Apply a share that control granted.

        Args:
            share: the share.
            phase: random number from 0 to 1, at which the sum of fractions
                starts: nodes that all start alike admit their calls together.
            now: clock milliseconds.
        """
        was_limited = self.state == const.STATE_LIMITED
        is_limited = share.state == const.STATE_LIMITED
        if was_limited != is_limited:
            self._bucket = bucket.TokenBucket(0 if is_limited else 1, now)
            self._passed = phase
        elif is_limited:
            self._bucket.refill(now, self._share, self._find_cap())
        self.state = share.state
        self._share = share.rate
        self._fraction = share.fraction
        self._free_at = now + share.wait_ms

    def take(
        self, source: int, fixed_rate: float, phase: float, now: int
    ) -> int:
        """Count a call; return 0 if admitted, else the time to wait.

        Args:
            source: what decides, one of the `const.SOURCE_` numbers.
            fixed_rate: calls a second without control.
            phase: random number from 0 to 1, the first credit without control.
            now: clock milliseconds.
        """
        self.usage.requested += 1
        if source != self._source:
            self._change_source(source, phase, now)
        if source == const.SOURCE_FIXED:
            return self._take_token(fixed_rate, 1, now)
        if self._has_rate():
            return self._take_token(self._share, self._find_cap(), now)
        if self.state == const.STATE_LIMITED and not self._passes():
            return max(self._free_at - now, const.REPORT_MS)
        if source == const.SOURCE_USUAL:
            return self._take_token(self._usual_rate, 1, now)
        return self._take_advance(now)

    def read_rate(self, source: int, fixed_rate: float) -> float:
        """Return the calls a second that the node may admit."""
        if source == const.SOURCE_FIXED:
            return fixed_rate
        if self.state == const.STATE_LIMITED:
            return self._share
        return self._usual_rate if source == const.SOURCE_USUAL else self.rate

    def read_fraction(self, source: int) -> float:
        """Return the part of calls admitted in place of a rate, or 0."""
        is_limited = self.state == const.STATE_LIMITED
        if source == const.SOURCE_FIXED or not is_limited:
            return 0
        return self._fraction if self._share < const.MIN_RATE else 0

    def give_back(self, now: int) -> None:
        """Uncount an admitted call; its credit may be used again."""
        self.usage.add(-1, now)
        self._spent = max(self._spent - 1, 0)
        self._passed = min(self._passed + 1, 1)
        self._bucket.add(1, max(self._find_cap(), 1))

    def needs_answer(self) -> bool:
        """Return whether an answer of control will be needed soon."""
        if self._has_rate():
            return False
        return self._spent * 3 >= self._count_advance()

    def _change_source(self, source: int, phase: float, now: int) -> None:
        """Start a new bucket; credit does not pass from one to another.

        The credit of a fixed share starts empty. That of the usual calls
        starts at random, since most nodes of a small tenant have less than
        one call.
        """
        usual_part = (now - self._renewed_at) / clock.SECOND_MS
        usual = phase + self._usual_rate * usual_part - self._spent
        first = {const.SOURCE_LIMIT: 1.0, const.SOURCE_USUAL: min(usual, 1)}
        self._source = source
        if source == const.SOURCE_FIXED or not self._has_rate():
            self._bucket = bucket.TokenBucket(first.get(source, 0), now)

    def _take_advance(self, now: int) -> int:
        if self._spent + 1 > self._count_advance():
            return const.URGENT_MS
        if self.state != const.STATE_LIMITED:
            return self._take_token(self.rate, self._cap, now)
        self._admit(now)
        return 0

    def _has_rate(self) -> bool:
        """Return whether control granted a rate, which needs no answer."""
        is_limited = self.state == const.STATE_LIMITED
        return is_limited and self._share >= const.MIN_RATE

    def _passes(self) -> bool:
        """Return whether a call is in the granted fraction of the calls."""
        self._passed += self._fraction
        if self._passed < 1:
            return False
        self._passed -= 1
        return True

    def _take_token(self, rate: float, cap: float, now: int) -> int:
        if self._bucket.take(now, rate, max(cap, 1)):
            self._admit(now)
            return 0
        wait_ms = const.DEFAULT_WINDOW_MS
        missing = 1 - self._bucket.tokens
        if missing * clock.SECOND_MS < rate * wait_ms:
            wait_ms = math.ceil(missing / rate * clock.SECOND_MS)
        return max(wait_ms, self._free_at - now, 1)

    def _admit(self, now: int) -> None:
        self._spent += 1
        self.usage.add(1, now)
        self._usual.add(1, now)
        self._habit.add(1, now)

    def _count_advance(self) -> float:
        usual = self._usual_rate * const.ADVANCE_SECONDS
        return max(self._advance + usual, self._burst)

    def _find_cap(self) -> float:
        if self.state != const.STATE_LIMITED:
            return self._cap
        return max(1, self._share * const.REPORT_MS / clock.SECOND_MS)
