"""Guards against a call that runs twice or gets a wrong reply."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from shallotwharf.components.once import messages
from shallotwharf.core import clock
from tests.components.once import world

NODES = strategies.sampled_from(world.NODES)
HOLDERS = strategies.sampled_from(world.NODES[:4])
KEYS = strategies.integers(0, 2)
STEPS = strategies.sampled_from(
    (1, 10, 40, 150, 400, 1100, 3000, 61_000, 601_000)
)


class OnceMachine(stateful.RuleBasedStateMachine):
    """Random faults of all kinds; each key runs at most once.

    No reply may contradict the runs.
    """

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def begin(self, seed):
        self.world = world.World(seed)
        self.keys = [self.world.build_key() for _ in range(3)]

    @stateful.rule(
        nodes=strategies.lists(NODES, min_size=1, max_size=4),
        number=KEYS,
        gap_ms=strategies.sampled_from((0, 5, 30, 120, 1100)),
        rejected=strategies.sampled_from((False, False, False, True)),
        digest=strategies.sampled_from((b'd', b'd', b'd', b'e')),
    )
    def call(self, nodes, number, gap_ms, rejected, digest):
        """Send a call and resend it through other nodes."""
        for node in nodes:
            if node in self.world.cluster.processes:
                self.world.call(node, self.keys[number], digest, rejected)
            self.world.cluster.run_for(gap_ms)

    @stateful.rule(
        nodes=strategies.lists(NODES, min_size=1, max_size=3, unique=True),
        number=KEYS,
    )
    def lose_holders(self, nodes, number):
        """Restart holders between a call and its resend."""
        self.keys[number] = self.world.build_key()
        self.call(nodes[:1], number, 400, False, b'd')
        self.restart(set(nodes) - {'c0'})
        self.world.cluster.run_for(4000)
        self.call(nodes[1:], number, 400, False, b'd')

    @stateful.rule(number=KEYS, offset_ms=strategies.integers(-600_000, 60_000))
    def renew_key(self, number, offset_ms):
        self.keys[number] = self.world.build_key(offset_ms)

    @stateful.rule(duration_ms=STEPS)
    def run(self, duration_ms):
        self.world.cluster.run_for(duration_ms)

    @stateful.rule(node=NODES)
    def kill(self, node):
        self.world.cluster.kill(node)

    @stateful.rule(nodes=strategies.sets(HOLDERS, max_size=2))
    def restart(self, nodes):
        for node in sorted(nodes):
            self.world.cluster.kill(node)
            self.world.start(node)

    @stateful.rule(node=NODES)
    def freeze(self, node):
        if node in self.world.cluster.processes:
            self.world.cluster.freeze(node)

    @stateful.rule()
    def thaw(self):
        for name, process in list(self.world.cluster.processes.items()):
            if process.frozen:
                self.world.cluster.thaw(name)

    @stateful.rule(side=strategies.sets(NODES, min_size=1, max_size=3))
    def cut(self, side):
        rest = set(world.NODES) - side
        self.world.cluster.cut(sorted(side), sorted(rest))

    @stateful.rule()
    def heal(self):
        self.world.cluster.heal()

    @stateful.rule(rate=strategies.sampled_from((0.0, 0.1, 0.4)))
    def lose(self, rate):
        self.world.cluster.loss = rate
        self.world.cluster.duplicate = rate

    @stateful.rule(index=strategies.integers(0, 2))
    def replace(self, index):
        if self.world.is_replaceable():
            members = {m.name for m in self.world.read_group().members}
            (spare,) = set(world.NODES[:4]) - members
            self.world.replace(sorted(members)[index], spare)

    @stateful.rule(nodes=strategies.sets(NODES, min_size=1))
    def apply(self, nodes):
        for node in sorted(nodes):
            self.world.apply(node)

    @stateful.invariant()
    def check(self):
        if hasattr(self, 'world'):
            self.world.check()


TestOnceMachine = OnceMachine.TestCase
TestOnceMachine.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=40
)


def test_call_runs_and_a_resend_elsewhere_gets_its_response():
    state = world.World(1)
    key = state.build_key()
    state.call('h0', key)
    state.cluster.run_for(1000)
    state.call('c0', key.upper())
    state.cluster.run_for(1000)
    reply = state.read_reply(key)
    assert reply.body == state.runs[key][0][1]
    state.check()


def test_other_body_with_the_same_key_is_refused():
    state = world.World(2)
    key = state.build_key()
    state.call('h0', key)
    state.cluster.run_for(1000)
    state.call('c0', key, b'e')
    state.cluster.run_for(1000)
    assert state.read_reply(key).reason == 'idempotency_key_reused'


def test_call_that_was_not_run_may_be_sent_again():
    state = world.World(3)
    key = state.build_key()
    state.call('h0', key, rejected=True)
    state.cluster.run_for(1000)
    state.call('c0', key)
    state.cluster.run_for(1000)
    assert len(state.runs[key]) == 1


@pytest.mark.parametrize(
    ('key', 'reason'),
    [
        ('', 'idempotency_key_invalid'),
        ('5d0ab254-65c9-4a21-8c13-07ad4ca2a4a7', 'idempotency_key_invalid'),
        (-531_000, 'idempotency_key_expired'),
        (21_000, 'idempotency_key_in_future'),
    ],
)
def test_key_out_of_range_never_runs(key, reason):
    state = world.World(4)
    if isinstance(key, int):
        key = state.build_key(key)
    state.call('h0', key)
    state.cluster.run_for(1000)
    assert state.read_reply(key).reason == reason
    assert not state.runs


def test_restarted_holder_grants_after_seconds_and_replays_old_calls():
    state = world.World(5)
    key = state.build_key()
    state.call('h0', key)
    state.cluster.run_for(1000)
    state.start('h1')
    state.cluster.run_until(lambda: state.find_slot('h1').settled, 6000)
    state.cluster.kill('h2')
    state.call('c0', key)
    state.cluster.run_for(2000)
    assert isinstance(state.read_reply(key), messages.CallReplayed)


def test_two_holders_that_restart_together_abstain_for_the_lifetime():
    state = world.World(6)
    for name in ('h0', 'h1'):
        state.start(name)
    state.cluster.run_for(9 * clock.MINUTE_MS)
    key = state.build_key()
    state.call('c0', key)
    state.cluster.run_for(2000)
    assert state.read_reply(key).reason == 'holders_abstaining'
    state.cluster.run_for(2 * clock.MINUTE_MS)
    state.call('c0', key)
    state.cluster.run_for(2000)
    assert len(state.runs[key]) == 1


def test_frozen_coordinator_does_not_run_a_call_late():
    state = world.World(7)
    key = state.build_key()
    state.call('c0', key)
    state.cluster.run_for(2)
    state.cluster.freeze('c0')
    state.cluster.run_for(11 * clock.MINUTE_MS)
    state.cluster.thaw('c0')
    state.cluster.run_for(2000)
    assert not state.runs
    state.check()


def test_large_response_is_not_stored_but_its_outcome_is():
    state = world.World(8)
    key = state.build_key()
    request = state.call('h0', key, rejected=True)
    state.cluster.run_until(lambda: state.replies, 1000, 1)
    state.cluster.processes['h0'].dispatcher.deliver(
        messages.CallFinished(key, 'run', 200, 't', bytes(70_000)), 'h0'
    )
    state.cluster.run_for(2000)
    state.call('c0', key)
    state.cluster.run_for(2000)
    reply = state.read_reply(key)
    assert request
    assert (reply.reason, reply.outcome) == ('answer_not_kept', 'run')
