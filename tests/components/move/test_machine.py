"""Guards against a share that shrinks, and a fenced version that gets calls.

A state machine restarts and isolates nodes and control processes and changes
the leader in any order, while a version may turn bad.
"""

import hypothesis
from hypothesis import stateful, strategies

from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.tables import version
from tests.components.move import world as worlds

DATACENTRES = strategies.sampled_from(('east', 'west'))
NODES = strategies.sampled_from(sorted(worlds.NODES))


class MoveMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize(seed=strategies.integers(0, 99))
    def begin(self, seed):
        self.world = worlds.World(seed, due_ms=120_000)
        self.number = 1
        self.fenced = set()
        self.is_bad = False
        self.is_spoiled = False
        self.exposed = dict.fromkeys(worlds.NODES, 0)
        self.settled = 0

    @stateful.rule(seconds=strategies.integers(1, 20))
    def run(self, seconds):
        for _ in range(seconds):
            proposed = len(worlds.find_commands(self.world.ledger))
            self.world.run(1000)
            self.record_fences()
            self.fenced_version_gets_no_share()
            self.bad_version_is_not_served_for_long()
            self.settled = (self.settled + 1) * self.world.is_taken_back()
            if self.settled > 2:
                # The directors have received the take-back.
                after = worlds.find_commands(self.world.ledger)
                assert len(after) == proposed

    @stateful.rule(datacentre=DATACENTRES)
    def isolate(self, datacentre):
        inside = worlds.list_nodes(datacentre)
        outside = set(worlds.NODES) - set(inside) | set(worlds.CONTROL)
        self.world.cluster.cut(inside, outside)

    @stateful.rule()
    def heal(self):
        self.world.cluster.heal()

    @stateful.rule(loss=strategies.sampled_from((0, 0.2)))
    def disturb(self, loss):
        self.exposed = dict.fromkeys(worlds.NODES, 0)
        self.world.cluster.loss = loss
        self.world.cluster.duplicate = loss

    @stateful.rule(name=NODES)
    def restart_node(self, name):
        self.world.cluster.kill(name)
        # The collector may have been on this node, and its evidence is lost.
        self.exposed = dict.fromkeys(worlds.NODES, 0)
        self.fenced = {pair for pair in self.fenced if pair[0] != name}
        self.world.start_node(name)

    @stateful.rule(name=strategies.sampled_from(worlds.CONTROL))
    def restart_control(self, name):
        self.world.cluster.kill(name)
        self.world.start_control(name)

    @stateful.rule(leader=strategies.sampled_from((*worlds.CONTROL, '')))
    def change_leader(self, leader):
        self.world.ledger.leader = leader

    @stateful.rule(available=strategies.booleans())
    def toggle_control(self, available):
        self.world.ledger.available = available

    @stateful.rule()
    def turn_bad(self):
        self.is_bad = self.is_spoiled = True
        self.world.turn_bad()

    @stateful.rule()
    def race(self):
        self.is_spoiled = True
        move_id = self.world.move.move_id
        take_back = ledger_messages.TakeBack(move_id, 'operator', 0)
        self.world.ledger.propose(self.world.ledger.leader, take_back)

    @stateful.precondition(lambda self: self.world.is_taken_back())
    @stateful.rule()
    def declare(self):
        self.number += 1
        self.is_bad = self.is_spoiled = False
        self.settled = 0
        self.world.find_outcome = lambda is_new, name: ('ok', 20)
        self.world.declare(f'm{self.number}', f'v{self.number}')

    @stateful.invariant()
    def share_grows_or_is_taken_back(self):
        for shares in self.world.ledger.shares.values():
            if 0 in shares[1:]:
                first = shares.index(0, 1)
                assert not any(shares[first:])
                shares = shares[:first]
            assert shares == sorted(shares)

    def bad_version_is_not_served_for_long(self):
        for name in worlds.NODES:
            served = self.is_bad and self.world.find_share(name) >= 500
            quiet = not self.world.cluster.loss
            self.exposed[name] = (self.exposed[name] + 1) * served * quiet
            assert self.exposed[name] <= 30

    @stateful.invariant()
    def fenced_version_gets_no_share(self):
        for name, move_id in self.fenced:
            moves = self.world.nodes[name].applied.moves
            if moves and moves[0].move_id == move_id:
                assert self.world.find_share(name) == 0

    def teardown(self):
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.cluster.heal()
        world.cluster.loss = 0
        world.ledger.available = True
        world.ledger.leader = worlds.CONTROL[0]
        ended = {version.STATE_TAKEN_BACK, version.STATE_DONE}
        if world.move.state not in ended:
            world.run_until(self.has_settled, 240_000)
        self.share_grows_or_is_taken_back()

    def has_settled(self):
        if self.is_bad:
            return self.world.is_taken_back()
        taken_back = self.world.is_taken_back()
        assert self.is_spoiled or not taken_back
        return taken_back or self.world.move.share == 10_000

    def record_fences(self):
        for name, move_watcher in self.world.watchers.items():
            if move_watcher.is_fenced(self.world.move.move_id):
                self.fenced.add((name, self.world.move.move_id))


TestMoves = MoveMachine.TestCase
TestMoves.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
