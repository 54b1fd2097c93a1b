"""Guards against token buckets that exceed their rate or burst."""

import hypothesis
from hypothesis import strategies

from shallotwharf.core import bucket, clock


@hypothesis.given(
    strategies.lists(strategies.integers(0, 3000), max_size=60),
    strategies.integers(1, 20),
    strategies.integers(1, 20),
)
def test_taken_tokens_stay_within_rate_and_burst(pauses, per_second, cap):
    tokens = bucket.TokenBucket(cap, 0)
    now = taken = 0
    for pause in pauses:
        now += pause
        taken += int(tokens.take(now, per_second, cap))
    assert taken <= cap + now * per_second / clock.SECOND_MS


def test_tokens_grow_from_the_first_use_by_default():
    tokens = bucket.TokenBucket(1)
    assert tokens.take(5000, 1, 10)
    assert not tokens.take(5000, 1, 10)
    assert tokens.take(6000, 1, 10)
