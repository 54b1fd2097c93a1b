"""Simulation of two data centres and control with a fake log and gossip."""

from measurements import move_world
from shallotwharf.components.ledger import messages as ledger_messages
from shallotwharf.components.membership import messages as membership_messages
from shallotwharf.components.move import director, evidence, watcher
from shallotwharf.components.replica import messages as replica_messages
from shallotwharf.components.tables import messages as tables_messages
from shallotwharf.components.tables import pool, route, version
from shallotwharf.core import aggregate, effects, messages
from tests import fakes

CONTROL = ('c1', 'c2')
NODES = {'n1': 'east', 'n2': 'east', 'n3': 'west', 'n4': 'west'}
CALLS_PER_STEP = 4
STEP_MS = 100


def list_nodes(datacentre):
    return [
        name
        for name, node_datacentre in NODES.items()
        if node_datacentre == datacentre
    ]


def build_members(names):
    return membership_messages.MembersChanged(
        tuple(
            membership_messages.Member(name, NODES[name], '', '', 0, 0)
            for name in names
        )
    )


@messages.register('test.push')
class Push(messages.Message):
    __slots__ = ('pushed',)

    def __init__(self, pushed: version.Version) -> None:
        self.pushed = pushed


class Ledger:
    """State of the replicated log, shared by all control processes."""

    def __init__(self, first):
        self.current = first
        self.leader = CONTROL[0]
        self.available = True
        self.shares = {}
        self.proposals = []

    def propose(self, name, command):
        if name != self.leader or not self.available:
            return
        self.proposals.append(command)
        (move,) = self.current.moves
        if move.move_id != command.move_id:
            return
        changed = move_world.apply_command(move, command)
        self.change(changed)

    def change(self, move):
        if move != self.current.moves[0]:
            self.current = self.current.replace(
                number=self.current.number + 1, moves=(move,)
            )
        self.shares.setdefault(move.move_id, []).append(
            0 if move.state == version.STATE_TAKEN_BACK else move.share
        )


class FakeLog(aggregate.Aggregate):
    name = 'log'
    handlers = {
        replica_messages.Propose: 'propose',
        messages.TimerFired: 'poll',
    }

    def __init__(self, process, ledger):
        self.process, self.ledger = process, ledger
        self.published_number, self.leading = 0, None

    def start(self, now):
        return [effects.SetTimer('poll', now + 100)]

    def propose(self, message, sender, now):
        self.ledger.propose(self.process, message.command)
        return []

    def poll(self, message, sender, now):
        emitted = [effects.SetTimer('poll', now + 100)]
        ledger = self.ledger
        leading = ledger.available and ledger.leader == self.process
        if leading != self.leading:
            self.leading = leading
            changed = replica_messages.LeaderChanged(ledger.leader, leading)
            emitted.append(effects.Publish(changed))
        if ledger.available and ledger.current.number > self.published_number:
            self.published_number = ledger.current.number
            accepted = tables_messages.VersionAccepted(ledger.current)
            emitted.append(effects.Publish(accepted))
        if ledger.available and now % 500 < 100:
            emitted.extend(
                effects.Send(node, Push(ledger.current)) for node in NODES
            )
        return emitted


class FakeNode(aggregate.Aggregate):
    """Applies pushed versions and repeats each broadcast to all nodes."""

    name = 'fake_node'
    handlers = {
        Push: 'apply',
        membership_messages.Broadcast: 'broadcast',
        messages.TimerFired: 'repeat',
    }

    def __init__(self, process):
        self.process = process
        self.applied = version.EMPTY
        self.broadcasts = {}

    def start(self, now):
        return [
            effects.Publish(build_members(list_nodes(NODES[self.process]))),
            effects.SetTimer('repeat', now + 1000),
        ]

    def apply(self, message, sender, now):
        if message.pushed.number <= self.applied.number:
            return []
        self.applied = message.pushed
        event = tables_messages.VersionApplied(message.pushed)
        return [effects.Publish(event)]

    def broadcast(self, message, sender, now):
        if message.key in self.broadcasts:
            return []
        self.broadcasts[message.key] = message
        return [effects.Publish(message.message), *self.send_all()]

    def repeat(self, message, sender, now):
        return [effects.SetTimer('repeat', now + 1000), *self.send_all()]

    def send_all(self):
        return [
            effects.Send(node, broadcast)
            for broadcast in self.broadcasts.values()
            for node in NODES
            if node != self.process
        ]


