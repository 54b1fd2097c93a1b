"""Guards against retries that multiply along a chain of calls.

Runs twelve hops, each with the real call component and a budget of its own.
By design a hop adds at most 10% of the calls, 2 retries per second and the
tokens in its bucket, and hops below a retried attempt add none.
"""

import random

import pytest

from shallotwharf.components.call import budget, const
from shallotwharf.components.tables import route
from shallotwharf.core import calls
from tests.components.call import build

DEPTH = 12
CALLS = 4000
CALLS_PER_SECOND = 200
ROUTES = (route.Route('all', '/', ('GET',), 'p', retries=5, timeout_ms=60_000),)
SECONDS = CALLS // CALLS_PER_SECOND
HOP_EXTRA = (
    const.BUDGET_PER_CALL * CALLS
    + const.BUDGET_PER_SECOND * SECONDS
    + const.BUDGET_PER_SECOND
)


class Chain:
    """A chain of hops with the given faults, deepest hop last."""

    def __init__(self, faults, seed):
        self.faults = faults
        self.random = random.Random(seed)
        self.attempts = [0] * DEPTH
        self.routers = [
            build.build_router(
                *(build.build_row(name) for name in 'abc'),
                applied=build.build_version(routes=ROUTES),
                seed=seed + hop,
            )
            for hop in range(DEPTH)
        ]

    def call(self, hop, retried, now):
        """Return the status that this hop gives to the upstream above it."""
        request = calls.Request('GET', '/', retried=retried)
        plan = self.routers[hop].plan(request)
        step = plan.start(now)
        while isinstance(step, calls.Forward):
            self.attempts[hop] += 1
            step = plan.resume(self.attempt(hop, step.retried, now), now)
        return 200 if isinstance(step, calls.Relay) else step.status

    def attempt(self, hop, retried, now):
        outcome = self.draw(hop)
        if outcome != calls.OUTCOME_ANSWERED:
            return calls.Result(outcome, outcome)
        status = 200
        if hop + 1 < DEPTH:
            # This upstream responds with the status of the hop below it.
            status = self.call(hop + 1, retried, now)
        return calls.Result(calls.OUTCOME_ANSWERED, '', status)

    def draw(self, hop):
        position = self.random.random()
        for outcome, share in self.faults[hop]:
            position -= share
            if position < 0:
                return outcome
        return calls.OUTCOME_ANSWERED

    def run(self):
        for number in range(CALLS):
            self.call(0, False, number * 1000 // CALLS_PER_SECOND)


SLOW_POOL = ((calls.OUTCOME_REFUSED, 0.6), (calls.OUTCOME_LATE, 0.3))
SOME_FAULTS = ((calls.OUTCOME_REFUSED, 0.1), (calls.OUTCOME_CLOSED, 0.05))


@pytest.mark.parametrize('seed', range(3))
def test_slow_pool_at_the_bottom_adds_its_hop_budget_only(seed):
    chain = Chain([()] * (DEPTH - 1) + [SLOW_POOL], seed)
    chain.run()
    assert chain.attempts[: DEPTH - 1] == [CALLS] * (DEPTH - 1)
    # Retries must happen, otherwise the upper bound shows nothing.
    assert CALLS * 1.05 < chain.attempts[-1] <= CALLS + HOP_EXTRA


@pytest.mark.parametrize('seed', range(3))
def test_faults_at_every_hop_add_up_but_do_not_multiply(seed):
    chain = Chain([SOME_FAULTS] * DEPTH, seed)
    chain.run()
    for hop, attempts in enumerate(chain.attempts):
        assert attempts <= CALLS + (hop + 1) * HOP_EXTRA
    # An attempt that fails at a hop does not reach the hops below, so only the
    # first hop is certain to exceed CALLS.
    assert chain.attempts[0] > CALLS


def test_idle_budget_holds_no_more_than_its_cap():
    bucket = budget.RetryBudget(0)
    taken = sum(bucket.take(3_600_000) for _ in range(1000))
    assert taken == const.BUDGET_CAP
