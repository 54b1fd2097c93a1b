"""Guards against log faults that need a combination of failures.

Real replicas, ledgers and disks run on a network with delay, loss, duplicates,
reordering and partitions; processes freeze, stop, restart and lose their
disks. After each step `Group.check` compares what was published and answered.
"""

import hypothesis
from hypothesis import stateful, strategies

from tests.components.replica import groups

PICK = strategies.integers(0, 10**6)


class GroupMachine(stateful.RuleBasedStateMachine):
    names = 'abc'

    @stateful.initialize(seed=strategies.integers(0, 10**9))
    def begin(self, seed):
        self.group = groups.Group(self.names, seed)
        self.group.wait_for_leader()
        self.lost = 0

    def pick(self, number):
        return self.names[number % len(self.names)]

    def choose(self, number):
        """Return the leader mostly, otherwise any process that is up."""
        leader = self.group.find_leader()
        if leader and number % 4:
            return leader
        up = [name for name in self.names if self.group.is_up(name)]
        return up[number % len(up)] if up else None

    @stateful.rule(duration=strategies.sampled_from((50, 300, 1200, 4000)))
    def run(self, duration):
        self.group.run(duration)

    @stateful.rule(
        count=strategies.integers(1, 8),
        number=PICK,
        pause=strategies.sampled_from((0, 10, 60, 400)),
    )
    def work(self, count, number, pause):
        """Send edits, some of them on a base that is no longer current."""
        for sent in range(count):
            name = self.choose(number + sent)
            if name:
                base = self.group.ledgers[name].current.number
                self.group.edit(name, max(base - sent % 3 // 2, 0))
            if pause:
                self.group.run(pause, pause)

    @stateful.rule(numbers=strategies.lists(PICK, min_size=1, max_size=6))
    def resend(self, numbers):
        sent = list(self.group.edits)
        for number in numbers:
            name = self.choose(number)
            if sent and name:
                self.group.resend(name, sent[number % len(sent)])

    @stateful.rule(
        kind=strategies.sampled_from(
            ('cut', 'cut_leader', 'disturb', 'freeze', 'kill', 'crash', 'fill'),
        ),
        number=PICK,
        leader=strategies.booleans(),
    )
    def harm(self, kind, number, leader):
        name = leader and self.group.find_leader() or self.pick(number)
        getattr(self, kind)(name, number)

    def cut(self, name, number):
        left = {n for place, n in enumerate(self.names) if number >> place & 1}
        self.group.cluster.cut(left, set(self.names) - left)

    def cut_leader(self, name, number):
        self.group.cluster.cut([name], set(self.names) - {name})

    def disturb(self, name, number):
        self.group.cluster.loss = (0.05, 0.2, 0.5)[number % 3]
        self.group.cluster.duplicate = (0, 0.3)[number % 2]
        self.group.cluster.delay_ms = ((1, 200), (12, 13), (1, 60))[number % 3]

    def freeze(self, name, number):
        if self.group.is_up(name):
            self.group.cluster.freeze(name)

    def kill(self, name, number):
        if self.group.is_up(name):
            self.group.kill(name)

    def crash(self, name, number):
        self.group.folders[name].crash_in = number % 8

    def fill(self, name, number):
        self.group.folders[name].full = True

    @stateful.rule(
        kind=strategies.sampled_from(('network', 'process', 'disk')),
        number=PICK,
    )
    def mend(self, kind, number):
        name = self.pick(number)
        if kind == 'network':
            self.group.calm()
        elif kind == 'disk':
            self.group.folders[name].full = False
        elif self.group.is_frozen(name):
            self.group.thaw(name)
        elif not self.group.is_up(name):
            self.group.start(name)

    @stateful.rule(number=PICK, kind=strategies.sampled_from('wwr'))
    def lose(self, number, kind):
        """Empty a disk or remove a voter.

        More than a minority at once would be beyond repair.
        """
        if self.group.is_whole():
            self.lost = 0
        if self.lost < (len(self.names) - 1) // 2:
            self.lost += 1
            lose = self.group.wipe if kind == 'w' else self.group.remove
            lose(self.pick(number))

    @stateful.rule()
    def repair(self):
        self.group.recover()

    @stateful.invariant()
    def check(self):
        if hasattr(self, 'group'):
            self.group.check()

    def teardown(self):
        if hasattr(self, 'group'):
            self.group.recover()


class LargeGroupMachine(GroupMachine):
    names = 'abcde'


TestThree = GroupMachine.TestCase
TestThree.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
)
TestFive = LargeGroupMachine.TestCase
TestFive.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=40,
)