class World:
    """The cluster, with calls on each node by the share applied there."""

    def __init__(self, seed=1, due_ms=180_000):
        self.cluster = fakes.Cluster(seed)
        self.due_at = self.cluster.clock.read_wall() + due_ms
        tables = version.Tables(
            (
                route.Route('browse', '/b', ('GET',), 'p'),
                route.Route('book', '/k', ('GET',), 'p', 'confirmation'),
            ),
            (pool.Pool('p', 'service', {'old': 100}),),
        )
        first = version.Version(1, tables, (self.build_move('m1', 'new'),))
        self.ledger = Ledger(first)
        self.watchers, self.directors, self.nodes = {}, {}, {}
        self.find_outcome = lambda is_new, name: ('ok', 20)
        self.generation = 0
        self.has_upstreams = True
        for name in CONTROL:
            self.start_control(name)
        for name in NODES:
            self.start_node(name)

    def build_move(self, move_id, to_version):
        return version.Move(move_id, 'p', 'old', to_version, self.due_at)

    @property
    def move(self):
        return self.ledger.current.moves[0]

    def declare(self, move_id, to_version):
        self.ledger.change(self.build_move(move_id, to_version))

    def start_control(self, name):
        move_director = director.Director(self.cluster.clock, ('east', 'west'))
        self.directors[name] = move_director
        self.cluster.start(name, FakeLog(name, self.ledger), move_director)

    def start_node(self, name):
        self.generation += 1
        self.watchers[name] = watcher.Watcher(
            name, NODES[name], CONTROL, self.generation
        )
        self.nodes[name] = FakeNode(name)
        self.cluster.start(name, self.nodes[name], self.watchers[name])

    def deliver_members(self, names):
        for name in names:
            process = self.cluster.processes[name]
            process.dispatcher.deliver(build_members(names), name)

    def find_share(self, name):
        moves = self.nodes[name].applied.moves
        if not moves or moves[0].state == version.STATE_TAKEN_BACK:
            return 0
        fenced = self.watchers[name].is_fenced(moves[0].move_id)
        return 0 if fenced else moves[0].share

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.cluster.run_for(STEP_MS)
            for name in self.cluster.processes:
                if name in NODES:
                    self.send_calls(name)

    def send_calls(self, name):
        share = self.find_share(name)
        now = self.cluster.clock.read()
        moves = self.nodes[name].applied.moves
        for _ in range(CALLS_PER_STEP):
            drawn = self.cluster.random.random() * 10_000
            is_new = self.has_upstreams and drawn < share
            path = self.cluster.random.choice(('browse', 'book'))
            outcome, duration_ms = self.find_outcome(is_new, name)
            to_version = moves[0].to_version if is_new else 'old'
            self.watchers[name].observe(
                path, 'p', to_version, outcome, duration_ms, now
            )

    def run_until(self, done, limit_ms):
        waited = 0
        while not done():
            assert waited < limit_ms, f'not done within {limit_ms} ms'
            self.run(1000)
            waited += 1000
        return waited

    def turn_bad(self, nodes=tuple(NODES), rate=1):
        def find_outcome(is_new, name):
            bad = is_new and name in nodes
            if bad and self.cluster.random.random() < rate:
                return evidence.OUTCOME_ERROR, 20
            return evidence.OUTCOME_OK, 20

        self.find_outcome = find_outcome

    def is_taken_back(self):
        return self.move.state == version.STATE_TAKEN_BACK


def find_commands(ledger, command_type=ledger_messages.StepMove):
    return [
        command
        for command in ledger.proposals
        if isinstance(command, command_type)
    ]
